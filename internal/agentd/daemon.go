// Package agentd is the process beside one endpoint, as a library. It connects
// the pure decisions of package agent to the world:
//
//   - core owns the decisions and carries out their effects;
//   - links owns the connections to the entries;
//   - runner and its exchanges own the connections to the endpoint;
//   - probe checks whether the endpoint accepts connections;
//   - the operators' interface answers over HTTP.
//
// Each part is a goroutine with one bounded inbox. The core never waits for
// another part; every other part may wait for the core.
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

// Config is what an agent learns from its settings.
type Config struct {
	settings.Agent
	// Worker runs tasks under a lease, in place of the endpoint at
	// EndpointAddress; its slots are equal shares of the capacity. Nil means that
	// there is none.
	Worker Worker
	Lease  leased.Timing
	// Born tells the life of the worker that is meant from others.
	Born int64
	// Timing bounds the silence of entries.
	Timing Timing
	// Find returns the entries that are registered now; it may be nil.
	Find func(context.Context) ([]structs.Peer, error)
	// Log may be nil.
	Log *logging.Logger
}

// Timing holds the times after which entries count as lost; zero means the
// defaults.
type Timing struct {
	// Heartbeat is how long a link may be without a message from here.
	Heartbeat time.Duration
	// Silence is how long a link may be without a message from the entry.
	Silence time.Duration
	// EntryGrace is how long a lost entry may take to come back before its tasks
	// are stopped.
	EntryGrace time.Duration
	// Dial bounds the opening of a connection. A machine without power doesn't
	// answer, and a first packet that met it is sent again after a second only.
	Dial time.Duration
	// LastRetry bounds the pause between two attempts to connect.
	LastRetry time.Duration
	// Pause is the longest time without processor that is not taken for a pause
	// of this process; zero means that pauses are not noticed.
	Pause time.Duration
}

func (t Timing) withDefaults() Timing {
	t.Heartbeat = cmp.Or(t.Heartbeat, heartbeatInterval)
	t.Silence = cmp.Or(t.Silence, silenceLimit)
	t.Dial = cmp.Or(t.Dial, dialTimeout)
	return t
}

// Check returns a failure of kind Invalid if an agent can't start with the
// configuration.
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
	// cancel ends everything at once.
	cancel context.CancelFunc
	// parts counts the goroutines of runner, probe and links.
	parts   sync.WaitGroup
	ended   chan struct{}
	drained bool
}

func start(ctx context.Context, c Config, incarnation structs.Incarnation, d decisions) (*Daemon, error) {
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
	links, err := newLinks(linksInbox, coreInbox, c.Timing, log, counters)
	if err != nil {
		server.stop()
		return nil, err
	}
	core := newCore(coreInbox, d, linksInbox, runnerInbox, log)
	core.find = c.Find

	ctx, cancel := context.WithCancel(ctx)
	daemon := &Daemon{
		core: coreInbox, links: linksInbox, http: server, log: log,
		incarnation: incarnation, cancel: cancel, ended: make(chan struct{}),
	}
	if c.Worker != nil {
		runner := newLeasedRunner(runnerInbox, coreInbox, c, counters, log, cancel)
		daemon.parts.Go(func() { runner.run(ctx) })
	} else {
		runner := newRunner(runnerInbox, coreInbox, probeInbox, c, counters)
		probe := newProbe(probeInbox, coreInbox, c.EndpointAddress, log)
		daemon.parts.Go(func() { runner.run(ctx) })
		daemon.parts.Go(func() { probe.run(ctx) })
	}
	daemon.parts.Go(func() { links.run(ctx) })
	go daemon.supervise(ctx, core)
	server.start()
	log.Event(event.DaemonStarted, zap.String("endpoint", c.Endpoint), zap.Stringer("incarnation", incarnation))
	log.Event(event.Listening, zap.String("address", server.address()))
	return daemon, nil
}

// Stop begins the planned stop and returns at once: no more grants are taken,
// what runs is finished and delivered, and then the agent ends.
func (d *Daemon) Stop() {
	if d.core.Send(coreInput{message: &agent.Stop{}}) {
		d.log.Event(event.StopRequested)
	}
}

// Wait returns when the agent has ended. After a planned stop it returns nil;
// otherwise a failure of kind Internal.
func (d *Daemon) Wait() error {
	<-d.ended
	if !d.drained {
		return failure.New(failure.Internal, failure.Unknown, "the agent ended without a planned stop")
	}
	return nil
}

// HTTPAddress returns the address for operators, with the port in use.
func (d *Daemon) HTTPAddress() string { return d.http.address() }

// Incarnation returns the number of this life of the agent.
func (d *Daemon) Incarnation() structs.Incarnation { return d.incarnation }

// supervise ends the parts in the order in which they need each other.
func (d *Daemon) supervise(ctx context.Context, core *core) {
	defer close(d.ended)
	core.run(ctx)
	d.drained = core.drained
	if d.drained {
		d.links.Send(&finishLinks{})
		<-d.links.Done()
	}
	d.cancel()
	d.parts.Wait()
	d.http.stop()
	if d.drained {
		d.log.Event(event.Drained)
	}
	d.log.Event(event.DaemonStopped)
}

func newIncarnation() structs.Incarnation {
	var raw [8]byte
	for {
		// Read never fails; it ends the program if the system has no randomness.
		_, _ = rand.Read(raw[:])
		if n := structs.Incarnation(binary.BigEndian.Uint64(raw[:])); n != 0 {
			return n
		}
	}
}

const (
	// slotMillicores is the part of a worker's processors that one share stands
	// for: small against a task, so that rounding wastes little.
	slotMillicores = 100
	// minShares and maxShares bound the shares of a worker.
	minShares = 16
	maxShares = 320
)

// Shares returns the number of slots into which a worker's capacity is divided.
func Shares(capacity structs.Needs) int {
	return int(min(maxShares, max(minShares, capacity.TotalMillicores()/slotMillicores)))
}
