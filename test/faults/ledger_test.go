package faults

import (
	"context"
	"time"

	"cactuspost.example/internal/actor"
)

const (
	ledgerInboxSize = 1024
	// ledgerTickInterval is the interval at which the rate is evaluated.
	ledgerTickInterval = 100 * time.Millisecond
	// rateWindow is the time over which a rate is measured.
	rateWindow = time.Second
	// recoveredShare is the share of the rate before a fault at which the
	// system counts as recovered.
	recoveredShare = 0.9
)

// ledger is an actor that records the outcomes of jobs and derives the rate at
// which tasks complete.
type ledger struct {
	outcomes  []outcome
	submitted int
	complete  int
	waiting   []*ledgerWait
}

// ledgerMessage is a message to the ledger.
type ledgerMessage interface {
	handle(l *ledger, now time.Time)
}

type (
	jobSubmitted struct{}
	jobEnded     struct{ outcome outcome }
	// ledgerWait is answered once the given number of further jobs are complete
	// and the rate, if set, is reached over a whole window. The reply channel
	// has a buffer of one.
	ledgerWait struct {
		complete int
		rate     int
		since    time.Time
		reply    chan<- time.Time
	}
	rateAsked     struct{ reply chan<- int }
	outcomesAsked struct{ reply chan<- []outcome }
	openJobsAsked struct{ reply chan<- int }
)

func startLedger(ctx context.Context) *actor.Inbox[ledgerMessage] {
	inbox := actor.NewInbox[ledgerMessage](ledgerInboxSize)
	go actor.Run(ctx, inbox, ledgerTickInterval, &ledger{})
	return inbox
}

// Handle implements actor.Handler.
func (l *ledger) Handle(now time.Time, m ledgerMessage) bool {
	m.handle(l, now)
	return true
}

// Tick implements actor.Handler.
func (l *ledger) Tick(now time.Time) bool {
	l.answer(now)
	return true
}

// Flush implements actor.Handler.
func (l *ledger) Flush(now time.Time) { l.answer(now) }

func (l *ledger) answer(now time.Time) {
	var waiting []*ledgerWait
	for _, w := range l.waiting {
		if l.complete >= w.complete && l.reached(w, now) {
			w.reply <- now
			continue
		}
		waiting = append(waiting, w)
	}
	l.waiting = waiting
}

// reached reports whether the rate is reached, over a window that lies wholly
// after the start of the wait.
func (l *ledger) reached(w *ledgerWait, now time.Time) bool {
	if w.rate == 0 {
		return true
	}
	return now.Sub(w.since) >= rateWindow && l.rate(now) >= w.rate
}

// rate returns the number of tasks completed in the last window.
func (l *ledger) rate(now time.Time) int {
	tasks := 0
	for i := len(l.outcomes) - 1; i >= 0 && now.Sub(l.outcomes[i].at) <= rateWindow; i-- {
		if l.outcomes[i].failure == nil {
			tasks += len(l.outcomes[i].job.echoes)
		}
	}
	return tasks
}

func (jobSubmitted) handle(l *ledger, _ time.Time) { l.submitted++ }

func (m *jobEnded) handle(l *ledger, now time.Time) {
	m.outcome.at = now
	l.outcomes = append(l.outcomes, m.outcome)
	if m.outcome.failure == nil {
		l.complete++
	}
}

func (m *ledgerWait) handle(l *ledger, now time.Time) {
	m.complete += l.complete
	m.since = now
	l.waiting = append(l.waiting, m)
}

func (m *rateAsked) handle(l *ledger, now time.Time) { m.reply <- l.rate(now) }
func (m *outcomesAsked) handle(l *ledger, _ time.Time) {
	m.reply <- append([]outcome(nil), l.outcomes...)
}
func (m *openJobsAsked) handle(l *ledger, _ time.Time) { m.reply <- l.submitted - len(l.outcomes) }

// ask sends a question and returns its answer.
func ask[T any](in *actor.Inbox[ledgerMessage], question func(chan<- T) ledgerMessage) T {
	reply := make(chan T, 1)
	in.Send(question(reply))
	return <-reply
}
