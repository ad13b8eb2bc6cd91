package agent_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/structs"
)

// world simulates two entries and two agents, with their real cores. Connections
// deliver messages in order and can break, processes can restart or pause, and
// time advances only when the test advances it. Every step is checked for starts
// and answers that must not happen.
type world struct {
	t       *rapid.T
	now     time.Time
	entries []*entryProcess
	agents  []*agentProcess
	nextInc structs.Incarnation
	nextID  dispatch.LinkID
	reply   dispatch.ReplyID
	// starts counts the starts of each task on all agents, by the task's payload.
	starts map[string]int
	// answers holds the final state with which each job was answered.
	answers map[structs.JobID]structs.JobState
	// notRun has the jobs that were reported as not run.
	notRun map[structs.JobID]bool
	// jobs holds a submission for each created job id.
	jobs []structs.Submission
	// replies maps each reply to the job that it is for.
	replies map[dispatch.ReplyID]structs.JobID
	// dials counts the connections opened by agents.
	dials int
}

type entryProcess struct {
	w       *world
	address string
	core    *dispatch.Core
	inc     structs.Incarnation
	paused  bool
	// closed has the closed links that the core, while paused, was not told of.
	closed []dispatch.LinkID
}

type agentProcess struct {
	w       *world
	name    string
	core    *agent.Core
	inc     structs.Incarnation
	running []structs.Grant
	conns   map[agent.LinkID]*conn
	paused  bool
	stopped bool
	drained bool
	closed  []agent.LinkID
}

// conn is a connection between an agent and one incarnation of an entry, with the
// messages in flight.
type conn struct {
	entry *entryProcess
	inc   structs.Incarnation
	agent *agentProcess
	aID   agent.LinkID
	eID   dispatch.LinkID
	toE   []*structs.FromAgent
	toA   []*structs.FromEntry
	cut   bool
	// ended says that the agent has closed its side: the entry still reads the
	// messages sent before.
	ended bool
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.UnixMilli(1_000_000), starts: map[string]int{},
		answers: map[structs.JobID]structs.JobState{}, notRun: map[structs.JobID]bool{},
		replies: map[dispatch.ReplyID]structs.JobID{},
	}
	for i := range 2 {
		e := &entryProcess{w: w, address: fmt.Sprintf("e%d", i)}
		e.start()
		w.entries = append(w.entries, e)
	}
	for i := range 2 {
		a := &agentProcess{w: w, name: fmt.Sprintf("w%d", i)}
		a.start()
		w.agents = append(w.agents, a)
	}
	w.settle(50)
	return w
}

func testDocument() *structs.Document {
	service := structs.Service{Pool: "p", StartObjective: 5000, Lifetime: 60_000, TaskLimit: 30_000, MaxTasks: 10, MaxTaskBytes: 100, ShortReserve: 0.5}
	return &structs.Document{
		Revision: 1, Services: map[string]structs.Service{"s": service},
		Teams: map[string]structs.Team{"t": {Quotas: map[string]float64{"s": 1}}},
	}
}

func (w *world) incarnation() structs.Incarnation {
	w.nextInc++
	return w.nextInc
}

func (e *entryProcess) start() {
	e.inc = e.w.incarnation()
	e.closed = nil
	e.core = dispatch.New(dispatch.Options{Self: structs.Peer{Incarnation: e.inc, LinkAddress: e.address}, Seed: 1})
	e.core.Step(e.w.now, &dispatch.Configure{Document: testDocument()})
}

func (a *agentProcess) start() {
	a.inc = a.w.incarnation()
	a.conns = map[agent.LinkID]*conn{}
	a.running = nil
	a.stopped = false
	a.drained = false
	a.closed = nil
	a.core = agent.New(agent.Options{Endpoint: a.name, Incarnation: a.inc, Pool: "p", Slots: 2, Entries: []string{"e0", "e1"}, UnackedLimit: 8, Seed: uint64(a.inc)})
	a.core.Step(a.w.now, &agent.EndpointChanged{Up: true})
}

// settle lets n ticks of 10 ms pass and delivers up to four messages each way on
// every connection in each.
func (w *world) settle(n int) {
	for range n {
		w.now = w.now.Add(10 * time.Millisecond)
		for range 4 {
			w.deliverAll()
		}
		w.tick()
	}
}

func (w *world) tick() {
	for _, e := range w.entries {
		if !e.paused {
			e.core.Tick(w.now)
			e.flush()
		}
	}
	for _, a := range w.agents {
		if !a.paused {
			a.core.Tick(w.now)
			a.flush()
		}
	}
}

