package agent_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/structs"
)

// simulation connects the real cores of two entries and two agents. Connections
// deliver messages in order and can break, processes can restart or pause, and
// time advances only when the test advances it. Every step is checked for starts
// and answers that must not happen.
type simulation struct {
	t               *rapid.T
	now             time.Time
	entries         []*entryProcess
	agents          []*agentProcess
	lastIncarnation structs.Incarnation
	lastLinkID      dispatch.LinkID
	lastReply       dispatch.ReplyID
	// starts counts the starts of each task on all agents, by the task's payload.
	starts map[string]int
	// answers holds the final state with which each job was answered.
	answers map[structs.JobID]structs.JobState
	// notRun has the jobs that were reported as not run.
	notRun map[structs.JobID]bool
	// jobs holds a submission for each created job ID.
	jobs []structs.Submission
	// replies maps each reply to the job that it is for.
	replies map[dispatch.ReplyID]structs.JobID
	// dials counts the connections opened by agents.
	dials int
}

type entryProcess struct {
	sim         *simulation
	address     string
	core        *dispatch.Core
	incarnation structs.Incarnation
	paused      bool
	// unnoticedCloses has the closed links that the core of a paused process has
	// not been told of yet.
	unnoticedCloses []dispatch.LinkID
}

type agentProcess struct {
	sim             *simulation
	name            string
	core            *agent.Core
	incarnation     structs.Incarnation
	running         []structs.Grant
	conns           map[agent.LinkID]*conn
	paused          bool
	stopped         bool
	drained         bool
	unnoticedCloses []agent.LinkID
}

// conn is a connection between an agent and one incarnation of an entry, with the
// messages in flight.
type conn struct {
	entry            *entryProcess
	entryIncarnation structs.Incarnation
	agent            *agentProcess
	agentLink        agent.LinkID
	entryLink        dispatch.LinkID
	toEntry          []*structs.FromAgent
	toAgent          []*structs.FromEntry
	broken           bool
	// agentClosed is set if the agent has closed its side: the entry still reads the
	// messages sent before.
	agentClosed bool
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.UnixMilli(1_000_000), starts: map[string]int{},
		answers: map[structs.JobID]structs.JobState{}, notRun: map[structs.JobID]bool{},
		replies: map[dispatch.ReplyID]structs.JobID{},
	}
	for i := range 2 {
		e := &entryProcess{sim: sim, address: fmt.Sprintf("e%d", i)}
		e.start()
		sim.entries = append(sim.entries, e)
	}
	for i := range 2 {
		a := &agentProcess{sim: sim, name: fmt.Sprintf("w%d", i)}
		a.start()
		sim.agents = append(sim.agents, a)
	}
	sim.runTicks(50)
	return sim
}

func testDocument() *structs.Document {
	service := structs.Service{Pool: "p", StartObjective: 5000, Lifetime: 60_000, TaskLimit: 30_000, MaxTasks: 10, MaxTaskBytes: 100, ShortReserve: 0.5}
	return &structs.Document{
		Revision: 1, Services: map[string]structs.Service{"s": service},
		Teams: map[string]structs.Team{"t": {Quotas: map[string]float64{"s": 1}}},
	}
}

func (sim *simulation) nextIncarnation() structs.Incarnation {
	sim.lastIncarnation++
	return sim.lastIncarnation
}

func (e *entryProcess) start() {
	e.incarnation = e.sim.nextIncarnation()
	e.unnoticedCloses = nil
	e.core = dispatch.New(dispatch.Options{Self: structs.Peer{Incarnation: e.incarnation, LinkAddress: e.address}, Seed: 1})
	e.core.Step(e.sim.now, &dispatch.Configure{Document: testDocument()})
}

func (a *agentProcess) start() {
	a.incarnation = a.sim.nextIncarnation()
	a.conns = map[agent.LinkID]*conn{}
	a.running = nil
	a.stopped = false
	a.drained = false
	a.unnoticedCloses = nil
	a.core = agent.New(agent.Options{Endpoint: a.name, Incarnation: a.incarnation, Pool: "p", Slots: 2, Entries: []string{"e0", "e1"}, UnackedLimit: 8, Seed: uint64(a.incarnation)})
	a.core.Step(a.sim.now, &agent.EndpointChanged{Up: true})
}

