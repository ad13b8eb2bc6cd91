package agent

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cactuspost.example/internal/drain"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// Options configures a Core.
type Options struct {
	// Endpoint names the endpoint beside the agent; Incarnation must be new.
	Endpoint    string
	Incarnation structs.Incarnation
	Pool        string
	DataCentre  string
	// Slots is the number of tasks that the endpoint runs at once.
	Slots    int
	Capacity structs.Needs
	// Divided says that the slots are equal shares of Capacity, so that a task
	// takes as many as its needs ask for.
	Divided bool
	// Takeover says that the endpoint may still run tasks of a predecessor of this
	// agent until it is up for the first time. No entry hears of the agent before:
	// it would run those tasks elsewhere.
	Takeover bool
	// Entries lists link addresses of entries; they tell of the others.
	Entries []string
	// UnackedLimit bounds the results kept for entries; zero means the default.
	UnackedLimit int
	// Seed makes the choices among equals and the jitter repeatable.
	Seed uint64
	// Tuning holds the time constants; the zero value means defaults.
	Tuning Tuning
}

// Tuning holds the time constants of the agent.
type Tuning struct {
	// Silence is how long a link may carry nothing before it is given up.
	Silence time.Duration
	// EntryGrace is how long a lost entry may take to come back.
	EntryGrace time.Duration
	// Pause is the longest time between two inputs that doesn't count as a pause
	// of this process; zero means that pauses are not noticed.
	Pause time.Duration
	// FirstRetry and LastRetry bound the pause between attempts to connect.
	FirstRetry, LastRetry time.Duration
}

// defaultUnacked is the bound on results that wait for acknowledgement.
const defaultUnacked = 4096

func (t Tuning) withDefaults() Tuning {
	t.Silence = cmp.Or(t.Silence, 5*time.Second)
	t.EntryGrace = cmp.Or(t.EntryGrace, 10*time.Second)
	t.FirstRetry = cmp.Or(t.FirstRetry, 50*time.Millisecond)
	t.LastRetry = cmp.Or(t.LastRetry, 2*time.Second)
	return t
}

// Core decides for one endpoint; see the package comment.
type Core struct {
	opts   Options
	tuning Tuning
	rng    *rand.Rand
	now    time.Time

	doc        *structs.Document
	drain      *drain.Drain
	endpointUp bool
	// takenOver says that nothing of a predecessor runs at the endpoint.
	takenOver bool

	slots []*slot
	// offeredAny and busyLong count the slots that long tasks may hold or do.
	offeredAny int
	busyLong   int

	links   []*link
	byID    map[LinkID]*link
	lastID  LinkID
	runs    map[structs.GrantID]*run
	unacked int
	// queue holds the runs that wait for slots.
	queue []*run

	// aloneSince is when the agent last had a link, or asked for entries.
	aloneSince time.Time

	started uint64
	refused uint64
	effects []Effect
}

// New returns a core that has no links yet; the first Tick dials.
func New(o Options) *Core {
	if o.UnackedLimit == 0 {
		o.UnackedLimit = defaultUnacked
	}
	c := &Core{
		opts:   o,
		tuning: o.Tuning.withDefaults(),
		rng:    rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		byID:   map[LinkID]*link{},
		runs:   map[structs.GrantID]*run{},

		takenOver: !o.Takeover,
	}
	c.drain = drain.New(c.announceDrain, func() { c.emit(&Drained{}) })
	for range o.Slots {
		c.slots = append(c.slots, &slot{state: slotChart.Initial()})
	}
	for _, address := range o.Entries {
		c.addLink(address, true)
	}
	return c
}

// Step handles one message at the given time.
func (c *Core) Step(now time.Time, m Message) {
	c.notePause(now)
	switch m := m.(type) {
	case *LinkOpened:
		c.linkOpened(m.Link)
	case *LinkClosed:
		c.linkClosed(m.Link)
	case *EntryMessage:
		c.entryMessage(m)
	case *TaskExited:
		c.taskExited(m)
	case *EndpointChanged:
		c.endpointChanged(m.Up)
	case *Suspended:
		c.giveUpLinks()
	case *EntriesFound:
		c.setPeers(m.Peers)
	case *Stop:
		c.drain.Stop()
	case *Inspect:
		c.emit(&Inspected{Reply: m.Reply, View: c.view()})
	}
}

