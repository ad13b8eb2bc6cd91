package table

import (
	"fmt"
	"time"

	"cactuspost.example/internal/failure"
)

// retryAfter is when a caller may ask an unavailable table again.
const retryAfter = time.Second

// ConflictError says that a transaction had no effect because a row was not at
// the expected version.
type ConflictError struct {
	Key string
	// Expected is what the transaction named, Present what the row has; zero
	// means that the row does not exist.
	Expected uint64
	Present  uint64
}

// Error names the row and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has version %d, expected %d", e.Key, e.Present, e.Expected)
}

// Unwrap returns the failure that callers of the system see.
func (e *ConflictError) Unwrap() error {
	return failure.New(failure.Conflict, failure.NotRun, "the row was changed by somebody else")
}

// UnavailableError says that the table did not answer a read, or that a
// transaction certainly had no effect.
type UnavailableError struct{ Cause error }

// Error includes the cause.
func (e *UnavailableError) Error() string { return "table unavailable: " + causeText(e.Cause) }

// Unwrap returns the failure that callers of the system see.
func (e *UnavailableError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.NotRun, "the table is unavailable").WithRetry(retryAfter)
}

// UnknownOutcomeError says that the answer to a transaction was lost: it may or
// may not have taken effect, or may still do so.
type UnknownOutcomeError struct{ Cause error }

// Error includes the cause.
func (e *UnknownOutcomeError) Error() string {
	return "outcome of transaction unknown: " + causeText(e.Cause)
}

// Unwrap returns the failure that callers of the system see.
func (e *UnknownOutcomeError) Unwrap() error {
	return failure.Wrap(e.Cause, failure.Unavailable, failure.Unknown, "the table's answer was lost").WithRetry(retryAfter)
}

// InvalidError says that the table does not accept a request as it is, such as
// a value over its limit. The request had no effect.
type InvalidError struct{ Detail string }

// Error includes the table's own words.
func (e *InvalidError) Error() string { return "table refused the request: " + e.Detail }

// Unwrap returns the failure that callers of the system see.
func (e *InvalidError) Unwrap() error {
	return failure.New(failure.Internal, failure.NotRun, "the table refused the request")
}

func causeText(err error) string {
	if err == nil {
		return "no cause given"
	}
	return err.Error()
}

// StatusError is the cause of a failure that the service reported by an HTTP
// status.
type StatusError struct {
	Status int
	Detail string
}

// Error gives the status and the service's own words.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }
