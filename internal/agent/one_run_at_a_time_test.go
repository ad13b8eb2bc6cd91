package agent_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/structs"
)

const (
	// overlapTick is the interval between ticks of the cores, overlapHeartbeat that
	// between heartbeats of both sides.
	overlapTick      = 10 * time.Millisecond
	overlapHeartbeat = 150 * time.Millisecond
	// entrySilence is how long nothing may arrive from an agent before its entry
	// closes the link. An entry counts whole heartbeat periods, so it may close the
	// link after two of them already.
	entrySilence = 2 * overlapHeartbeat
	// agentGrace is the time after which an entry repeats the tasks of a lost agent.
	agentGrace = 1500 * time.Millisecond
	// agentIdleBeats and entryIdleBeats are the numbers of heartbeat intervals between the
	// heartbeats of the two sides on a link without open grants, and idleEntrySilence the
	// least time without a message after which an entry closes such a link. An agent sends
	// a heartbeat only at its next tick, so its interval is rounded up.
	agentIdleBeats   = 5
	entryIdleBeats   = 12
	idleEntrySilence = 1200 * time.Millisecond
	// trickleInterval is the time between two messages on a slow connection, which
	// is longer than that between heartbeats.
	trickleInterval = 200 * time.Millisecond
	// clientRepeatDelay is the least time after which a client that got no answer
	// sends its job again.
	clientRepeatDelay = 1300 * time.Millisecond
	// maxUnheard is the time after the entry's last confirmation by which the lease of
	// its runs has expired.
	maxUnheard = clientRepeatDelay - 100*time.Millisecond
	// maxStopTime bounds the time that a worker takes to stop a run, and
	// maxUnansweredStopTime that of a worker that answers no stop: the lease is not
	// extended any more.
	maxStopTime           = 120 * time.Millisecond
	maxUnansweredStopTime = 860 * time.Millisecond
	// leaseTime is how long runs go on at a worker whose agent stands still, with the
	// drift of its clock.
	leaseTime = 764 * time.Millisecond
)

// overlapFaults selects the faults of one overlap simulation besides those that
// every one has.
type overlapFaults struct {
	// restarts lets entries be replaced by another incarnation.
	restarts bool
	// aliases lets the agents know the entries under other addresses, too.
	aliases bool
	// backlogs lets the core of an entry fall behind while its event loops go on.
	backlogs bool
	// trickles lets connections to agents become slower than what is sent on them.
	trickles bool
	// standstills lets agents stand still, and unansweredStops workers leave stops
	// unanswered.
	standstills, unansweredStops bool
	// paced lets fewer heartbeats be sent on links without open grants.
	paced bool
	// successions lets agents be replaced by a new process.
	successions bool
}

// overlapSimulation connects the cores of two entries and two agents that have the
// times of the users' platform. Tasks take time at the agents and are repeated
// when an agent is lost. A task that starts while a run of it goes on fails the
// test.
type overlapSimulation struct {
	t        *rapid.T
	faults   overlapFaults
	now      time.Time
	entries  []*overlapEntry
	agents   []*overlapAgent
	conns    []*overlapConn
	requests []*overlapRequest
	trace    []string

	lastIncarnation structs.Incarnation
	lastLink        dispatch.LinkID
	lastReply       dispatch.ReplyID
	jobCount        int
	// runTime is that of each task; zero means a random one.
	runTime time.Duration
}

// overlapRequest is one client's request to run a job.
type overlapRequest struct {
	name    string
	entry   *overlapEntry
	reply   dispatch.ReplyID
	waiting bool
	endedAt time.Time
	// settled is set if the job was completed or sent again.
	settled bool
}

type overlapEntry struct {
	sim         *overlapSimulation
	address     string
	incarnation structs.Incarnation
	core        *dispatch.Core
	// paused stops the whole process, behind only its core.
	paused, behind bool
	inbox          []dispatch.Message
	// handledUntil is the time until which the core has handled its inbox.
	handledUntil time.Time
	// lag is by how much the core is behind all the time, arrivals when the messages of its
	// inbox arrived.
	lag      time.Duration
	arrivals []time.Time
}

type overlapRun struct {
	grant   structs.Grant
	endsAt  time.Time
	outcome structs.Outcome
	// completesAt is when the task completes if the run is not ended before.
	completesAt time.Time
	stopAsked   bool
}

type overlapAgent struct {
	sim  *overlapSimulation
	name string
	// token is the agent's fencing token at its worker.
	token uint64
	clock structs.Clock
	core  *agent.Core
	runs  []*overlapRun
	// still is set while the agent stands still, and its worker goes on; ended holds
	// the runs that ended meanwhile.
	still bool
	ended []*overlapRun
	// bound is when the lease of the runs expires at the latest; zero means no bound.
	bound time.Time
	// unreachable is set if the agent can open no more connections.
	unreachable bool
	// dead is set once the process has ended. Its worker's runs go on.
	dead bool
	// takeoverAt is when the agent begins to stop the runs of its predecessors; zero means
	// that it has none, or that they have ended.
	takeoverAt time.Time
}

// overlapConn is a connection. Each side may stall, and go on to read what was
// sent before the other side closed.
type overlapConn struct {
	entry       *overlapEntry
	incarnation structs.Incarnation
	agent       *overlapAgent
	agentLink   agent.LinkID
	entryLink   dispatch.LinkID
	toEntry     []*structs.FromAgent
	toAgent     []*structs.FromEntry
	// entryClosed and agentClosed are set once the side has closed its socket or
	// knows of the end.
	entryClosed, agentClosed bool
	// cut means that nothing passes any more, not even the end.
	cut                             bool
	entryStalledUntil, stalledUntil time.Time
	trickle                         bool
	// seen is the newest stamp that the entry has read, unhandled holds the stamps read that
	// it has not handled, and handled the newest one that it has.
	seen, handled structs.Stamp
	unhandled     []overlapStamp
	// entryBusy and agentBusy are set while the side counts a grant on the link as open.
	// The entry confirms the next message at once if confirmNext is set.
	entryBusy, agentBusy, confirmNext bool
	// beats counts the heartbeat intervals.
	beats                            int
	entryReceivedAt, agentReceivedAt time.Time
}

func newOverlapSimulation(t *rapid.T, faults overlapFaults) *overlapSimulation {
	sim := &overlapSimulation{t: t, faults: faults, now: time.UnixMilli(1_000_000)}
	for i := range 2 {
		e := &overlapEntry{sim: sim, address: fmt.Sprintf("e%d", i)}
		e.start()
		sim.entries = append(sim.entries, e)
	}
	sim.listEntries(nil)
	for i := range 2 {
		a := sim.newAgent(fmt.Sprintf("w%d", i))
		a.core.Step(sim.now, &agent.EndpointChanged{Up: true, Tenure: structs.Tenure{Token: a.token}})
		sim.agents = append(sim.agents, a)
	}
	sim.advance(500 * time.Millisecond)
	return sim
}

func (sim *overlapSimulation) nextIncarnation() structs.Incarnation {
	sim.lastIncarnation++
	return sim.lastIncarnation
}

func (sim *overlapSimulation) newAgent(name string) *overlapAgent {
	seeds := []string{"e0"}
	if sim.faults.aliases {
		seeds = []string{"other-e0", "other-e1"}
	}
	incarnation := sim.nextIncarnation()
	a := &overlapAgent{sim: sim, name: name, token: uint64(incarnation), clock: structs.NewClock(sim.now)}
	a.core = agent.New(agent.Options{
		Endpoint: name, Incarnation: incarnation, Pool: "p", Slots: 4, Divided: true,
		Capacity: structs.Needs{Millicores: 400}, Entries: seeds, Clock: a.clock, Seed: uint64(incarnation), Takeover: true,
		Tuning: agent.Tuning{SilenceTimeout: 450 * time.Millisecond, EntryGrace: 300 * time.Millisecond, MaxRetryDelay: 200 * time.Millisecond, PauseThreshold: 400 * time.Millisecond,
			IdleHeartbeat: 600 * time.Millisecond, IdleSilenceTimeout: 5400 * time.Millisecond, MaxUnheard: maxUnheard},
	})
	return a
}

func (e *overlapEntry) start() {
	service := structs.Service{
		Pool: "p", StartObjective: 60_000, Lifetime: 60_000, TaskLimit: 30_000,
		MaxTasks: 10, MaxTaskBytes: 100, Repeatable: true, MaxAttempts: 5,
	}
	e.incarnation = e.sim.nextIncarnation()
	e.inbox = nil
	e.paused = false
	e.core = dispatch.New(dispatch.Options{
		Self: structs.Peer{Incarnation: e.incarnation, LinkAddress: e.address}, Seed: 1,
		Tuning: dispatch.Tuning{AgentGrace: agentGrace, QueueDepth: 2, LongTaskThreshold: time.Hour},
		Paced:  e.sim.faults.paced,
	})
	e.core.Step(e.sim.now, &dispatch.Configure{Document: &structs.Document{
		Revision: 1, Services: map[string]structs.Service{"s": service},
		Teams: map[string]structs.Team{"t": {Quotas: map[string]float64{"s": 1}}},
	}})
}

// listEntries gives every entry the list of the entries, except the given one.
func (sim *overlapSimulation) listEntries(except *overlapEntry) {
	var peers []structs.Peer
	for _, e := range sim.entries {
		if e != except {
			peers = append(peers, structs.Peer{Incarnation: e.incarnation, LinkAddress: e.address})
		}
	}
	for _, e := range sim.entries {
		e.inbox = append(e.inbox, &dispatch.SetPeers{Peers: peers})
	}
}

func (sim *overlapSimulation) record(format string, args ...any) {
	line := fmt.Sprintf("%5d ms ", sim.now.Sub(time.UnixMilli(1_000_000)).Milliseconds()) + fmt.Sprintf(format, args...)
	sim.trace = append(sim.trace, line)
}

// fail fails the test after printing what has happened.
func (sim *overlapSimulation) fail(format string, args ...any) {
	for _, line := range sim.trace {
		sim.t.Log(line)
	}
	sim.t.Fatalf(format, args...)
}

func (sim *overlapSimulation) advance(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(overlapTick)
		for _, a := range sim.agents {
			a.endRuns()
		}
		for _, a := range sim.agents {
			a.takeOver()
		}
		if sim.now.UnixMilli()%overlapHeartbeat.Milliseconds() == 0 {
			sim.sendHeartbeats()
		}
		for _, c := range sim.conns {
			c.deliver()
		}
		sim.conns = slices.DeleteFunc(sim.conns, func(c *overlapConn) bool { return c.agentClosed && c.entryClosed })
		for _, e := range sim.entries {
			e.handleInbox()
		}
		for _, a := range sim.agents {
			if !a.still {
				a.core.Tick(sim.now)
				a.flush()
			}
		}
	}
}

