package dispatch

import (
	"math"
	"slices"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// session is the entry's state for one incarnation of one agent and its worker.
type session struct {
	endpoint    string
	incarnation structs.Incarnation
	tenure      structs.Tenure
	// sessionNumber is Hello.Session, connection the highest Hello.Connection
	// handled so far.
	sessionNumber uint64
	connection    uint64
	dataCentre    string
	capacity      structs.Needs
	slots         uint32
	// divided is set if slots are equal shares of the capacity. A task then takes
	// as many slots as its needs require, otherwise one.
	divided bool
	// paced is set if the link may be relaxed, hastened while it is not.
	paced, hastened bool
	pool            *pool
	state           chart.State
	// link is zero while the agent is disconnected.
	link LinkID
	// lostAt is when the session's latest link ended, and reconciled what its latest
	// hello made of the grants. Both are only logged.
	lostAt     time.Time
	reconciled reconciliation
	// released is set once a leaving agent has been told that it may exit.
	released bool
	graceEnd time.Time
	revision uint64
	// configDueAt is when the configuration is sent if the agent has an older one by
	// then; zero means that none is due.
	configDueAt time.Time
	// endedIncarnations lists earlier incarnations of the agent, oldest first.
	// Their hellos are refused.
	endedIncarnations []structs.Incarnation
	// successor is the incarnation of the agent whose hello ended this session, zero
	// if there was none.
	successor structs.Incarnation

	credits creditCount
	// queuedGrants is the number of grants that were sent without a credit and
	// wait in the agent's queue.
	queuedGrants int
	// queuePausedUntil is the time until which no grant is sent without a credit,
	// because the agent has refused one.
	queuePausedUntil time.Time
	granted          map[structs.GrantID]*task
	// idleSlots is the number of the agent's slots that a grant without a credit could
	// take, as last reported, and slotsWaiting the number that the grants queued there
	// need.
	idleSlots    uint32
	slotsWaiting uint32
	// unansweredSlots is the number of slots of the grants that must not wait and that
	// the agent has neither started nor refused yet.
	unansweredSlots int
	// refusedAt is when the agent last refused a grant that must not wait, refusedSlots the
	// size of the smallest one that its latest message refuses for want of room.
	refusedAt    time.Time
	refusedSlots int
	// openDemand is the demand last sent, less the credits offered since.
	// demandSentAt is the time at which it was sent.
	openDemand   structs.Demand
	demandSentAt time.Time

	health chart.State
	// failureRate is the smoothed fraction of failed tasks, outcomeCount the number
	// of outcomes since the worker was last on probation.
	failureRate  float64
	outcomeCount int
	probationEnd time.Time
	// probationCount is the number of probation periods in a row.
	probationCount int
	// logSlowness is the smoothed logarithm of the ratio of a run time on the worker
	// to the mean of its kind over all workers.
	logSlowness float64
	// slownessSamples is the number of run times that logSlowness is based on.
	slownessSamples int

	// outgoing collects the next message to the agent, nil if there is none.
	outgoing *structs.FromEntry
	// firstAckAt is when the first acknowledgement was added to outgoing.
	firstAckAt time.Time
}

// creditCount is the number of credits held. A count is temporarily negative if
// the agent revokes a credit while the entry uses it for a grant.
type creditCount struct{ any, short int }

// initialSlownessJitter bounds the random initial value of logSlowness. It is far
// below any measured difference between workers.
const initialSlownessJitter = 1e-6

// maxEndedIncarnations bounds session.endedIncarnations, maxGivenUp the endpoints in
// Core.givenUp.
const (
	maxEndedIncarnations = 8
	maxGivenUp           = 4096
)

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
	if c.closingLinks[m.Link] {
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
	c.configure(m.Message.Config, s.endpoint)
	c.catchUp.compare(m.Message.Revision)
	c.handleResults(s, m.Message.Results)
	c.handleRefusals(s, m.Message.Refusals)
	c.handleStarts(s, m.Message.Started)
	c.handleCredits(s, m.Message)
	if m.Message.Leaving && s.state == sessionStates.Up {
		c.fireSession(s, sessionEvents.Left, nil)
		c.logEvent(event.AgentLeaving, s.endpoint, "")
	}
	s.releaseAgent()
}

// openLink handles the first message of a link, which must be a hello. It closes
// the link and returns nil if the hello is missing, incomplete or outdated.
func (c *Core) openLink(m *AgentMessage) *session {
	hello := m.Message.Hello
	if hello == nil || hello.Endpoint == "" || hello.Pool == "" || hello.Incarnation == 0 {
		c.logEvent(event.BadMessageFromAgent, "", "the first message is not a complete hello")
		c.closeLink(m.Link)
		return nil
	}
	s := c.sessions[hello.Endpoint]
	if s != nil && (slices.Contains(s.endedIncarnations, hello.Incarnation) || s.succeeds(hello)) {
		c.logEvent(event.BadMessageFromAgent, hello.Endpoint, "the hello is from an earlier incarnation of the agent",
			event.Text("agent", hello.Incarnation.String()), event.Text("present", s.incarnation.String()))
		c.closeLink(m.Link)
		return nil
	}
	if s != nil && s.incarnation == hello.Incarnation && hello.Connection <= s.connection {
		// The hellos were reordered: a later connection of the same agent has
		// already been handled.
		c.closeLink(m.Link)
		return nil
	}
	if s != nil && (s.incarnation != hello.Incarnation || s.sessionNumber != hello.Session) {
		s = c.replaceSession(s, hello)
	}
	if s == nil {
		s = c.newSession(hello)
	}
	s.revision = max(s.revision, m.Message.Revision)
	c.attachLink(s, m.Link, hello)
	return s
}

// succeeds reports whether the session's agent has taken the endpoint over from the agent
// that sent the hello, which was delayed. That the agent's runs have ended follows only from
// the hello of a successor.
func (s *session) succeeds(hello *structs.Hello) bool {
	return s.incarnation != hello.Incarnation && hello.Tenure.Precedes(s.tenure)
}

func (c *Core) newSession(hello *structs.Hello) *session {
	p := c.pool(hello.Pool)
	s := &session{
		endpoint: hello.Endpoint, incarnation: hello.Incarnation, tenure: hello.Tenure, sessionNumber: hello.Session, dataCentre: hello.DataCentre,
		capacity: hello.Capacity, slots: hello.Slots, divided: hello.Divided, pool: p,
		state: sessionChart.Initial(), health: healthChart.Initial(),
		granted: map[structs.GrantID]*task{},
		// Workers without measurements are tried in random order.
		logSlowness: initialSlownessJitter * c.rng.Float64(),
	}
	for _, i := range c.givenUp[s.endpoint] {
		if i != s.incarnation {
			s.endedIncarnations = append(s.endedIncarnations, i)
		}
	}
	delete(c.givenUp, s.endpoint)
	p.sessions = append(p.sessions, s)
	c.sessions[s.endpoint] = s
	return s
}

// replaceSession ends the old session of an endpoint and starts a new one. The
// measured slowness of the worker is kept.
func (c *Core) replaceSession(old *session, hello *structs.Hello) *session {
	old.successor = hello.Incarnation
	lost := len(old.granted)
	c.fireSession(old, sessionEvents.Replaced, nil)
	c.logReplaced(old, hello, lost)
	c.detachLink(old)
	c.removeSession(old)
	s := c.newSession(hello)
	s.logSlowness = old.logSlowness
	s.slownessSamples = old.slownessSamples
	return s
}

func (c *Core) removeSession(s *session) {
	s.pool.sessions = slices.DeleteFunc(s.pool.sessions, func(o *session) bool { return o == s })
	delete(c.sessions, s.endpoint)
	known := append(s.endedIncarnations, s.incarnation)
	c.givenUp[s.endpoint] = known[max(0, len(known)-maxEndedIncarnations):]
	for endpoint := range c.givenUp { // any one: hellos are late by seconds, not by thousands of agents
		if len(c.givenUp) <= maxGivenUp {
			break
		}
		delete(c.givenUp, endpoint)
	}
}

// attachLink binds a link to a session and replies to the hello. It closes the
// session's previous link, if there is one.
func (c *Core) attachLink(s *session, link LinkID, hello *structs.Hello) {
	continuity := s.continuity(c.now)
	c.detachLink(s)
	s.link = link
	s.connection = hello.Connection
	s.slots = hello.Slots
	s.paced = c.paced && hello.Paced
	s.hastened = true
	c.links[link] = s
	c.fireSession(s, sessionEvents.Hello, hello)
	m := s.outgoingMessage()
	m.Welcome = &structs.Welcome{Entry: c.self, Revision: c.revision(), Paced: s.paced}
	c.pushConfig(s)
	m.Peers = c.peers
	m.Leaving = c.leaving()
	if hello.Leaving {
		c.fireSession(s, sessionEvents.Left, nil)
	}
	c.logConnected(s, hello, continuity)
}

// detachLink closes the session's current link, if any, and discards the outgoing
// message.
func (c *Core) detachLink(s *session) {
	if s.link == 0 {
		return
	}
	delete(c.links, s.link)
	c.closeLink(s.link)
	s.link = 0
	s.lostAt = c.now
	s.outgoing = nil
	s.released = false
	s.openDemand = structs.Demand{}
}

func (c *Core) handleLinkClosed(m *LinkClosed) {
	delete(c.closingLinks, m.Link)
	s := c.links[m.Link]
	if s == nil {
		return
	}
	c.detachLink(s)
	delete(c.closingLinks, m.Link)
	if s.state == sessionStates.Leaving && len(s.granted) == 0 {
		c.removeSession(s)
		return
	}
	c.fireSession(s, sessionEvents.LinkLost, nil)
	if !c.leaving() {
		c.logEvent(event.AgentLost, s.endpoint, "", event.Int("granted", len(s.granted)), event.Text("ended_by", m.End.String()))
	}
}

func (c *Core) fireSession(s *session, e chart.Event, hello *structs.Hello) {
	sessionChart.Fire(&s.state, e, sessionContext{core: c, session: s, hello: hello})
}

// grantedTasks returns the tasks granted to the agent, sorted by job and index so
// that a simulation is reproducible.
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

// suspendGrants marks the agent's grants as uncertain until it reports which ones
// it has started.
func (c *Core) suspendGrants(s *session) {
	for _, t := range s.grantedTasks() {
		c.fireTask(t, taskEvents.LinkLost, nil, nil)
	}
}

// slotsFor returns the number of the worker's slots that a task with the given
// needs takes.
func (s *session) slotsFor(needs structs.Needs) int {
	if !s.divided {
		return 1
	}
	return int(needs.SlotCount(s.capacity, s.slots))
}

// reconciliation counts what became of a session's grants with a hello: the agent
// still holds the listed ones, never starts the unlisted ones, and holds others that
// this entry has given up.
type reconciliation struct{ listed, unlisted, givenUp int }

// reconcile compares the session's grants with those that the agent reports as
// started. The agent guarantees that it has not started any other grant and never
// will. Grants that it holds but this entry has given up are cancelled, since
// their tasks may be running elsewhere by now.
func (c *Core) reconcile(s *session, held []structs.GrantID) {
	s.reconciled = reconciliation{}
	for _, id := range held {
		if id.Owner == c.self.Incarnation && s.granted[id] == nil {
			m := s.outgoingMessage()
			m.Cancels = append(m.Cancels, id)
			s.reconciled.givenUp++
		}
	}
	for _, t := range s.grantedTasks() {
		if slices.Contains(held, t.grantID()) {
			s.reconciled.listed++
			c.fireTask(t, taskEvents.Listed, nil, nil)
		} else {
			s.reconciled.unlisted++
			c.fireTask(t, taskEvents.Unlisted, nil, nil)
		}
	}
}

// relaxLink relaxes the link of a session that has no open grants any more.
func (c *Core) relaxLink(s *session) {
	if s.paced && s.hastened && s.link != 0 && len(s.granted) == 0 {
		s.hastened = false
		c.emit(&RelaxLink{Link: s.link})
	}
}

// loseGrants ends the agent's grants with an unknown outcome.
func (c *Core) loseGrants(s *session) {
	for _, t := range s.grantedTasks() {
		c.fireTask(t, taskEvents.AgentGone, nil, nil)
	}
}

// scanSession ends grace periods and probation that are over, checks for overruns,
// and raises the estimates of kinds whose tasks run longer than estimated.
func (c *Core) scanSession(s *session) {
	if s.state == sessionStates.Lost && !c.now.Before(s.graceEnd) {
		lost := len(s.granted)
		c.fireSession(s, sessionEvents.GraceOver, nil)
		c.logEvent(event.AgentGone, s.endpoint, "", event.Int("lost", lost), event.Millis("away_ms", c.now.Sub(s.lostAt)))
		c.removeSession(s)
		return
	}
	if s.health == healthStates.Probation && !c.now.Before(s.probationEnd) {
		c.fireHealth(s, healthEvents.ProbationOver)
	}
	c.relaxLink(s)
	c.pushDueConfig(s)
	c.checkOverruns(s)
	for _, t := range s.granted {
		if elapsed := c.now.Sub(t.grantedAt); elapsed > c.estimate(t.kind, t.declaredRunTime) {
			t.kind.raiseEstimate(elapsed)
		}
	}
}
