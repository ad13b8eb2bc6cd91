package agentd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/leased"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// Worker is an endpoint that runs tasks under one lease. Each method blocks until
// the request was answered or has timed out; it may be called concurrently.
type Worker interface {
	// Start sends a start request.
	Start(*leased.SendStart) leased.CallResult
	// Stop sends a stop request.
	Stop(*leased.SendStop) leased.CallResult
	// Poll sends a poll, which renews the lease and reports on the runs.
	Poll(*leased.SendPoll) (leased.CallResult, leased.Report)
}

// leasedRunnerTickInterval is the interval between calls of Tick. It is several times
// shorter than a lease, as leased.Core.Tick requires.
const leasedRunnerTickInterval = 25 * time.Millisecond

// callReturned passes the result of a call to the leased runner.
type callReturned struct{ message leased.Message }

func (*callReturned) isRunnerInput() {}

// leasedRunner is the actor that starts and stops tasks on a worker that runs
// them under a lease. Each call of the worker has its own goroutine, which sends
// the result back as a message. The runner may block on the core's inbox; the
// core never blocks on the runner.
type leasedRunner struct {
	inbox     *actor.Inbox[runnerInput]
	core      *actor.Inbox[coreInput]
	worker    Worker
	decisions *leased.Core
	counters  *counters
	log       *logging.Logger
	// workerLost is called when the worker is lost: it was restarted, or another
	// agent has taken it over.
	workerLost func()
}

func newLeasedRunner(inbox *actor.Inbox[runnerInput], core *actor.Inbox[coreInput], c Config, counters *counters, log *logging.Logger, workerLost func()) *leasedRunner {
	decisions := leased.New(c.Lease, c.Born)
	decisions.SetTokenFloor(c.TokenFloor)
	return &leasedRunner{
		inbox: inbox, core: core, worker: c.Worker, decisions: decisions,
		counters: counters, log: log, workerLost: workerLost,
	}
}

// run sends the first poll, and then handles messages until the context ends.
func (r *leasedRunner) run(ctx context.Context) {
	now := time.Now()
	r.Tick(now)
	r.Flush(now)
	actor.Run(ctx, r.inbox, leasedRunnerTickInterval, r)
}

// Handle passes one message to the decisions.
func (r *leasedRunner) Handle(now time.Time, in runnerInput) bool {
	switch m := in.(type) {
	case *startTask:
		r.decisions.Step(now, &leased.Start{Grant: m.grant})
	case *stopTask:
		r.decisions.Step(now, &leased.Stop{Grant: m.grant})
	case *boundRuns:
		r.decisions.Step(now, &leased.Bound{At: m.at})
	case *callReturned:
		r.counters.callAnswered(m.message)
		r.decisions.Step(now, m.message)
	}
	return true
}

// Tick passes the time to the decisions.
func (r *leasedRunner) Tick(now time.Time) bool {
	r.decisions.Tick(now)
	return true
}

// Flush executes the effects of a batch of messages.
func (r *leasedRunner) Flush(time.Time) {
	for _, effect := range r.decisions.Effects() {
		r.execute(effect)
	}
}

func (r *leasedRunner) execute(effect leased.Effect) {
	switch e := effect.(type) {
	case *leased.SendStart:
		r.logRequested(e)
		r.call(func() leased.Message {
			return &leased.StartAnswered{Run: e.Run, Result: r.worker.Start(e)}
		})
	case *leased.SendStop:
		r.call(func() leased.Message {
			return &leased.StopAnswered{Run: e.Run, Result: r.worker.Stop(e)}
		})
	case *leased.SendPoll:
		r.call(func() leased.Message { return r.poll(e) })
	case *leased.Exited:
		r.reportExit(e)
	case *leased.AvailabilityChanged:
		r.reportAvailability(e)
	case *leased.WorkerLost:
		r.log.Event(event.WorkerReplaced, zap.Stringer("cause", e.Cause), zap.Uint64("token", e.Token))
		r.workerLost()
	case *leased.TokenDerived:
		r.log.Event(event.TokenDerived, zap.Uint64("token", e.Token), zap.Uint64("floor", e.Floor),
			zap.Int64("born", e.Born), zap.Duration("clock_ms", e.Clock))
	case *leased.TokenRejected:
		r.log.Event(event.TokenRejected, zap.Uint64("token", e.Token), zap.String("state", e.State))
	case *leased.RunsLost:
		r.log.Event(event.RunsLost, zap.Int("runs", e.Runs), zap.Duration("lease_left_ms", e.LeaseLeft))
	case *leased.ForeignRunListed:
		r.log.Event(event.ForeignRunStopped, zap.String("task", e.Run.Task), zap.Uint64("run", e.Run.Number),
			zap.Bool("requested", e.Requested), zap.Uint64("token", e.Token))
	case *leased.StopOverdue:
		r.logStopOverdue(e)
	case *leased.StoppedRunListed:
		r.logStoppedRunListed(e)
	}
}

