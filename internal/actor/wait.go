package actor

import "time"

const (
	// WaitLimit is how long a message may wait in an inbox before this is reported. It
	// is less than the shortest heartbeat interval.
	WaitLimit = 100 * time.Millisecond
	// waitReportInterval is the least time between two reports.
	waitReportInterval = time.Second
)

// WaitAlarm decides when the wait in an inbox is reported. Its zero value is ready.
type WaitAlarm struct{ reportedAt time.Time }

// Due reports whether a wait that ends now exceeds WaitLimit and none was reported
// within the last second.
func (a *WaitAlarm) Due(now time.Time, wait time.Duration) bool {
	if wait <= WaitLimit || (!a.reportedAt.IsZero() && now.Sub(a.reportedAt) < waitReportInterval) {
		return false
	}
	a.reportedAt = now
	return true
}
