package leased

import (
	"cmp"
	"slices"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// workerRun is a run that the agent requested and whose end it has not yet
// reported.
type workerRun struct {
	grant structs.GrantID
	id    RunID
	state chart.State
	// leaseUntil is the lease expiry sent with the start request, on the worker's
	// clock.
	leaseUntil time.Duration
	startedAt  time.Time
	// answeredAt is when the last request about the run was answered.
	answeredAt  time.Time
	startResult CallResult
	// confirmed is set when the worker has said that it executes the run.
	confirmed bool
	endReason EndReason
	// stopSentAt is when the last stop request was sent. nextStopAt is when the
	// next one is due; zero means that none is scheduled.
	stopSentAt time.Time
	nextStopAt time.Time
	// stopAskedAt is when the first stop request was sent, stopAttempts how many were
	// sent. stopExecuted is set when the worker has executed one.
	stopAskedAt  time.Time
	stopAttempts int
	stopExecuted bool
	// overdueReported and listedReported are set when StopOverdue and
	// StoppedRunListed were emitted.
	overdueReported bool
	listedReported  bool
	// concluded is what the end of the run is concluded from.
	concluded Conclusion
}

func (c *Core) fireRun(r *workerRun, e chart.Event) {
	runChart.Fire(&r.state, e, runContext{core: c, run: r})
	if runChart.Final(r.state) {
		delete(c.runs, r.grant)
		if c.runsByTask[r.id.Task] == r {
			delete(c.runsByTask, r.id.Task)
		}
	}
}

// handleStart requests a run, unless the lease is not held or another run of the task
// may still exist on the worker.
func (c *Core) handleStart(g *structs.Grant) {
	leaseUntil, ok := time.Duration(0), false
	if c.state == leaseStates.Held && c.runsByTask[g.Name] == nil {
		leaseUntil, ok = c.extendLease()
	}
	if !ok {
		c.emit(&Exited{Grant: g.ID, Task: g.Name, Outcome: structs.NotSent, Full: true, Detail: "worker unavailable, a stop is overdue, or an earlier run of the task has not ended"})
		return
	}
	number := max(uint64(g.ID.Attempt), c.lastRuns[g.Name].number+1)
	c.lastRuns[g.Name] = lastRun{number: number, at: c.now}
	r := &workerRun{
		grant: g.ID, id: RunID{Task: g.Name, Number: number}, state: runChart.Initial(),
		leaseUntil: leaseUntil, startedAt: c.now, answeredAt: c.now,
	}
	c.runs[g.ID] = r
	c.runsByTask[g.Name] = r
	c.emit(&SendStart{Grant: r.grant, Run: r.id, Payload: g.Payload, Token: c.token, Until: r.leaseUntil})
}

func (c *Core) handleStartAnswered(m *StartAnswered) {
	if !c.owns(m.Run) {
		return
	}
	r := c.runsByTask[m.Run.Task]
	r.startResult = m.Result
	r.answeredAt = c.now
	switch m.Result {
	case Done:
		r.confirmed = true
		c.fireRun(r, runEvents.Accepted)
	case Unanswered:
		c.startUnansweredAt = c.now
		c.fireRun(r, runEvents.Unanswered)
	case Fenced:
		c.fireRun(r, runEvents.Rejected)
		c.handleTokenRejected()
	case Replaced:
		c.fireRun(r, runEvents.Rejected)
		c.handleReplaced()
	default:
		c.fireRun(r, runEvents.Rejected)
	}
}

func (c *Core) handleStopAnswered(m *StopAnswered) {
	if !c.owns(m.Run) {
		return
	}
	r := c.runsByTask[m.Run.Task]
	r.answeredAt = c.now
	if m.Result == Done || m.Result == Outdated {
		c.pollNow = true
		r.stopExecuted = true
		c.fireRun(r, runEvents.Stopped)
		c.pollIfDue()
		return
	}
	c.fireRun(r, runEvents.StopFailed)
}

// startExpired reports whether the worker would reject a start request that is
// still in transit because its lease has expired.
func (c *Core) startExpired(r *workerRun) bool {
	elapsed := c.now.Sub(c.workerClockAt)
	return c.workerClock+time.Duration((1-maxClockDrift)*float64(elapsed)) > r.leaseUntil
}

func (c *Core) sendStop(r *workerRun) {
	if r.stopAttempts == 0 {
		r.stopAskedAt = c.now
	}
	r.stopAttempts++
	r.stopSentAt = c.now
	r.nextStopAt = time.Time{}
	c.emit(&SendStop{Run: r.id, Token: c.token})
}

// scheduleStop schedules the next stop request one retryInterval after the last
// one was sent, which is at once if that call took as long.
func (c *Core) scheduleStop(r *workerRun) { r.nextStopAt = r.stopSentAt.Add(retryInterval) }

// resendStops resends the stop requests that are due.
func (c *Core) resendStops() {
	for _, r := range c.sortedRuns(func(r *workerRun) bool { return !r.nextStopAt.IsZero() && !c.now.Before(r.nextStopAt) }) {
		c.fireRun(r, runEvents.StopDue)
	}
}

// stopOverdue reports whether the run was asked to stop stopOverdueAfter ago.
func (r *workerRun) stopOverdue(now time.Time) bool {
	return r.stopAttempts > 0 && now.Sub(r.stopAskedAt) >= stopOverdueAfter
}

// reportOverdueStops reports the runs that were asked to stop stopOverdueAfter ago.
func (c *Core) reportOverdueStops() {
	overdue := func(r *workerRun) bool { return !r.overdueReported && r.stopOverdue(c.now) }
	for _, r := range c.sortedRuns(overdue) {
		r.overdueReported = true
		c.emit(&StopOverdue{
			Grant: r.grant, Run: r.id, State: runChart.StateName(r.state), Attempts: r.stopAttempts, Executed: r.stopExecuted,
			Elapsed: c.now.Sub(r.stopAskedAt), Limit: stopOverdueAfter, LeaseLeft: c.leaseLeft(),
		})
	}
}

// reportStoppedRun reports a listed run of which no stop request was answered until its
// start had expired, or whose stop was executed and is overdue.
func (c *Core) reportStoppedRun(r *workerRun) {
	goesOn := r.state == runStates.Expired || r.stopExecuted && r.stopOverdue(c.now)
	if !goesOn || r.listedReported {
		return
	}
	r.listedReported = true
	c.emit(&StoppedRunListed{
		Grant: r.grant, Run: r.id, State: runChart.StateName(r.state), Attempts: r.stopAttempts, Executed: r.stopExecuted, LeaseLeft: c.leaseLeft(),
	})
}

// emitExited emits the end of a run, with the fields that do not depend on how it
// ended.
func (c *Core) emitExited(r *workerRun, e Exited) {
	e.Grant, e.Task, e.Number, e.Concluded, e.LeaseLeft = r.grant, r.id.Task, r.id.Number, r.concluded, c.leaseLeft()
	if r.stopAttempts > 0 {
		e.StopTime = c.now.Sub(r.stopAskedAt)
	}
	c.emit(&e)
}

func (c *Core) reportEnd(r *workerRun) {
	outcome := structs.Lost
	switch r.endReason {
	case Completed:
		outcome = structs.Succeeded
	case Failed:
		outcome = structs.Errored
	case Stopped:
		outcome = structs.Stopped
	}
	r.concluded = EndListed
	c.emitExited(r, Exited{Outcome: outcome, RunTime: c.now.Sub(r.startedAt), Detail: r.endReason.detail()})
}

func (c *Core) reportRejected(r *workerRun) {
	full := r.startResult == Full || r.startResult == Late || r.startResult == Outdated
	r.concluded = StartRejected
	c.emitExited(r, Exited{Outcome: structs.NotSent, Full: full, Detail: r.startResult.String()})
}

func (c *Core) reportUnstarted(r *workerRun) {
	r.concluded = StartRevoked
	if !r.stopExecuted {
		r.concluded = StartLate
	}
	c.emitExited(r, Exited{Outcome: structs.NotSent, Detail: "start request revoked before the run started"})
}

func (c *Core) reportLost(r *workerRun) {
	c.emitExited(r, Exited{Outcome: structs.Lost, Crashed: r.confirmed && c.processGoneAt.After(r.startedAt), RunTime: c.now.Sub(r.startedAt)})
}

// anyRun is a filter that accepts every run.
func anyRun(*workerRun) bool { return true }

// sortedRuns returns the included runs sorted by task, so that effects are emitted
// in a deterministic order.
func (c *Core) sortedRuns(include func(*workerRun) bool) []*workerRun {
	var runs []*workerRun
	for _, r := range c.runsByTask {
		if include(r) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *workerRun) int { return cmp.Compare(a.id.Task, b.id.Task) })
	return runs
}
