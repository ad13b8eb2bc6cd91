package leased

import "time"

// hasForeignRuns reports whether the worker lists runs that this agent did not
// request.
func (c *Core) hasForeignRuns() bool {
	for _, run := range c.pollAnswer.Report.Running {
		if !c.owns(run) {
			return true
		}
	}
	return false
}

// owns reports whether this agent requested the run and has not reported its end.
func (c *Core) owns(id RunID) bool {
	r := c.runsByTask[id.Task]
	return r != nil && r.id == id
}

// stopForeignRuns stops the listed runs that this agent did not request.
func (c *Core) stopForeignRuns() {
	c.recordEnds()
	foreign := map[RunID]time.Time{}
	for _, run := range c.pollAnswer.Report.Running {
		if c.owns(run) {
			continue
		}
		listedAt, known := c.foreignRuns[run]
		if !known {
			listedAt = c.now
			c.emit(&ForeignRunListed{Run: run, Requested: c.lastRuns[run.Task].number >= run.Number, Token: c.token})
		}
		foreign[run] = listedAt
		c.emit(&SendStop{Run: run, Token: c.token})
	}
	c.foreignRuns = foreign
}

// recordEnds passes each newly listed end to the run it belongs to.
func (c *Core) recordEnds() {
	for _, end := range c.pollAnswer.Report.Ended {
		if end.Serial <= c.lastSeen {
			continue
		}
		c.lastSeen = end.Serial
		if c.owns(end.Run) {
			r := c.runsByTask[end.Run.Task]
			r.endReason = end.Reason
			c.fireRun(r, runEvents.EndListed)
		}
	}
}

// reconcile applies the worker's lists of running and ended runs to the runs about
// which the last request was answered before the poll was sent. Such a run does not
// exist on the worker if it is in neither list.
func (c *Core) reconcile() {
	c.recordEnds()
	running := map[RunID]bool{}
	for _, run := range c.pollAnswer.Report.Running {
		running[run] = true
	}
	for _, r := range c.sortedRuns(anyRun) {
		if !c.pollAnswer.SentAt.After(r.answeredAt) {
			continue
		}
		if running[r.id] {
			r.confirmed = true
			c.reportStoppedRun(r)
			c.fireRun(r, runEvents.Listed)
		} else {
			r.concluded = MissingFromList
			c.fireRun(r, runEvents.Missing)
		}
	}
}

func (c *Core) answerOverdue() bool { return c.now.Sub(c.answeredAt) > c.timing.UnresponsiveAfter }

// loseRuns reports all runs lost, since the lease has expired.
func (c *Core) loseRuns() {
	if len(c.runs) > 0 {
		c.emit(&RunsLost{Runs: len(c.runs), LeaseLeft: c.leaseLeft()})
	}
	for _, r := range c.sortedRuns(anyRun) {
		r.concluded = LeaseOver
		c.fireRun(r, runEvents.LeaseExpired)
	}
}

// leaseLeft returns the time until leaseExpiresAt.
func (c *Core) leaseLeft() time.Duration { return c.leaseExpiresAt.Sub(c.now) }
