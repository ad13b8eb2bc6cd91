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
	// Self is this entry as others reach it; its Incarnation must be new.
	Self structs.Peer
	// Seed makes the choices among equals repeatable.
	Seed uint64
	// Tuning holds the constants of the policy; the zero value means defaults.
	Tuning Tuning
}

// Core decides for one entry; see the package comment.
type Core struct {
	self   structs.Peer
	tuning Tuning
	rng    *rand.Rand
	now    time.Time

	doc *structs.Document
	// retired keeps services that were withdrawn, for jobs accepted before.
	retired map[string]structs.Service
	peers   []structs.Peer
	drain   *drain.Drain

	lastSeq  uint64
	jobs     map[uint64]*job
	expiries expiryHeap
	waiters  map[ReplyID]*job
	// named holds the open jobs of callers who wait for them, by their names.
	named map[string]*job
	// leavingSince is when the planned stop began.
	leavingSince time.Time
	// startedAt is when the first input came.
	startedAt time.Time
	// resumeAt is when grants go on after a pause of this process.
	resumeAt time.Time
	// openJobs counts jobs in state open, undelivered ended jobs whose answer
	// nobody has seen yet.
	openJobs    int
	undelivered int

	pools map[string]*pool
	// ordered holds the pools in the order of their creation, so that a run is
	// repeatable.
	ordered  []*pool
	sessions map[string]*session
	links    map[LinkID]*session
	// closing holds the links that were told to close and may still deliver.
	closing map[LinkID]bool
	kinds   map[kindKey]*kind

	waitingBytes int
	stats        Stats
	ledger       *burn.Ledger
	effects      []Effect
	lastScan     time.Time
}

// New returns a core that knows no configuration and no agents.
func New(o Options) *Core {
	c := &Core{
		self:     o.Self,
		tuning:   o.Tuning.withDefaults(),
		rng:      rand.New(rand.NewPCG(o.Seed, uint64(o.Self.Incarnation))),
		jobs:     map[uint64]*job{},
		waiters:  map[ReplyID]*job{},
		named:    map[string]*job{},
		pools:    map[string]*pool{},
		sessions: map[string]*session{},
		links:    map[LinkID]*session{},
		closing:  map[LinkID]bool{},
		retired:  map[string]structs.Service{},
		kinds:    map[kindKey]*kind{},
		ledger:   burn.NewLedger(),
	}
	c.drain = drain.New(c.announceDrain, func() { c.emit(&Drained{}) })
	return c
}

// Step handles one message at the given time. Expired jobs end first, so that
// an entry that was paused never answers for them otherwise.
func (c *Core) Step(now time.Time, m Message) {
	c.notePause(now)
	c.expireJobs()
	switch m := m.(type) {
	case *CreateJobs:
		c.createJobs(m)
	case *SubmitJob:
		c.submitJob(m)
	case *RunJob:
		c.runJob(m)
	case *FindNamed:
		c.findNamed(m)
	case *CountWaiting:
		c.emit(&Counted{Reply: m.Reply, Jobs: c.countWaiting(m.Service)})
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
	case *Suspended:
		c.settle()
	case *Configure:
		c.configure(m.Document)
	case *SetPeers:
		c.setPeers(m.Peers)
	case *Stop:
		c.leavingSince = c.now
		c.drain.Stop()
	case *Inspect:
		c.emit(&Inspected{Reply: m.Reply, View: c.view()})
	case *Account:
		c.emit(&Accounted{Reply: m.Reply, Accounts: c.accounts(m.After)})
	}
}

// Tick does what depends on time alone. Call it about every ten milliseconds.
func (c *Core) Tick(now time.Time) {
	c.notePause(now)
	c.expireJobs()
	c.shedLate()
	if now.Sub(c.lastScan) < c.tuning.ScanPeriod {
		return
	}
	c.lastScan = now
	c.giveUpQueued()
	for _, p := range c.ordered {
		for _, s := range slices.Clone(p.sessions) {
			c.scanSession(s)
		}
		p.sortBySpeed()
	}
}

// Flush grants waiting tasks and emits the messages collected since the last
// call. Call it after each batch of messages and after Tick.
func (c *Core) Flush(now time.Time) {
	c.now = now
	for _, p := range c.ordered {
		c.grantWaiting(p)
		c.requestCredits(p)
		c.flushPool(p)
	}
	if c.openJobs == 0 && c.undelivered == 0 && c.now.Sub(c.leavingSince) >= c.tuning.DrainAcceptPeriod {
		c.drain.Idle()
	}
}

// Effects returns the effects since the last call.
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

func (c *Core) happened(id event.ID, endpoint, detail string) {
	c.emit(&Happened{Event: id, Endpoint: endpoint, Detail: detail})
}

func (c *Core) configure(doc *structs.Document) {
	if doc == nil || (c.doc != nil && doc.Revision <= c.doc.Revision) {
		return
	}
	if c.doc != nil {
		maps.Copy(c.retired, c.doc.Services)
	}
	c.doc = doc
	c.emit(&Adopted{Document: doc})
	for _, s := range c.links {
		s.message().Config = doc
	}
}

func (c *Core) revision() uint64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.Revision
}

// serviceOf returns a service's settings, also after it was withdrawn.
func (c *Core) serviceOf(name string) structs.Service {
	if service, ok := c.doc.Services[name]; ok {
		return service
	}
	return c.retired[name]
}

func (c *Core) closeLink(link LinkID) {
	c.closing[link] = true
	c.emit(&CloseLink{Link: link})
}

func (c *Core) setPeers(peers []structs.Peer) {
	c.peers = peers
	for _, s := range c.links {
		s.message().Peers = peers
	}
}

func (c *Core) leaving() bool { return c.drain.Leaving() }

// announceDrain tells the agents to keep their unused credits for others. What
// waits here is asked for by demand.
func (c *Core) announceDrain() {
	for _, s := range c.links {
		s.message().Leaving = true
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
