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
	// Endpoint names the endpoint that the agent serves. Incarnation must differ
	// from that of every earlier agent.
	Endpoint    string
	Incarnation structs.Incarnation
	Pool        string
	DataCentre  string
	// Slots is the number of tasks that the endpoint runs at once.
	Slots    int
	Capacity structs.Needs
	// Divided is set if the slots are equal shares of Capacity. A task then takes
	// as many slots as its needs require, otherwise one.
	Divided bool
	// Takeover is set if the endpoint may still run tasks of this agent's
	// predecessor until the endpoint is up for the first time. The agent connects
	// to no entry before then: the entry would run those tasks elsewhere.
	Takeover bool
	// Entries lists the link addresses of the entries to connect to first; these
	// send the list of all entries.
	Entries []string
	// UnackedLimit bounds the results kept until an entry acknowledges them; zero
	// means the default.
	UnackedLimit int
	// Clock gives the times of the stamps that entries return in FromEntry.Seen.
	Clock structs.Clock
	// Seed makes the jitter of reconnects reproducible.
	Seed uint64
	// Tuning holds the time constants; zero fields take the defaults.
	Tuning Tuning
}

// Tuning holds the time constants of the agent.
type Tuning struct {
	// SilenceTimeout is how long nothing may arrive on a link before the agent
	// closes it.
	SilenceTimeout time.Duration
	// ConfirmTimeout is how old the newest message that the entry has confirmed may
	// be before the agent closes the link, whatever arrives on it. It allows for a
	// heartbeat of each side, a round trip and scheduling delays; the default is
	// SilenceTimeout and 300 ms.
	ConfirmTimeout time.Duration
	// EntryGrace is how long an entry may be unreachable before its runs are
	// abandoned. The time ends early if the newest confirmed message is older than
	// SilenceTimeout and EntryGrace together, or than ConfirmTimeout and
	// reconnectTime, whichever is longer.
	EntryGrace time.Duration
	// IdleHeartbeat is the longest time between two messages to an entry that has no
	// open grant at the agent; zero means that heartbeats are sent to all entries
	// alike. IdleSilenceTimeout takes the place of SilenceTimeout and ConfirmTimeout
	// on such a link.
	IdleHeartbeat      time.Duration
	IdleSilenceTimeout time.Duration
	// MaxUnheard is the longest time that a run may go on after the newest message that
	// its entry has confirmed, whatever fails; zero means that BoundRuns is not used.
	MaxUnheard time.Duration
	// LongestLease is how long the lease may go on that the runs on the endpoint have
	// already. A run starts only if it ends by its own bound under that lease, too.
	LongestLease time.Duration
	// PauseThreshold is the time between two inputs above which the process counts
	// as having been paused; zero turns the detection off.
	PauseThreshold time.Duration
	// MinRetryDelay and MaxRetryDelay bound the delay between attempts to connect.
	MinRetryDelay, MaxRetryDelay time.Duration
}

// confirmMargin is by how much the default of Tuning.ConfirmTimeout exceeds
// SilenceTimeout, which is three heartbeats: a confirmation waits for the heartbeats
// of both sides, silence only for those of one.
const confirmMargin = 300 * time.Millisecond

// reconnectTime is the time for an attempt to reconnect to an entry that confirmed
// nothing for ConfirmTimeout, before its runs are abandoned.
const reconnectTime = 100 * time.Millisecond

// confirmExchange is the time left for an entry to confirm a message of the agent after
// it has sent a grant on an idle link: a tick of each side and a slow round trip.
const confirmExchange = 250 * time.Millisecond

// defaultUnackedLimit is the default of Options.UnackedLimit.
const defaultUnackedLimit = 4096

func (t Tuning) withDefaults() Tuning {
	t.SilenceTimeout = cmp.Or(t.SilenceTimeout, 5*time.Second)
	t.ConfirmTimeout = cmp.Or(t.ConfirmTimeout, t.SilenceTimeout+confirmMargin)
	t.EntryGrace = cmp.Or(t.EntryGrace, 10*time.Second)
	t.MinRetryDelay = cmp.Or(t.MinRetryDelay, 50*time.Millisecond)
	t.MaxRetryDelay = cmp.Or(t.MaxRetryDelay, 2*time.Second)
	return t
}

