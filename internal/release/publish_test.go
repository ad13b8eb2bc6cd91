package release

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/standin"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

func clock() time.Time { return epoch }

// noteFor returns a note against doc that changes the named service, or adds it if
// doc does not have it.
func noteFor(id, name string, doc *structs.Document) *Note {
	note := &Note{ID: id, Author: "op", Summary: "s", Base: doc.Revision}
	items := ItemSet{Services: map[string]structs.Service{name: service("pool-" + id)}}
	if _, ok := doc.Services[name]; ok {
		note.Changed = items
	} else {
		note.Added = items
	}
	return note
}

func TestPublishAppliesOnceAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := standin.NewTable()
	defer store.Close()
	note := parseTestdata(t, "first.jsonc")
	store.SetFaults(standin.Faults{LoseAnswers: 1})
	first, err := Publish(ctx, store, note, false, clock)
	is.NoErr(err)
	is.Equal(first, Accepted{Note: "winter-1", Revision: 1, AtMS: epoch.UnixMilli(), AlreadyApplied: true})
	again, err := Publish(ctx, store, note, false, clock)
	is.NoErr(err)
	is.Equal(again, first)
	is.Equal(store.Counts().Writes, uint64(1))
	other := *note
	other.Summary = "something else"
	_, err = Publish(ctx, store, &other, false, clock)
	var duplicate *DuplicateError
	is.True(errors.As(err, &duplicate))
	is.Equal(failure.Of(err).Kind, failure.Conflict)
}

func TestPublishReportsConcurrentChanges(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := standin.NewTable()
	defer store.Close()
	empty := &structs.Document{}
	_, err := Publish(ctx, store, noteFor("one", "a", empty), false, clock)
	is.NoErr(err)
	second := noteFor("two", "b", empty)
	_, err = Publish(ctx, store, second, false, clock)
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Since, []NoteSummary{{Revision: 1, ID: "one", Author: "op", Summary: "s", Items: []ItemRef{{ServiceItem, "a"}}}})
	is.Equal(len(conflict.Overlap), 0)
	differences, err := DryRun(ctx, store, second, true)
	is.NoErr(err)
	is.True(len(differences) > 0)
	accepted, err := Publish(ctx, store, second, true, clock)
	is.NoErr(err)
	is.Equal(accepted.Revision, uint64(2))
	_, err = Publish(ctx, store, noteFor("three", "a", empty), true, clock)
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Overlap, []ItemRef{{ServiceItem, "a"}})
	inForce, _, err := ReadActiveConfig(ctx, store)
	is.NoErr(err)
	is.Equal(inForce.Origins["service a"].Note, "one")
	is.Equal(inForce.Origins["service b"].Note, "two")
}

func TestPublishDuringOutageHasNoEffect(t *testing.T) {
	is := is.New(t)
	store := standin.NewTable()
	defer store.Close()
	store.SetFaults(standin.Faults{Down: true})
	_, err := Publish(context.Background(), store, parseTestdata(t, "first.jsonc"), false, clock)
	var unapplied *NotAppliedError
	is.True(errors.As(err, &unapplied))
	is.Equal(failure.Of(err).Run, failure.NotRun)
	is.True(failure.Of(err).RetryAfter > 0)
	is.Equal(EventForError(err), event.NoteRefused)
}

// simulation is the system under the property-based tests: a table, operators that
// publish concurrently, and one instance that follows the configuration.
type simulation struct {
	rows *standin.Rows
	// late holds transactions that are still in flight although their sender got
	// no answer. They may commit at any later step.
	late []table.Transaction
	// attempts holds the attempts in progress.
	attempts []*attempt
	// ended holds the finished attempts, whose results are checked.
	ended        []*attempt
	lastID       int
	lastRevision uint64
	lastSeen     ActiveConfig
	follower
}

// attempt is one call of Publish, executed one effect at a time.
type attempt struct {
	proposal *Proposal
	note     *Note
}

// follower is an instance that tracks the configuration, with the revision that
// it adopted last.
type follower struct {
	revision *RevisionTracker
	adopted  uint64
}