// Tick does what depends on time alone. Call it about every ten milliseconds.
func (c *Core) Tick(now time.Time) {
	c.notePause(now)
	for _, l := range c.links {
		c.tickLink(l)
		c.tellIdle(l)
	}
	c.dropForgotten()
	c.findEntries()
	for _, r := range c.runs {
		if r.limit > 0 && now.Sub(r.startedAt) >= r.limit {
			c.fireRun(r, runEvents.Limit)
		}
	}
}

// Flush offers free slots and emits the messages collected since the last
// call. Call it after each batch of messages and after Tick.
func (c *Core) Flush(now time.Time) {
	c.now = now
	c.startQueued()
	c.allocate()
	for _, l := range c.links {
		c.flushLink(l)
	}
	if len(c.runs) == 0 && !c.linked() {
		c.drain.Idle()
	}
}

// Effects returns the effects since the last call.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// notePause gives up every connection after a pause of this process: entries
// may have granted elsewhere what still waits to be read here.
func (c *Core) notePause(now time.Time) {
	paused := !c.now.IsZero() && now.Sub(c.now) > c.tuning.Pause
	c.now = now
	if c.tuning.Pause == 0 || !paused {
		return
	}
	c.giveUpLinks()
}

func (c *Core) giveUpLinks() {
	for _, l := range c.links {
		c.fireLink(l, linkEvents.Silent)
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) happened(id event.ID, entry string, grant structs.GrantID, detail string) {
	c.emit(&Happened{Event: id, Entry: entry, Grant: grant, Detail: detail})
}

func (c *Core) leaving() bool { return c.drain.Leaving() }

// linked reports whether an entry may still have a grant on the way: it is
// connected and has not said that it holds none.
func (c *Core) linked() bool {
	for _, l := range c.links {
		if l.state == linkStates.Up && !l.released {
			return true
		}
	}
	return false
}

// announceDrain closes the slots and tells every entry.
func (c *Core) announceDrain() {
	c.withdrawQueue()
	for _, s := range c.slots {
		c.fireSlot(s, slotEvents.Leave, nil)
	}
	for _, l := range c.links {
		if l.state == linkStates.Up {
			l.message().Leaving = true
		}
	}
}

func (c *Core) endpointChanged(up bool) {
	c.endpointUp = up
	c.takenOver = c.takenOver || up
	if !up {
		c.withdrawQueue()
		c.withdrawAll()
	}
}

// withdrawAll takes back every credit.
func (c *Core) withdrawAll() {
	for _, s := range c.slots {
		c.fireSlot(s, slotEvents.Revoke, nil)
	}
}

// learn keeps a configuration if it is higher than the one known.
func (c *Core) learn(doc *structs.Document) {
	if doc == nil || doc.Revision <= c.revision() {
		return
	}
	c.doc = doc
	c.reserveChanged()
	for _, l := range c.links {
		if l.state == linkStates.Up {
			l.message().Revision = doc.Revision
		}
	}
}

func (c *Core) revision() uint64 {
	if c.doc == nil {
		return 0
	}
	return c.doc.Revision
}

// reserve returns the number of slots that long tasks may not hold: the
// largest share that a service of the pool asks for, rounded down.
func (c *Core) reserve() int {
	if c.doc == nil {
		return 0
	}
	share := 0.0
	for _, service := range c.doc.Services {
		if service.Pool == c.opts.Pool {
			share = max(share, service.ShortReserve)
		}
	}
	return int(share * float64(len(c.slots)))
}

func (c *Core) view() View {
	v := View{
		Endpoint: c.opts.Endpoint, Leaving: c.leaving(), Revision: c.revision(),
		Slots: len(c.slots), Unacked: c.unacked, Started: c.started, Refused: c.refused,
	}
	for _, s := range c.slots {
		switch s.state {
		case slotStates.Free:
			v.Free++
		case slotStates.Offered:
			v.Offered++
		case slotStates.Busy:
			v.Busy++
		}
	}
	for _, l := range c.links {
		v.Links = append(v.Links, l.view())
	}
	return v
}