// Core holds the agent's state and makes all of its decisions: links to
// entries, slots and runs. It is not safe for concurrent use.
type Core struct {
	opts   Options
	tuning Tuning
	rng    *rand.Rand
	now    time.Time

	// config is the configuration in force, nil before the first.
	config     *structs.Document
	drain      *drain.Drain
	endpointUp bool
	// tenure orders the agent among those of the endpoint.
	tenure structs.Tenure
	// predecessorEnded is set once no task of a predecessor runs at the endpoint.
	predecessorEnded bool

	slots []*slot
	// usableSlots is the number of slots that the endpoint's capacity has room for at
	// present.
	usableSlots int
	// offeredAnyCredits counts the slots offered as Any credits, which long tasks
	// may use, and busyLongSlots the slots held by long tasks.
	offeredAnyCredits int
	busyLongSlots     int

	links      []*link
	linksByID  map[LinkID]*link
	lastLinkID LinkID
	runs       map[structs.GrantID]*run
	// unacked counts the results that are kept until they are acknowledged.
	unacked int
	// queue holds the runs in state queued.
	queue []*run
	// refusedEntries lists the entries to tell of room, and promises the room of which
	// entries were told lately.
	refusedEntries []refusedEntry
	promises       []promise
	// usualNeed is the smoothed number of slots that a grant takes, zero before the
	// first grant.
	usualNeed float64
	// creditsWithheld is set while an entry's share of the slots is too small for a
	// usual task, so that none is offered as a credit.
	creditsWithheld bool

	// noLinkUpSince is when the agent last had a link that was up, or last asked
	// for the list of entries.
	noLinkUpSince time.Time

	// runsBound is the bound last reported by BoundRuns.
	runsBound time.Time

	// started and refused are the totals shown in View.
	started uint64
	refused uint64
	// effects collects the effects until Effects returns them.
	effects []Effect
}

// New returns a core without connections; the first Tick starts to dial.
func New(o Options) *Core {
	if o.UnackedLimit == 0 {
		o.UnackedLimit = defaultUnackedLimit
	}
	c := &Core{
		opts:      o,
		tuning:    o.Tuning.withDefaults(),
		rng:       rand.New(rand.NewPCG(o.Seed, uint64(o.Incarnation))),
		linksByID: map[LinkID]*link{},
		runs:      map[structs.GrantID]*run{},

		predecessorEnded: !o.Takeover,
	}
	c.drain = drain.New(c.beginDrain, func() { c.emit(&Drained{}) })
	c.usableSlots = o.Slots
	for range o.Slots {
		c.slots = append(c.slots, &slot{state: slotChart.Initial()})
	}
	for _, address := range o.Entries {
		c.addLink(address, true)
	}
	return c
}

// Step handles one message, received at the given time.
func (c *Core) Step(now time.Time, m Message) {
	c.detectPause(now)
	switch m := m.(type) {
	case *LinkOpened:
		c.handleLinkOpened(m.Link)
	case *LinkClosed:
		c.handleLinkClosed(m.Link)
	case *EntryMessage:
		c.handleEntryMessage(m)
	case *TaskExited:
		c.handleTaskExited(m)
	case *EndpointChanged:
		c.handleEndpointChanged(m)
	case *CapacityChanged:
		c.handleCapacityChanged(m.Capacity)
	case *Suspended:
		c.closeAllLinks()
	case *EntriesFound:
		c.setPeers(m.Peers)
	case *Stop:
		c.drain.Stop()
	case *Inspect:
		c.emit(&Inspected{Reply: m.Reply, View: c.view()})
	}
}

// Tick handles timeouts and periodic work. Call it about every ten milliseconds.
func (c *Core) Tick(now time.Time) {
	c.detectPause(now)
	for _, l := range c.links {
		c.tickLink(l)
		c.reportIdleSlots(l)
	}
	c.removeForgottenLinks()
	c.findEntries()
	for _, r := range c.runs {
		if r.limit > 0 && now.Sub(r.startedAt) >= r.limit {
			c.fireRun(r, runEvents.Limit)
		}
	}
}

