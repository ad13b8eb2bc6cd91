package registry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactuspost.example/internal/standin"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

var epoch = time.UnixMilli(1_700_000_000_000)

func peer(i structs.Incarnation) structs.Peer {
	return structs.Peer{Name: "entry-" + i.String()[15:], Incarnation: i, LinkAddress: "10.0.0.1:" + i.String()}
}

// callOutcome is the simulated outcome of a call to the table.
type callOutcome int

const (
	answered callOutcome = iota
	tableDown
	answerLost
	// writeDelayed loses the answer and applies the transaction later.
	writeDelayed
	outcomeCount
)

// fakeTable applies the effects of a lease to rows in memory.
type fakeTable struct {
	rows    *standin.Rows
	delayed []table.Transaction
}

func newFakeTable() *fakeTable { return &fakeTable{rows: standin.NewRows()} }

// applyEffects applies the effects of a lease and passes the answers to it at the
// given time.
func (f *fakeTable) applyEffects(l *Lease, now time.Time, next func() callOutcome) {
	for effects := l.Effects(); len(effects) > 0; effects = l.Effects() {
		for _, e := range effects {
			f.applyEffect(l, now, e, next)
		}
	}
}

func (f *fakeTable) applyEffect(l *Lease, now time.Time, e Effect, next func() callOutcome) {
	key := Key(l.peer.Incarnation)
	switch e := e.(type) {
	case Write:
		value, _ := encode(e.Record)
		l.Step(now, f.commit(table.Put(key, e.Expected, value), next()))
	case Remove:
		l.Step(now, f.commit(table.Delete(key, e.Expected), next()))
	case Read:
		l.Step(now, f.read(key, next()))
	}
}

func (f *fakeTable) commit(op table.Operation, outcome callOutcome) Message {
	tx := table.Transaction{op}
	switch outcome {
	case tableDown:
		return Unavailable{}
	case writeDelayed:
		f.delayed = append(f.delayed, tx)
		return Unanswered{}
	}
	version, err := f.rows.Commit(tx)
	if outcome == answerLost {
		return Unanswered{}
	}
	return commitAnswer(version, err)
}

func (f *fakeTable) read(key string, outcome callOutcome) Message {
	if outcome != answered {
		return Unavailable{}
	}
	row := f.rows.Get(key)
	if !row.Exists() {
		return Missing{}
	}
	entry, err := decode(row)
	if err != nil {
		return Unavailable{}
	}
	return Found{Entry: entry}
}

// applyDelayed commits the oldest delayed transaction; a version conflict is
// ignored.
func (f *fakeTable) applyDelayed() {
	if len(f.delayed) == 0 {
		return
	}
	_, _ = f.rows.Commit(f.delayed[0])
	f.delayed = f.delayed[1:]
}

func always(outcome callOutcome) func() callOutcome { return func() callOutcome { return outcome } }

func TestLeaseRegistersRenewsAndLeaves(t *testing.T) {
	is := is.New(t)
	f := newFakeTable()
	l := NewLease(peer(1), epoch)
	l.Step(epoch, Tick{})
	f.applyEffects(l, epoch, always(answered))
	is.Equal(l.State(), "held")
	is.True(l.ValidAt(epoch.Add(LeaseDuration - time.Millisecond)))
	is.True(!l.ValidAt(epoch.Add(LeaseDuration)))
	l.Step(epoch.Add(RenewPeriod/2), Tick{})
	is.Equal(len(l.Effects()), 0) // not due yet
	now := epoch.Add(RenewPeriod)
	l.Step(now, Tick{})
	f.applyEffects(l, now, always(answered))
	is.True(l.ValidAt(epoch.Add(LeaseDuration)))
	l.Step(now, Stop{})
	f.applyEffects(l, now, always(answered))
	is.True(l.Ended())
	is.Equal(len(f.rows.List(prefix)), 0)
}

func TestExpiryUsesTheClockReadBeforeTheWrite(t *testing.T) {
	is := is.New(t)
	f := newFakeTable()
	l := NewLease(peer(1), epoch)
	l.Step(epoch, Tick{})
	// The process is paused between the write and its answer.
	resumed := epoch.Add(LeaseDuration + time.Second)
	f.applyEffects(l, resumed, always(answered))
	is.Equal(l.State(), "lapsed")
	is.True(!l.ValidAt(resumed))
	l.Step(resumed, Tick{})
	f.applyEffects(l, resumed, always(answered))
	is.Equal(l.State(), "held")
}

func TestPausedLeaseLapsesBeforeTheNextMessage(t *testing.T) {
	is := is.New(t)
	f := newFakeTable()
	l := NewLease(peer(1), epoch)
	l.Step(epoch, Tick{})
	f.applyEffects(l, epoch, always(answered))
	resumed := epoch.Add(time.Hour)
	is.True(!l.ValidAt(resumed)) // even before the next message
	l.Step(resumed, Tick{})
	is.Equal(l.State(), "lapsed")
	is.True(!l.ValidAt(resumed))
}

func TestLeaseResolvesALostAnswerByReading(t *testing.T) {
	is := is.New(t)
	f := newFakeTable()
	l := NewLease(peer(1), epoch)
	outcomes := []callOutcome{answerLost, answered}
	l.Step(epoch, Tick{})
	f.applyEffects(l, epoch, func() callOutcome {
		next := outcomes[0]
		outcomes = outcomes[1:]
		return next
	})
	is.Equal(l.State(), "held")
	is.Equal(l.version, f.rows.Get(Key(1)).Version)
}

func TestLeaseThatCannotBeRemovedIsLeftToLapse(t *testing.T) {
	is := is.New(t)
	f := newFakeTable()
	l := NewLease(peer(1), epoch)
	l.Step(epoch, Tick{})
	f.applyEffects(l, epoch, always(answered))
	l.Step(epoch, Stop{})
	for range removeAttempts + 1 {
		is.True(!l.Ended())
		f.applyEffects(l, epoch, always(tableDown))
		l.Step(epoch, Tick{})
	}
	is.True(l.Ended())
}

// TestLeaseNeverOutlivesItsRow simulates pauses, outages, lost answers and
// delayed writes. A lease may be valid only while the row in the table expires no
// earlier than the lease, and it must be held again once the table answers
// normally.
func TestLeaseNeverOutlivesItsRow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFakeTable()
		l := NewLease(peer(1), epoch)
		now := epoch
		next := func() callOutcome { return callOutcome(rapid.IntRange(0, int(outcomeCount)-1).Draw(t, "outcome")) }
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "apply delayed") {
				f.applyDelayed()
			}
			l.Step(now, Tick{})
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "latency")) * time.Millisecond)
			f.applyEffects(l, now, next)
			checkLease(t, f, l, now)
		}
		for range 3 {
			now = now.Add(RenewPeriod)
			l.Step(now, Tick{})
			f.applyEffects(l, now, always(answered))
		}
		if l.State() != "held" || l.version != f.rows.Get(Key(1)).Version {
			t.Fatalf("the state is %q after the table has recovered", l.State())
		}
	})
}

func checkLease(t *rapid.T, f *fakeTable, l *Lease, now time.Time) {
	if !l.ValidAt(now) {
		return
	}
	row := f.rows.Get(Key(1))
	entry, err := decode(row)
	if err != nil || entry.Record.Expiry().Before(l.expiry) {
		t.Fatalf("lease valid until %v, but the row in the table expires at %v (%v)", l.expiry, entry.Record.Expiry(), err)
	}
}
