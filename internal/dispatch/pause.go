package dispatch

import "time"

const (
	// pauseLimit is the longest gap between two inputs that is not taken for a pause
	// of this process. Ticks come at least ten times a second.
	pauseLimit = 500 * time.Millisecond
	// settleAfterPause is how long grants are withheld after a pause, so that
	// messages from callers who disconnected and agents that gave up in the
	// meantime are handled first.
	settleAfterPause = 50 * time.Millisecond
)

// notePause advances the current time, and suspends granting briefly if the gap
// since the last input shows that this process was paused.
func (c *Core) notePause(now time.Time) {
	if !c.now.IsZero() && now.Sub(c.now) > pauseLimit && len(c.sessions) > 0 {
		c.now = now
		c.settle()
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.now = now
}

// settle suspends granting until the messages that piled up during a pause have
// been handled.
func (c *Core) settle() { c.resumeAt = c.now.Add(settleAfterPause) }
