package entryd

import (
	"sync/atomic"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
)

// retryWhenFull is the retry delay suggested to a caller whose request was refused
// because the entry is overloaded or has stopped.
const retryWhenFull = time.Second

// calls sends requests to the core actor and waits for the answers. It may be used
// by multiple goroutines.
type calls struct {
	inbox *actor.Inbox[coreMessage]
	last  atomic.Uint64
}

// builder returns the message of a call, given the reply id assigned to it.
type builder func(dispatch.ReplyID) dispatch.Message

// ask sends a message and returns its answer. If there is none after wait, ask
// abandons the call, and the dispatcher answers with the job's current state. A
// wait of zero is for messages that are answered immediately.
//
// If the core actor's inbox is full, the message is not sent and the answer is a
// refusal with the run status whenFull. This must not be NotRun for a message
// about a job that may have been submitted before, since its tasks may have run.
func (c *calls) ask(build builder, wait time.Duration, whenFull failure.Run) dispatch.Effect {
	id, answer, refusal := c.send(build, whenFull)
	if refusal != nil {
		return refusal
	}
	if wait <= 0 {
		return c.await(id, answer)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	return c.awaitUntil(id, answer, timer.C)
}

// askUntil sends a message and returns its answer. When over yields a value or is
// closed, it abandons the call; a nil channel means to wait without a limit.
func (c *calls) askUntil(build builder, over <-chan time.Time) dispatch.Effect {
	id, answer, refusal := c.send(build, failure.NotRun)
	if refusal != nil {
		return refusal
	}
	return c.awaitUntil(id, answer, over)
}

// send sends a message to the core actor, or returns a refusal if its inbox is
// full.
func (c *calls) send(build builder, whenFull failure.Run) (dispatch.ReplyID, <-chan dispatch.Effect, dispatch.Effect) {
	id := dispatch.ReplyID(c.last.Add(1))
	answer := make(chan dispatch.Effect, 1)
	if !c.inbox.TrySend(&call{reply: id, answer: answer, message: build(id)}) {
		f := failure.New(failure.Overloaded, whenFull, "too many requests are queued at this entry").WithRetry(retryWhenFull)
		return id, nil, &dispatch.Refused{Reply: id, Failure: f}
	}
	return id, answer, nil
}

// awaitUntil waits for the answer. When over yields a value or is closed, it
// abandons the call, which the dispatcher then answers immediately.
func (c *calls) awaitUntil(id dispatch.ReplyID, answer <-chan dispatch.Effect, over <-chan time.Time) dispatch.Effect {
	select {
	case effect := <-answer:
		return effect
	case <-over:
		c.inbox.Send(&notification{message: &dispatch.AbandonReply{Reply: id}})
	case <-c.inbox.Done():
	}
	return c.await(id, answer)
}

// await waits for the answer. It returns a refusal if the core actor has ended
// without one.
func (c *calls) await(id dispatch.ReplyID, answer <-chan dispatch.Effect) dispatch.Effect {
	select {
	case effect := <-answer:
		return effect
	case <-c.inbox.Done():
	}
	// Both channels may have been ready: the actor may have answered just before it
	// ended.
	select {
	case effect := <-answer:
		return effect
	default:
		f := failure.New(failure.Unavailable, failure.Unknown, "the entry has stopped").WithRetry(retryWhenFull)
		return &dispatch.Refused{Reply: id, Failure: f}
	}
}

// probeReadiness returns the readiness of the entry. It reports false if the core actor
// has ended or its inbox is full.
func (c *calls) probeReadiness() (readiness, bool) {
	answer := make(chan readiness, 1)
	if !c.inbox.TrySend(&readinessProbe{answer: answer}) {
		return readiness{}, false
	}
	select {
	case r := <-answer:
		return r, true
	case <-c.inbox.Done():
		return readiness{}, false
	}
}

// inspect returns the dispatcher's state as shown to operators.
func (c *calls) inspect() (*dispatch.View, *failure.Failure) {
	effect := c.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.Inspect{Reply: id}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Inspected:
		return &e.View, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpected(effect)
	}
}

// account returns all service level accounts of the dispatcher, which it requests
// page by page.
func (c *calls) account() (*dispatch.Accounts, *failure.Failure) {
	whole, refusal := c.accountPage(burn.Key{})
	for refusal == nil && whole.More {
		known := whole.Snapshot.Accounts
		whole, refusal = c.accountPage(known[len(known)-1].Key)
		if refusal == nil {
			whole.Snapshot.Accounts = append(known, whole.Snapshot.Accounts...)
		}
	}
	return whole, refusal
}

func (c *calls) accountPage(after burn.Key) (*dispatch.Accounts, *failure.Failure) {
	effect := c.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.Account{Reply: id, After: after}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Accounted:
		return &e.Accounts, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpected(effect)
	}
}

// unexpected returns the failure for an effect of a type that doesn't answer the
// message that was sent.
func unexpected(effect dispatch.Effect) *failure.Failure {
	return failure.Newf(failure.Internal, failure.Unknown, "unexpected answer of the dispatcher: %T", effect)
}