// call runs a call of the worker in its own goroutine.
func (r *leasedRunner) call(f func() leased.Message) {
	go func() { r.inbox.Send(&callReturned{message: f()}) }()
}

func (r *leasedRunner) poll(e *leased.SendPoll) leased.Message {
	sentAt := time.Now()
	result, report := r.worker.Poll(e)
	return &leased.PollAnswered{Result: result, SentAt: sentAt, Token: e.Token, Report: report}
}

func (r *leasedRunner) reportExit(e *leased.Exited) {
	exit := &agent.TaskExited{Grant: e.Grant, Outcome: e.Outcome, RunTime: e.RunTime, Full: e.Full, WorkerCrashed: e.Crashed}
	r.counters.taskEnded(exit)
	r.counters.runEnded(e)
	r.logExit(e)
	r.core.Send(coreInput{message: exit})
}

func (r *leasedRunner) logRequested(e *leased.SendStart) {
	r.log.Event(event.RunRequested, zap.String("task", e.Run.Task), zap.String("grant", formatGrantID(e.Grant)),
		zap.Uint64("run", e.Run.Number), zap.Uint64("token", e.Token), zap.Duration("lease_until_ms", e.Until))
}

func (r *leasedRunner) logExit(e *leased.Exited) {
	id := event.RunEnded
	if e.Outcome != structs.Succeeded {
		id = event.RunFailed
	}
	fields := []logging.Field{
		zap.String("task", e.Task), zap.String("grant", formatGrantID(e.Grant)), zap.Uint64("run", e.Number),
		zap.Stringer("outcome", e.Outcome), zap.Duration("run_ms", e.RunTime), zap.String("detail", e.Detail),
	}
	// The other outcomes are listed by the worker. A grant without a run was given
	// back by the agent itself, which concludes nothing.
	if e.Number > 0 && (e.Outcome == structs.Lost || e.Outcome == structs.NotSent) {
		fields = append(fields, zap.Stringer("concluded_from", e.Concluded), zap.Duration("lease_left_ms", e.LeaseLeft))
	}
	if e.Outcome == structs.Lost {
		fields = append(fields, zap.Bool("crashed", e.Crashed))
	}
	r.log.Event(id, fields...)
}

func (r *leasedRunner) logStopOverdue(e *leased.StopOverdue) {
	r.log.Event(event.StopOverdue, zap.String("task", e.Run.Task), zap.String("grant", formatGrantID(e.Grant)), zap.Uint64("run", e.Run.Number),
		zap.String("state", e.State), zap.Int("attempts", e.Attempts), zap.Bool("executed", e.Executed),
		zap.Duration("asked_ms_ago", e.Elapsed), zap.Duration("limit_ms", e.Limit), zap.Duration("lease_left_ms", e.LeaseLeft))
}

func (r *leasedRunner) logStoppedRunListed(e *leased.StoppedRunListed) {
	r.log.Event(event.StoppedRunListed, zap.String("task", e.Run.Task), zap.String("grant", formatGrantID(e.Grant)), zap.Uint64("run", e.Run.Number),
		zap.String("state", e.State), zap.Int("attempts", e.Attempts), zap.Bool("executed", e.Executed), zap.Duration("lease_left_ms", e.LeaseLeft))
}

func (r *leasedRunner) reportAvailability(e *leased.AvailabilityChanged) {
	id := event.EndpointDown
	if e.Up {
		id = event.EndpointUp
	}
	r.log.Event(id)
	r.core.Send(coreInput{message: &agent.EndpointChanged{Up: e.Up, Tenure: e.Tenure}})
}
