// Package agentd implements the agent daemon, which runs next to one endpoint. It
// connects the decisions of package agent, which do no input or output, to the
// network and the clock:
//
//   - core owns the decisions and executes their effects;
//   - links owns the connections to the entries;
//   - runner and its exchanges own the connections to the endpoint;
//   - probe checks whether the endpoint accepts connections;
//   - httpServer serves the operators' interface.
//
// Core, links, runner and probe are actors: each is a goroutine with one bounded
// inbox. The core never blocks on another actor; every other actor may block on
// the core.
package agentd

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/leased"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
)

// Config is the configuration of an agent.
type Config struct {
	settings.Agent
	// Worker, if not nil, runs the tasks under a lease, in place of the endpoint at
	// EndpointAddress. Its slots are equal shares of the capacity.
	Worker Worker
	// Lease configures the lease on Worker.
	Lease leased.Timing
	// Born identifies the expected incarnation of the worker.
	Born int64
	// TokenFloor is the fencing token of an earlier agent at a worker of the same id, zero
	// if none is known.
	TokenFloor uint64
	// Timing holds the time constants of the links to entries.
	Timing Timing
	// FindEntries returns the currently registered entries; it may be nil.
	FindEntries func(context.Context) ([]structs.Peer, error)
	// Log may be nil.
	Log *logging.Logger
}

// Timing holds the time constants of the links to entries. Zero fields select the
// defaults.
type Timing struct {
	// HeartbeatInterval is how long nothing may be sent on a link before a heartbeat
	// is.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long nothing may arrive on a link before it is closed.
	SilenceTimeout time.Duration
	// IdleHeartbeat and IdleSilenceTimeout take the place of HeartbeatInterval and
	// SilenceTimeout while the entry has no open grant at the agent, if the entry knows
	// of it. Zero means that there is no difference.
	IdleHeartbeat      time.Duration
	IdleSilenceTimeout time.Duration
	// EntryGrace is how long an entry may be unreachable before its tasks are
	// stopped.
	EntryGrace time.Duration
	// ConfirmTimeout is how old the newest message that the entry has confirmed may
	// be before the link is closed; zero means the default of agent.Tuning.
	ConfirmTimeout time.Duration
	// MaxUnheard is the longest time that a run may go on after the newest message that
	// its entry has confirmed, whatever fails; zero means no limit. Only workers that run
	// tasks under a lease keep to it.
	MaxUnheard time.Duration
	// DialTimeout is the timeout for opening a connection. A machine that is
	// powered off does not answer, and a lost SYN packet is retransmitted only
	// after a second.
	DialTimeout time.Duration
	// MaxRetryDelay is the maximum delay between two attempts to connect.
	MaxRetryDelay time.Duration
	// PauseThreshold is the time between two inputs above which the process counts
	// as having been paused; zero turns the detection off.
	PauseThreshold time.Duration
}

func (t Timing) withDefaults() Timing {
	t.HeartbeatInterval = cmp.Or(t.HeartbeatInterval, defaultHeartbeatInterval)
	t.SilenceTimeout = cmp.Or(t.SilenceTimeout, defaultSilenceTimeout)
	t.DialTimeout = cmp.Or(t.DialTimeout, defaultDialTimeout)
	return t
}

// Check returns a failure of kind Invalid if the configuration is not valid.
func (c Config) Check() error {
	switch {
	case c.Slots < 1:
		return failure.New(failure.Invalid, failure.NotRun, "at least one slot is needed")
	case c.Worker == nil && c.Connections < c.Slots+probeConnections:
		return failure.Newf(failure.Invalid, failure.NotRun,
			"%d slots need at least %d connections, %d of them for health checks", c.Slots, c.Slots+probeConnections, probeConnections)
	}
	return nil
}

// Daemon is a running agent.
type Daemon struct {
	core        *actor.Inbox[coreInput]
	links       *actor.Inbox[linksInput]
	http        *httpServer
	log         *logging.Logger
	incarnation structs.Incarnation
	// cancel stops all actors immediately.
	cancel context.CancelFunc
	// actors waits for the goroutines of runner, probe and links.
	actors sync.WaitGroup
	// ended is closed when the agent has ended; drained may be read after that.
	ended   chan struct{}
	drained bool
	// runner is that of a leased worker, nil without one. Its state may be read once ended
	// is closed.
	runner *leasedRunner
}

