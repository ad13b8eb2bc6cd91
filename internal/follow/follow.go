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
	// firstRetry and lastRetry bound the pause after a failed call. The last one
	// is well under the bound for a configuration to be in force.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 800 * time.Millisecond
	// callSlack is how much longer than its wait a call may take.
	callSlack = 700 * time.Millisecond
	// loadTimeout bounds the reading of all rows.
	loadTimeout = 1500 * time.Millisecond
	// period is the resolution of the pauses.
	period = 100 * time.Millisecond
	// inboxSize is more than the one answer that can be outstanding.
	inboxSize = 4
)

// Options configures a Follower.
type Options struct {
	Feed  Feed
	Table string
	// Wait is how long a call waits for changes. A connection that has gone
	// silent is noticed after that.
	Wait time.Duration
	// Rows gets every row that is read, on the follower's goroutine: after a
	// loss of history all rows again, without those that were deleted meanwhile.
	Rows func(rows []Row, all bool)
	Log  *logging.Logger
}

// answered is the message that ends a call.
type answered struct {
	rows    []Row
	version uint64
	err     error
	all     bool
}

// Follower follows one table.
type Follower struct {
	options Options
	inbox   *actor.Inbox[answered]
	ctx     context.Context
	state   chart.State
	// answer is the message that an event is about.
	answer  answered
	version uint64
	retry   *backoff.ExponentialBackOff
	dueAt   time.Time
	// lost says that the last call failed.
	lost bool
}

var followChart = chart.MustCompile(charts.Files, "follow", chart.Bindings[*Follower]{
	Actions: map[string]func(*Follower){
		"ask_all":      (*Follower).askAll,
		"ask_changes":  (*Follower).askChanges,
		"take_all":     (*Follower).take,
		"take_changes": (*Follower).take,
		"note_contact": (*Follower).noteContact,
		"note_failure": (*Follower).noteFailure,
		"schedule":     (*Follower).schedule,
	},
})

var followEvents struct {
	Loaded    chart.Event `chart:"loaded"`
	Changed   chart.Event `chart:"changed"`
	Compacted chart.Event `chart:"compacted"`
	Failed    chart.Event `chart:"failed"`
	Due       chart.Event `chart:"due"`
}

func init() { followChart.MustNames(&followEvents) }

// New returns a follower that reads nothing before Run.
func New(o Options) *Follower {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = lastRetry
	return &Follower{options: o, inbox: actor.NewInbox[answered](inboxSize), state: followChart.Initial(), retry: retry}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	f.ctx = ctx
	f.askAll()
	actor.Run(ctx, f.inbox, period, f)
}

// Handle processes the end of a call.
func (f *Follower) Handle(_ time.Time, m answered) bool {
	f.answer = m
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
	f.answer = answered{}
	return true
}

// Tick makes a call that is due.
func (f *Follower) Tick(now time.Time) bool {
	if !now.Before(f.dueAt) {
		f.fire(followEvents.Due)
	}
	return true
}

// Flush does nothing: answers are handled as they come.
func (f *Follower) Flush(time.Time) {}

func (f *Follower) fire(e chart.Event) { followChart.Fire(&f.state, e, f) }

func (f *Follower) askAll() {
	f.call(loadTimeout, func(ctx context.Context) answered {
		rows, version, err := f.options.Feed.Load(ctx, f.options.Table)
		return answered{rows: rows, version: version, err: err, all: true}
	})
}

func (f *Follower) askChanges() {
	after := f.version
	f.call(f.options.Wait+callSlack, func(ctx context.Context) answered {
		rows, version, err := f.options.Feed.Changes(ctx, f.options.Table, after, f.options.Wait)
		return answered{rows: rows, version: version, err: err}
	})
}

// call runs a call of the store on its own goroutine.
func (f *Follower) call(timeout time.Duration, ask func(context.Context) answered) {
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	go func() {
		defer cancel()
		f.inbox.Send(ask(ctx))
	}()
}

func (f *Follower) take() {
	f.version = max(f.version, f.answer.version)
	if f.answer.all {
		f.version = f.answer.version
	}
	if len(f.answer.rows) > 0 || f.answer.all {
		f.options.Rows(f.answer.rows, f.answer.all)
	}
}

func (f *Follower) noteContact() {
	f.retry.Reset()
	if f.lost {
		f.options.Log.Event(event.TableAvailable, zap.String("table", f.options.Table), zap.Uint64("version", f.version))
	}
	f.lost = false
}

func (f *Follower) noteFailure() {
	if !f.lost {
		f.options.Log.Event(event.TableUnavailable, zap.String("table", f.options.Table), zap.Uint64("version", f.version), zap.String("error", f.answer.err.Error()))
	}
	f.lost = true
}

func (f *Follower) schedule() { f.dueAt = time.Now().Add(f.retry.NextBackOff()) }