func (sim *overlapSimulation) sendHeartbeats() {
	for _, c := range sim.conns {
		c.beats++
		if !c.entry.paused && !c.entryClosed && (c.entryBusy || c.beats%entryIdleBeats == 0) {
			c.sendToAgent(&structs.FromEntry{Heartbeat: true})
		}
		if !c.agentClosed && !c.agent.still && (c.agentBusy || c.beats%agentIdleBeats == 0) {
			c.sendToEntry(&structs.FromAgent{Heartbeat: true, Busy: c.agentBusy})
		}
	}
}

func (c *overlapConn) sendToAgent(m *structs.FromEntry) {
	if len(m.Grants) > 0 && !c.entryBusy {
		c.entryBusy = true
		c.confirmNext = true
		c.entryReceivedAt = c.entry.sim.now // it counts the silence from here on
	}
	m.Seen = c.seen
	m.Handled = c.handledStamp()
	c.toAgent = append(c.toAgent, m)
}

// overlapStamp is a stamp that an entry has read.
type overlapStamp struct {
	stamp  structs.Stamp
	readAt time.Time
}

func (c *overlapConn) handledStamp() structs.Stamp {
	for len(c.unhandled) > 0 && !c.unhandled[0].readAt.After(c.entry.handledUntil) {
		c.handled = c.unhandled[0].stamp
		c.unhandled = c.unhandled[1:]
	}
	return c.handled
}

func (c *overlapConn) sendToEntry(m *structs.FromAgent) {
	m.Sent = c.agent.clock.Stamp(c.agent.sim.now)
	c.agentBusy = m.Busy
	c.toEntry = append(c.toEntry, m)
}

func (c *overlapConn) deliver() {
	if c.incarnation != c.entry.incarnation { // the entry's process has ended
		c.entryClosed = true
	}
	if !c.cut {
		c.deliverToAgent()
		c.deliverToEntry()
	}
	silence := entrySilence
	if !c.entryBusy {
		silence = idleEntrySilence
	}
	if !c.entryClosed && !c.entry.paused && c.entry.sim.now.Sub(c.entryReceivedAt) > silence {
		c.closeEntrySide()
	}
}

func (c *overlapConn) deliverToAgent() {
	now := c.agent.sim.now
	if c.agent.still || now.Before(c.stalledUntil) {
		return
	}
	for !c.agentClosed && len(c.toAgent) > 0 {
		if c.trickle && now.Sub(c.agentReceivedAt) < trickleInterval {
			return
		}
		m := c.toAgent[0]
		c.toAgent = c.toAgent[1:]
		c.agentReceivedAt = now
		c.agent.step(&agent.EntryMessage{Link: c.agentLink, Message: m})
	}
	if !c.agentClosed && c.entryClosed {
		c.agentClosed = true
		c.agent.step(&agent.LinkClosed{Link: c.agentLink})
	}
}

func (c *overlapConn) deliverToEntry() {
	now := c.entry.sim.now
	if c.entryClosed || c.entry.paused || now.Before(c.entryStalledUntil) {
		return
	}
	for _, m := range c.toEntry {
		c.seen = m.Sent
		c.unhandled = append(c.unhandled, overlapStamp{m.Sent, now})
		if m.Busy || !c.entryBusy || !m.Heartbeat {
			c.entryReceivedAt = now
		}
		if c.confirmNext {
			c.confirmNext = false
			c.sendToAgent(&structs.FromEntry{Heartbeat: true})
		}
		if !m.Heartbeat { // an unchanged heartbeat does not reach the core
			c.entry.inbox = append(c.entry.inbox, &dispatch.AgentMessage{Link: c.entryLink, Message: m})
		}
	}
	c.toEntry = nil
	if c.agentClosed {
		c.closeEntrySide()
	}
}

func (c *overlapConn) closeEntrySide() {
	c.entryClosed = true
	c.entry.inbox = append(c.entry.inbox, &dispatch.LinkClosed{Link: c.entryLink})
}

// handleLate handles the messages that arrived before the core's lag, with a flush after
// each.
func (e *overlapEntry) handleLate() {
	for len(e.arrivals) < len(e.inbox) {
		e.arrivals = append(e.arrivals, e.sim.now)
	}
	until := e.sim.now.Add(-e.lag)
	for len(e.inbox) > 0 && !e.arrivals[0].After(until) {
		m, arrivedAt := e.inbox[0], e.arrivals[0]
		e.inbox, e.arrivals = e.inbox[1:], e.arrivals[1:]
		e.core.Step(e.sim.now, m)
		e.handledUntil = arrivedAt
		e.flush()
	}
	e.handledUntil = until
	e.core.Tick(e.sim.now)
	e.flush()
}

func (e *overlapEntry) handleInbox() {
	if e.paused || e.behind {
		return
	}
	if e.lag > 0 {
		e.handleLate()
		return
	}
	e.arrivals = nil
	inbox := e.inbox
	e.inbox = nil
	for _, m := range inbox {
		e.core.Step(e.sim.now, m)
	}
	e.handledUntil = e.sim.now
	e.flush()
	e.core.Tick(e.sim.now)
	e.flush()
}

