// Package follow reads the rows of one table of a store and every change of them
// after that, through outages and lost history.
//
// Follower is an actor: each call of the store runs on its own goroutine and
// ends with a message. The chart follow says what is asked for next.
package follow

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"cactuspost.example/charts"
	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
)

// Row is one row of a table.
type Row struct {
	Key   string
	Value []byte
	// Version rises with every change in the store.
	Version uint64
	Deleted bool
}

// Feed is a store whose tables can be followed.
type Feed interface {
	// Load returns all rows of a table and the store's version at that moment.
	Load(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows changed after a version, in order, and the version
	// to go on from. Without a change it answers after the wait. It fails with
	// ErrCompacted when the history after the version is gone.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}

// ErrCompacted says that the history after the given version is gone.
var ErrCompacted = errors.New("the store's history after the version is gone")

const (
	// minRetryDelay and maxRetryDelay bound the pause after a failed call. The last one
	// is well under the bound for a configuration to be in force.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// callTimeoutMargin is how much longer than its wait a call may take.
	callTimeoutMargin = 700 * time.Millisecond
	// loadTimeout bounds the reading of all rows.
	loadTimeout = 1500 * time.Millisecond
	// tickInterval is the resolution of the pauses.
	tickInterval = 100 * time.Millisecond
	// inboxSize is more than the one answer that can be outstanding.
	inboxSize = 4
)

// Options configures a Follower.
type Options struct {
	Feed  Feed
	Table string
	// PollWait is how long a call waits for changes. A connection that has gone
	// silent is noticed after that.
	PollWait time.Duration
	// OnRows gets every row that is read, on the follower's goroutine: after a
	// loss of history all rows again, without those that were deleted meanwhile.
	OnRows func(rows []Row, all bool)
	Log    *logging.Logger
}

// callResult is the message that ends a call.
type callResult struct {
	rows    []Row
	version uint64
	err     error
	all     bool
}

// Follower follows one table.
type Follower struct {
	options Options
	inbox   *actor.Inbox[callResult]
	ctx     context.Context
	state   chart.State
	// result is the message that an event is about.
	result       callResult
	version      uint64
	retryBackoff *backoff.ExponentialBackOff
	nextCallAt   time.Time
	// failing says that the last call failed.
	failing bool
}

var followChart = chart.MustCompile(charts.Files, "follow", chart.Bindings[*Follower]{
	Actions: map[string]func(*Follower){
		"ask_all":      (*Follower).loadRows,
		"ask_changes":  (*Follower).requestChanges,
		"take_all":     (*Follower).applyResult,
		"take_changes": (*Follower).applyResult,
		"note_contact": (*Follower).recordSuccess,
		"note_failure": (*Follower).recordFailure,
		"schedule":     (*Follower).scheduleRetry,
	},
})

var followEvents struct {
	Loaded    chart.Event `chart:"loaded"`
	Changed   chart.Event `chart:"changed"`
	Compacted chart.Event `chart:"compacted"`
	Failed    chart.Event `chart:"failed"`
	RetryDue  chart.Event `chart:"due"`
}

func init() { followChart.MustNames(&followEvents) }

// New returns a follower that reads nothing before Run.
func New(o Options) *Follower {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	return &Follower{options: o, inbox: actor.NewInbox[callResult](inboxSize), state: followChart.Initial(), retryBackoff: retry}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.ctx = ctx
	f.loadRows()
	actor.Run(ctx, f.inbox, tickInterval, f)
}

// Handle processes the end of a call.
func (f *Follower) Handle(_ time.Time, m callResult) bool {
	f.result = m
	switch {
	case errors.Is(m.err, ErrCompacted):
		f.options.Log.Event(event.HistoryLost, zap.String("table", f.options.Table), zap.Uint64("after", f.version))
		f.fire(followEvents.Compacted)
	case m.err != nil:
		f.fire(followEvents.Failed)
	case m.all:
		f.fire(followEvents.Loaded)
	default:
		f.fire(followEvents.Changed)
	}
	f.result = callResult{}
	return true
}

// Tick makes a call that is due.
func (f *Follower) Tick(now time.Time) bool {
	if !now.Before(f.nextCallAt) {
		f.fire(followEvents.RetryDue)
	}
	return true
}

// Flush does nothing: answers are handled as they come.
func (f *Follower) Flush(time.Time) {}

func (f *Follower) fire(e chart.Event) { followChart.Fire(&f.state, e, f) }

func (f *Follower) loadRows() {
	f.startCall(loadTimeout, func(ctx context.Context) callResult {
		rows, version, err := f.options.Feed.Load(ctx, f.options.Table)
		return callResult{rows: rows, version: version, err: err, all: true}
	})
}

func (f *Follower) requestChanges() {
	after := f.version
	f.startCall(f.options.PollWait+callTimeoutMargin, func(ctx context.Context) callResult {
		rows, version, err := f.options.Feed.Changes(ctx, f.options.Table, after, f.options.PollWait)
		return callResult{rows: rows, version: version, err: err}
	})
}

// startCall runs a call of the store on its own goroutine.
func (f *Follower) startCall(timeout time.Duration, request func(context.Context) callResult) {
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	go func() {
		defer cancel()
		f.inbox.Send(request(ctx))
	}()
}

func (f *Follower) applyResult() {
	f.version = max(f.version, f.result.version)
	if f.result.all {
		f.version = f.result.version
	}
	if len(f.result.rows) > 0 || f.result.all {
		f.options.OnRows(f.result.rows, f.result.all)
	}
}

func (f *Follower) recordSuccess() {
	f.retryBackoff.Reset()
	if f.failing {
		f.options.Log.Event(event.TableAvailable, zap.String("table", f.options.Table), zap.Uint64("version", f.version))
	}
	f.failing = false
}

func (f *Follower) recordFailure() {
	if !f.failing {
		f.options.Log.Event(event.TableUnavailable, zap.String("table", f.options.Table), zap.Uint64("version", f.version), zap.String("error", f.result.err.Error()))
	}
	f.failing = true
}

func (f *Follower) scheduleRetry() { f.nextCallAt = time.Now().Add(f.retryBackoff.NextBackOff()) }
