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

// noteFor returns a note against doc that changes the named service, or adds it
// if doc does not have it.
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
	config, _, err := ReadActiveConfig(ctx, store)
	is.NoErr(err)
	is.Equal(config.Origins["service a"].Note, "one")
	is.Equal(config.Origins["service b"].Note, "two")
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

// simulation is the system under the property-based tests: a table, operators
// that publish concurrently, and one instance that follows the configuration.
type simulation struct {
	rows *standin.Rows
	// late holds transactions that are still in flight although their sender got
	// no answer. They may commit at any later step.
	late []table.Transaction
	// attempts holds the attempts in progress.
	attempts []*attempt
	// finished holds the finished attempts, whose results are checked.
	finished     []*attempt
	lastID       int
	lastRevision uint64
	// lastSeen is the configuration that new notes are written against.
	lastSeen ActiveConfig
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
	tracker *RevisionTracker
	adopted uint64
}

func newSimulation() *simulation {
	return &simulation{rows: standin.NewRows(), follower: follower{tracker: NewRevisionTracker()}}
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

func (s *simulation) activeConfig(t *rapid.T) ActiveConfig {
	config, _, err := ReadActiveConfig(context.Background(), rowStore{s.rows})
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// openAttempt starts an attempt, either with a new note, based on the current
// revision or on one read earlier, or with the note of a finished attempt.
func (s *simulation) openAttempt(t *rapid.T) {
	var note *Note
	if len(s.finished) > 0 && rapid.Bool().Draw(t, "again") {
		note = rapid.SampledFrom(s.finished).Draw(t, "ended").note
	} else {
		s.lastID++
		if rapid.Bool().Draw(t, "fresh") {
			s.lastSeen = s.activeConfig(t)
		}
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "service")
		note = noteFor(fmt.Sprint("n", s.lastID), name, &s.lastSeen.Document)
	}
	a := &attempt{proposal: NewProposal(note, rapid.Bool().Draw(t, "rebase")), note: note}
	a.proposal.Step(epoch, Begin{})
	s.attempts = append(s.attempts, a)
}

// advance executes the pending effect of a random attempt.
func (s *simulation) advance(t *rapid.T) {
	if len(s.attempts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.attempts)-1).Draw(t, "attempt")
	a := s.attempts[i]
	for _, e := range a.proposal.Effects() {
		a.proposal.Step(epoch, s.execute(t, e))
	}
	if a.proposal.Ended() {
		s.attempts = append(s.attempts[:i], s.attempts[i+1:]...)
		s.finished = append(s.finished, a)
	}
}

func (s *simulation) execute(t *rapid.T, effect ProposalEffect) ProposalMessage {
	outcome := rapid.SampledFrom([]string{"answered", "answered", "answered", "down", "lost", "late", "never"}).Draw(t, "outcome")
	if outcome == "down" {
		return Unavailable{}
	}
	commit, ok := effect.(CommitRows)
	if !ok {
		return execute(context.Background(), rowStore{s.rows}, effect)
	}
	tx, err := newTransaction(commit)
	if err != nil {
		t.Fatal(err)
	}
	switch outcome {
	case "never":
		return Unanswered{}
	case "late":
		s.late = append(s.late, tx)
		return Unanswered{}
	}
	_, err = s.rows.Commit(tx)
	if outcome == "lost" {
		return Unanswered{}
	}
	return commitAnswer(err)
}

// commitLate commits one of the late transactions. The table rejects it if a
// row has changed since.
func (s *simulation) commitLate(t *rapid.T) {
	if len(s.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.late)-1).Draw(t, "arrival")
	_, _ = s.rows.Commit(s.late[i])
	s.late = append(s.late[:i], s.late[i+1:]...)
}

// updateFollower lets the instance read the table, receive a document from a
// peer, which may be outdated, or fail to read the table. It fails the test if
// it adopts a revision that is not higher than the one before.
func (s *simulation) updateFollower(t *rapid.T) {
	config := s.activeConfig(t)
	switch rapid.IntRange(0, 2).Draw(t, "source") {
	case 0:
		s.tracker.Read(&config.Document)
	case 1:
		s.tracker.Offered(&s.lastSeen.Document)
	case 2:
		s.tracker.Unavailable("down")
	}
	for _, e := range s.tracker.Effects() {
		adopt, ok := e.(Adopt)
		if !ok {
			continue
		}
		if adopt.Document.Revision <= s.adopted {
			t.Fatalf("instance adopted revision %d after revision %d", adopt.Document.Revision, s.adopted)
		}
		s.adopted = adopt.Document.Revision
	}
}