func newSimulation() *simulation {
	return &simulation{rows: standin.NewRows(), follower: follower{revision: NewRevisionTracker()}}
}

// rowStore is a table.Store over rows in memory. It injects no faults.
type rowStore struct{ rows *standin.Rows }

func (s rowStore) Get(_ context.Context, key string) (table.Row, error) { return s.rows.Get(key), nil }
func (s rowStore) GetChanged(_ context.Context, key string, _ uint64) (table.Row, bool, error) {
	return s.rows.Get(key), true, nil
}
func (s rowStore) List(_ context.Context, prefix string) ([]table.Row, error) {
	return s.rows.List(prefix), nil
}
func (s rowStore) Commit(_ context.Context, tx table.Transaction) (uint64, error) {
	return s.rows.Commit(tx)
}

func (w *simulation) activeConfig(t *rapid.T) ActiveConfig {
	inForce, _, err := ReadActiveConfig(context.Background(), rowStore{w.rows})
	if err != nil {
		t.Fatal(err)
	}
	return inForce
}

// openAttempt starts an attempt, either with a new note, based on the current
// revision or on one read earlier, or with the note of a finished attempt.
func (w *simulation) openAttempt(t *rapid.T) {
	var note *Note
	if len(w.ended) > 0 && rapid.Bool().Draw(t, "again") {
		note = rapid.SampledFrom(w.ended).Draw(t, "ended").note
	} else {
		w.lastID++
		if rapid.Bool().Draw(t, "fresh") {
			w.lastSeen = w.activeConfig(t)
		}
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
		note = noteFor(fmt.Sprint("n", w.lastID), name, &w.lastSeen.Document)
	}
	a := &attempt{proposal: NewProposal(note, rapid.Bool().Draw(t, "rebase")), note: note}
	a.proposal.Step(epoch, Begin{})
	w.attempts = append(w.attempts, a)
}

// advance executes the pending effect of a random attempt.
func (w *simulation) advance(t *rapid.T) {
	if len(w.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.attempts)-1).Draw(t, "attempt")
	a := w.attempts[i]
	for _, e := range a.proposal.Effects() {
		a.proposal.Step(epoch, w.execute(t, e))
	}
	if a.proposal.Ended() {
		w.attempts = append(w.attempts[:i], w.attempts[i+1:]...)
		w.ended = append(w.ended, a)
	}
}

func (w *simulation) execute(t *rapid.T, effect ProposalEffect) ProposalMessage {
	outcome := rapid.SampledFrom([]string{"answered", "answered", "answered", "down", "lost", "late", "never"}).Draw(t, "fate")
	if outcome == "down" {
		return Unavailable{}
	}
	commit, ok := effect.(CommitState)
	if !ok {
		return execute(context.Background(), rowStore{w.rows}, effect)
	}
	tx, err := newTransaction(commit)
	if err != nil {
		t.Fatal(err)
	}
	switch outcome {
	case "never":
		return Unanswered{}
	case "late":
		w.late = append(w.late, tx)
		return Unanswered{}
	}
	_, err = w.rows.Commit(tx)
	if outcome == "lost" {
		return Unanswered{}
	}
	return commitAnswer(err)
}

// commitLate commits one of the late transactions. The table rejects it if a row
// has changed since.
func (w *simulation) commitLate(t *rapid.T) {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(t, "arrival")
	_, _ = w.rows.Commit(w.late[i])
	w.late = append(w.late[:i], w.late[i+1:]...)
}

// follow lets the instance read the table, receive a document from a peer, which
// may be outdated, or fail to read the table. It fails the test if it adopts
// a revision that is not higher than the one before.
func (w *simulation) follow(t *rapid.T) {
	inForce := w.activeConfig(t)
	switch rapid.IntRange(0, 2).Draw(t, "source") {
	case 0:
		w.revision.Read(&inForce.Document)
	case 1:
		w.revision.Offered(&w.lastSeen.Document)
	case 2:
		w.revision.Unavailable("down")
	}
	for _, e := range w.revision.Effects() {
		adopted, ok := e.(Adopt)
		if !ok {
			continue
		}
		if adopted.Document.Revision <= w.adopted {
			t.Fatalf("instance adopted revision %d after revision %d", adopted.Document.Revision, w.adopted)
		}
		w.adopted = adopted.Document.Revision
	}
}

