package cactuspost

import (
	"context"
	"time"

	"cactuspost.example/internal/actor"
)

const (
	// retryShare is the number of retries that each call adds to the budget.
	retryShare = 0.1
	// retryBurst is the initial and the largest budget, in retries.
	retryBurst = 10.0
	// budgetInboxSize is the capacity of the actor's inbox. A retry waits for
	// room in a full inbox; the addition of a call's share is dropped.
	budgetInboxSize = 256
	// budgetTickInterval is the tick interval that actor.Run requires; the
	// budget has no periodic work.
	budgetTickInterval = time.Hour
)

// budgetMessage asks the budget for a retry, or, if reply is nil, adds the share
// of a new call to it.
type budgetMessage struct{ reply chan<- bool }

// budget is an actor that limits the retries of a client to a share of its
// calls, so that retries do not make an overload worse.
type budget struct{ retries float64 }

// Handle implements actor.Handler.
func (b *budget) Handle(_ time.Time, m budgetMessage) bool {
	if m.reply == nil {
		b.retries = min(b.retries+retryShare, retryBurst)
		return true
	}
	granted := b.retries >= 1
	if granted {
		b.retries--
	}
	m.reply <- granted
	return true
}

// Tick implements actor.Handler.
func (b *budget) Tick(time.Time) bool { return true }

// Flush implements actor.Handler.
func (b *budget) Flush(time.Time) {}

// startBudget starts a full budget, which ends with ctx, and returns its inbox.
func startBudget(ctx context.Context) *actor.Inbox[budgetMessage] {
	in := actor.NewInbox[budgetMessage](budgetInboxSize)
	go actor.Run(ctx, in, budgetTickInterval, &budget{retries: retryBurst})
	return in
}

// requestRetry reports whether the budget grants a retry. A closed client
// grants none.
func requestRetry(in *actor.Inbox[budgetMessage]) bool {
	reply := make(chan bool, 1)
	if !in.Send(budgetMessage{reply: reply}) {
		return false
	}
	select {
	case granted := <-reply:
		return granted
	case <-in.Done():
		return false
	}
}
