package release

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
)

// retryAfter is when an operator may publish a note again that met an outage.
const retryAfter = 5 * time.Second

// Fault is one thing wrong with a release note.
type Fault struct {
	// Key is the path of the value, such as "added.services.recession.target".
	Key string `json:"key"`
	// Line counts from 1; zero means that the fault is in no single line.
	Line int `json:"line,omitempty"`
	// Problem says what is wrong, Allowed what would be right.
	Problem string `json:"problem"`
	Allowed string `json:"allowed"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	text := f.Key + ": " + f.Problem
	if f.Line > 0 {
		text = fmt.Sprintf("line %d: %s", f.Line, text)
	}
	if f.Allowed != "" {
		text += "; allowed: " + f.Allowed
	}
	return text
}

// NoteError says that a note is not valid, with every fault found.
type NoteError struct{ Faults []Fault }

// Error lists the faults, one a line.
func (e *NoteError) Error() string {
	lines := []string{"the release note is not valid"}
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the failure that callers of the system see.
func (e *NoteError) Unwrap() error {
	return failure.New(failure.Invalid, failure.NotRun, "the release note is not valid")
}

// Change is what one later note did, as shown to an author whose note is in
// conflict.
type Change struct {
	Revision uint64 `json:"revision"`
	ID       string `json:"id"`
	Author   string `json:"author"`
	Summary  string `json:"summary"`
	Items    []Item `json:"items"`
}

// ConflictError says that a note was written against another revision than the
// one in force.
type ConflictError struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	Head uint64 `json:"head"`
	// Since lists the notes after Base, oldest first; at most maxSince of them,
	// the latest.
	Since []Change `json:"since"`
	// Overlap lists the items that both the note and a later one touch. Without
	// any, the note may be published with a rebase.
	Overlap []Item `json:"overlap"`
}

// Error tells both revisions, what changed since, and what overlaps.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("note %s is against revision %d; revision %d is in force", e.ID, e.Base, e.Head)}
	for _, c := range e.Since {
		lines = append(lines, fmt.Sprintf("revision %d, note %s by %s (%s): %s", c.Revision, c.ID, c.Author, c.Summary, joinItems(c.Items)))
	}
	if len(e.Overlap) > 0 {
		lines = append(lines, "changed by both: "+joinItems(e.Overlap))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the failure that callers of the system see.
func (e *ConflictError) Unwrap() error {
	return failure.Newf(failure.Conflict, failure.NotRun, "revision %d is in force, the note is against %d", e.Head, e.Base)
}

// DuplicateError says that another note with the same id was applied before.
type DuplicateError struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Error names the id and the revision that has it.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("the id %s belongs to another note, which made revision %d", e.ID, e.Revision)
}

// Unwrap returns the failure that callers of the system see.
func (e *DuplicateError) Unwrap() error {
	return failure.New(failure.Conflict, failure.NotRun, "the note's id was used before")
}

// UnappliedError says that the table was unavailable and the note had no effect.
type UnappliedError struct{ Cause error }

// Error includes the cause, if any.
func (e *UnappliedError) Error() string { return "the note was not applied" + because(e.Cause) }

// Unwrap returns the failure that callers of the system see.
func (e *UnappliedError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.NotRun, "the note was not applied").WithRetry(retryAfter)
}

// UnknownError says that the note may or may not have been applied. Publishing
// the same note again finds out, and never applies it twice.
type UnknownError struct{ Cause error }

// Error includes the cause, if any.
func (e *UnknownError) Error() string {
	return "unknown whether the note was applied; publish the same note again" + because(e.Cause)
}

// Unwrap returns the failure that callers of the system see.
func (e *UnknownError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.Unknown, "unknown whether the note was applied").WithRetry(retryAfter)
}

// RowError reports a row of the configuration that can't be read.
type RowError struct {
	Key   string
	Cause error
}

// Error names the row.
func (e *RowError) Error() string { return "row " + e.Key + " is not valid" + because(e.Cause) }

// Unwrap returns the failure that callers of the system see.
func (e *RowError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Internal, failure.NotRun, "row "+e.Key+" is not valid")
}

func because(cause error) string {
	if cause == nil {
		return ""
	}
	return ": " + cause.Error()
}

func joinItems(items []Item) string {
	var all []string
	for _, i := range items {
		all = append(all, i.String())
	}
	return strings.Join(all, ", ")
}

// EventOf returns the event that a call of Publish with this error is logged
// as; nil stands for success.
func EventOf(err error) event.ID {
	var unknown *UnknownError
	switch {
	case err == nil:
		return event.NoteAccepted
	case errors.As(err, &unknown):
		return event.NoteOutcomeUnknown
	}
	return event.NoteRefused
}
