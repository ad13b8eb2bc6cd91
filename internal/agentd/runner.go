package agentd

import (
	"context"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/structs"
)

const (
	// runnerPeriod is the time between two checks of idle connections.
	runnerPeriod = time.Second
	// runnerInputsPerSlot bounds the messages about one slot that can wait at the
	// same time: a stop of its last task, a start, and a stop and an end of that.
	runnerInputsPerSlot = 4
)

// runnerInput is a message for the runner.
type runnerInput interface{ isRunnerInput() }

type (
	startTask struct{ grant structs.Grant }
	stopTask  struct{ grant structs.GrantID }
	// exchangeEnded gives back the connection of a task that has ended, if it can
	// be used again.
	exchangeEnded struct {
		exited     *agent.TaskExited
		connection *endpointConnection
	}
)

func (*startTask) isRunnerInput()     {}
func (*stopTask) isRunnerInput()      {}
func (*exchangeEnded) isRunnerInput() {}

// runner starts and stops tasks at the endpoint. Each started task is an
// exchange on its own goroutine; the runner keeps the idle connections and the
// means to stop each exchange. It waits for room at the core, which never waits
// for the runner.
type runner struct {
	inbox    *actor.Inbox[runnerInput]
	core     *actor.Inbox[coreInput]
	probe    *actor.Inbox[probeInput]
	endpoint string
	counters *counters
	idle     idleConnections
	running  map[structs.GrantID]context.CancelFunc
	// ctx is the parent of the exchanges' contexts.
	ctx context.Context
}

// newRunnerInbox returns an inbox with room for all messages about the slots.
func newRunnerInbox(slots int) *actor.Inbox[runnerInput] {
	return actor.NewInbox[runnerInput](slots * runnerInputsPerSlot)
}

func newRunner(inbox *actor.Inbox[runnerInput], core *actor.Inbox[coreInput], probe *actor.Inbox[probeInput], c Config, counters *counters) *runner {
	return &runner{
		inbox: inbox, core: core, probe: probe, endpoint: c.EndpointAddress, counters: counters,
		idle:    idleConnections{limit: c.Connections - probeConnections},
		running: map[structs.GrantID]context.CancelFunc{},
	}
}

func (r *runner) run(ctx context.Context) {
	r.ctx = ctx
	actor.Run(ctx, r.inbox, runnerPeriod, r)
	r.idle.closeAll()
}

// Handle starts or stops a task, or takes note of its end.
func (r *runner) Handle(now time.Time, in runnerInput) bool {
	switch m := in.(type) {
	case *startTask:
		r.start(now, m.grant)
	case *stopTask:
		r.stop(m.grant)
	case *exchangeEnded:
		r.ended(now, m)
	}
	return true
}

// Tick closes connections that were idle for long.
func (r *runner) Tick(now time.Time) bool {
	r.idle.expire(now)
	return true
}

// Flush does nothing: messages are handled as they come.
func (r *runner) Flush(time.Time) {}

func (r *runner) start(now time.Time, grant structs.Grant) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.running[grant.ID] = cancel
	e := newExchange(grant, r.endpoint, r.idle.take(now))
	go func() { r.inbox.Send(e.run(ctx)) }()
}

// stop cuts a task off. A task that has just ended keeps its outcome.
func (r *runner) stop(id structs.GrantID) {
	if cancel := r.running[id]; cancel != nil {
		cancel()
	}
}

func (r *runner) ended(now time.Time, m *exchangeEnded) {
	id := m.exited.Grant
	r.running[id]()
	delete(r.running, id)
	// All idle and busy connections together stay under the limit.
	r.idle.put(now, m.connection, len(r.running))
	r.counters.ended(m.exited)
	r.informProbe(m.exited.Outcome)
	r.core.Send(coreInput{message: m.exited})
}

// informProbe tells the probe what the end of a task says about the endpoint.
// Without room the probe finds out by itself.
func (r *runner) informProbe(outcome structs.Outcome) {
	switch outcome {
	case structs.Succeeded, structs.Errored:
		r.probe.TrySend(probeInput{answered: true})
	case structs.Lost, structs.NotSent:
		r.probe.TrySend(probeInput{answered: false})
	}
}
