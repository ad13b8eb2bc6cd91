package dispatch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/drain"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Options configures a Core.
type Options struct {
	// Self is the name, address and incarnation under which others know this
	// entry. The incarnation must not have been used before.
	Self structs.Peer
	// Seed makes random choices between equivalent workers reproducible.
	Seed uint64
	// Tuning holds the parameters of the policy; zero values mean defaults.
	Tuning Tuning
	// Paced is set if RelaxLink makes links send fewer heartbeats.
	Paced bool
}

// Core is the state machine of one entry; see the package comment.
type Core struct {
	self   structs.Peer
	tuning Tuning
	paced  bool
	rng    *rand.Rand
	now    time.Time

	// doc is the configuration in force, nil before the first one arrives.
	doc *structs.Document
	// retired holds services that were removed from the configuration, for the
	// jobs accepted before.
	retired map[string]structs.Service
	peers   []structs.Peer
	drain   *drain.Drain
	catchUp *catchUp

	// lastSeq is the sequence number of the last job ID issued.
	lastSeq uint64
	// jobs holds the jobs that have not expired, by sequence number.
	jobs     map[uint64]*job
	expiries expiryHeap
	// waiters maps the requests that wait for a job's end to the job.
	waiters map[ReplyID]*job
	// namedJobs holds the open attached jobs by their callers' names.
	namedJobs map[string]*job
	// crashes holds what is remembered of crashes, by the names of attached jobs.
	crashes map[string]*crashRecord
	// drainingSince is when the drain began.
	drainingSince time.Time
	// startedAt is the time of the first message or tick.
	startedAt time.Time
	// grantsResumeAt is when granting resumes after a pause of this process.
	grantsResumeAt time.Time
	// openJobs counts the jobs that were accepted and have not ended.
	openJobs int
	// undelivered counts the ended jobs whose answer was not sent to any caller.
	undelivered int

	pools map[string]*pool
	// orderedPools holds the pools in order of creation. Iterating over it
	// instead of the map keeps runs reproducible.
	orderedPools []*pool
	sessions     map[string]*session
	// givenUp holds, by endpoint, the incarnations of agents whose session was removed. They
	// count as ended once another one has connected.
	givenUp map[string][]structs.Incarnation
	links   map[LinkID]*session
	// closingLinks holds the links that were told to close. Messages that still
	// arrive on them are ignored.
	closingLinks map[LinkID]bool
	kinds        map[kindKey]*kind

	// waitingBytes is the total payload size of the waiting tasks.
	waitingBytes int
	stats        Stats
	ledger       *burn.Ledger
	// effects collects the effects that Effects returns next.
	effects []Effect
	// candidates is the memory of chooseAmongFastest.
	candidates []*session
	// lastScan is when Tick last examined the sessions.
	lastScan time.Time
}

// New returns a Core without a configuration and without agents.
func New(o Options) *Core {
	c := &Core{
		self:         o.Self,
		tuning:       o.Tuning.withDefaults(),
		paced:        o.Paced,
		rng:          rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation))),
		jobs:         map[uint64]*job{},
		waiters:      map[ReplyID]*job{},
		namedJobs:    map[string]*job{},
		crashes:      map[string]*crashRecord{},
		pools:        map[string]*pool{},
		sessions:     map[string]*session{},
		givenUp:      map[string][]structs.Incarnation{},
		links:        map[LinkID]*session{},
		closingLinks: map[LinkID]bool{},
		retired:      map[string]structs.Service{},
		kinds:        map[kindKey]*kind{},
		ledger:       burn.NewLedger(),
	}
	c.catchUp = newCatchUp(c)
	c.drain = drain.New(c.announceDrain, func() { c.emit(&Drained{}) })
	return c
}

// Step handles one message that arrived at the given time. Jobs that have expired
// are ended first, so that no message is applied to them, however long the
// process was paused.
func (c *Core) Step(now time.Time, m Message) {
	c.detectPause(now)
	c.expireJobs()
	switch m := m.(type) {
	case *CreateJobs:
		c.createJobs(m)
	case *SubmitJob:
		c.submitJob(m)
	case *RunJob:
		c.runJob(m)
	case *FindNamedJob:
		c.findNamedJob(m)
	case *CountWaitingJobs:
		c.emit(&Counted{Reply: m.Reply, Jobs: c.countWaitingJobs(m.Service)})
	case *AwaitJob:
		c.awaitJob(m)
	case *CancelJob:
		c.cancelJob(m)
	case *AbandonReply:
		c.abandonReply(m)
	case *AgentMessage:
		c.handleAgentMessage(m)
	case *LinkClosed:
		c.handleLinkClosed(m)
	case *Suspended, *Behind:
		c.delayGranting()
	case *Configure:
		c.configure(m.Document, "")
	case *SetPeers:
		c.setPeers(m.Peers)
	case *Stop:
		c.drainingSince = c.now
		c.drain.Stop()
	case *Inspect:
		c.emit(&Inspected{Reply: m.Reply, View: c.view()})
	case *Account:
		c.emit(&Accounted{Reply: m.Reply, Accounts: c.accounts(m.After)})
	}
}

