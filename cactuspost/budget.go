package cactuspost

import (
	"context"
	"time"

	"cactuspost.example/internal/actor"
)

const (
	// retryShare is what each call adds to the budget, in retries.
	retryShare = 0.1
	// retryBurst is the budget at the start and its bound, in retries.
	retryBurst = 10.0
	// budgetInbox bounds the waiting messages. Senders wait for room.
	budgetInbox = 256
	// budgetPeriod is how often the idle actor wakes; it has nothing to do then.
	budgetPeriod = time.Hour
)

// budgetMessage asks the budget's goroutine for a retry, or adds to the budget
// when reply is nil.
type budgetMessage struct{ reply chan<- bool }

// budget bounds the retries of all calls of a client to a share of its calls,
// so that an overload is not made worse by retries. One goroutine owns it.
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

func startBudget(ctx context.Context) *actor.Inbox[budgetMessage] {
	in := actor.NewInbox[budgetMessage](budgetInbox)
	go actor.Run(ctx, in, budgetPeriod, &budget{retries: retryBurst})
	return in
}

// askBudget reports whether a retry was granted. A closed client grants none.
func askBudget(in *actor.Inbox[budgetMessage]) bool {
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
