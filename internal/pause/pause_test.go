package pause

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSuspensionIsReportedOnce(t *testing.T) {
	is := is.New(t)
	boot := time.Hour
	var clockErr error
	d := NewDetector(func() (time.Duration, error) { return boot, clockErr })
	now := time.Now()
	is.True(!d.Suspended(now)) // the first call has nothing to compare with
	now, boot = now.Add(5*time.Second), boot+5*time.Second
	is.True(!d.Suspended(now)) // both clocks advanced by the same time
	now, boot = now.Add(time.Millisecond), boot+4*time.Second
	is.True(d.Suspended(now))
	is.True(!d.Suspended(now))
	clockErr = errors.New("not readable")
	is.True(!d.Suspended(now.Add(time.Second)))
}

func TestBootClockAdvances(t *testing.T) {
	is := is.New(t)
	first, err := BootClock()
	is.NoErr(err)
	time.Sleep(5 * time.Millisecond)
	second, err := BootClock()
	is.NoErr(err)
	is.True(second > first)
}