func start(ctx context.Context, c Config, incarnation structs.Incarnation, clock structs.Clock, d decisions) (*Daemon, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	log := c.Log
	if log == nil {
		log = logging.Discard()
	}
	counters := newCounters()
	coreInbox := actor.NewInbox[coreInput](coreInboxSize)
	linksInbox := newLinksInbox()
	runnerInbox := newRunnerInbox(c.Slots)
	probeInbox := actor.NewInbox[probeInput](probeInboxSize)
	server, err := newHTTPServer(c.Agent, coreInbox, counters)
	if err != nil {
		return nil, err
	}
	links, err := newLinks(linksInbox, coreInbox, c.Timing, clock, log, counters)
	if err != nil {
		server.stop()
		return nil, err
	}
	core := newCore(coreInbox, d, linksInbox, runnerInbox, log, counters)
	core.findRegistered = c.FindEntries

	ctx, cancel := context.WithCancel(ctx)
	daemon := &Daemon{
		core: coreInbox, links: linksInbox, http: server, log: log,
		incarnation: incarnation, cancel: cancel, ended: make(chan struct{}),
	}
	if c.Worker != nil {
		daemon.runner = newLeasedRunner(runnerInbox, coreInbox, c, counters, log, cancel)
		daemon.actors.Go(func() { daemon.runner.run(ctx) })
	} else {
		runner := newRunner(runnerInbox, coreInbox, probeInbox, c, counters)
		probe := newProbe(probeInbox, coreInbox, c.EndpointAddress, log)
		daemon.actors.Go(func() { runner.run(ctx) })
		daemon.actors.Go(func() { probe.run(ctx) })
	}
	daemon.actors.Go(func() { links.run(ctx) })
	go daemon.supervise(ctx, core)
	server.start()
	log.Event(event.DaemonStarted, zap.String("endpoint", c.Endpoint), zap.Stringer("incarnation", incarnation))
	log.Event(event.Listening, zap.String("address", server.address()))
	return daemon, nil
}

// Stop begins the planned stop and returns immediately: the agent refuses further
// grants, finishes its running tasks, delivers their results, and then ends.
func (d *Daemon) Stop() {
	if d.core.Send(coreInput{message: &agent.Stop{}}) {
		d.log.Event(event.StopRequested)
	}
}

// SetCapacity tells the agent the worker's present capacity. It has no effect once the
// agent has ended.
func (d *Daemon) SetCapacity(capacity structs.Needs) {
	d.core.Send(coreInput{message: &agent.CapacityChanged{Capacity: capacity}})
}

// Wait blocks until the agent has ended. It returns nil after a planned stop,
// else a failure of kind Internal.
func (d *Daemon) Wait() error {
	<-d.ended
	if !d.drained {
		return failure.New(failure.Internal, failure.Unknown, "the agent ended without a planned stop")
	}
	return nil
}

// Token waits for the end of the agent and returns its fencing token at the worker, zero if
// it had none.
func (d *Daemon) Token() uint64 {
	if d.runner == nil {
		return 0
	}
	<-d.ended
	return d.runner.decisions.Token()
}

// HTTPAddress returns the address of the operators' interface, with the port that
// is bound.
func (d *Daemon) HTTPAddress() string { return d.http.address() }

// Incarnation returns the incarnation of the agent.
func (d *Daemon) Incarnation() structs.Incarnation { return d.incarnation }

// supervise runs the core, and then stops the other actors in the order of their
// dependencies. After a planned stop, links first writes its queued bytes.
func (d *Daemon) supervise(ctx context.Context, core *core) {
	defer close(d.ended)
	core.run(ctx)
	d.drained = core.drained
	if d.drained {
		d.links.Send(&finishLinks{})
		<-d.links.Done()
	}
	d.cancel()
	d.actors.Wait()
	d.http.stop()
	if d.drained {
		d.log.Event(event.Drained)
	}
	d.log.Event(event.DaemonStopped)
}

// newIncarnation returns a random incarnation; zero is reserved.
func newIncarnation() structs.Incarnation {
	var raw [8]byte
	for {
		// rand.Read never returns an error; it crashes the program instead.
		_, _ = rand.Read(raw[:])
		if n := structs.Incarnation(binary.BigEndian.Uint64(raw[:])); n != 0 {
			return n
		}
	}
}

const (
	// slotMillicores is the processor capacity of a worker that one slot stands
	// for. It is small compared with a task, so that rounding wastes little.
	slotMillicores = 100
	// minWorkerSlots and maxWorkerSlots bound the number of slots of a worker.
	minWorkerSlots = 16
	maxWorkerSlots = 320
)

// SlotCount returns the number of slots into which the capacity of a worker is
// divided.
func SlotCount(capacity structs.Needs) int {
	return int(min(maxWorkerSlots, max(minWorkerSlots, capacity.TotalMillicores()/slotMillicores)))
}
