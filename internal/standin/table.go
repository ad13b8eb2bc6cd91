package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/table"
)

// Faults is how a Table misbehaves. The zero value is a table in good order.
type Faults struct {
	// Down refuses every request without effect.
	Down bool `json:"down"`
	// SlowMS delays every answer by that many milliseconds, after the effect.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the number of commits, from now on, that take effect
	// without an answer.
	LoseAnswers int `json:"lose_answers"`
}

// Counts is the number of requests that a Table carried out.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Conflicts is the number of transactions without effect.
	Conflicts uint64 `json:"conflicts"`
}

// Fault is the cause that a Table gives for a failure that was asked for.
type Fault struct{ Name string }

// Error names the fault.
func (f *Fault) Error() string { return "fault of the stand-in: " + f.Name }

// inboxSize bounds the requests that wait; further callers wait in Send.
const inboxSize = 1024

// tickPeriod is how often the idle actor wakes up; nothing depends on it.
const tickPeriod = time.Hour

// Table is an in-memory table service. One goroutine owns its rows; the methods
// are safe for concurrent use. It implements table.Store.
type Table struct {
	inbox  *actor.Inbox[request]
	cancel context.CancelFunc
}

// request runs on the goroutine that owns the rows.
type request struct {
	work func(*tableState)
	done chan struct{}
}

// tableState is what the goroutine owns.
type tableState struct {
	rows   *Rows
	faults Faults
	counts Counts
}

// NewTable starts an empty table. Close ends it.
func NewTable() *Table {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Table{inbox: actor.NewInbox[request](inboxSize), cancel: cancel}
	go actor.Run(ctx, t.inbox, tickPeriod, &tableState{rows: NewRows()})
	return t
}

// Close ends the table; later calls fail as if it were down.
func (t *Table) Close() {
	t.cancel()
	<-t.inbox.Done()
}

// Handle implements actor.Handler.
func (s *tableState) Handle(_ time.Time, r request) bool {
	r.work(s)
	close(r.done)
	return true
}

// Tick implements actor.Handler.
func (s *tableState) Tick(time.Time) bool { return true }

// Flush implements actor.Handler.
func (s *tableState) Flush(time.Time) {}

// do runs work on the owning goroutine. It reports false when the table ended.
func (t *Table) do(work func(*tableState)) bool {
	r := request{work: work, done: make(chan struct{})}
	if !t.inbox.Send(r) {
		return false
	}
	select {
	case <-r.done:
		return true
	case <-t.inbox.Done():
		return false
	}
}

// SetFaults replaces the faults.
func (t *Table) SetFaults(f Faults) { t.do(func(s *tableState) { s.faults = f }) }

// Faults returns the faults that are set; LoseAnswers counts down.
func (t *Table) Faults() Faults {
	var f Faults
	t.do(func(s *tableState) { f = s.faults })
	return f
}

// Counts returns the requests carried out so far.
func (t *Table) Counts() Counts {
	var c Counts
	t.do(func(s *tableState) { c = s.counts })
	return c
}

// Get implements table.Store.
func (t *Table) Get(ctx context.Context, key string) (table.Row, error) {
	row, _, err := t.GetChanged(ctx, key, 0)
	return row, err
}

// GetChanged implements table.Store.
func (t *Table) GetChanged(ctx context.Context, key string, version uint64) (table.Row, bool, error) {
	var row table.Row
	err := t.read(ctx, func(rows *Rows) { row = rows.Get(key) })
	if err != nil {
		return table.Row{}, false, err
	}
	if row.Version == version {
		return table.Row{Key: key, Version: version}, false, nil
	}
	return row, true, nil
}

// List implements table.Store.
func (t *Table) List(ctx context.Context, prefix string) ([]table.Row, error) {
	var rows []table.Row
	err := t.read(ctx, func(r *Rows) { rows = r.List(prefix) })
	return rows, err
}

func (t *Table) read(ctx context.Context, look func(*Rows)) error {
	var faults Faults
	alive := t.do(func(s *tableState) {
		faults = s.faults
		if !faults.Down {
			s.counts.Reads++
			look(s.rows)
		}
	})
	if !alive || faults.Down {
		return unavailable()
	}
	if err := delay(ctx, faults); err != nil {
		return errors.WithStack(&table.UnavailableError{Cause: err})
	}
	return nil
}

// Commit implements table.Store.
func (t *Table) Commit(ctx context.Context, tx table.Transaction) (uint64, error) {
	var outcome commitOutcome
	if !t.do(func(s *tableState) { outcome = s.commit(tx) }) {
		return 0, unavailable()
	}
	if outcome.err != nil {
		return 0, outcome.err
	}
	if outcome.lost {
		return 0, errors.WithStack(&table.UnknownOutcomeError{Cause: &Fault{Name: "answer lost"}})
	}
	if err := delay(ctx, outcome.faults); err != nil {
		return 0, errors.WithStack(&table.UnknownOutcomeError{Cause: err})
	}
	return outcome.version, nil
}

type commitOutcome struct {
	version uint64
	faults  Faults
	lost    bool
	err     error
}

func (s *tableState) commit(tx table.Transaction) commitOutcome {
	if s.faults.Down {
		return commitOutcome{err: unavailable()}
	}
	version, err := s.rows.Commit(tx)
	if err != nil {
		s.counts.Conflicts++
		return commitOutcome{err: err}
	}
	s.counts.Writes++
	lost := s.faults.LoseAnswers > 0
	if lost {
		s.faults.LoseAnswers--
	}
	return commitOutcome{version: version, faults: s.faults, lost: lost}
}

func unavailable() error {
	return errors.WithStack(&table.UnavailableError{Cause: &Fault{Name: "down"}})
}

// delay waits as long as the faults ask, or until the context ends.
func delay(ctx context.Context, f Faults) error {
	if f.SlowMS <= 0 {
		return nil
	}
	timer := time.NewTimer(time.Duration(f.SlowMS) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