func (e *overlapEntry) flush() {
	e.core.Flush(e.sim.now)
	for _, effect := range e.core.Effects() {
		switch m := effect.(type) {
		case *dispatch.Send:
			if c := e.findConn(m.Link); c != nil {
				c.sendToAgent(m.Message)
			}
		case *dispatch.CloseLink:
			if c := e.findConn(m.Link); c != nil {
				c.closeEntrySide()
			}
		case *dispatch.RelaxLink:
			if c := e.findConn(m.Link); c != nil {
				c.entryBusy = false
			}
		case *dispatch.Answered:
			e.sim.endRequest(m.Reply, m.Answer.State == structs.JobComplete)
		case *dispatch.Refused:
			e.sim.endRequest(m.Reply, false)
		}
	}
}

// findConn returns the open connection of a link or nil.
func (e *overlapEntry) findConn(link dispatch.LinkID) *overlapConn {
	for _, c := range e.sim.conns {
		if c.entryLink == link && !c.entryClosed {
			return c
		}
	}
	return nil
}

func (a *overlapAgent) step(m agent.Message) {
	if a.dead {
		return
	}
	a.core.Step(a.sim.now, m)
	a.flush()
}

func (a *overlapAgent) flush() {
	a.core.Flush(a.sim.now)
	for _, effect := range a.core.Effects() {
		switch m := effect.(type) {
		case *agent.Dial:
			a.dial(m)
		case *agent.Send:
			if c := a.findConn(m.Link); c != nil {
				c.sendToEntry(m.Message)
			}
		case *agent.CloseLink:
			if c := a.findConn(m.Link); c != nil {
				c.agentClosed = true
			}
		case *agent.StartTask:
			a.startRun(m.Grant)
		case *agent.BoundRuns:
			a.bound = m.At
		case *agent.StopTask:
			a.stopRun(m.Grant)
		case *agent.LogEvent:
			a.sim.record("%s: event %d, entry %s", a.name, m.Event, m.Entry)
		}
	}
}

// findConn returns the open connection of a link or nil.
func (a *overlapAgent) findConn(link agent.LinkID) *overlapConn {
	for _, c := range a.sim.conns {
		if c.agent == a && c.agentLink == link && !c.agentClosed {
			return c
		}
	}
	return nil
}

func (a *overlapAgent) dial(m *agent.Dial) {
	sim := a.sim
	if a.unreachable {
		return
	}
	for _, e := range sim.entries {
		if m.Address != e.address && m.Address != "other-"+e.address {
			continue
		}
		sim.lastLink++
		sim.conns = append(sim.conns, &overlapConn{
			entry: e, incarnation: e.incarnation, agent: a,
			agentLink: m.Link, entryLink: sim.lastLink, entryReceivedAt: sim.now, entryBusy: true, agentBusy: true,
		})
	}
	a.step(&agent.LinkOpened{Link: m.Link})
}

func (a *overlapAgent) startRun(g structs.Grant) {
	for _, other := range a.sim.agents {
		for _, r := range other.runs {
			if r.grant.Name == g.Name {
				a.sim.fail("%v: task %s starts at %s as %v while it runs at %s as %v until %v",
					a.sim.now.UnixMilli(), g.Name, a.name, g.ID, other.name, r.grant.ID, r.endsAt.UnixMilli())
			}
		}
	}
	a.sim.record("%s: task %s starts as %v", a.name, g.Name, g.ID)
	runTime := a.sim.runTime
	if runTime == 0 {
		runTime = time.Duration(rapid.IntRange(50, 3000).Draw(a.sim.t, "run time")) * time.Millisecond
	}
	a.runs = append(a.runs, &overlapRun{grant: g, endsAt: a.sim.now.Add(runTime), completesAt: a.sim.now.Add(runTime), outcome: structs.Succeeded})
}

func (a *overlapAgent) stopRun(id structs.GrantID) {
	for _, r := range a.runs {
		if r.grant.ID != id {
			continue
		}
		a.sim.record("%s: task %s is stopped", a.name, r.grant.Name)
		r.stopAsked = true
		longest := maxStopTime
		if a.sim.faults.unansweredStops {
			longest = maxUnansweredStopTime
		}
		stopTime := rapid.IntRange(0, int(longest.Milliseconds())).Draw(a.sim.t, "stop time")
		if end := a.sim.now.Add(time.Duration(stopTime) * time.Millisecond); end.Before(r.endsAt) {
			r.endsAt, r.outcome = end, structs.Stopped
		}
	}
}

func (a *overlapAgent) endRuns() {
	for _, r := range slices.Clone(a.runs) {
		if !a.bound.IsZero() && a.bound.Before(r.endsAt) && !a.sim.now.Before(a.bound) {
			r.endsAt, r.outcome = a.bound, structs.Lost // no lease was granted beyond the bound
		}
		if r.endsAt.After(a.sim.now) {
			continue
		}
		a.runs = slices.DeleteFunc(a.runs, func(other *overlapRun) bool { return other == r })
		a.sim.record("%s: task %s ends", a.name, r.grant.Name)
		a.ended = append(a.ended, r)
	}
	if a.still {
		return
	}
	for _, r := range a.ended {
		a.step(&agent.TaskExited{Grant: r.grant.ID, Outcome: r.outcome, RunTime: time.Millisecond})
	}
	a.ended = nil
}

