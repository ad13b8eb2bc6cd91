package agent

import "time"

// An entry that has ended, or hears nothing more of this agent, leaves runs whose tasks
// are soon run again: by the entry after its grace, or by another one for a client that
// sends its job again. Stops end them in time where everything else works. BoundRuns
// makes the lease of the endpoint end them where it doesn't: the agent stands still, or
// its stops get no answer.

// boundGranularity is by how much a bound has to grow to be reported again.
const boundGranularity = 50 * time.Millisecond

// vouch notes that the entry is alive.
func (c *Core) vouch(l *link) {
	at := l.confirmedAt
	if at.IsZero() { // the entry is of an older release and confirms nothing
		at = c.now
	}
	if at.After(l.vouchedAt) {
		l.vouchedAt = at
	}
}

// endBy returns when the runs of the link's entry must have ended.
func (c *Core) endBy(l *link) time.Time { return l.vouchedAt.Add(c.tuning.MaxUnheard) }

// boundRuns reports when the first of the runs at the endpoint must have ended if its
// entry is not heard of again, with the given run, which is about to start.
func (c *Core) boundRuns(starting *run) {
	if c.tuning.MaxUnheard == 0 {
		return
	}
	bound := time.Time{}
	for _, r := range c.runs {
		var endBy time.Time
		switch {
		case r.state == runStates.Orphaned:
			endBy = r.endBy
		case r == starting, r.state == runStates.Running, r.state == runStates.Stopping:
			endBy = c.endBy(r.link)
		default:
			continue
		}
		if bound.IsZero() || endBy.Before(bound) {
			bound = endBy
		}
	}
	if bound.IsZero() == c.runsBound.IsZero() && !bound.Before(c.runsBound) && bound.Sub(c.runsBound) < boundGranularity {
		return
	}
	c.runsBound = bound
	c.emit(&BoundRuns{At: bound})
}
