package measure

import (
	"strconv"
	"time"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

const (
	serviceName = "service"
	batchName   = "batch"
	poolName    = "pool"
	// tickPeriod equals the tick period of the daemons.
	tickPeriod = 10 * time.Millisecond
	lifetime   = time.Hour
)

// epoch is the wall-clock time at the start of the virtual clock.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// setup configures the product's policy for one scenario.
type setup struct {
	dispatch dispatch.Tuning
	agent    agent.Tuning
	service  structs.Service
	// batch is a second service in the same pool.
	batch structs.Service
	teams map[string]structs.Team
	// needs is what each task takes of a worker's capacity, whose slots are then equal
	// shares of it. If it is zero, each task takes one slot.
	needs, capacity structs.Needs
}

func defaultSetup(teams ...string) setup {
	s := setup{
		// Links must not time out: heartbeats are sent by the daemons, which are not
		// part of the simulation.
		agent: agent.Tuning{SilenceTimeout: lifetime},
		service: structs.Service{
			Pool: poolName, StartObjective: 10_000, Target: 0.99, Lifetime: structs.Millis(lifetime.Milliseconds()),
			MaxTasks: 1000, MaxTaskBytes: 1 << 20, ShortReserve: 0.25,
		},
		teams: map[string]structs.Team{},
	}
	for _, team := range teams {
		s.teams[team] = structs.Team{Quotas: map[string]float64{serviceName: 1, batchName: 1}}
	}
	s.batch = s.service
	s.batch.StartObjective = structs.Millis(batchObjective.Milliseconds())
	return s
}

// system is the product's policy: the production cores of entry and agent,
// connected by simulated links.
type system struct {
	*bench
	setup       setup
	entries     []*entryNode
	agents      []*agentNode
	connections map[dispatch.LinkID]*connection
	lastID      dispatch.LinkID
	// taskByGrant maps each grant to its task.
	taskByGrant map[structs.GrantID]*task
	// eventCounts counts the events that the cores reported.
	eventCounts map[event.ID]int
	// alterRun returns the run time and the outcome of a task on a worker, given
	// its regular run time. If nil, all tasks succeed in their regular run time.
	alterRun func(worker int, run time.Duration) (time.Duration, structs.Outcome)
}

// connection is one connection between an agent and an entry.
type connection struct {
	id        dispatch.LinkID
	agentLink agent.LinkID
	agent     *agentNode
	entry     *entryNode
	closed    bool
	credits   [2]creditQueue
}

type entryNode struct {
	system    *system
	index     int
	core      *dispatch.Core
	killed    bool
	replies   map[dispatch.ReplyID]*job
	jobsBySeq map[uint64]*job
	lastID    dispatch.ReplyID
	// createdID is the job id that the core issued last.
	createdID structs.JobID
}

type agentNode struct {
	system      *system
	index       int
	core        *agent.Core
	connections map[agent.LinkID]*connection
	runs        map[structs.GrantID]*fakeRun
}

// fakeRun is the run of a task at a simulated endpoint.
type fakeRun struct {
	grant   structs.Grant
	started time.Duration
	ended   bool
}

// productPolicy returns a builder for the product's policy with the given setup.
func productPolicy(s setup) policyBuilder {
	return func(sim *bench) policy { return newSystem(sim, s) }
}

func newSystem(sim *bench, s setup) *system {
	y := &system{
		bench: sim, setup: s,
		connections: map[dispatch.LinkID]*connection{},
		taskByGrant: map[structs.GrantID]*task{},
		eventCounts: map[event.ID]int{},
	}
	for i := range sim.deployment.Entries {
		y.addEntry(i)
	}
	for i := range sim.deployment.Slowness {
		y.addAgent(i)
	}
	return y
}

func (s *system) clock() time.Time { return epoch.Add(s.now) }

func (s *system) addEntry(index int) {
	e := &entryNode{
		system: s, index: index,
		core:      dispatch.New(dispatch.Options{Self: peerOf(index), Seed: s.seed, Tuning: s.setup.dispatch}),
		replies:   map[dispatch.ReplyID]*job{},
		jobsBySeq: map[uint64]*job{},
	}
	s.entries = append(s.entries, e)
	document := &structs.Document{
		Revision: 1, Teams: s.setup.teams,
		Services: map[string]structs.Service{serviceName: s.setup.service, batchName: s.setup.batch},
	}
	e.step(&dispatch.Configure{Document: document})
	e.step(&dispatch.SetPeers{Peers: s.peers()})
	s.every(tickPeriod, e.tick)
}

func (s *system) peers() []structs.Peer {
	var peers []structs.Peer
	for i := range s.deployment.Entries {
		peers = append(peers, peerOf(i))
	}
	return peers
}

func peerOf(index int) structs.Peer {
	name := "entry-" + strconv.Itoa(index)
	return structs.Peer{Name: name, Incarnation: structs.Incarnation(index + 1), LinkAddress: name}
}

func (s *system) addAgent(index int) {
	var addresses []string
	for _, p := range s.peers() {
		addresses = append(addresses, p.LinkAddress)
	}
	a := &agentNode{
		system: s, index: index,
		core: agent.New(agent.Options{
			Endpoint: "worker-" + strconv.Itoa(index), Incarnation: structs.Incarnation(1000 + index),
			Pool: poolName, Slots: s.deployment.Slots, Capacity: s.setup.capacity, Divided: s.setup.needs != (structs.Needs{}), Entries: addresses, Seed: s.seed, Tuning: s.setup.agent,
		}),
		connections: map[agent.LinkID]*connection{},
		runs:        map[structs.GrantID]*fakeRun{},
	}
	s.agents = append(s.agents, a)
	a.step(&agent.EndpointChanged{Up: true})
	s.every(tickPeriod, a.tick)
}

// submit implements policy: the caller requests a job id and submits the tasks.
// Like a load balancer, it skips entries that are down.
func (s *system) submit(j *job) {
	e := s.entries[j.entry]
	for e.killed {
		e = s.entries[(e.index+1)%len(s.entries)]
	}
	e.submit(j)
}

func (e *entryNode) submit(j *job) {
	reply := e.newReply(j)
	e.step(&dispatch.CreateJobs{Reply: reply, Team: j.team, Service: j.service, Count: 1})
	if j.answered != 0 {
		return
	}
	s := structs.Submission{ID: e.createdID, Team: j.team, Service: j.service, Needs: e.system.setup.needs}
	for i := range j.tasks {
		s.Tasks = append(s.Tasks, structs.Task{Kind: j.tasks[i].kind, Declared: j.tasks[i].declared})
	}
	e.jobsBySeq[s.ID.Seq] = j
	j.id = s.ID
	e.step(&dispatch.SubmitJob{Reply: e.newReply(j), Submission: s, Wait: true})
}

func (e *entryNode) newReply(j *job) dispatch.ReplyID {
	e.lastID++
	e.replies[e.lastID] = j
	return e.lastID
}

func (e *entryNode) step(m dispatch.Message) {
	if e.killed {
		return
	}
	e.core.Step(e.system.clock(), m)
	e.flush()
}

func (e *entryNode) tick() {
	if e.killed {
		return
	}
	e.core.Tick(e.system.clock())
	e.flush()
}

func (e *entryNode) flush() {
	e.core.Flush(e.system.clock())
	for _, effect := range e.core.Effects() {
		e.applyEffect(effect)
	}
}

func (e *entryNode) applyEffect(effect dispatch.Effect) {
	s := e.system
	switch m := effect.(type) {
	case *dispatch.Created:
		e.createdID = m.IDs[0]
	case *dispatch.Answered:
		j := e.replies[m.Reply]
		j.answered = s.now
		j.complete = m.Answer.State == structs.JobComplete
		j.failure = m.Answer.Failure
	case *dispatch.Refused:
		j := e.replies[m.Reply]
		j.answered = s.now
		j.failure = m.Failure
	case *dispatch.Send:
		e.send(s.connections[m.Link], m.Message)
	case *dispatch.CloseLink:
		s.disconnect(s.connections[m.Link])
	case *dispatch.LogEvent:
		s.eventCounts[m.Event]++
	}
}

// send counts a message and delivers it after the one-way delay.
func (e *entryNode) send(c *connection, m *structs.FromEntry) {
	s := e.system
	if c == nil || c.closed {
		return
	}
	s.messages.sent[causeFromEntry(m)]++
	for _, g := range m.Grants {
		s.taskByGrant[g.ID] = &e.jobsBySeq[g.ID.Job].tasks[g.ID.Task]
	}
	s.after(s.deployment.OneWay, func() {
		if !c.closed {
			c.agent.step(&agent.EntryMessage{Link: c.agentLink, Message: m})
		}
	})
}

func (a *agentNode) step(m agent.Message) {
	a.core.Step(a.system.clock(), m)
	a.flush()
}

func (a *agentNode) tick() {
	a.core.Tick(a.system.clock())
	a.flush()
}

func (a *agentNode) flush() {
	a.core.Flush(a.system.clock())
	for _, effect := range a.core.Effects() {
		a.applyEffect(effect)
	}
}

func (a *agentNode) applyEffect(effect agent.Effect) {
	switch m := effect.(type) {
	case *agent.Dial:
		a.dial(m)
	case *agent.CloseLink:
		a.system.disconnect(a.connections[m.Link])
	case *agent.Send:
		a.send(a.connections[m.Link], m.Message)
	case *agent.StartTask:
		a.startTask(m.Grant)
	case *agent.StopTask:
		a.endTask(a.runs[m.Grant], structs.Stopped)
	case *agent.LogEvent:
		a.system.eventCounts[m.Event]++
	}
}

func (a *agentNode) dial(m *agent.Dial) {
	s := a.system
	var target *entryNode
	for _, e := range s.entries {
		if peerOf(e.index).LinkAddress == m.Address {
			target = e
		}
	}
	s.lastID++
	c := &connection{id: s.lastID, agentLink: m.Link, agent: a, entry: target}
	a.connections[m.Link] = c
	s.connections[c.id] = c
	s.after(s.deployment.roundTrip(), func() {
		if target.killed {
			s.disconnect(c)
			return
		}
		a.step(&agent.LinkOpened{Link: m.Link})
	})
}

// disconnect closes a connection. Both sides are notified after the one-way delay.
func (s *system) disconnect(c *connection) {
	if c == nil || c.closed {
		return
	}
	c.closed = true
	s.after(s.deployment.OneWay, func() {
		c.agent.step(&agent.LinkClosed{Link: c.agentLink})
		c.entry.step(&dispatch.LinkClosed{Link: c.id})
	})
}

func (a *agentNode) send(c *connection, m *structs.FromAgent) {
	s := a.system
	if c == nil || c.closed {
		return
	}
	if m.Hello == nil {
		s.messages.sent[causeFromAgent(m)]++
	}
	s.messages.refusedGrants += len(m.Refusals)
	c.trackCredits(m)
	s.after(s.deployment.OneWay, func() {
		if c.closed {
			return
		}
		a.recordResults(m.Results)
		c.entry.step(&dispatch.AgentMessage{Link: c.id, Message: m})
	})
}

// recordResults records when the entry received the results of successful tasks.
func (a *agentNode) recordResults(results []structs.Result) {
	for _, r := range results {
		if r.Outcome == structs.Succeeded {
			a.system.taskByGrant[r.Grant].finished = a.system.now
		}
	}
}

func (a *agentNode) startTask(g structs.Grant) {
	s := a.system
	t := s.taskByGrant[g.ID]
	t.worker = a.index
	t.started = s.now
	t.starts++
	s.messages.useful += a.useCredit(g)
	length := time.Duration(float64(t.work) * s.deployment.Slowness[a.index])
	outcome := structs.Succeeded
	if s.alterRun != nil {
		length, outcome = s.alterRun(a.index, length)
	}
	r := &fakeRun{grant: g, started: s.now}
	a.runs[g.ID] = r
	s.after(length, func() { a.endTask(r, outcome) })
}

func (a *agentNode) endTask(r *fakeRun, outcome structs.Outcome) {
	if r.ended {
		return
	}
	r.ended = true
	delete(a.runs, r.grant.ID)
	a.step(&agent.TaskExited{Grant: r.grant.ID, Outcome: outcome, RunTime: a.system.now - r.started})
}
