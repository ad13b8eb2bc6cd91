package agent

import (
	"slices"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// run is one received grant, from its arrival until its result is acknowledged or
// no longer needed.
type run struct {
	grant structs.Grant
	link  *link
	// slots are the slots that the run holds, nil if none.
	slots []*slot
	state chart.State
	// limit is the longest run time; zero means none. overLimit is set if the
	// run was stopped for it.
	limit     time.Duration
	overLimit bool
	// notSent is set if the task could not be sent to the endpoint, endpointFull if
	// this was for lack of capacity there.
	notSent      bool
	endpointFull bool
	// unconfirmed is set if the grant arrived on a link whose newest confirmation was
	// too old.
	unconfirmed bool
	// startBy is the latest start time that meets the objective of a queued run;
	// late is set if it had passed on arrival.
	startBy   time.Time
	late      bool
	queuedAt  time.Time
	startedAt time.Time
	// endBy is when an orphaned or cancelled run must have ended, zero for others.
	endBy  time.Time
	result structs.Result
}

func (c *Core) fireRun(r *run, e chart.Event) {
	before := r.open()
	runChart.Fire(&r.state, e, runContext{core: c, run: r})
	switch after := r.open(); {
	case after && !before:
		r.link.openGrants++
		c.reportFirstOpen(r.link)
	case before && !after:
		r.link.openGrants--
	}
	if runChart.Final(r.state) {
		delete(c.runs, r.grant.ID)
	}
}

// reportFirstOpen prepares a message to an entry whose first grant on an idle link is
// open now. Until it arrives, heartbeats keep the slow pace and say that the agent is not
// busy, so that the entry takes the grant for lost.
func (c *Core) reportFirstOpen(l *link) {
	if l.paced && l.established && l.openGrants == 1 {
		l.outgoingMessage()
	}
}

// open reports whether the run's entry has to hear of it before it may be repeated
// elsewhere: it is queued, or has been handed to the endpoint and has not ended.
func (r *run) open() bool {
	return r.state == runStates.Queued || r.state == runStates.Running || r.state == runStates.Stopping
}

// moveTo attaches the run to another link of its entry.
func (r *run) moveTo(l *link) {
	if r.open() {
		r.link.openGrants--
		l.openGrants++
	}
	r.link = l
}

// handleGrant starts the task of a grant, queues the grant or refuses it. A grant
// that is known already is ignored.
func (c *Core) handleGrant(l *link, g *structs.Grant) {
	if c.runs[g.ID] != nil {
		return
	}
	c.recordNeed(g)
	r := &run{grant: *g, link: l, state: runChart.Initial(), limit: g.Limit, unconfirmed: !c.confirmedRecently(l)}
	if g.Queued {
		r.late = g.StartWithin < 0
		r.startBy = c.now.Add(g.StartWithin)
		r.queuedAt = c.now
	} else {
		r.slots = c.offeredSlots(l, g.Reserved, g.Credits())
	}
	c.runs[g.ID] = r
	c.fireRun(r, runEvents.Decide)
}

func (c *Core) startRun(r *run) {
	c.started++
	r.startedAt = c.now
	start := slotEvents.Start
	if r.grant.Queued {
		start = slotEvents.Claim
	}
	for _, s := range r.slots {
		c.fireSlot(s, start, r)
	}
	c.boundRuns(r)
	c.emit(&StartTask{Grant: r.grant})
	r.grant.Payload = nil
}

func (c *Core) refuseRun(r *run) {
	c.refused++
	if !r.link.established && r.link.state != linkStates.Greeting {
		// The next hello doesn't list the grant, which tells the entry the same. A
		// hello that was sent already has listed it.
		return
	}
	m := r.link.outgoingMessage()
	m.Refusals = append(m.Refusals, structs.Refusal{Grant: r.grant.ID, Reason: c.refusalReason(r)})
	c.logEvent(event.GrantRefused, r.link.address, r.grant.ID, "")
}

func (c *Core) refusalReason(r *run) structs.RefusalReason {
	switch {
	case r.endpointFull:
		return structs.EndpointFull
	case r.unconfirmed:
		return structs.Unconfirmed
	case r.notSent:
		return structs.EndpointUnreachable
	case c.leaving():
		return structs.AgentLeaving
	case !c.endpointUp:
		return structs.EndpointDown
	case c.resultBufferFull():
		return structs.BufferFull
	case r.grant.NoWait:
		return structs.NoRoom
	case r.grant.Queued:
		return structs.QueueFull
	default:
		return structs.NoCredit
	}
}

func (c *Core) markOverLimit(r *run) {
	r.overLimit = true
	c.logEvent(event.TaskTimeLimitExceeded, r.link.address, r.grant.ID, "")
}

func (c *Core) handleTaskExited(m *TaskExited) {
	r := c.runs[m.Grant]
	if r == nil {
		return
	}
	if m.Outcome == structs.NotSent {
		r.notSent = true
		r.endpointFull = m.Full
		c.started--
		c.fireRun(r, runEvents.Unsent)
		return
	}
	r.result = structs.Result{
		Grant: m.Grant, Outcome: m.Outcome, Payload: m.Payload, RunTime: m.RunTime,
		// The process of a worker that drains ends as planned.
		WorkerCrashed: m.WorkerCrashed && !c.leaving(),
	}
	if r.overLimit && m.Outcome != structs.Succeeded {
		r.result.Outcome = structs.LimitExceeded
	}
	c.fireRun(r, runEvents.Exited)
}

func (c *Core) releaseSlots(r *run) {
	for _, s := range r.slots {
		c.fireSlot(s, slotEvents.Release, r)
	}
	r.slots = nil
}

// sendResult adds the result to the next message if the link is up. Otherwise the
// result is sent when the same incarnation of the entry answers again.
func (c *Core) sendResult(r *run) {
	if !r.link.established {
		return
	}
	m := r.link.outgoingMessage()
	m.Results = append(m.Results, r.result)
}

func (c *Core) handleAcks(ids []structs.GrantID) {
	for _, id := range ids {
		if r := c.runs[id]; r != nil {
			c.fireRun(r, runEvents.Acked)
		}
	}
}

// runsOfEntry returns the runs of the link's entry, in its known incarnation.
func (c *Core) runsOfEntry(l *link) []*run {
	return slices.DeleteFunc(c.sortedRuns(), func(r *run) bool { return r.grant.ID.Owner != l.incarnation })
}

// sortedRuns returns all runs ordered by job and task, so that messages don't
// depend on the order of map iteration.
func (c *Core) sortedRuns() []*run {
	runs := make([]*run, 0, len(c.runs))
	for _, r := range c.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.grant.ID.Job != b.grant.ID.Job {
			return int(int64(a.grant.ID.Job) - int64(b.grant.ID.Job))
		}
		return int(a.grant.ID.Task) - int(b.grant.ID.Task)
	})
	return runs
}

func (c *Core) resumeRuns(l *link) {
	for _, r := range c.runsOfEntry(l) {
		r.moveTo(l)
		c.fireRun(r, runEvents.Resumed)
	}
}

// abandonRuns gives up the runs of the link's entry. e is the event of the link that
// they are given up for.
func (c *Core) abandonRuns(l *link, e chart.Event) {
	c.logAbandoned(l, e)
	for _, r := range c.runsOfEntry(l) {
		if r.endBy.IsZero() {
			r.endBy = c.endBy(l)
		}
		c.fireRun(r, runEvents.EntryGone)
	}
}