// runTicks runs n ticks of 10 ms. Each delivers up to four messages each way on
// every connection.
func (sim *simulation) runTicks(n int) {
	for range n {
		sim.now = sim.now.Add(10 * time.Millisecond)
		for range 4 {
			sim.deliverAll()
		}
		sim.tick()
	}
}

func (sim *simulation) tick() {
	for _, e := range sim.entries {
		if !e.paused {
			e.core.Tick(sim.now)
			e.flush()
		}
	}
	for _, a := range sim.agents {
		if !a.paused {
			a.core.Tick(sim.now)
			a.flush()
		}
	}
}

func (sim *simulation) deliverAll() {
	for _, a := range sim.agents {
		for _, c := range a.sortedConns() {
			c.deliver()
		}
	}
}

func (a *agentProcess) sortedConns() []*conn {
	var conns []*conn
	for id := agent.LinkID(1); id < 10_000 && len(conns) < len(a.conns); id++ {
		if c := a.conns[id]; c != nil {
			conns = append(conns, c)
		}
	}
	return conns
}

func (c *conn) deliver() {
	if c.entry.incarnation != c.entryIncarnation {
		c.close()
		return
	}
	if !c.entry.paused && len(c.toEntry) > 0 {
		m := c.toEntry[0]
		c.toEntry = c.toEntry[1:]
		c.entry.core.Step(c.entry.sim.now, &dispatch.AgentMessage{Link: c.entryLink, Message: m})
		c.entry.flush()
	}
	if c.agentClosed {
		c.toAgent = nil
		if len(c.toEntry) == 0 && !c.entry.paused {
			c.close()
		}
		return
	}
	if !c.broken && !c.agent.paused && len(c.toAgent) > 0 {
		m := c.toAgent[0]
		c.toAgent = c.toAgent[1:]
		c.agent.core.Step(c.agent.sim.now, &agent.EntryMessage{Link: c.agentLink, Message: m})
		c.agent.flush()
	}
}

// close breaks the connection; messages in flight are lost.
func (c *conn) close() {
	if c.broken {
		return
	}
	c.broken = true
	delete(c.agent.conns, c.agentLink)
	c.agent.unnoticedCloses = append(c.agent.unnoticedCloses, c.agentLink)
	if c.entry.incarnation == c.entryIncarnation {
		c.entry.unnoticedCloses = append(c.entry.unnoticedCloses, c.entryLink)
	}
	c.agent.noticeClosed()
	c.entry.noticeClosed()
}

// noticeClosed tells the core which links were closed, unless the process is paused.
func (a *agentProcess) noticeClosed() {
	for !a.paused && len(a.unnoticedCloses) > 0 {
		id := a.unnoticedCloses[0]
		a.unnoticedCloses = a.unnoticedCloses[1:]
		a.core.Step(a.sim.now, &agent.LinkClosed{Link: id})
		a.flush()
	}
}

func (e *entryProcess) noticeClosed() {
	for !e.paused && len(e.unnoticedCloses) > 0 {
		id := e.unnoticedCloses[0]
		e.unnoticedCloses = e.unnoticedCloses[1:]
		e.core.Step(e.sim.now, &dispatch.LinkClosed{Link: id})
		e.flush()
	}
}

func (e *entryProcess) setPaused(paused bool) {
	e.paused = paused
	e.noticeClosed()
}

func (a *agentProcess) setPaused(paused bool) {
	a.paused = paused
	a.noticeClosed()
}

func (e *entryProcess) flush() {
	e.core.Flush(e.sim.now)
	for _, effect := range e.core.Effects() {
		switch m := effect.(type) {
		case *dispatch.Send:
			if c := e.sim.connOf(e, m.Link); c != nil {
				c.toAgent = append(c.toAgent, m.Message)
			}
		case *dispatch.CloseLink:
			if c := e.sim.connOf(e, m.Link); c != nil {
				c.close()
			}
		case *dispatch.Created:
			for _, id := range m.IDs {
				e.sim.jobs = append(e.sim.jobs, e.sim.submission(id))
			}
		case *dispatch.Answered:
			e.sim.checkAnswer(m.Answer)
		case *dispatch.Refused:
			if m.Failure.Run.String() == "not run" {
				e.sim.checkNotRun(e.sim.replies[m.Reply])
			}
		}
	}
}