// toggleStandstill stops an agent, whose worker's runs then end with the lease, or lets
// it go on.
func (a *overlapAgent) toggleStandstill() {
	a.still = !a.still
	a.sim.record("%s: stands still %v", a.name, a.still)
	if !a.still {
		// The agent renews the lease of what still runs.
		for _, r := range a.runs {
			if !r.stopAsked && r.outcome == structs.Lost {
				r.endsAt, r.outcome = r.completesAt, structs.Succeeded
			}
		}
		return
	}
	for _, r := range a.runs {
		if end := a.sim.now.Add(leaseTime); end.Before(r.endsAt) {
			r.endsAt, r.outcome = end, structs.Lost
		}
	}
}

// succeed ends the process of an agent and starts another one for its worker. What the old
// one has sent stays under way, with the end of its connections behind it or, after a loss
// of power, without.
func (sim *overlapSimulation) succeed(*overlapEntry) {
	a := rapid.SampledFrom(sim.livingAgents()).Draw(sim.t, "agent")
	withEnd := rapid.Bool().Draw(sim.t, "with end")
	sim.record("%s: its process ends, %v", a.name, withEnd)
	a.dead, a.still = true, true
	for _, c := range sim.conns {
		if c.agent == a {
			c.agentClosed = c.agentClosed || withEnd
		}
	}
	for _, r := range a.runs {
		if end := sim.now.Add(leaseTime); end.Before(r.endsAt) {
			r.endsAt, r.outcome = end, structs.Lost
		}
	}
	successor := sim.newAgent(a.name)
	successor.takeoverAt = sim.now.Add(time.Duration(rapid.IntRange(1, 60).Draw(sim.t, "restart")) * overlapTick)
	sim.agents = append(sim.agents, successor)
}

// livingAgents returns the agents whose process goes on, at least one for each worker.
func (sim *overlapSimulation) livingAgents() []*overlapAgent {
	return slices.DeleteFunc(slices.Clone(sim.agents), func(a *overlapAgent) bool { return a.dead })
}

// takeOver stops the runs of the agent's predecessors, and lets the agent begin once these
// have ended.
func (a *overlapAgent) takeOver() {
	if a.still || a.takeoverAt.IsZero() || a.sim.now.Before(a.takeoverAt) {
		return
	}
	for _, other := range a.sim.agents {
		if !other.dead || other.name != a.name || len(other.runs) == 0 {
			continue
		}
		for _, r := range other.runs {
			if !r.stopAsked {
				other.stopRun(r.grant.ID)
			}
		}
		return
	}
	a.takeoverAt = time.Time{}
	a.sim.record("%s: its successor has taken over", a.name)
	a.step(&agent.EndpointChanged{Up: true, Tenure: structs.Tenure{Token: a.token}})
}

func (sim *overlapSimulation) request(name string, e *overlapEntry) {
	sim.lastReply++
	submission := structs.Submission{Name: name, Team: "t", Service: "s", Needs: structs.Needs{Millicores: 100}}
	for i := range 2 {
		submission.Tasks = append(submission.Tasks, structs.Task{Kind: "k", Name: fmt.Sprintf("%s.%d", name, i), Declared: 100 * time.Millisecond})
	}
	sim.requests = append(sim.requests, &overlapRequest{name: name, entry: e, reply: sim.lastReply, waiting: true})
	e.inbox = append(e.inbox, &dispatch.RunJob{Reply: sim.lastReply, Submission: submission, MaxWait: 30 * time.Second})
	sim.record("job %s is sent to %s", name, e.address)
}

func (sim *overlapSimulation) endRequest(reply dispatch.ReplyID, complete bool) {
	for _, r := range sim.requests {
		if r.reply == reply && r.waiting {
			r.waiting = false
			r.endedAt = sim.now
			r.settled = complete
		}
	}
}

// act does one random thing.
func (sim *overlapSimulation) act() {
	e := rapid.SampledFrom(sim.entries).Draw(sim.t, "entry")
	actions := []func(*overlapEntry){sim.sendNewJob, sim.sendNewJob, sim.wait, sim.wait, sim.wait, sim.togglePause, sim.breakConn, sim.stallConn, sim.changeList, sim.leave, sim.repeatJob}
	if sim.faults.restarts {
		actions = append(actions, sim.restart)
	}
	if sim.faults.backlogs {
		actions = append(actions, sim.toggleBacklog)
	}
	if sim.faults.trickles {
		actions = append(actions, sim.toggleTrickle)
	}
	if sim.faults.standstills {
		actions = append(actions, sim.stopSomeAgent, sim.stopSomeAgent)
	}
	if sim.faults.successions {
		actions = append(actions, sim.succeed)
	}
	actions[rapid.IntRange(0, len(actions)-1).Draw(sim.t, "action")](e)
}

func (sim *overlapSimulation) sendNewJob(e *overlapEntry) {
	sim.jobCount++
	sim.request(fmt.Sprintf("j%d", sim.jobCount), e)
	sim.advance(2 * overlapTick)
}

func (sim *overlapSimulation) wait(*overlapEntry) {
	sim.advance(time.Duration(rapid.IntRange(1, 60).Draw(sim.t, "ticks")) * overlapTick)
}

func (sim *overlapSimulation) togglePause(e *overlapEntry) {
	e.paused = !e.paused
	sim.record("%s: paused %v", e.address, e.paused)
}

func (sim *overlapSimulation) toggleBacklog(e *overlapEntry) {
	e.behind = !e.behind
	sim.record("%s: behind %v", e.address, e.behind)
}

func (sim *overlapSimulation) restart(e *overlapEntry) {
	sim.record("%s: restarts", e.address)
	e.start()
	for _, r := range sim.requests {
		if r.entry == e {
			sim.endRequest(r.reply, false)
		}
	}
	sim.listEntries(nil)
}