// Flush starts queued runs, offers free slots and emits the messages to entries
// that were collected since the last call. Call it after each batch of messages
// and after Tick.
func (c *Core) Flush(now time.Time) {
	c.now = now
	c.enforceCapacity()
	c.startQueued()
	c.refuseImpatient()
	c.allocateFreeSlots()
	c.tellRefusedEntries()
	c.boundRuns(nil)
	for _, l := range c.links {
		c.flushLink(l)
	}
	if len(c.runs) == 0 && !c.grantsMayArrive() {
		c.drain.Idle()
	}
}

// Effects returns the effects emitted since the last call.
func (c *Core) Effects() []Effect {
	effects := c.effects
	c.effects = nil
	return effects
}

// detectPause closes every connection if the process was paused: entries may
// have granted to other agents the tasks whose grants are still unread here.
func (c *Core) detectPause(now time.Time) {
	paused := !c.now.IsZero() && now.Sub(c.now) > c.tuning.PauseThreshold
	c.now = now
	if c.tuning.PauseThreshold == 0 || !paused {
		return
	}
	c.closeAllLinks()
}

// closeAllLinks closes every open connection. The links then reconnect.
func (c *Core) closeAllLinks() {
	for _, l := range c.links {
		c.fireLink(l, linkEvents.Silent)
	}
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) logEvent(id event.ID, entry string, grant structs.GrantID, detail string, fields ...event.Field) {
	c.emit(&LogEvent{Event: id, Entry: entry, Grant: grant, Detail: detail, Fields: fields})
}

func (c *Core) leaving() bool { return c.drain.Leaving() }

// grantsMayArrive reports whether a grant may still be in flight from an entry:
// the entry is connected and has not released the leaving agent.
func (c *Core) grantsMayArrive() bool {
	for _, l := range c.links {
		if l.state == linkStates.Up && !l.released {
			return true
		}
	}
	return false
}

// beginDrain begins the planned stop: it refuses queued runs, closes the slots and
// tells every connected entry.
func (c *Core) beginDrain() {
	c.refuseQueued()
	for _, s := range c.slots {
		c.fireSlot(s, slotEvents.Leave, nil)
	}
	for _, l := range c.links {
		if l.state == linkStates.Up {
			l.outgoingMessage().Leaving = true
		}
	}
}

func (c *Core) handleEndpointChanged(m *EndpointChanged) {
	c.endpointUp = m.Up
	c.predecessorEnded = c.predecessorEnded || m.Up
	if m.Up {
		c.tenure = m.Tenure
	} else {
		c.refuseQueued()
		c.revokeAllCredits()
	}
}

// revokeAllCredits takes back the credits of all entries.
func (c *Core) revokeAllCredits() {
	for _, s := range c.slots {
		c.fireSlot(s, slotEvents.Revoke, nil)
	}
}

// adoptConfig adopts a configuration if its revision is higher than the current
// one, and reports the new revision to the connected entries.
func (c *Core) adoptConfig(doc *structs.Document) {
	if doc == nil || doc.Revision <= c.revision() {
		return
	}
	c.config = doc
	c.enforceReserve()
	for _, l := range c.links {
		if l.state == linkStates.Up {
			l.outgoingMessage().Revision = doc.Revision
		}
	}
}

func (c *Core) revision() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Revision
}

// reservedSlots returns the number of slots that long tasks may not hold: the
// largest ShortReserve among the services of the pool, as a share of all slots,
// rounded down.
func (c *Core) reservedSlots() int {
	if c.config == nil {
		return 0
	}
	share := 0.0
	for _, service := range c.config.Services {
		if service.Pool == c.opts.Pool {
			share = max(share, service.ShortReserve)
		}
	}
	return int(share * float64(c.usableSlots))
}

func (c *Core) view() View {
	v := View{
		Endpoint: c.opts.Endpoint, Leaving: c.leaving(), Revision: c.revision(),
		Slots: c.usableSlots, Unacked: c.unacked, Started: c.started, Refused: c.refused,
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