// Tick handles timeouts and periodic work. It should be called about every ten
// milliseconds.
func (c *Core) Tick(now time.Time) {
	c.detectPause(now)
	c.expireJobs()
	c.shedLateJobs()
	if now.Sub(c.lastScan) < c.tuning.ScanPeriod {
		return
	}
	c.lastScan = now
	c.endLateAtAgents()
	c.catchUp.tick()
	c.forgetCrashes()
	for _, p := range c.orderedPools {
		for _, s := range slices.Clone(p.sessions) {
			c.scanSession(s)
		}
		p.sortBySpeed()
	}
}

// Flush grants waiting tasks and emits the messages collected since the last
// call. It must be called after each batch of messages and after Tick.
func (c *Core) Flush(now time.Time) {
	c.now = now
	for _, p := range c.orderedPools {
		c.grantWaiting(p)
		c.requestCredits(p)
		c.flushPool(p)
	}
	if c.openJobs == 0 && c.undelivered == 0 && c.now.Sub(c.drainingSince) >= c.tuning.DrainAcceptPeriod {
		c.drain.Idle()
	}
}

// Effects returns the effects emitted since the last call.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) refuse(reply ReplyID, f *failure.Failure) {
	if reply != 0 {
		c.emit(&Refused{Reply: reply, Failure: f})
	}
}

// logEvent emits an event for the log.
func (c *Core) logEvent(id event.ID, endpoint, detail string, fields ...event.Field) {
	c.emit(&LogEvent{Event: id, Endpoint: endpoint, Detail: detail, Fields: fields})
}

// configure puts a document in force if it is newer than the current one, and
// sends it to the agents. The source is the endpoint whose agent sent it, or empty
// if it comes from the entry's own source.
func (c *Core) configure(doc *structs.Document, source string) {
	if doc == nil || (c.doc != nil && doc.Revision <= c.doc.Revision) {
		return
	}
	if c.doc != nil {
		maps.Copy(c.retired, c.doc.Services)
	}
	replaced := c.revision()
	c.doc = doc
	c.emit(&ConfigAdopted{Document: doc, Replaced: replaced, Source: source})
	for _, s := range c.links {
		c.pushConfig(s)
	}
	c.catchUp.fire(catchUpEvents.Adopted)
}

func (c *Core) revision() uint64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.Revision
}

// serviceSettings returns the settings of a service, including services that were
// removed from the configuration.
func (c *Core) serviceSettings(name string) structs.Service {
	if service, ok := c.doc.Services[name]; ok {
		return service
	}
	return c.retired[name]
}

func (c *Core) closeLink(link LinkID) {
	c.closingLinks[link] = true
	c.emit(&CloseLink{Link: link})
}

// setPeers takes the list of entries and passes it on to the agents that this entry is
// among the first to inform. Every agent gets it when it connects.
func (c *Core) setPeers(peers []structs.Peer) {
	c.peers = peers
	for _, s := range c.links {
		if c.pushRank(s.endpoint) < firstPushers {
			s.outgoingMessage().Peers = peers
		}
	}
}

func (c *Core) leaving() bool { return c.drain.Leaving() }

// announceDrain tells the agents that this entry is draining, so that they offer
// unused credits to other entries. Credits for the tasks that wait here are still
// requested by demand.
func (c *Core) announceDrain() {
	for _, s := range c.links {
		s.outgoingMessage().Leaving = true
	}
}

func (c *Core) view() View {
	v := View{
		Entry: c.self, Revision: c.revision(), Leaving: c.leaving(),
		OpenJobs: c.openJobs, Stats: c.stats,
	}
	for _, p := range c.pools {
		v.Waiting += p.waiting
		v.Running += p.running
	}
	for _, s := range c.sessions {
		v.Endpoints = append(v.Endpoints, s.view())
	}
	return v
}
