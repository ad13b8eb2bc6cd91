package dispatch

import (
	"math"
	"slices"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// session is what the entry knows of one agent.
type session struct {
	endpoint    string
	incarnation structs.Incarnation
	// sessionNumber is the Session of the hello, connection the highest one handled.
	sessionNumber uint64
	connection    uint64
	dataCentre    string
	capacity      structs.Needs
	slots         uint32
	// divided says that slots are equal shares of the capacity.
	divided bool
	pool    *pool
	state   chart.State
	// link is zero while the agent isn't connected.
	link LinkID
	// released says that a leaving agent was told that it may go.
	released bool
	graceEnd time.Time
	revision uint64
	// endedIncarnations lists earlier incarnations of the agent; their hellos are refused.
	endedIncarnations []structs.Incarnation

	credits creditCount
	// queuedGrants counts the grants that wait at the agent without a credit.
	queuedGrants int
	// queuePausedUntil is when grants may wait there again after a refusal of one.
	queuePausedUntil time.Time
	granted          map[structs.GrantID]*task
	// idleCredits is the number of credits that other entries hold unused there.
	idleCredits uint32
	// openDemand is the demand last sent, less the credits offered since;
	// demandSentAt is when it was sent.
	openDemand   structs.Demand
	demandSentAt time.Time

	health         chart.State
	failureRate    float64
	outcomeCount   int
	probationEnd   time.Time
	probationCount int
	logSlowness    float64
	// slownessSamples counts the run times in logSlowness.
	slownessSamples int

	// pending collects the parts of the next message.
	pending    *structs.FromEntry
	firstAckAt time.Time
}

// creditCount counts the credits held. A count is negative for as long as a
// revocation and a grant have crossed.
type creditCount struct{ any, short int }

// initialSlownessJitter is far below any measured difference of slowness.
const initialSlownessJitter = 1e-6

// maxEndedIncarnations bounds the incarnations that a session remembers as ended.
const maxEndedIncarnations = 8

func (s *session) view() EndpointView {
	return EndpointView{
		Endpoint: s.endpoint, Agent: s.incarnation, Pool: s.pool.name, DataCentre: s.dataCentre,
		Session: sessionChart.StateName(s.state), Health: healthChart.StateName(s.health),
		Slots: s.slots, Running: len(s.granted), Credits: s.credits.any + s.credits.short,
		Revision: s.revision, Slowness: math.Exp(s.logSlowness),
	}
}

func (c *Core) handleAgentMessage(m *AgentMessage) {
	c.stats.Messages.Frames++
	if c.closing[m.Link] {
		return
	}
	s := c.links[m.Link]
	if s == nil {
		s = c.openLink(m)
	}
	if s == nil {
		return
	}
	c.countFrame(m.Message)
	s.revision = max(s.revision, m.Message.Revision)
	c.configure(m.Message.Config)
	c.takeResults(s, m.Message.Results)
	c.takeRefusals(s, m.Message.Refusals)
	c.takeStarts(s, m.Message.Started)
	c.takeCredits(s, m.Message)
	if m.Message.Leaving && s.state == sessionStates.Up {
		c.fireSession(s, sessionEvents.Left, nil)
		c.happened(event.AgentLeft, s.endpoint, "")
	}
	s.release()
}

// openLink handles the first message of a link, which has to be a hello.
func (c *Core) openLink(m *AgentMessage) *session {
	hello := m.Message.Hello
	if hello == nil || hello.Endpoint == "" || hello.Pool == "" || hello.Incarnation == 0 {
		c.happened(event.BadMessageFromAgent, "", "the first message is not a hello")
		c.closeLink(m.Link)
		return nil
	}
	s := c.sessions[hello.Endpoint]
	if s != nil && slices.Contains(s.endedIncarnations, hello.Incarnation) {
		c.happened(event.BadMessageFromAgent, hello.Endpoint, "an earlier incarnation came back")
		c.closeLink(m.Link)
		return nil
	}
	if s != nil && s.incarnation == hello.Incarnation && hello.Connection <= s.connection {
		// A later connection of the same agent was handled before this one.
		c.closeLink(m.Link)
		return nil
	}
	if s != nil && (s.incarnation != hello.Incarnation || s.sessionNumber != hello.Session) {
		s = c.replaceSession(s, hello)
	}
	if s == nil {
		s = c.newSession(hello)
	}
	c.attachLink(s, m.Link, hello)
	return s
}

func (c *Core) newSession(hello *structs.Hello) *session {
	p := c.pool(hello.Pool)
	s := &session{
		endpoint: hello.Endpoint, incarnation: hello.Incarnation, sessionNumber: hello.Session, dataCentre: hello.DataCentre,
		capacity: hello.Capacity, slots: hello.Slots, divided: hello.Divided, pool: p,
		state: sessionChart.Initial(), health: healthChart.Initial(),
		granted: map[structs.GrantID]*task{},
		// Workers that nothing is known of stand in a random order.
		logSlowness: initialSlownessJitter * c.rng.Float64(),
	}
	p.sessions = append(p.sessions, s)
	c.sessions[s.endpoint] = s
	return s
}

// replaceSession ends the session of an earlier incarnation. What was learnt
// about the worker stays.
func (c *Core) replaceSession(old *session, hello *structs.Hello) *session {
	c.fireSession(old, sessionEvents.Replaced, nil)
	c.happened(event.AgentReplaced, old.endpoint, "")
	c.detachLink(old)
	c.removeSession(old)
	s := c.newSession(hello)
	s.endedIncarnations = old.endedIncarnations
	if old.incarnation != s.incarnation {
		s.endedIncarnations = append(s.endedIncarnations, old.incarnation)
	}
	if len(s.endedIncarnations) > maxEndedIncarnations {
		s.endedIncarnations = s.endedIncarnations[1:]
	}
	s.logSlowness = old.logSlowness
	s.slownessSamples = old.slownessSamples
	return s
}

func (c *Core) removeSession(s *session) {
	s.pool.sessions = slices.DeleteFunc(s.pool.sessions, func(o *session) bool { return o == s })
	delete(c.sessions, s.endpoint)
}

// attachLink binds a link to a session and answers the hello.
func (c *Core) attachLink(s *session, link LinkID, hello *structs.Hello) {
	c.detachLink(s)
	s.link = link
	s.connection = hello.Connection
	s.slots = hello.Slots
	c.links[link] = s
	c.fireSession(s, sessionEvents.Hello, hello)
	m := s.message()
	m.Welcome = &structs.Welcome{Entry: c.self, Revision: c.revision()}
	m.Config = c.doc
	m.Peers = c.peers
	m.Leaving = c.leaving()
	if hello.Leaving {
		c.fireSession(s, sessionEvents.Left, nil)
	}
	c.happened(event.AgentConnected, s.endpoint, "")
}

// detachLink ends the session's present link, if any.
func (c *Core) detachLink(s *session) {
	if s.link == 0 {
		return
	}
	delete(c.links, s.link)
	c.closeLink(s.link)
	s.link = 0
	s.pending = nil
	s.released = false
	s.openDemand = structs.Demand{}
}

func (c *Core) handleLinkClosed(m *LinkClosed) {
	delete(c.closing, m.Link)
	s := c.links[m.Link]
	if s == nil {
		return
	}
	c.detachLink(s)
	delete(c.closing, m.Link)
	if s.state == sessionStates.Leaving && len(s.granted) == 0 {
		c.removeSession(s)
		return
	}
	c.fireSession(s, sessionEvents.LinkLost, nil)
	if !c.leaving() {
		c.happened(event.AgentLost, s.endpoint, "")
	}
}

func (c *Core) fireSession(s *session, e chart.Event, hello *structs.Hello) {
	sessionChart.Fire(&s.state, e, sessionStep{core: c, session: s, hello: hello})
}

// grantedTasks returns the tasks that the agent holds in the order of their
// ids, so that a run is repeatable.
func (s *session) grantedTasks() []*task {
	tasks := make([]*task, 0, len(s.granted))
	for _, t := range s.granted {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		if a.job.id.Seq != b.job.id.Seq {
			return int(int64(a.job.id.Seq) - int64(b.job.id.Seq))
		}
		return int(a.index) - int(b.index)
	})
	return tasks
}

