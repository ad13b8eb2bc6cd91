// Package actor runs goroutines that own their state and talk by messages.
//
// An actor has one bounded inbox. Only its own goroutine touches its state; all
// others send it messages. What happens when an inbox is full is the sender's
// choice and part of its contract: Send waits, TrySend reports false.
package actor

import (
	"context"
	"time"
)

// Inbox is the bounded queue of messages for one actor.
type Inbox[M any] struct {
	queue chan M
	done  chan struct{}
}

// NewInbox returns an inbox that holds up to size messages.
func NewInbox[M any](size int) *Inbox[M] {
	return &Inbox[M]{queue: make(chan M, size), done: make(chan struct{})}
}

// Send delivers a message, waiting for room. It reports false when the actor
// has ended.
func (in *Inbox[M]) Send(m M) bool {
	select {
	case in.queue <- m:
		return true
	case <-in.done:
		return false
	}
}

// TrySend delivers a message only if there is room now.
func (in *Inbox[M]) TrySend(m M) bool {
	select {
	case in.queue <- m:
		return true
	default:
		return false
	}
}

// Len returns the number of messages that wait.
func (in *Inbox[M]) Len() int { return len(in.queue) }

// Done is closed when the actor has ended.
func (in *Inbox[M]) Done() <-chan struct{} { return in.done }

// Handler is the behaviour of an actor. All calls come from one goroutine.
type Handler[M any] interface {
	// Handle processes one message. It returns false to end the actor.
	Handle(now time.Time, m M) bool
	// Tick is called at least once every period of Run.
	Tick(now time.Time) bool
	// Flush is called after each batch of messages, before the actor waits.
	Flush(now time.Time)
}

// batchLimit bounds the messages handled between two calls of Flush.
const batchLimit = 256

// Run handles messages until the handler or the context ends it, then closes
// the inbox. It waits without spinning.
func Run[M any](ctx context.Context, in *Inbox[M], period time.Duration, h Handler[M]) {
	defer close(in.done)
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !h.Tick(time.Now()) {
				return
			}
		case m := <-in.queue:
			if !handleBatch(in, h, m) {
				return
			}
		}
		h.Flush(time.Now())
	}
}

func handleBatch[M any](in *Inbox[M], h Handler[M], m M) bool {
	for range batchLimit {
		// The clock is read for each message: the process may have been paused
		// since the last one.
		if !h.Handle(time.Now(), m) {
			return false
		}
		select {
		case m = <-in.queue:
		default:
			return true
		}
	}
	return h.Handle(time.Now(), m)
}