func (sim *simulation) submission(id structs.JobID) structs.Submission {
	s := structs.Submission{ID: id, Team: "t", Service: "s"}
	for i := range 2 {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Payload: []byte(fmt.Sprintf("%s/%d", id, i))})
	}
	return s
}

// checkNotRun fails the test if a task of a job reported as not run has started.
func (sim *simulation) checkNotRun(id structs.JobID) {
	if id.Seq == 0 {
		return
	}
	for i := range 2 {
		if sim.starts[fmt.Sprintf("%s/%d", id, i)] > 0 {
			sim.t.Fatalf("job %s was reported as not run after one of its tasks had started", id)
		}
	}
}

func (sim *simulation) checkAnswer(a structs.Answer) {
	if a.State != structs.JobComplete && a.State != structs.JobFailed {
		return
	}
	if before, ok := sim.answers[a.ID]; ok && before != a.State {
		sim.t.Fatalf("answer of job %s changed from %s to %s", a.ID, before, a.State)
	}
	sim.answers[a.ID] = a.State
	if a.State == structs.JobFailed {
		if a.Failure.Run.String() == "not run" {
			sim.checkNotRun(a.ID)
			sim.notRun[a.ID] = true
		}
		return
	}
	for i, result := range a.Results {
		if want := fmt.Sprintf("%s/%d", a.ID, i); string(result) != want {
			sim.t.Fatalf("job %s, task %d: wrong result %q", a.ID, i, result)
		}
	}
}

func (sim *simulation) connOf(e *entryProcess, id dispatch.LinkID) *conn {
	for _, a := range sim.agents {
		for _, c := range a.conns {
			if c.entry == e && c.entryLink == id && c.entryIncarnation == e.incarnation {
				return c
			}
		}
	}
	return nil
}

func (a *agentProcess) flush() {
	a.core.Flush(a.sim.now)
	for _, effect := range a.core.Effects() {
		switch m := effect.(type) {
		case *agent.Dial:
			a.dial(m)
		case *agent.Send:
			if c := a.conns[m.Link]; c != nil {
				c.toEntry = append(c.toEntry, m.Message)
			}
		case *agent.CloseLink:
			if c := a.conns[m.Link]; c != nil {
				c.close()
			}
		case *agent.StartTask:
			a.startTask(m.Grant)
		case *agent.StopTask:
			a.exit(m.Grant, structs.Stopped)
		case *agent.Drained:
			a.drained = true
			a.closeConns()
			if len(a.running) > 0 {
				a.sim.t.Fatalf("agent %s drained while tasks were running", a.name)
			}
		}
	}
}

// closeConns closes the agent's side of all connections when its process exits.
func (a *agentProcess) closeConns() {
	for _, c := range a.sortedConns() {
		c.agentClosed = true
	}
}

func (a *agentProcess) dial(m *agent.Dial) {
	for _, e := range a.sim.entries {
		if e.address != m.Address && "other-"+e.address != m.Address {
			continue
		}
		a.sim.lastLinkID++
		a.sim.dials++
		a.conns[m.Link] = &conn{entry: e, entryIncarnation: e.incarnation, agent: a, agentLink: m.Link, entryLink: a.sim.lastLinkID}
	}
	a.core.Step(a.sim.now, &agent.LinkOpened{Link: m.Link})
	a.flush()
}

func (a *agentProcess) startTask(g structs.Grant) {
	key := string(g.Payload)
	a.sim.starts[key]++
	if a.sim.starts[key] > 1 {
		a.sim.t.Fatalf("task %s started %d times", key, a.sim.starts[key])
	}
	for id := range a.sim.notRun {
		for i := range 2 {
			if key == fmt.Sprintf("%s/%d", id, i) {
				a.sim.t.Fatalf("task %s started after its job was reported as not run", key)
			}
		}
	}
	if a.stopped {
		a.sim.t.Fatalf("agent %s started a task during its planned stop", a.name)
	}
	a.running = append(a.running, g)
}

