package entryd

import (
	"context"
	"sync/atomic"
	"time"

	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Gateway gives an additional front end access to the dispatcher. It may be used
// by multiple goroutines.
type Gateway struct {
	core *coreClient
	// document is the configuration in force. A document is never modified.
	document atomic.Pointer[structs.Document]
}

// Ingress is an additional front end of an entry.
type Ingress interface {
	// Leave announces the planned stop: clients are asked not to send further
	// requests on their connections.
	Leave()
	// Shutdown stops accepting connections and returns when all requests in
	// progress have been answered or the context is done.
	Shutdown(ctx context.Context) error
}

// Document returns the configuration in force, or nil if there is none.
func (g *Gateway) Document() *structs.Document { return g.document.Load() }

// Ready reports whether the entry has a configuration, is connected to at least
// one agent and is not stopping.
func (g *Gateway) Ready() bool {
	state, ok := g.core.probeReadiness()
	return ok && state.configured && state.agentConnected && !state.stopping
}

// Run submits a job and waits for its end. The caller waits for the answer up to
// waitLimit, which becomes the job's lifetime. A value of callerGone, or closing it,
// means that the caller has disconnected, at the time of the value, and the job is
// cancelled unless another caller waits for it.
func (g *Gateway) Run(s structs.Submission, waitLimit time.Duration, callerGone <-chan time.Time) (structs.Answer, *failure.Failure) {
	receivedAt := time.Now()
	return g.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.RunJob{Reply: id, Submission: s, MaxWait: waitLimit, ReceivedAt: receivedAt}
	}, callerGone)
}

// Find returns the state of the open job with the given name, and cancels the job
// if cancel is set. It returns a failure of kind UnknownJob if there is none.
func (g *Gateway) Find(name string, cancel bool) (structs.Answer, *failure.Failure) {
	return g.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.FindNamedJob{Reply: id, Name: name, Cancel: cancel}
	}, nil)
}

// Waiting returns the number of jobs of a service that were submitted by Run and
// of which no task can have started.
func (g *Gateway) Waiting(service string) (int, *failure.Failure) {
	effect := g.core.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.CountWaitingJobs{Reply: id, Service: service}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Counted:
		return e.Jobs, nil
	case *dispatch.Refused:
		return 0, e.Failure
	default:
		return 0, unexpectedEffect(effect)
	}
}

func (g *Gateway) ask(build messageBuilder, callerGone <-chan time.Time) (structs.Answer, *failure.Failure) {
	switch e := g.core.askUntil(build, callerGone).(type) {
	case *dispatch.Answered:
		return e.Answer, nil
	case *dispatch.Refused:
		return structs.Answer{}, e.Failure
	default:
		return structs.Answer{}, unexpectedEffect(e)
	}
}
