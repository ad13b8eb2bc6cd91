package entryd

import (
	"context"
	"sync/atomic"
	"time"

	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Gateway is how a further front end hands requests to the dispatcher. It may be
// used by any number of goroutines.
type Gateway struct {
	calls *calls
	// document is the configuration in force, which is never changed in place.
	document atomic.Pointer[structs.Document]
}

// Ingress is a further front end of an entry.
type Ingress interface {
	// Leave asks clients to open no more requests on their connections.
	Leave()
	// Shutdown stops accepting and returns when every request in progress was
	// answered, or the context ends.
	Shutdown(ctx context.Context) error
}

// Document returns the configuration in force, or nil.
func (g *Gateway) Document() *structs.Document { return g.document.Load() }

// Ready reports whether the entry knows a configuration and a worker and is not
// leaving.
func (g *Gateway) Ready() bool {
	state, ok := g.calls.probe()
	return ok && state.configured && state.serving && !state.leaving
}

// Run submits a job and waits for its end. When left is closed, the caller has
// gone and the job ends. The patience is the caller's own.
func (g *Gateway) Run(s structs.Submission, patience time.Duration, left <-chan time.Time) (structs.Answer, *failure.Failure) {
	return g.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.RunJob{Reply: id, Submission: s, MaxWait: patience}
	}, left)
}

// Find returns the state of the open job of the name, and ends it if cancel is
// set. It returns a failure of kind UnknownJob if there is none.
func (g *Gateway) Find(name string, cancel bool) (structs.Answer, *failure.Failure) {
	return g.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.FindNamedJob{Reply: id, Name: name, Cancel: cancel}
	}, nil)
}

// Waiting returns the number of a service's jobs of which no task has started.
func (g *Gateway) Waiting(service string) (int, *failure.Failure) {
	effect := g.calls.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.CountWaitingJobs{Reply: id, Service: service}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Counted:
		return e.Jobs, nil
	case *dispatch.Refused:
		return 0, e.Failure
	default:
		return 0, unexpected(effect)
	}
}

func (g *Gateway) ask(build builder, left <-chan time.Time) (structs.Answer, *failure.Failure) {
	switch e := g.calls.askUntil(build, left).(type) {
	case *dispatch.Answered:
		return e.Answer, nil
	case *dispatch.Refused:
		return structs.Answer{}, e.Failure
	default:
		return structs.Answer{}, unexpected(e)
	}
}
