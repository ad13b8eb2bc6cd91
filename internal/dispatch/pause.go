package dispatch

import "time"

const (
	// maxInputGap is the longest gap between two inputs that is not taken for a
	// pause of this process. Ticks come at least ten times a second.
	maxInputGap = 500 * time.Millisecond
	// grantDelayAfterPause is how long grants are withheld after a pause, so that
	// the disconnections of callers and agents during the pause are handled
	// before anything is granted.
	grantDelayAfterPause = 50 * time.Millisecond
)

// detectPause advances the current time, and suspends granting briefly if the gap
// since the last input shows that this process was paused.
func (c *Core) detectPause(now time.Time) {
	if !c.now.IsZero() && now.Sub(c.now) > maxInputGap && len(c.sessions) > 0 {
		c.now = now
		c.delayGranting()
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.now = now
}

// delayGranting suspends granting until the messages that piled up during a pause
// have been handled.
func (c *Core) delayGranting() { c.grantsResumeAt = c.now.Add(grantDelayAfterPause) }
