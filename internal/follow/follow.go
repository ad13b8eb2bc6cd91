// Package follow watches a table of a store: it reads all rows once and then every
// change. It recovers from outages and from compaction of the store's history.
//
// Follower is an actor. Each call of the store runs on its own goroutine and ends
// with a message to the actor. The chart follow determines the next call.
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
	// Version increases with every change in the store.
	Version uint64
	Deleted bool
}

// Feed is a store whose tables can be watched.
type Feed interface {
	// Load returns all rows of a table and the store's version at which they were
	// read.
	Load(ctx context.Context, table string) ([]Row, uint64, error)
	// Changes returns the rows changed after a version, in order, and the version
	// to continue from. If there are none, it blocks for up to the given wait. It
	// fails with ErrCompacted if the history after the version has been compacted.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, uint64, error)
}

// ErrCompacted is returned by Feed.Changes if the history after the given version
// has been compacted.
var ErrCompacted = errors.New("the store's history after the requested version has been compacted")

const (
	// minRetryDelay and maxRetryDelay bound the delay before a failed call is
	// retried, before jitter.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// retryJitter is the largest part of the delay that is added at random.
	retryJitter = 0.5
	// callTimeoutMargin is the time that a call for changes may take in addition to
	// its wait.
	callTimeoutMargin = 700 * time.Millisecond
	// loadTimeout bounds a call that loads all rows.
	loadTimeout = 1500 * time.Millisecond
	// tickInterval is the resolution of retry delays.
	tickInterval = 100 * time.Millisecond
	// reconnectTime is the time to open a connection and to get an answer on it.
	reconnectTime = 200 * time.Millisecond
	// minPollWait is the least wait for changes, so that an idle follower makes no
	// more than a few calls a second.
	minPollWait = 200 * time.Millisecond
	// inboxSize exceeds the number of calls in progress, which is at most one.
	inboxSize = 4
)

// PollWait returns how long a call for changes may wait so that, if its connection
// falls silent, the call after it is answered within the given time of contact. The
// result is most if contact allows it or is zero.
func PollWait(most, contact time.Duration) time.Duration {
	if contact <= 0 {
		return most
	}
	longestRetryDelay := time.Duration((1+retryJitter)*float64(maxRetryDelay)) + tickInterval
	return min(most, max(minPollWait, contact-callTimeoutMargin-longestRetryDelay-reconnectTime))
}

// Options configures a Follower.
type Options struct {
	Feed  Feed
	Table string
	// PollWait is how long a call waits for changes. A dead connection is detected
	// after this time; see the function PollWait.
	PollWait time.Duration
	// OnRows is called with the rows read, on the follower's goroutine. If all is
	// set, rows is the whole table: rows that are missing have been deleted. This
	// happens at the start and whenever the store's history was compacted.
	OnRows func(rows []Row, all bool)
	Log    *logging.Logger
}

// callResult is the message with the result of a call.
type callResult struct {
	rows    []Row
	version uint64
	err     error
	all     bool
}

// Follower watches one table.
type Follower struct {
	options Options
	inbox   *actor.Inbox[callResult]
	ctx     context.Context
	state   chart.State
	// result is the message being handled.
	result       callResult
	version      uint64
	retryBackoff *backoff.ExponentialBackOff
	nextCallAt   time.Time
	// answeredAt is when the store last answered a call. failedCalls counts the
	// calls that failed since then; an outage is logged at the first.
	answeredAt  time.Time
	failedCalls int
}

var followChart = chart.MustCompile(charts.Files, "follow", chart.Bindings[*Follower]{
	Actions: map[string]func(*Follower){
		"load_rows":       (*Follower).loadRows,
		"request_changes": (*Follower).requestChanges,
		"apply_rows":      (*Follower).applyResult,
		"apply_changes":   (*Follower).applyResult,
		"record_success":  (*Follower).recordSuccess,
		"record_failure":  (*Follower).recordFailure,
		"schedule_retry":  (*Follower).scheduleRetry,
	},
})

var followEvents struct {
	Loaded    chart.Event `chart:"loaded"`
	Changed   chart.Event `chart:"changed"`
	Compacted chart.Event `chart:"compacted"`
	Failed    chart.Event `chart:"failed"`
	RetryDue  chart.Event `chart:"retry_due"`
}

func init() { followChart.MustBindNames(&followEvents) }

// New returns a follower. It starts reading in Run.
func New(o Options) *Follower {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	retry.RandomizationFactor = retryJitter
	return &Follower{options: o, inbox: actor.NewInbox[callResult](inboxSize), state: followChart.Initial(), retryBackoff: retry}
}

// Run watches the table until the context is done.
func (f *Follower) Run(ctx context.Context) {
	f.ctx = ctx
	f.answeredAt = time.Now()
	f.loadRows()
	actor.Run(ctx, f.inbox, tickInterval, f)
}

// Handle processes the result of a call.
func (f *Follower) Handle(_ time.Time, m callResult) bool {
	f.result = m
	switch {
	case errors.Is(m.err, ErrCompacted):
		f.options.Log.Event(event.ChangeHistoryCompacted, zap.String("table", f.options.Table), zap.Uint64("after", f.version))
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

// Tick retries a failed call when its delay is over.
func (f *Follower) Tick(now time.Time) bool {
	if !now.Before(f.nextCallAt) {
		f.fire(followEvents.RetryDue)
	}
	return true
}

// Flush does nothing: results are handled as they arrive.
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

// startCall runs a call of the store on its own goroutine, which sends the result to
// the inbox.
func (f *Follower) startCall(timeout time.Duration, request func(context.Context) callResult) {
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	go func() {
		defer cancel()
		f.inbox.Send(request(ctx))
	}()
}

// applyResult passes the rows on and advances the version. A load sets the version
// even if it is lower than before.
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
	if f.failedCalls > 0 {
		f.options.Log.Event(event.TableAvailable, zap.String("table", f.options.Table), zap.Uint64("version", f.version),
			zap.Int64("outage_ms", time.Since(f.answeredAt).Milliseconds()), zap.Int("failed_calls", f.failedCalls))
	}
	f.answeredAt = time.Now()
	f.failedCalls = 0
}

func (f *Follower) recordFailure() {
	f.failedCalls++
	if f.failedCalls == 1 {
		f.options.Log.Event(event.TableUnavailable, zap.String("table", f.options.Table), zap.Uint64("version", f.version),
			zap.Int64("answered_ms_ago", time.Since(f.answeredAt).Milliseconds()), zap.String("error", f.result.err.Error()))
	}
}

func (f *Follower) scheduleRetry() { f.nextCallAt = time.Now().Add(f.retryBackoff.NextBackOff()) }
