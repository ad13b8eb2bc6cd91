package release

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/table"
)

// Publish commits a note to the table and returns the revision that it created.
// For a note that was applied before, it returns the revision created then. Its
// errors are those of Proposal.Result. Only *UnknownOutcomeError leaves open
// whether the note was applied; calling Publish again with the same note
// resolves it.
//
// Calls to the table are limited by ctx and by the store's own timeout. now is
// the clock.
func Publish(ctx context.Context, store table.Store, note *Note, rebase bool, now func() time.Time) (Accepted, error) {
	p := NewProposal(note, rebase)
	p.Step(now(), Begin{})
	for !p.Ended() {
		for _, effect := range p.Effects() {
			p.Step(now(), execute(ctx, store, effect))
		}
	}
	return p.Result()
}

func execute(ctx context.Context, store table.Store, effect ProposalEffect) ProposalMessage {
	switch e := effect.(type) {
	case ReadRows:
		return readRows(ctx, store, e)
	case CommitRows:
		return commitRows(ctx, store, e)
	}
	return Unavailable{}
}

func readRows(ctx context.Context, store table.Store, e ReadRows) ProposalMessage {
	config, version, err := ReadActiveConfig(ctx, store)
	if err != nil {
		return Unavailable{Cause: err}
	}
	applied, err := readApplied(ctx, store, e.ID)
	if err != nil {
		return Unavailable{Cause: err}
	}
	since, err := ReadNotes(ctx, store, e.Base, config.Document.Revision)
	if err != nil {
		return Unavailable{Cause: err}
	}
	return RowsRead{Config: config, Version: version, Applied: applied, Since: since}
}

// ReadActiveConfig reads the configuration in force and the version of its row;
// both are zero before the first note. It returns the errors of table.Store, or
// a *RowError.
func ReadActiveConfig(ctx context.Context, store table.Store) (ActiveConfig, uint64, error) {
	var config ActiveConfig
	row, err := store.Get(ctx, ConfigKey)
	if err != nil || !row.Exists() {
		return config, 0, err
	}
	return config, row.Version, decodeRow(row, &config)
}

// ReadNotes reads the notes of the revisions above after, up to and including
// last, oldest first. If there are more than 50, it reads only the latest 50.
// Its errors are those of ReadActiveConfig.
func ReadNotes(ctx context.Context, store table.Store, after, last uint64) ([]PublishedNote, error) {
	if last > after && last-after > maxNotesSince {
		after = last - maxNotesSince
	}
	var notes []PublishedNote
	for revision := after + 1; revision <= last; revision++ {
		row, err := store.Get(ctx, NoteKey(revision))
		if err != nil {
			return nil, err
		}
		var p PublishedNote
		if err := decodeRow(row, &p); err != nil {
			return nil, err
		}
		notes = append(notes, p)
	}
	return notes, nil
}

func readApplied(ctx context.Context, store table.Store, id string) (*AppliedNote, error) {
	row, err := store.Get(ctx, IDKey(id))
	if err != nil || !row.Exists() {
		return nil, err
	}
	var applied AppliedNote
	if err := decodeRow(row, &applied); err != nil {
		return nil, err
	}
	return &applied, nil
}

func commitRows(ctx context.Context, store table.Store, e CommitRows) ProposalMessage {
	tx, err := newTransaction(e)
	if err != nil {
		return Unavailable{Cause: err}
	}
	_, err = store.Commit(ctx, tx)
	return commitAnswer(err)
}

// commitAnswer maps the result of table.Store.Commit to a message for Proposal.
func commitAnswer(err error) ProposalMessage {
	var conflict *table.ConflictError
	var unknown *table.UnknownOutcomeError
	switch {
	case err == nil:
		return Committed{}
	case errors.As(err, &conflict):
		return Conflicted{}
	case errors.As(err, &unknown):
		return Unanswered{Cause: err}
	}
	return Unavailable{Cause: err}
}

// newTransaction returns the three writes that publish a note atomically.
func newTransaction(e CommitRows) (table.Transaction, error) {
	var tx table.Transaction
	for _, row := range []struct {
		key      string
		expected uint64
		content  any
	}{
		{ConfigKey, e.Expected, e.Config},
		{NoteKey(e.Published.Revision), 0, e.Published},
		{IDKey(e.Published.Note.ID), 0, e.Applied},
	} {
		raw, err := json.Marshal(row.content)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		tx = append(tx, table.Put(row.key, row.expected, raw))
	}
	return tx, nil
}

// DryRun returns the differences that publishing a note would make to the
// document in force, without writing to the table. Its errors are those of
// Publish.
func DryRun(ctx context.Context, store table.Store, note *Note, rebase bool) ([]Difference, error) {
	p := NewProposal(note, rebase)
	switch m := readRows(ctx, store, ReadRows{ID: note.ID, Base: note.Base}).(type) {
	case RowsRead:
		return p.preview(m)
	case Unavailable:
		return nil, errors.WithStack(&NotAppliedError{Cause: m.Cause})
	}
	return nil, errors.WithStack(&NotAppliedError{})
}

// preview compares the document that was read with the result of applying the
// note. A note that was applied before yields no differences.
func (p *Proposal) preview(m RowsRead) ([]Difference, error) {
	p.lastRead = m
	if m.Applied != nil {
		if m.Applied.Digest == p.digest {
			return nil, nil
		}
		p.refuseDuplicate()
		return nil, p.err
	}
	next, err := p.apply()
	if err != nil {
		return nil, err
	}
	return Compare(&m.Config.Document, next), nil
}
