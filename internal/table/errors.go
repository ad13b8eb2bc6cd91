package table

import (
	"fmt"
	"time"

	"cactuspost.example/internal/failure"
)

// retryAfter is how long a caller should wait before it retries while the table
// is unavailable.
const retryAfter = time.Second

// ConflictError reports that a transaction had no effect because a row did not
// have the expected version.
type ConflictError struct {
	Key string
	// Expected is the version that the transaction named, Present the version of
	// the row. Zero means that the row does not exist.
	Expected uint64
	Present  uint64
}

// Error names the row and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Present, e.Expected)
}

// Unwrap returns the failure that callers of the system see.
func (e *ConflictError) Unwrap() error {
	return failure.New(failure.Conflict, failure.NotRun, "the row was changed by another writer")
}

// UnavailableError reports that a read failed, or that a transaction failed and
// certainly had no effect.
type UnavailableError struct{ Cause error }

// Error includes the cause.
func (e *UnavailableError) Error() string { return "table unavailable: " + causeText(e.Cause) }

// Unwrap returns the failure that callers of the system see.
func (e *UnavailableError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.NotRun, "the table is unavailable").WithRetry(retryAfter)
}

// UnknownOutcomeError reports that the answer to a transaction was lost. The
// transaction may have taken effect, or may still do so.
type UnknownOutcomeError struct{ Cause error }

// Error includes the cause.
func (e *UnknownOutcomeError) Error() string {
	return "outcome of transaction unknown: " + causeText(e.Cause)
}

// Unwrap returns the failure that callers of the system see.
func (e *UnknownOutcomeError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.Unknown, "the table's answer was lost").WithRetry(retryAfter)
}

// InvalidError reports that the table rejected a request, for example because of a
// value over its limit. The request had no effect.
type InvalidError struct{ Detail string }

// Error includes the detail that the table gave.
func (e *InvalidError) Error() string { return "table rejected the request: " + e.Detail }

// Unwrap returns the failure that callers of the system see.
func (e *InvalidError) Unwrap() error {
	return failure.New(failure.Internal, failure.NotRun, "the table rejected the request")
}

func causeText(err error) string {
	if err == nil {
		return "unknown cause"
	}
	return err.Error()
}

// StatusError is an error that the service reported by an HTTP status.
type StatusError struct {
	Status int
	Detail string
}

// Error includes the status and the detail that the service gave.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }
