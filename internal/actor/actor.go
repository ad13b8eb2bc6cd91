// Package actor runs goroutines that own their state and communicate by messages.
//
// An actor has one bounded inbox. Only its own goroutine accesses its state; other
// goroutines send it messages. The sender decides what happens when the inbox is
// full, and documents it: Send waits for space, TrySend returns false.
package actor

import (
	"context"
	"time"
)

// Inbox is the bounded message queue of one actor.
type Inbox[M any] struct {
	queue chan M
	done  chan struct{}
}

// NewInbox returns an inbox that holds up to size messages.
func NewInbox[M any](size int) *Inbox[M] {
	return &Inbox[M]{queue: make(chan M, size), done: make(chan struct{})}
}

// Send puts a message into the queue and waits for space if it is full. It returns
// false only if the actor has ended. A message that still enters the queue after the
// end is never handled.
func (in *Inbox[M]) Send(m M) bool {
	select {
	case in.queue <- m:
		return true
	case <-in.done:
		return false
	}
}

// TrySend puts a message into the queue if it has space. It never waits, and
// returns false if the queue is full.
func (in *Inbox[M]) TrySend(m M) bool {
	select {
	case in.queue <- m:
		return true
	default:
		return false
	}
}

// Len returns the number of messages in the queue.
func (in *Inbox[M]) Len() int { return len(in.queue) }

// Done returns a channel that is closed when the actor has ended.
func (in *Inbox[M]) Done() <-chan struct{} { return in.done }

// Handler implements the behaviour of an actor. All calls come from one goroutine.
type Handler[M any] interface {
	// Handle processes one message. It returns false to end the actor.
	Handle(now time.Time, m M) bool
	// Tick is called periodically, with the period that is passed to Run. It
	// returns false to end the actor.
	Tick(now time.Time) bool
	// Flush is called after each tick and each batch of messages, before the actor
	// waits.
	Flush(now time.Time)
}

// batchLimit is the number of messages after which Flush is called even if more
// messages wait.
const batchLimit = 256

// Run handles messages until a method of the handler returns false or the context
// ends, then marks the actor as ended. It blocks while there is nothing to do.
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
		// The clock is read for each message, because the process may have been
		// paused since the last one.
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