func (c *Core) suspendGrants(s *session) {
	for _, t := range s.grantedTasks() {
		c.fireTask(t, taskEvents.LinkLost, nil, nil)
	}
}

// slotsFor returns the number of the worker's slots that a task takes.
func (s *session) slotsFor(needs structs.Needs) int {
	if !s.divided {
		return 1
	}
	return int(needs.Share(s.capacity, s.slots))
}

// reconcile applies the agent's list of the grants that it has started. The
// agent says that it has not started the others and never will. Grants of this
// entry that it has given up may run elsewhere by now, so they are stopped.
func (c *Core) reconcile(s *session, held []structs.GrantID) {
	for _, id := range held {
		if id.Owner == c.self.Incarnation && s.granted[id] == nil {
			m := s.message()
			m.Cancels = append(m.Cancels, id)
		}
	}
	for _, t := range s.grantedTasks() {
		if slices.Contains(held, t.grantID()) {
			c.fireTask(t, taskEvents.Listed, nil, nil)
		} else {
			c.fireTask(t, taskEvents.Unlisted, nil, nil)
		}
	}
}

func (c *Core) loseGrants(s *session) {
	for _, t := range s.grantedTasks() {
		c.fireTask(t, taskEvents.AgentGone, nil, nil)
	}
}

// scanSession ends grace and cooling periods and corrects the estimates of
// kinds whose tasks run longer than foretold.
func (c *Core) scanSession(s *session) {
	if s.state == sessionStates.Lost && !c.now.Before(s.graceEnd) {
		c.fireSession(s, sessionEvents.GraceOver, nil)
		c.happened(event.AgentGone, s.endpoint, "")
		c.removeSession(s)
		return
	}
	if s.health == healthStates.Probation && !c.now.Before(s.probationEnd) {
		c.fireHealth(s, healthEvents.ProbationOver)
	}
	c.checkOverruns(s)
	for _, t := range s.granted {
		if elapsed := c.now.Sub(t.grantedAt); elapsed > c.estimate(t.kind, t.declared) {
			t.kind.raiseEstimate(elapsed)
		}
	}
}