func (sim *overlapSimulation) changeList(e *overlapEntry) {
	if rapid.Bool().Draw(sim.t, "complete") {
		e = nil
	}
	sim.listEntries(e)
}

// randomConn returns nil if there is no connection.
func (sim *overlapSimulation) randomConn() *overlapConn {
	if len(sim.conns) == 0 {
		return nil
	}
	return sim.conns[rapid.IntRange(0, len(sim.conns)-1).Draw(sim.t, "connection")]
}

func (sim *overlapSimulation) breakConn(*overlapEntry) {
	c := sim.randomConn()
	if c == nil {
		return
	}
	sim.record("%s-%s: breaks", c.agent.name, c.entry.address)
	if rapid.Bool().Draw(sim.t, "unnoticed") {
		c.cut = true
	} else if !c.agentClosed {
		c.agentClosed = true
		c.agent.step(&agent.LinkClosed{Link: c.agentLink})
	}
}

func (sim *overlapSimulation) stallConn(*overlapEntry) {
	c := sim.randomConn()
	if c == nil {
		return
	}
	until := sim.now.Add(time.Duration(rapid.IntRange(10, 900).Draw(sim.t, "stall")) * time.Millisecond)
	direction := rapid.IntRange(0, 2).Draw(sim.t, "direction")
	if direction != 0 {
		c.entryStalledUntil = until
	}
	if direction != 1 {
		c.stalledUntil = until
	}
	sim.record("%s-%s: direction %d stalls until %v", c.agent.name, c.entry.address, direction, until.UnixMilli())
}

func (sim *overlapSimulation) stopSomeAgent(*overlapEntry) {
	rapid.SampledFrom(sim.livingAgents()).Draw(sim.t, "agent").toggleStandstill()
}

func (sim *overlapSimulation) toggleTrickle(*overlapEntry) {
	if c := sim.randomConn(); c != nil {
		c.trickle = !c.trickle
		sim.record("%s-%s: trickles %v", c.agent.name, c.entry.address, c.trickle)
	}
}

// leave ends the oldest waiting request without an answer.
func (sim *overlapSimulation) leave(*overlapEntry) {
	for _, r := range sim.requests {
		if r.waiting {
			sim.record("the client of job %s leaves", r.name)
			sim.endRequest(r.reply, false)
			r.entry.inbox = append(r.entry.inbox, &dispatch.AbandonReply{Reply: r.reply})
			return
		}
	}
}

// repeatJob sends the oldest job again whose client got no result and may repeat
// it by now.
func (sim *overlapSimulation) repeatJob(e *overlapEntry) {
	for _, r := range sim.requests {
		if !r.waiting && !r.settled && sim.now.Sub(r.endedAt) >= clientRepeatDelay {
			r.settled = true
			sim.request(r.name, e)
			return
		}
	}
}

// TestTaskNeverRunsAtTwoAgentsAtTheSameTime runs random sequences of jobs and
// faults. It fails if a task starts while an earlier run of it goes on.
func TestTaskNeverRunsAtTwoAgentsAtTheSameTime(t *testing.T) {
	for name, faults := range map[string]overlapFaults{
		"same entries":           {},
		"entries restart":        {restarts: true},
		"entries with two names": {aliases: true},
		"entries fall behind":    {restarts: true, backlogs: true},
		"slow connections":       {restarts: true, trickles: true},
		"agents stand still":     {standstills: true},
		"stops unanswered":       {unansweredStops: true, standstills: true},

		"paced, same entries":           {paced: true},
		"paced, entries restart":        {paced: true, restarts: true},
		"paced, entries with two names": {paced: true, aliases: true},
		"paced, entries fall behind":    {paced: true, restarts: true, backlogs: true},
		"paced, slow connections":       {paced: true, restarts: true, trickles: true},
		"paced, agents stand still":     {paced: true, standstills: true},
		"paced, stops unanswered":       {paced: true, unansweredStops: true, standstills: true},

		"agents are replaced":                  {paced: true, successions: true},
		"agents are replaced, entries restart": {paced: true, successions: true, restarts: true, backlogs: true},
		"agents are replaced and stand still":  {paced: true, successions: true, standstills: true},
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := newOverlapSimulation(t, faults)
				for range rapid.IntRange(1, 80).Draw(t, "length") {
					sim.act()
				}
				for _, e := range sim.entries {
					e.paused, e.behind = false, false
				}
				for _, a := range sim.livingAgents() {
					if a.still {
						a.toggleStandstill()
					}
				}
				sim.advance(4 * time.Second)
			})
		})
	}
}

// TestRunEndsInTimeThoughTheEntrysMessagesArriveLate lets an entry miss the agent's
// messages while its own pile up on a slow connection. The entry repeats the task
// after its grace for the agent, when the agent still reads what was sent before.
func TestRunEndsInTimeThoughTheEntrysMessagesArriveLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOverlapSimulation(t, overlapFaults{})
		sim.runTime = 10 * time.Second
		sim.request("j", sim.entries[0])
		sim.advance(5 * overlapTick)
		piledUp := time.Duration(rapid.IntRange(0, 4000).Draw(t, "piled up")) * time.Millisecond
		for _, c := range sim.conns {
			if c.entry == sim.entries[0] && len(c.agent.runs) > 0 {
				c.trickle = true
			}
		}
		sim.advance(piledUp)
		for _, c := range sim.conns {
			if c.trickle {
				c.entryStalledUntil = sim.now.Add(time.Minute)
			}
		}
		sim.advance(3 * time.Second)
	})
}

