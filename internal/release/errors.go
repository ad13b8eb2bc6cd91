package release

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
)

// retryAfter is the delay suggested to an operator before publishing a note
// again that failed because the table was unavailable.
const retryAfter = 5 * time.Second

// Fault is a validation error at one place of a release note.
type Fault struct {
	// Key is the dotted path of the value, such as
	// "added.services.recession.target".
	Key string `json:"key"`
	// Line counts from 1; zero if the fault does not belong to a single line.
	Line int `json:"line,omitempty"`
	// Problem describes the error, Allowed the values that are accepted.
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

// NoteError reports that a note is not valid, with every fault found.
type NoteError struct{ Faults []Fault }

// Error lists the faults, one on each line.
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

// NoteSummary summarises a published note, for the author of a note that
// conflicts with it.
type NoteSummary struct {
	Revision uint64    `json:"revision"`
	ID       string    `json:"id"`
	Author   string    `json:"author"`
	Summary  string    `json:"summary"`
	Items    []ItemRef `json:"items"`
}

// ConflictError reports that a note was written against a revision that is not
// the one in force.
type ConflictError struct {
	ID   string `json:"id"`
	Base uint64 `json:"base"`
	Head uint64 `json:"head"`
	// Since holds the notes published after Base, oldest first, and only the
	// latest maxNotesSince of them.
	Since []NoteSummary `json:"since"`
	// Overlap holds the items that both the note and a later one touch. If it is
	// empty, the note may be published with a rebase.
	Overlap []ItemRef `json:"overlap"`
}

// Error states both revisions, the notes published since Base, and the items
// that overlap.
func (e *ConflictError) Error() string {
	lines := []string{fmt.Sprintf("note %s is based on revision %d; revision %d is in force", e.ID, e.Base, e.Head)}
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
	return failure.Newf(failure.Conflict, failure.NotRun, "revision %d is in force, the note is based on revision %d", e.Head, e.Base)
}

// DuplicateError reports that a different note with the same id was applied
// before.
type DuplicateError struct {
	ID       string `json:"id"`
	Revision uint64 `json:"revision"`
}

// Error states the id and the revision that the other note created.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("the note id %s was used before, by the note that created revision %d", e.ID, e.Revision)
}

// Unwrap returns the failure that callers of the system see.
func (e *DuplicateError) Unwrap() error {
	return failure.New(failure.Conflict, failure.NotRun, "the note's id was used before by another note")
}

// NotAppliedError reports that the note had no effect: the table could not be
// read or written, or other notes kept changing the configuration.
type NotAppliedError struct{ Cause error }

// Error returns the message with the cause, if there is one.
func (e *NotAppliedError) Error() string { return "the note was not applied" + causeSuffix(e.Cause) }

// Unwrap returns the failure that callers of the system see.
func (e *NotAppliedError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.NotRun, "the note was not applied").WithRetry(retryAfter)
}

// UnknownOutcomeError reports that the note may or may not have been applied.
// Publishing the same note again resolves this and never applies it twice.
type UnknownOutcomeError struct{ Cause error }

// Error returns the message with the cause, if there is one.
func (e *UnknownOutcomeError) Error() string {
	return "it is unknown whether the note was applied; publish the same note again" + causeSuffix(e.Cause)
}

// Unwrap returns the failure that callers of the system see.
func (e *UnknownOutcomeError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.Unknown, "it is unknown whether the note was applied").WithRetry(retryAfter)
}

// RowError reports a row of the table whose content can't be decoded.
type RowError struct {
	Key   string
	Cause error
}

// Error states the key of the row and the cause.
func (e *RowError) Error() string { return "row " + e.Key + " is not valid" + causeSuffix(e.Cause) }

// Unwrap returns the failure that callers of the system see.
func (e *RowError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Internal, failure.NotRun, "row "+e.Key+" is not valid")
}

func causeSuffix(cause error) string {
	if cause == nil {
		return ""
	}
	return ": " + cause.Error()
}

func joinItems(items []ItemRef) string {
	var texts []string
	for _, i := range items {
		texts = append(texts, i.String())
	}
	return strings.Join(texts, ", ")
}

// EventForError returns the event to log for the error that Publish returned;
// nil is success.
func EventForError(err error) event.ID {
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		return event.NoteAccepted
	case errors.As(err, &unknown):
		return event.NoteOutcomeUnknown
	}
	return event.NoteRefused
}
