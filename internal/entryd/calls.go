package entryd

import (
	"sync/atomic"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
)

// retryWhenFull is when a caller that found the core's inbox full asks again.
const retryWhenFull = time.Second

// calls asks the core actor on behalf of callers. It may be used by any number
// of goroutines; each waits for its own answer only.
type calls struct {
	inbox *actor.Inbox[coreMessage]
	last  atomic.Uint64
}

// builder makes the message of a call with the reply id that is chosen for it.
type builder func(dispatch.ReplyID) dispatch.Message

// ask sends a message and waits for its one answer. After the wait it abandons
// the call, upon which the dispatcher answers with the present state. Zero is
// for messages that are answered at once. If the core's inbox is full, the
// message is not sent and the answer is a refusal whose outcome is whenFull: a
// message about a job that may have been sent before must not be called not run.
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

// askUntil passes a message on and waits for its answer until over yields a
// value or is closed; nil means that the answer is waited for.
func (c *calls) askUntil(build builder, over <-chan time.Time) dispatch.Effect {
	id, answer, refusal := c.send(build, failure.NotRun)
	if refusal != nil {
		return refusal
	}
	return c.awaitUntil(id, answer, over)
}

// send passes a message on, or returns a refusal if there is no room for it.
func (c *calls) send(build builder, whenFull failure.Run) (dispatch.ReplyID, <-chan dispatch.Effect, dispatch.Effect) {
	id := dispatch.ReplyID(c.last.Add(1))
	answer := make(chan dispatch.Effect, 1)
	if !c.inbox.TrySend(&call{reply: id, answer: answer, message: build(id)}) {
		f := failure.New(failure.Overloaded, whenFull, "too many requests wait at this entry").WithRetry(retryWhenFull)
		return id, nil, &dispatch.Refused{Reply: id, Failure: f}
	}
	return id, answer, nil
}

// awaitUntil waits for the answer, and gives the wait up when over yields a
// value or is closed.
func (c *calls) awaitUntil(id dispatch.ReplyID, answer <-chan dispatch.Effect, over <-chan time.Time) dispatch.Effect {
	select {
	case effect := <-answer:
		return effect
	case <-over:
		c.inbox.Send(&input{message: &dispatch.AbandonReply{Reply: id}})
	case <-c.inbox.Done():
	}
	return c.await(id, answer)
}

// await returns the answer, or a refusal when the core actor has ended.
func (c *calls) await(id dispatch.ReplyID, answer <-chan dispatch.Effect) dispatch.Effect {
	select {
	case effect := <-answer:
		return effect
	case <-c.inbox.Done():
	}
	// The answer may have come with the actor's last messages.
	select {
	case effect := <-answer:
		return effect
	default:
		f := failure.New(failure.Unavailable, failure.Unknown, "the entry has stopped").WithRetry(retryWhenFull)
		return &dispatch.Refused{Reply: id, Failure: f}
	}
}

// probe asks whether the entry is ready. It reports false when the core actor
// has ended or its inbox is full.
func (c *calls) probe() (readiness, bool) {
	answer := make(chan readiness, 1)
	if !c.inbox.TrySend(&probe{answer: answer}) {
		return readiness{}, false
	}
	select {
	case r := <-answer:
		return r, true
	case <-c.inbox.Done():
		return readiness{}, false
	}
}

// inspect returns the dispatcher's state for operators.
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

// account returns the dispatcher's accounts of service levels, which it copies
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

// unexpected reports an effect that doesn't answer the message that was sent.
func unexpected(effect dispatch.Effect) *failure.Failure {
	return failure.Newf(failure.Internal, failure.Unknown, "the dispatcher answered with %T", effect)
}