// TestRunOfAnAgentThatStandsStillEndsBeforeItsTaskIsRepeated breaks the link of an agent
// that runs tasks, and lets the agent stand still at some moment after that. Until then
// it renews the lease of the runs, also in its grace for the entry.
func TestRunOfAnAgentThatStandsStillEndsBeforeItsTaskIsRepeated(t *testing.T) {
	breakLinks(t, overlapFaults{standstills: true}, func(sim *overlapSimulation, a *overlapAgent) {
		sim.advance(time.Duration(rapid.IntRange(0, 80).Draw(sim.t, "until the standstill")) * overlapTick)
		a.toggleStandstill()
	})
}

// TestRunWhoseStopGetsNoAnswerEndsBeforeItsTaskIsRepeated breaks the link of an agent
// whose worker answers no stop.
func TestRunWhoseStopGetsNoAnswerEndsBeforeItsTaskIsRepeated(t *testing.T) {
	breakLinks(t, overlapFaults{unansweredStops: true}, func(*overlapSimulation, *overlapAgent) {})
}

// The link was idle before the task, so the newest confirmation is old when the grant
// arrives, and the entry counts the silence from the grant.
func TestRunOnALinkThatWasIdleEndsBeforeItsTaskIsRepeated(t *testing.T) {
	t.Run("standstill", func(t *testing.T) {
		breakLinks(t, overlapFaults{paced: true, standstills: true}, func(sim *overlapSimulation, a *overlapAgent) {
			sim.advance(time.Duration(rapid.IntRange(0, 80).Draw(sim.t, "until the standstill")) * overlapTick)
			a.toggleStandstill()
		})
	})
	t.Run("unanswered stop", func(t *testing.T) {
		breakLinks(t, overlapFaults{paced: true, unansweredStops: true}, func(*overlapSimulation, *overlapAgent) {})
	})
	t.Run("entry ended", func(t *testing.T) {
		loseEntry(t, overlapFaults{paced: true, standstills: true}, false)
	})
}

// breakLinks breaks the link of an agent that runs tasks for good, noticed by both ends
// or by neither, and then lets something else happen.
func breakLinks(t *testing.T, faults overlapFaults, after func(*overlapSimulation, *overlapAgent)) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOverlapSimulation(t, faults)
		sim.runTime = 10 * time.Second
		sim.request("j", sim.entries[0])
		sim.advance(5 * overlapTick)
		unnoticed := rapid.Bool().Draw(t, "unnoticed")
		sim.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "until the break")) * overlapTick)
		for _, c := range sim.conns {
			if c.entry != sim.entries[0] || len(c.agent.runs) == 0 {
				continue
			}
			c.cut = true
			if !unnoticed {
				c.agentClosed = true
				c.agent.step(&agent.LinkClosed{Link: c.agentLink})
				c.closeEntrySide()
			}
			c.agent.unreachable = true
			after(sim, c.agent)
			break
		}
		sim.advance(4 * time.Second)
	})
}

// The stops come later by a short standstill of the agent, and then get no answer.
func TestRunEndsInTimeThoughItsStopsComeLateAndGetNoAnswer(t *testing.T) {
	breakLinks(t, overlapFaults{standstills: true, unansweredStops: true}, func(sim *overlapSimulation, a *overlapAgent) {
		sim.standStill(a, 1, 38)
	})
}

// The agent renews the lease when it wakes, and stands still again before it has given
// the entry up.
func TestRunOfAnAgentThatStandsStillTwiceEndsInTime(t *testing.T) {
	breakLinks(t, overlapFaults{standstills: true}, func(sim *overlapSimulation, a *overlapAgent) {
		sim.standStill(a, 1, 70)
		sim.advance(time.Duration(rapid.IntRange(0, 40).Draw(sim.t, "awake")) * overlapTick)
		a.toggleStandstill()
	})
}

// standStill lets an agent stand still at some moment, for a time between the given
// numbers of ticks.
func (sim *overlapSimulation) standStill(a *overlapAgent, shortest, longest int) {
	sim.advance(time.Duration(rapid.IntRange(0, 80).Draw(sim.t, "until the standstill")) * overlapTick)
	a.toggleStandstill()
	sim.advance(time.Duration(rapid.IntRange(shortest, longest).Draw(sim.t, "standstill")) * overlapTick)
	a.toggleStandstill()
}

// The entry closes the link at once, not for silence, and nothing of that reaches the
// agent.
func TestRunEndsInTimeThoughItsEntryClosedTheLinkAndNoStopIsAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOverlapSimulation(t, overlapFaults{unansweredStops: true})
		for _, c := range sim.startLongJob() {
			c.cut = true
			c.closeEntrySide()
			c.agent.unreachable = true
		}
		sim.advance(4 * time.Second)
	})
}

// startLongJob lets entry 0 run a job, and returns the links of the agents that run it.
func (sim *overlapSimulation) startLongJob() (links []*overlapConn) {
	sim.runTime = 10 * time.Second
	sim.request("j", sim.entries[0])
	sim.advance(5 * overlapTick)
	sim.advance(time.Duration(rapid.IntRange(0, 30).Draw(sim.t, "until the break")) * overlapTick)
	for _, c := range sim.conns {
		if c.entry == sim.entries[0] && len(c.agent.runs) > 0 {
			links = append(links, c)
		}
	}
	return links[:min(1, len(links))]
}