func (w *world) deliverAll() {
	for _, a := range w.agents {
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
	if c.entry.inc != c.inc {
		c.close()
		return
	}
	if !c.entry.paused && len(c.toE) > 0 {
		m := c.toE[0]
		c.toE = c.toE[1:]
		c.entry.core.Step(c.entry.w.now, &dispatch.AgentMessage{Link: c.eID, Message: m})
		c.entry.flush()
	}
	if c.ended {
		c.toA = nil
		if len(c.toE) == 0 && !c.entry.paused {
			c.close()
		}
		return
	}
	if !c.cut && !c.agent.paused && len(c.toA) > 0 {
		m := c.toA[0]
		c.toA = c.toA[1:]
		c.agent.core.Step(c.agent.w.now, &agent.EntryMessage{Link: c.aID, Message: m})
		c.agent.flush()
	}
}

// close breaks the connection; messages in flight are lost.
func (c *conn) close() {
	if c.cut {
		return
	}
	c.cut = true
	delete(c.agent.conns, c.aID)
	c.agent.closed = append(c.agent.closed, c.aID)
	if c.entry.inc == c.inc {
		c.entry.closed = append(c.entry.closed, c.eID)
	}
	c.agent.noticeClosed()
	c.entry.noticeClosed()
}

// noticeClosed tells the core of the links closed meanwhile, unless paused.
func (a *agentProcess) noticeClosed() {
	for !a.paused && len(a.closed) > 0 {
		id := a.closed[0]
		a.closed = a.closed[1:]
		a.core.Step(a.w.now, &agent.LinkClosed{Link: id})
		a.flush()
	}
}

func (e *entryProcess) noticeClosed() {
	for !e.paused && len(e.closed) > 0 {
		id := e.closed[0]
		e.closed = e.closed[1:]
		e.core.Step(e.w.now, &dispatch.LinkClosed{Link: id})
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
	e.core.Flush(e.w.now)
	for _, effect := range e.core.Effects() {
		switch m := effect.(type) {
		case *dispatch.Send:
			if c := e.w.connOf(e, m.Link); c != nil {
				c.toA = append(c.toA, m.Message)
			}
		case *dispatch.CloseLink:
			if c := e.w.connOf(e, m.Link); c != nil {
				c.close()
			}
		case *dispatch.Created:
			for _, id := range m.IDs {
				e.w.jobs = append(e.w.jobs, e.w.submission(id))
			}
		case *dispatch.Answered:
			e.w.answered(m.Answer)
		case *dispatch.Refused:
			if m.Failure.Run.String() == "not run" {
				e.w.notRunSaid(e.w.replies[m.Reply])
			}
		}
	}
}

func (w *world) submission(id structs.JobID) structs.Submission {
	s := structs.Submission{ID: id, Team: "t", Service: "s"}
	for i := range 2 {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Payload: []byte(fmt.Sprintf("%s/%d", id, i))})
	}
	return s
}

// notRunSaid fails the test if a task of a job reported as not run has started.
func (w *world) notRunSaid(id structs.JobID) {
	if id.Seq == 0 {
		return
	}
	for i := range 2 {
		if w.starts[fmt.Sprintf("%s/%d", id, i)] > 0 {
			w.t.Fatalf("job %s was reported as not run after one of its tasks had started", id)
		}
	}
}

func (w *world) answered(a structs.Answer) {
	if a.State != structs.JobComplete && a.State != structs.JobFailed {
		return
	}
	if before, ok := w.answers[a.ID]; ok && before != a.State {
		w.t.Fatalf("answer of job %s changed from %s to %s", a.ID, before, a.State)
	}
	w.answers[a.ID] = a.State
	if a.State == structs.JobFailed {
		if a.Failure.Run.String() == "not run" {
			w.notRunSaid(a.ID)
			w.notRun[a.ID] = true
		}
		return
	}
	for i, result := range a.Results {
		if want := fmt.Sprintf("%s/%d", a.ID, i); string(result) != want {
			w.t.Fatalf("job %s, task %d: wrong result %q", a.ID, i, result)
		}
	}
}

func (w *world) connOf(e *entryProcess, id dispatch.LinkID) *conn {
	for _, a := range w.agents {
		for _, c := range a.conns {
			if c.entry == e && c.eID == id && c.inc == e.inc {
				return c
			}
		}
	}
	return nil
}