// check checks that revisions increase by one, that each was created by a note of
// its own, and that the results of finished attempts agree with the table.
func (w *simulation) check(t *rapid.T) {
	head := w.activeConfig(t).Document.Revision
	if head < w.lastRevision || head > w.lastRevision+1 {
		t.Fatalf("the table has revision %d after revision %d", head, w.lastRevision)
	}
	w.lastRevision = head
	created := map[string]uint64{}
	for revision := uint64(1); revision <= head; revision++ {
		notes, err := ReadNotes(context.Background(), rowStore{w.rows}, revision-1, revision)
		if err != nil {
			t.Fatalf("revision %d has no note: %v", revision, err)
		}
		id := notes[0].Note.ID
		if created[id] != 0 {
			t.Fatalf("note %s was applied twice, as revisions %d and %d", id, created[id], revision)
		}
		created[id] = revision
	}
	for _, a := range w.ended {
		w.checkAttempt(t, a, created[a.note.ID])
	}
}

func (w *simulation) checkAttempt(t *rapid.T, a *attempt, created uint64) {
	accepted, err := a.proposal.Result()
	switch a.proposal.State() {
	case "accepted":
		if err != nil || accepted.Revision != created {
			t.Fatalf("note %s: the result is revision %d (error %v), the table has revision %d", a.note.ID, accepted.Revision, err, created)
		}
	case "refused", "unknown":
		if err == nil {
			t.Fatalf("note %s: attempt ended %s without an error", a.note.ID, a.proposal.State())
		}
	}
}

// TestRacingOperators runs concurrent attempts to publish while answers are lost,
// transactions commit late and the table is down. Revisions must increase by one,
// no note may create two of them, the revision reported for an accepted note must
// be the one that it created, and an instance must never adopt a lower revision.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"open": w.openAttempt, "advance": w.advance, "arrive": w.commitLate, "follow": w.follow, "": w.check,
		})
	})
}

// TestRefusedNoteNeverTakesEffect publishes notes concurrently and lets every late
// transaction arrive at the end. A note whose attempt was refused must not be
// applied by a transaction of that attempt that arrives afterwards. Each note is
// published only once, since another attempt could apply it rightfully.
func TestRefusedNoteNeverTakesEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(w.attempts) < 2 && rapid.Bool().Draw(t, "open") {
				w.openNewAttempt(t)
			}
			w.advance(t)
			if rapid.Bool().Draw(t, "arrive") {
				w.commitLate(t)
			}
		}
		for len(w.late) > 0 {
			w.commitLate(t)
		}
		for _, a := range w.ended {
			row := w.rows.Get(IDKey(a.note.ID))
			if a.proposal.State() == "refused" && row.Exists() {
				t.Fatalf("note %s was refused but later applied", a.note.ID)
			}
		}
	})
}

// hookedStore calls after once, following its first read.
type hookedStore struct {
	rowStore
	after func()
}

func (s *hookedStore) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := s.rowStore.Get(ctx, key)
	s.after()
	s.after = func() {}
	return row, err
}

func TestCommitBetweenReadsIsRecognised(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	p := NewProposal(parseTestdata(t, "first.jsonc"), false)
	p.Step(epoch, Begin{})
	p.Step(epoch, execute(context.Background(), rowStore{rows}, p.Effects()[0]))
	tx, err := newTransaction(p.Effects()[0].(CommitState))
	is.NoErr(err)
	p.Step(epoch, Unanswered{})
	store := &hookedStore{rowStore: rowStore{rows}, after: func() {
		_, err := rows.Commit(tx) // the unanswered transaction commits between the two reads
		is.NoErr(err)
	}}
	p.Step(epoch, execute(context.Background(), store, p.Effects()[0]))
	is.Equal(p.State(), "accepted")
}

// openNewAttempt starts an attempt with a new note, never with that of a finished
// one.
func (w *simulation) openNewAttempt(t *rapid.T) {
	ended := w.ended
	w.ended = nil
	w.openAttempt(t)
	w.ended = ended
}