// check checks that revisions increase by one, that each was created by a note
// of its own, and that the results of finished attempts agree with the table.
func (s *simulation) check(t *rapid.T) {
	head := s.activeConfig(t).Document.Revision
	if head < s.lastRevision || head > s.lastRevision+1 {
		t.Fatalf("the table has revision %d after revision %d", head, s.lastRevision)
	}
	s.lastRevision = head
	created := map[string]uint64{}
	for revision := uint64(1); revision <= head; revision++ {
		notes, err := ReadNotes(context.Background(), rowStore{s.rows}, revision-1, revision)
		if err != nil {
			t.Fatalf("revision %d has no note: %v", revision, err)
		}
		id := notes[0].Note.ID
		if created[id] != 0 {
			t.Fatalf("note %s was applied twice, as revisions %d and %d", id, created[id], revision)
		}
		created[id] = revision
	}
	for _, a := range s.finished {
		s.checkAttempt(t, a, created[a.note.ID])
	}
}

func (s *simulation) checkAttempt(t *rapid.T, a *attempt, created uint64) {
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

// TestRacingOperators runs concurrent attempts to publish while answers are
// lost, transactions commit late and the table is down. Revisions must increase
// by one, no note may create two of them, the revision reported for an accepted
// note must be the one that it created, and an instance must never adopt a
// lower revision.
func TestRacingOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"open": s.openAttempt, "advance": s.advance, "arrive": s.commitLate, "follow": s.updateFollower, "": s.check,
		})
	})
}

// TestRefusedNoteNeverTakesEffect publishes notes concurrently and lets every
// late transaction arrive at the end. A note whose attempt was refused must not
// be applied by a transaction of that attempt that arrives afterwards. Each
// note is published only once, since another attempt could legitimately apply it.
func TestRefusedNoteNeverTakesEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if len(s.attempts) < 2 && rapid.Bool().Draw(t, "open") {
				s.openNewAttempt(t)
			}
			s.advance(t)
			if rapid.Bool().Draw(t, "arrive") {
				s.commitLate(t)
			}
		}
		for len(s.late) > 0 {
			s.commitLate(t)
		}
		for _, a := range s.finished {
			row := s.rows.Get(IDKey(a.note.ID))
			if a.proposal.State() == "refused" && row.Exists() {
				t.Fatalf("note %s was refused but later applied", a.note.ID)
			}
		}
	})
}

// hookedStore calls after once, following its first read.
type hookedStore struct {
	rowStore
	afterRead func()
}

func (s *hookedStore) Get(ctx context.Context, key string) (table.Row, error) {
	row, err := s.rowStore.Get(ctx, key)
	s.afterRead()
	s.afterRead = func() {}
	return row, err
}

func TestCommitBetweenReadsIsRecognised(t *testing.T) {
	is := is.New(t)
	rows := standin.NewRows()
	p := NewProposal(parseTestdata(t, "first.jsonc"), false)
	p.Step(epoch, Begin{})
	p.Step(epoch, execute(context.Background(), rowStore{rows}, p.Effects()[0]))
	tx, err := newTransaction(p.Effects()[0].(CommitRows))
	is.NoErr(err)
	p.Step(epoch, Unanswered{})
	store := &hookedStore{rowStore: rowStore{rows}, afterRead: func() {
		_, err := rows.Commit(tx) // the unanswered transaction commits between the two reads
		is.NoErr(err)
	}}
	p.Step(epoch, execute(context.Background(), store, p.Effects()[0]))
	is.Equal(p.State(), "accepted")
}

// openNewAttempt starts an attempt with a new note, never with that of a
// finished one.
func (s *simulation) openNewAttempt(t *rapid.T) {
	finished := s.finished
	s.finished = nil
	s.openAttempt(t)
	s.finished = finished
}
