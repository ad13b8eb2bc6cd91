package release

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

// ConfigKey is the one row that holds what is in force.
const ConfigKey = "config"

// Origin says which note gave an item its present form.
type Origin struct {
	Revision uint64 `json:"revision"`
	Note     string `json:"note"`
	SinceMS  int64  `json:"since_ms"` // Unix time
}

// InForce is the content of the row of the configuration. The zero value stands
// before the first note.
type InForce struct {
	Document structs.Document `json:"document"`
	// Note, Author and Summary are of the note that made this revision, and
	// SinceMS is when, in milliseconds of Unix time.
	Note    string `json:"note"`
	Author  string `json:"author"`
	Summary string `json:"summary"`
	SinceMS int64  `json:"since_ms"`
	// Origins is keyed by Item.String.
	Origins map[string]Origin `json:"origins"`
}

// Since returns when the revision was committed.
func (f *InForce) Since() time.Time { return time.UnixMilli(f.SinceMS) }

// Published is the content of a note's own row.
type Published struct {
	Revision uint64 `json:"revision"`
	Note     Note   `json:"note"`
	AtMS     int64  `json:"at_ms"` // Unix time
}

// Applied is the content of the row that marks a note's id as used.
type Applied struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	AtMS     int64  `json:"at_ms"` // Unix time
}

// NoteKey returns the key of the note that made a revision. Keys sort in the
// order of revisions.
func NoteKey(revision uint64) string { return fmt.Sprintf("notes/%012d", revision) }

// IDKey returns the key of the row that marks a note's id as used.
func IDKey(id string) string { return "note-ids/" + id }

func (p Published) change() Change {
	return Change{
		Revision: p.Revision, ID: p.Note.ID, Author: p.Note.Author,
		Summary: p.Note.Summary, Items: p.Note.Items(),
	}
}

// next returns what is in force after a note made doc at the given time.
func (f *InForce) next(note *Note, doc *structs.Document, now time.Time) InForce {
	next := InForce{
		Document: *doc, Note: note.ID, Author: note.Author, Summary: note.Summary,
		SinceMS: now.UnixMilli(), Origins: map[string]Origin{},
	}
	maps.Copy(next.Origins, f.Origins)
	origin := Origin{Revision: doc.Revision, Note: note.ID, SinceMS: next.SinceMS}
	for _, item := range note.Items() {
		next.Origins[item.String()] = origin
	}
	for _, item := range note.Withdrawn.items() {
		delete(next.Origins, item.String())
	}
	return next
}

func decodeRow(row table.Row, target any) error {
	if err := json.Unmarshal(row.Value, target); err != nil {
		return errors.WithStack(&RowError{Key: row.Key, Cause: err})
	}
	return nil
}
