package dispatch

import "time"

const (
	// pauseLimit is the longest time between two inputs that doesn't count as a
	// pause of this process: ticks come at least ten times a second.
	pauseLimit = 500 * time.Millisecond
	// settleAfterPause is how long nothing is granted after a pause: callers
	// that left and agents that gave up meanwhile are heard first.
	settleAfterPause = 50 * time.Millisecond
)

// notePause holds grants back for a moment if this process has been paused.
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

// settle holds grants back until what happened during a pause was heard.
func (c *Core) settle() { c.resumeAt = c.now.Add(settleAfterPause) }