func (a *agentProcess) exit(id structs.GrantID, outcome structs.Outcome) {
	for i, g := range a.running {
		if g.ID == id {
			a.running = append(a.running[:i], a.running[i+1:]...)
			a.core.Step(a.sim.now, &agent.TaskExited{Grant: id, Outcome: outcome, Payload: g.Payload, RunTime: time.Millisecond})
			a.flush()
			return
		}
	}
}

// randomAction performs one random action: a request, a delivery, the end of a
// task or a fault.
func (sim *simulation) randomAction() {
	e := sim.entries[rapid.IntRange(0, 1).Draw(sim.t, "entry")]
	a := sim.agents[rapid.IntRange(0, 1).Draw(sim.t, "agent")]
	switch rapid.IntRange(0, 12).Draw(sim.t, "act") {
	case 0, 1:
		sim.step(e, &dispatch.CreateJobs{Reply: sim.newReply(structs.JobID{}), Team: "t", Service: "s", Count: 1})
	case 2, 3, 4:
		sim.submit()
	case 5:
		sim.runTicks(rapid.IntRange(1, 5).Draw(sim.t, "ticks"))
	case 6, 7:
		sim.finish(a)
	case 8:
		for _, c := range a.sortedConns() {
			if c.entry == e {
				c.close()
			}
		}
	case 9:
		sim.cancel()
	case 10:
		sim.rareAction(e, a)
	default:
		sim.now = sim.now.Add(time.Millisecond)
		sim.deliverAll()
	}
}

// rareAction performs an action that is drawn less often, most of them faults.
func (sim *simulation) rareAction(e *entryProcess, a *agentProcess) {
	switch rapid.IntRange(0, 7).Draw(sim.t, "rare") {
	case 0:
		e.start()
	case 1:
		for _, c := range a.sortedConns() {
			c.close()
		}
		a.start()
	case 2:
		e.setPaused(!e.paused)
	case 3:
		a.setPaused(!a.paused)
	case 4:
		sim.runTicks(1200) // past every grace period
	case 5:
		sim.stopAgent(a)
	case 7:
		sim.failToSend(a)
	case 6:
		a.core.Step(sim.now, &agent.EndpointChanged{Up: rapid.Bool().Draw(sim.t, "up")})
		a.flush()
	}
}

// failToSend ends a task as not sent to its endpoint, so that it does not count as
// started.
func (sim *simulation) failToSend(a *agentProcess) {
	if a.paused || len(a.running) == 0 {
		return
	}
	g := rapid.SampledFrom(a.running).Draw(sim.t, "unreached")
	sim.starts[string(g.Payload)]--
	a.exit(g.ID, structs.NotSent)
}

func (sim *simulation) newReply(id structs.JobID) dispatch.ReplyID {
	sim.lastReply++
	sim.replies[sim.lastReply] = id
	return sim.lastReply
}

func (sim *simulation) step(e *entryProcess, m dispatch.Message) {
	if e.paused {
		return
	}
	e.core.Step(sim.now, m)
	e.flush()
}

func (sim *simulation) submit() {
	if len(sim.jobs) == 0 {
		return
	}
	s := rapid.SampledFrom(sim.jobs).Draw(sim.t, "job")
	for _, e := range sim.entries {
		if e.incarnation == s.ID.Owner {
			sim.step(e, &dispatch.SubmitJob{Reply: sim.newReply(s.ID), Submission: s, Wait: true})
		}
	}
}

func (sim *simulation) cancel() {
	if len(sim.jobs) == 0 {
		return
	}
	s := rapid.SampledFrom(sim.jobs).Draw(sim.t, "cancelled")
	for _, e := range sim.entries {
		if e.incarnation == s.ID.Owner {
			sim.step(e, &dispatch.CancelJob{Reply: sim.newReply(s.ID), ID: s.ID, Team: "t"})
		}
	}
}

func (sim *simulation) finish(a *agentProcess) {
	if a.paused || len(a.running) == 0 {
		return
	}
	g := rapid.SampledFrom(a.running).Draw(sim.t, "finished")
	a.exit(g.ID, structs.Succeeded)
}
