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

// ConfigKey is the key of the single row that holds the configuration in force.
const ConfigKey = "config"

// Origin identifies the note that last added or changed an item.
type Origin struct {
	Revision uint64 `json:"revision"`
	Note     string `json:"note"`
	SinceMS  int64  `json:"since_ms"` // Unix time
}

// ActiveConfig is the content of the configuration row: the document in force
// and the note that created it. It is the zero value before the first note.
type ActiveConfig struct {
	Document structs.Document `json:"document"`
	// Note, Author and Summary are the id, author and summary of the note that
	// created this revision. SinceMS is the time of its commit, in milliseconds of
	// Unix time.
	Note    string `json:"note"`
	Author  string `json:"author"`
	Summary string `json:"summary"`
	SinceMS int64  `json:"since_ms"`
	// Origins maps each item, by ItemRef.String, to its origin.
	Origins map[string]Origin `json:"origins"`
}

// Since returns when the revision was committed.
func (c *ActiveConfig) Since() time.Time { return time.UnixMilli(c.SinceMS) }

// PublishedNote is the content of the row of a published note.
type PublishedNote struct {
	Revision uint64 `json:"revision"`
	Note     Note   `json:"note"`
	AtMS     int64  `json:"at_ms"` // Unix time
}

// AppliedNote is the content of the row that marks a note's id as used. Digest
// tells a retry of the same note from a different note with the same id.
type AppliedNote struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	AtMS     int64  `json:"at_ms"` // Unix time
}

// NoteKey returns the key of the row of the note that created a revision. The
// zero-padded keys sort by revision.
func NoteKey(revision uint64) string { return fmt.Sprintf("notes/%012d", revision) }

// IDKey returns the key of the row that marks a note's id as used.
func IDKey(id string) string { return "note-ids/" + id }

func (p PublishedNote) summary() NoteSummary {
	return NoteSummary{
		Revision: p.Revision, ID: p.Note.ID, Author: p.Note.Author,
		Summary: p.Note.Summary, Items: p.Note.ItemRefs(),
	}
}

// successor returns the configuration row that replaces c when note, committed
// at the given time, results in doc.
func (c *ActiveConfig) successor(note *Note, doc *structs.Document, now time.Time) ActiveConfig {
	next := ActiveConfig{
		Document: *doc, Note: note.ID, Author: note.Author, Summary: note.Summary,
		SinceMS: now.UnixMilli(), Origins: map[string]Origin{},
	}
	maps.Copy(next.Origins, c.Origins)
	origin := Origin{Revision: doc.Revision, Note: note.ID, SinceMS: next.SinceMS}
	for _, item := range note.ItemRefs() {
		next.Origins[item.String()] = origin
	}
	for _, item := range note.Withdrawn.refs() {
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