func TestRunOfAnEndedEntryEndsBeforeItsClientSendsTheJobAgain(t *testing.T) {
	t.Run("standstill", func(t *testing.T) { loseEntry(t, overlapFaults{standstills: true}, false) })
	t.Run("unanswered stop", func(t *testing.T) { loseEntry(t, overlapFaults{unansweredStops: true}, false) })
}

func TestRunOfASilentEntryEndsBeforeItsClientSendsTheJobAgain(t *testing.T) {
	t.Run("standstill", func(t *testing.T) { loseEntry(t, overlapFaults{standstills: true}, true) })
	t.Run("unanswered stop", func(t *testing.T) { loseEntry(t, overlapFaults{unansweredStops: true}, true) })
}

// loseEntry ends an entry whose client sends its job again, with or without a sign of
// it at the agents. The agent with the run may stand still, or its worker answer no
// stop.
func loseEntry(t *testing.T, faults overlapFaults, silent bool) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOverlapSimulation(t, faults)
		links := sim.startLongJob()
		lost := sim.entries[0]
		for _, c := range sim.conns {
			if c.entry == lost {
				c.cut, c.entryClosed = silent, !silent
			}
		}
		lost.paused = true
		lost.incarnation = 0
		sim.endRequest(sim.lastReply, false)
		lostAt := sim.now
		if faults.standstills && len(links) > 0 {
			sim.advance(time.Duration(rapid.IntRange(0, 80).Draw(t, "until the standstill")) * overlapTick)
			links[0].agent.toggleStandstill()
		}
		for sim.now.Sub(lostAt) < clientRepeatDelay {
			sim.advance(overlapTick)
		}
		sim.request("j", sim.entries[1])
		sim.advance(2 * time.Second)
	})
}

// The event loops of an entry go on while its core is behind, so that agents take the entry
// for alive although it does not know yet that a client has left.
func TestRunOfAClientThatLeftEndsBeforeTheJobIsSentAgain(t *testing.T) {
	t.Run("core behind", func(t *testing.T) { leaveBusyEntry(t, overlapFaults{paced: true}) })
	t.Run("core behind, stop unanswered", func(t *testing.T) {
		leaveBusyEntry(t, overlapFaults{paced: true, unansweredStops: true})
	})
}

// leaveBusyEntry lets the client of a running job leave while the core of its entry is
// behind, and send the job to another entry.
func leaveBusyEntry(t *testing.T, faults overlapFaults) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOverlapSimulation(t, faults)
		sim.startLongJob()
		busy := sim.entries[0]
		busy.behind = true
		sim.advance(time.Duration(rapid.IntRange(0, 30).Draw(t, "behind before")) * overlapTick)
		leftAt := sim.now
		sim.leave(busy)
		lag := time.Duration(rapid.IntRange(0, 250).Draw(t, "behind after")) * overlapTick
		for sim.now.Sub(leftAt) < clientRepeatDelay {
			busy.behind = sim.now.Sub(leftAt) < lag
			sim.advance(overlapTick)
		}
		sim.request("j", sim.entries[1])
		sim.advance(time.Second)
		busy.behind = false
		sim.advance(2 * time.Second)
	})
}

// The core of an entry is behind all the time, so it grants a job whose client has left
// meanwhile, or is about to leave.
func TestRunThatALateEntryStartsEndsBeforeTheJobIsSentAgain(t *testing.T) {
	t.Run("stops answered", func(t *testing.T) { leaveLateEntry(t, overlapFaults{paced: true}) })
	t.Run("stops unanswered", func(t *testing.T) { leaveLateEntry(t, overlapFaults{paced: true, unansweredStops: true}) })
}

func leaveLateEntry(t *testing.T, faults overlapFaults) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOverlapSimulation(t, faults)
		sim.runTime = 10 * time.Second
		late := sim.entries[0]
		late.lag = time.Duration(rapid.IntRange(0, 120).Draw(t, "lag")) * overlapTick
		sim.advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "before")) * overlapTick)
		if rapid.Bool().Draw(t, "other job") {
			sim.request("k", late)
			sim.advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "between")) * overlapTick)
		}
		sim.request("j", late)
		reply := sim.lastReply
		sim.advance(time.Duration(rapid.IntRange(1, 50).Draw(t, "wait")) * overlapTick)
		sim.endRequest(reply, false)
		late.inbox = append(late.inbox, &dispatch.AbandonReply{Reply: reply})
		leftAt := sim.now
		for sim.now.Sub(leftAt) < clientRepeatDelay {
			sim.advance(overlapTick)
		}
		sim.request("j", sim.entries[1])
		sim.advance(3 * time.Second)
	})
}

// A core that is behind by less than it takes to vouch for runs keeps them.
func TestRunsGoOnThoughTheCoreOfTheirEntryIsALittleBehind(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newOverlapSimulation(t, overlapFaults{paced: true})
		sim.startLongJob()
		sim.entries[0].lag = time.Duration(rapid.IntRange(0, 30).Draw(t, "lag")) * overlapTick
		sim.advance(5 * time.Second)
		for _, a := range sim.agents {
			for _, r := range a.runs {
				if r.completesAt.Sub(sim.now) > 6*time.Second {
					sim.fail("task %s has run for only %v", r.grant.Name, sim.runTime-r.completesAt.Sub(sim.now))
				}
			}
		}
	})
}
