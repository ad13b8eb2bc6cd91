// Package pause detects that the machine was suspended. The monotonic clock of the
// Go runtime may stop during a suspension, so durations measured with it do not
// include the suspension.
package pause

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionThreshold is the minimum difference between the two clocks that counts
// as a suspension. It exceeds the error that arises on a slow machine because the
// clocks are read one after the other.
const suspensionThreshold = 300 * time.Millisecond

// Clock returns the time since the machine was booted, including suspensions.
type Clock func() (time.Duration, error)

// BootClock is the Clock of the operating system (CLOCK_BOOTTIME).
func BootClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Detector detects suspensions by comparing the monotonic clock with a clock that
// keeps running during suspensions. It is not safe for concurrent use.
type Detector struct {
	clock         Clock
	lastMonotonic time.Time
	lastBoot      time.Duration
}

// NewDetector returns a detector that reads clock. Its first call of Suspended sets
// the times with which later calls compare.
func NewDetector(clock Clock) *Detector { return &Detector{clock: clock} }

// Suspended reports whether the machine was suspended since the last call. It
// returns false if the clock can't be read, so that links and deadlines are left
// as they are.
func (d *Detector) Suspended(now time.Time) bool {
	boot, err := d.clock()
	if err != nil {
		return false
	}
	firstCall := d.lastMonotonic.IsZero()
	suspended := boot - d.lastBoot - now.Sub(d.lastMonotonic)
	d.lastMonotonic, d.lastBoot = now, boot
	return !firstCall && suspended > suspensionThreshold
}
