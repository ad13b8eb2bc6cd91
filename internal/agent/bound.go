package agent

import (
	"time"

	"cactuspost.example/internal/structs"
)

// An entry that has ended, or hears nothing more of this agent, leaves runs whose tasks
// are soon run again: by the entry after its grace, or by another one for a client that
// sends its job again. So does an entry that is too far behind to know that a client has
// disconnected. Stops end them in time where everything else works. BoundRuns makes the lease of
// the endpoint end them where it doesn't: the agent stands still, or its stops get no
// answer.

// boundGranularity is by how much a bound has to grow to be reported again.
const boundGranularity = 50 * time.Millisecond

// vouch notes until when the entry is known to hold the runs that it has not cancelled.
func (c *Core) vouch(l *link, handled structs.Stamp) {
	at := l.confirmedAt
	switch {
	case handled != 0:
		// Its links confirm messages also while its dispatcher is behind.
		at = c.opts.Clock.Time(handled)
		l.handles = true
	case l.handles:
		return
	case at.IsZero(): // the entry is of an older release and confirms nothing
		at = c.now
	}
	if at.After(l.vouchedAt) && !at.After(c.now) {
		l.vouchedAt = at
	}
}

// endBy returns when the runs of the link's entry must have ended.
func (c *Core) endBy(l *link) time.Time { return l.vouchedAt.Add(c.tuning.MaxUnheard) }

// stopTime is the time for a stop before the lease has to end the run with all others on
// the endpoint: two ticks until it is asked for, the stop and its calls, and the margin by
// which a lease ends before its bound.
const stopTime = 250 * time.Millisecond

// handlingOverdue reports whether runs of the link's entry have to be stopped because the
// entry has handled nothing newer for too long. Before its welcome, the grace ends them.
func (c *Core) handlingOverdue(l *link) bool {
	return l.state == linkStates.Up && l.handles && c.tuning.MaxUnheard > 0 && !c.now.Before(c.endBy(l).Add(-stopTime))
}

// boundOutlastsLease reports whether a run of the link's entry that starts now ends in time
// under the lease that the runs on the endpoint have already. Where jobs are sent again too
// soon for that, it suffices that the entry has been heard of lately.
func (c *Core) boundOutlastsLease(l *link) bool {
	if c.tuning.MaxUnheard == 0 {
		return true
	}
	oldest := max(confirmExchange, c.tuning.MaxUnheard-c.tuning.LongestLease-boundGranularity)
	return c.now.Sub(l.vouchedAt) <= oldest
}

// cancelRun stops a run that its entry cancels. The entry may have known for as long as it
// has vouched for nothing newer that the run has to end, so a message that vouches beside
// the cancel, or after it, gives the run no more time.
func (c *Core) cancelRun(r *run, vouchedBefore time.Time) {
	if r.open() && r.endBy.IsZero() && !vouchedBefore.IsZero() {
		r.endBy = vouchedBefore.Add(c.tuning.MaxUnheard)
	}
	c.fireRun(r, runEvents.Stop)
}

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
		case r.state == runStates.Orphaned, r.state == runStates.Stopping && !r.endBy.IsZero():
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
