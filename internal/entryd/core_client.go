package entryd

import (
	"sync/atomic"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
)

// callRetryDelay is the retry delay suggested to a caller whose request was
// refused because the entry is overloaded or has stopped.
const callRetryDelay = time.Second

// coreClient sends requests to the core actor and waits for the answers. It may
// be used by multiple goroutines.
type coreClient struct {
	inbox       *actor.Inbox[coreMessage]
	lastReplyID atomic.Uint64
}

// messageBuilder returns the message of a call, given the reply id assigned to
// it.
type messageBuilder func(dispatch.ReplyID) dispatch.Message

// ask sends a message and returns its answer. If there is none after wait, ask
// abandons the call, and the dispatcher answers with the job's current state. A
// wait of zero is for messages that are answered immediately.
//
// If the core actor's inbox is full, the message is not sent and the answer is a
// refusal with the run status runWhenFull. This must not be NotRun for a message
// about a job that may have been submitted before, since its tasks may have run.
func (c *coreClient) ask(build messageBuilder, wait time.Duration, runWhenFull failure.Run) dispatch.Effect {
	id, answer, refusal := c.send(build, runWhenFull)
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

// askUntil sends a message and returns its answer. When abandon yields a value or
// is closed, it abandons the call; a nil channel means to wait without a limit.
func (c *coreClient) askUntil(build messageBuilder, abandon <-chan time.Time) dispatch.Effect {
	select {
	case <-abandon:
		return &dispatch.Refused{Failure: failure.New(failure.Cancelled, failure.NotRun, "the caller disconnected before its request was handled")}
	default:
	}
	id, answer, refusal := c.send(build, failure.NotRun)
	if refusal != nil {
		return refusal
	}
	return c.awaitUntil(id, answer, abandon)
}

// send sends a message to the core actor, or returns a refusal if its inbox is
// full.
func (c *coreClient) send(build messageBuilder, runWhenFull failure.Run) (dispatch.ReplyID, <-chan dispatch.Effect, dispatch.Effect) {
	id := dispatch.ReplyID(c.lastReplyID.Add(1))
	answer := make(chan dispatch.Effect, 1)
	if !c.inbox.TrySend(&call{reply: id, answer: answer, message: build(id)}) {
		f := failure.New(failure.Overloaded, runWhenFull, "too many requests are queued at this entry").WithRetry(callRetryDelay)
		return id, nil, &dispatch.Refused{Reply: id, Failure: f}
	}
	return id, answer, nil
}

// awaitUntil waits for the answer. When abandon yields a value or is closed, it
// abandons the call, which the dispatcher then answers immediately. The value is when
// the caller was found to wait no longer.
func (c *coreClient) awaitUntil(id dispatch.ReplyID, answer <-chan dispatch.Effect, abandon <-chan time.Time) dispatch.Effect {
	select {
	case effect := <-answer:
		return effect
	case at := <-abandon:
		if at.IsZero() {
			at = time.Now()
		}
		c.inbox.Send(&notification{message: &dispatch.AbandonReply{Reply: id, At: at}})
	case <-c.inbox.Done():
	}
	return c.await(id, answer)
}

// await waits for the answer. It returns a refusal if the core actor has ended
// without one.
func (c *coreClient) await(id dispatch.ReplyID, answer <-chan dispatch.Effect) dispatch.Effect {
	select {
	case effect := <-answer:
		return effect
	case <-c.inbox.Done():
	}
	// Both channels may have been ready: the actor may have answered just
	// before it ended.
	select {
	case effect := <-answer:
		return effect
	default:
		f := failure.New(failure.Unavailable, failure.Unknown, "the entry has stopped").WithRetry(callRetryDelay)
		return &dispatch.Refused{Reply: id, Failure: f}
	}
}

// probeReadiness returns the readiness of the entry. It reports false if the
// core actor has ended or its inbox is full.
func (c *coreClient) probeReadiness() (readinessState, bool) {
	answer := make(chan readinessState, 1)
	if !c.inbox.TrySend(&readinessProbe{answer: answer}) {
		return readinessState{}, false
	}
	select {
	case r := <-answer:
		return r, true
	case <-c.inbox.Done():
		return readinessState{}, false
	}
}

// inspect returns the dispatcher's state as shown to operators.
func (c *coreClient) inspect() (*dispatch.View, *failure.Failure) {
	effect := c.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.Inspect{Reply: id}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Inspected:
		return &e.View, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpectedEffect(effect)
	}
}

// accounts returns all service level accounts of the dispatcher. It requests them
// page by page.
func (c *coreClient) accounts() (*dispatch.Accounts, *failure.Failure) {
	page, refusal := c.accountPage(burn.Key{})
	for refusal == nil && page.More {
		previous := page.Snapshot.Accounts
		page, refusal = c.accountPage(previous[len(previous)-1].Key)
		if refusal == nil {
			page.Snapshot.Accounts = append(previous, page.Snapshot.Accounts...)
		}
	}
	return page, refusal
}

func (c *coreClient) accountPage(after burn.Key) (*dispatch.Accounts, *failure.Failure) {
	effect := c.ask(func(id dispatch.ReplyID) dispatch.Message {
		return &dispatch.Account{Reply: id, After: after}
	}, 0, failure.NotRun)
	switch e := effect.(type) {
	case *dispatch.Accounted:
		return &e.Accounts, nil
	case *dispatch.Refused:
		return nil, e.Failure
	default:
		return nil, unexpectedEffect(effect)
	}
}

// unexpectedEffect returns the failure for an effect of a type that doesn't
// answer the message that was sent.
func unexpectedEffect(effect dispatch.Effect) *failure.Failure {
	return failure.Newf(failure.Internal, failure.Unknown, "unexpected answer of the dispatcher: %T", effect)
}
