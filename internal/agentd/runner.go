package agentd

import (
	"context"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/structs"
)

const (
	// runnerTickInterval is the interval between checks for expired idle connections.
	runnerTickInterval = time.Second
	// runnerInputsPerSlot is the maximum number of messages about one slot that can
	// be in the inbox: a stop of its previous task, and a start, a stop and an end
	// of its current task.
	runnerInputsPerSlot = 4
)

// runnerInput is a message for the runner.
type runnerInput interface{ isRunnerInput() }

type (
	startTask struct{ grant structs.Grant }
	stopTask  struct{ grant structs.GrantID }
	// boundRuns is for workers that run tasks under a lease; others ignore it.
	boundRuns struct{ at time.Time }
	// exchangeEnded reports the end of a task and returns its connection, if that
	// can be reused.
	exchangeEnded struct {
		exited     *agent.TaskExited
		connection *endpointConnection
	}
)

func (*startTask) isRunnerInput()     {}
func (*stopTask) isRunnerInput()      {}
func (*boundRuns) isRunnerInput()     {}
func (*exchangeEnded) isRunnerInput() {}

// runner is the actor that starts and stops tasks at the endpoint. Each started
// task is an exchange in its own goroutine; the runner owns the idle connections
// and the cancel functions of the exchanges. It may block on the core's inbox;
// the core never blocks on the runner.
type runner struct {
	inbox    *actor.Inbox[runnerInput]
	core     *actor.Inbox[coreInput]
	probe    *actor.Inbox[probeInput]
	endpoint string
	counters *counters
	idle     idleConnections
	// running maps each running task to the function that stops it.
	running map[structs.GrantID]context.CancelFunc
	// ctx is the parent of the exchanges' contexts.
	ctx context.Context
}

// newRunnerInbox returns an inbox that holds the messages of all slots at once.
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
	actor.Run(ctx, r.inbox, runnerTickInterval, r)
	r.idle.closeAll()
}

// Handle starts or stops a task, or handles the end of one.
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

// Tick closes the idle connections that have expired.
func (r *runner) Tick(now time.Time) bool {
	r.idle.expire(now)
	return true
}

// Flush does nothing: messages are handled as they arrive.
func (r *runner) Flush(time.Time) {}

func (r *runner) start(now time.Time, grant structs.Grant) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.running[grant.ID] = cancel
	e := newExchange(grant, r.endpoint, r.idle.take(now))
	go func() { r.inbox.Send(e.run(ctx)) }()
}

// stop stops a running task. A task that has already ended keeps its outcome.
func (r *runner) stop(id structs.GrantID) {
	if cancel := r.running[id]; cancel != nil {
		cancel()
	}
}

func (r *runner) ended(now time.Time, m *exchangeEnded) {
	id := m.exited.Grant
	r.running[id]()
	delete(r.running, id)
	// The limit applies to idle and busy connections together.
	r.idle.put(now, m.connection, len(r.running))
	r.counters.taskEnded(m.exited)
	r.notifyProbe(m.exited.Outcome)
	r.core.Send(coreInput{message: m.exited})
}

// notifyProbe reports to the probe whether the endpoint responded. If the inbox
// is full, the report is dropped and the probe relies on its own health checks.
func (r *runner) notifyProbe(outcome structs.Outcome) {
	switch outcome {
	case structs.Succeeded, structs.Errored:
		r.probe.TrySend(probeInput{responded: true})
	case structs.Lost, structs.NotSent:
		r.probe.TrySend(probeInput{responded: false})
	}
}