func (a *agentProcess) flush() {
	a.core.Flush(a.w.now)
	for _, effect := range a.core.Effects() {
		switch m := effect.(type) {
		case *agent.Dial:
			a.dial(m)
		case *agent.Send:
			if c := a.conns[m.Link]; c != nil {
				c.toE = append(c.toE, m.Message)
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
			a.closeAll()
			if len(a.running) > 0 {
				a.w.t.Fatalf("agent %s drained while tasks were running", a.name)
			}
		}
	}
}

// closeAll closes the agent's side of all connections when its process exits.
func (a *agentProcess) closeAll() {
	for _, c := range a.sortedConns() {
		c.ended = true
	}
}

func (a *agentProcess) dial(m *agent.Dial) {
	for _, e := range a.w.entries {
		if e.address != m.Address && "other-"+e.address != m.Address {
			continue
		}
		a.w.nextID++
		a.w.dials++
		a.conns[m.Link] = &conn{entry: e, inc: e.inc, agent: a, aID: m.Link, eID: a.w.nextID}
	}
	a.core.Step(a.w.now, &agent.LinkOpened{Link: m.Link})
	a.flush()
}

func (a *agentProcess) startTask(g structs.Grant) {
	key := string(g.Payload)
	a.w.starts[key]++
	if a.w.starts[key] > 1 {
		a.w.t.Fatalf("task %s started %d times", key, a.w.starts[key])
	}
	for id := range a.w.notRun {
		for i := range 2 {
			if key == fmt.Sprintf("%s/%d", id, i) {
				a.w.t.Fatalf("task %s started after its job was reported as not run", key)
			}
		}
	}
	if a.stopped {
		a.w.t.Fatalf("agent %s started a task during its planned stop", a.name)
	}
	a.running = append(a.running, g)
}

func (a *agentProcess) exit(id structs.GrantID, outcome structs.Outcome) {
	for i, g := range a.running {
		if g.ID == id {
			a.running = append(a.running[:i], a.running[i+1:]...)
			a.core.Step(a.w.now, &agent.TaskExited{Grant: id, Outcome: outcome, Payload: g.Payload, RunTime: time.Millisecond})
			a.flush()
			return
		}
	}
}

// act performs one random action: a request, a delivery, the end of a task or a
// fault.
func (w *world) act() {
	e := w.entries[rapid.IntRange(0, 1).Draw(w.t, "entry")]
	a := w.agents[rapid.IntRange(0, 1).Draw(w.t, "agent")]
	switch rapid.IntRange(0, 12).Draw(w.t, "act") {
	case 0, 1:
		w.step(e, &dispatch.CreateJobs{Reply: w.newReply(structs.JobID{}), Team: "t", Service: "s", Count: 1})
	case 2, 3, 4:
		w.submit()
	case 5:
		w.settle(rapid.IntRange(1, 5).Draw(w.t, "ticks"))
	case 6, 7:
		w.finish(a)
	case 8:
		for _, c := range a.sortedConns() {
			if c.entry == e {
				c.close()
			}
		}
	case 9:
		w.cancel()
	case 10:
		w.rare(e, a)
	default:
		w.now = w.now.Add(time.Millisecond)
		w.deliverAll()
	}
}

// rare performs an action that is drawn less often, most of them faults.
func (w *world) rare(e *entryProcess, a *agentProcess) {
	switch rapid.IntRange(0, 7).Draw(w.t, "rare") {
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
		w.settle(1200) // past every grace period
	case 5:
		w.stopAgent(a)
	case 7:
		w.unreach(a)
	case 6:
		a.core.Step(w.now, &agent.EndpointChanged{Up: rapid.Bool().Draw(w.t, "up")})
		a.flush()
	}
}

// unreach ends a task as not sent to its endpoint, so it does not count as started.
func (w *world) unreach(a *agentProcess) {
	if a.paused || len(a.running) == 0 {
		return
	}
	g := rapid.SampledFrom(a.running).Draw(w.t, "unreached")
	w.starts[string(g.Payload)]--
	a.exit(g.ID, structs.NotSent)
}

func (w *world) newReply(id structs.JobID) dispatch.ReplyID {
	w.reply++
	w.replies[w.reply] = id
	return w.reply
}

func (w *world) step(e *entryProcess, m dispatch.Message) {
	if e.paused {
		return
	}
	e.core.Step(w.now, m)
	e.flush()
}

func (w *world) submit() {
	if len(w.jobs) == 0 {
		return
	}
	s := rapid.SampledFrom(w.jobs).Draw(w.t, "job")
	for _, e := range w.entries {
		if e.inc == s.ID.Owner {
			w.step(e, &dispatch.SubmitJob{Reply: w.newReply(s.ID), Submission: s, Wait: true})
		}
	}
}

func (w *world) cancel() {
	if len(w.jobs) == 0 {
		return
	}
	s := rapid.SampledFrom(w.jobs).Draw(w.t, "cancelled")
	for _, e := range w.entries {
		if e.inc == s.ID.Owner {
			w.step(e, &dispatch.CancelJob{Reply: w.newReply(s.ID), ID: s.ID, Team: "t"})
		}
	}
}

func (w *world) finish(a *agentProcess) {
	if a.paused || len(a.running) == 0 {
		return
	}
	g := rapid.SampledFrom(a.running).Draw(w.t, "finished")
	a.exit(g.ID, structs.Succeeded)
}
