// Package pause notices that the machine of this process was suspended. The
// steady clock of the runtime may stand still meanwhile, so nothing that is
// measured with it shows the pause.
package pause

import (
	"time"

	"golang.org/x/sys/unix"
)

// suspensionThreshold is the least difference of the two clocks that counts as a suspension: it
// is above the error of reading them one after the other on a slow machine.
const suspensionThreshold = 300 * time.Millisecond

// Clock returns the time since the start of the machine, suspensions included.
type Clock func() (time.Duration, error)

// BootClock reads the clock of the operating system.
func BootClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Detector compares the steady clock with one that goes on during suspensions. It
// belongs to one goroutine.
type Detector struct {
	clock         Clock
	lastMonotonic time.Time
	lastBoot      time.Duration
}

// NewDetector returns a detector that begins with its first call of Suspended.
func NewDetector(clock Clock) *Detector { return &Detector{clock: clock} }

// Suspended reports whether the machine was suspended since the last call. A
// clock that can't be read shows none: links and deadlines remain.
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
