package standin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/table"
)

// Faults configures the faults that a Table injects. The zero value injects none.
type Faults struct {
	// Down rejects every request without effect.
	Down bool `json:"down"`
	// SlowMS delays every answer by this number of milliseconds. The request takes
	// effect before the delay.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is the number of further commits that take effect but are not
	// answered.
	LoseAnswers int `json:"lose_answers"`
}

// Counts holds the numbers of requests that a Table has handled.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Conflicts is the number of transactions that were rejected.
	Conflicts uint64 `json:"conflicts"`
}

// InjectedFault is the cause of an error that results from an injected fault.
type InjectedFault struct{ Name string }

// Error returns the name of the fault.
func (f *InjectedFault) Error() string { return "injected fault: " + f.Name }

// tableInboxSize is the number of requests that can be queued. Further callers
// block in Send.
const tableInboxSize = 1024

// tableTickPeriod is the actor's tick period; its tick does nothing.
const tableTickPeriod = time.Hour

// Table is an in-memory implementation of table.Store. One goroutine owns the
// rows, and the methods are safe for concurrent use.
type Table struct {
	inbox  *actor.Inbox[request]
	cancel context.CancelFunc
}

// request is a function to run on the goroutine that owns the rows.
type request struct {
	work func(*tableState)
	done chan struct{}
}

// tableState is the state that the goroutine owns.
type tableState struct {
	rows   *Rows
	faults Faults
	counts Counts
}

// NewTable starts an empty table. The caller must call Close.
func NewTable() *Table {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Table{inbox: actor.NewInbox[request](tableInboxSize), cancel: cancel}
	go actor.Run(ctx, t.inbox, tableTickPeriod, &tableState{rows: NewRows()})
	return t
}

// Close ends the table. Later calls fail as if it were down.
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

// do runs work on the owning goroutine and waits for it. It returns false if the
// table was closed.
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

// SetFaults replaces the injected faults.
func (t *Table) SetFaults(f Faults) { t.do(func(s *tableState) { s.faults = f }) }

// Faults returns the current faults. LoseAnswers is the number that remains.
func (t *Table) Faults() Faults {
	var f Faults
	t.do(func(s *tableState) { f = s.faults })
	return f
}

// Counts returns the counts so far.
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

func (t *Table) read(ctx context.Context, readRows func(*Rows)) error {
	var faults Faults
	alive := t.do(func(s *tableState) {
		faults = s.faults
		if !faults.Down {
			s.counts.Reads++
			readRows(s.rows)
		}
	})
	if !alive || faults.Down {
		return unavailableError()
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
		return 0, unavailableError()
	}
	if outcome.err != nil {
		return 0, outcome.err
	}
	if outcome.lost {
		return 0, errors.WithStack(&table.UnknownOutcomeError{Cause: &InjectedFault{Name: "answer lost"}})
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
		return commitOutcome{err: unavailableError()}
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

func unavailableError() error {
	return errors.WithStack(&table.UnavailableError{Cause: &InjectedFault{Name: "down"}})
}

// delay waits for the injected delay or until the context ends.
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
