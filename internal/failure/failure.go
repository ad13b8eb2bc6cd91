// Package failure defines the one family of errors that callers, operators and
// the processes of the system exchange.
//
// A Failure says what went wrong (Kind), whether the task or job ran (Run), and
// whether and when to try again. Run is a promise: NotRun is used only when no
// task was ever started.
package failure

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Kind classifies a failure.
type Kind uint8

// The kinds of failure. Their text forms are part of the HTTP interface.
const (
	// Internal is a fault of the system itself.
	Internal Kind = iota
	// Invalid is a request that doesn't follow the interface.
	Invalid
	// TooLarge is a request over a stated limit of bytes, tasks or connections.
	TooLarge
	// Unauthorized is a request without a valid token.
	Unauthorized
	// Forbidden is a request for another team's job or an operator's action.
	Forbidden
	// UnknownService is a service that the configuration in force doesn't have.
	UnknownService
	// UnknownJob is a job id that no entry issued.
	UnknownJob
	// Conflict is a resubmission with other tasks, or a release note against an
	// outdated base revision.
	Conflict
	// NeverRuns is a job that no worker of the pool could ever run.
	NeverRuns
	// Overloaded is a refusal because the queue would exceed the objective.
	Overloaded
	// QuotaExceeded is a refusal because of the team's own limit.
	QuotaExceeded
	// Draining is a refusal by an instance that is leaving.
	Draining
	// Unavailable means that the answer can't be had now; ask again.
	Unavailable
	// NoConfiguration is a refusal by an instance that knows no revision yet.
	NoConfiguration
	// TaskFailed means that the endpoint reported an error for a task.
	TaskFailed
	// TimeLimit means that a task ran longer than its service allows.
	TimeLimit
	// EndpointLost means that the endpoint went away with a started task.
	EndpointLost
	// OwnerLost means that the entry that owned the job is gone.
	OwnerLost
	// Cancelled means that the caller withdrew the job.
	Cancelled
	// Expired means that the job's lifetime ended before it was complete.
	Expired
	kindCount
)

var kindNames = [kindCount]string{
	"internal", "invalid", "too_large", "unauthorized", "forbidden", "unknown_service",
	"unknown_job", "conflict", "never_runs", "overloaded", "quota_exceeded", "draining",
	"unavailable", "no_configuration", "task_failed", "time_limit", "endpoint_lost",
	"owner_lost", "cancelled", "expired",
}

// String returns the text form, as in the HTTP interface.
func (k Kind) String() string {
	if k >= kindCount {
		return kindNames[Internal]
	}
	return kindNames[k]
}

// MarshalText returns the text form.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads the text form; an unknown one becomes Internal, so that
// an older client can read a newer server's failures.
func (k *Kind) UnmarshalText(text []byte) error {
	*k = Internal
	for i, name := range kindNames {
		if name == string(text) {
			*k = Kind(i)
		}
	}
	return nil
}

// Run says what is known about the execution of the task or job.
type Run uint8

const (
	// Unknown means that a task may have started.
	Unknown Run = iota
	// NotRun means that no task started and none will.
	NotRun
	// Ran means that at least one task started.
	Ran
)

var runNames = [...]string{"unknown", "not run", "ran"}

// String returns the text form, as in the HTTP interface.
func (r Run) String() string {
	if int(r) >= len(runNames) {
		return runNames[Unknown]
	}
	return runNames[r]
}

// MarshalText returns the text form.
func (r Run) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads the text form; an unknown one becomes Unknown.
func (r *Run) UnmarshalText(text []byte) error {
	*r = Unknown
	for i, name := range runNames {
		if name == string(text) {
			*r = Run(i)
		}
	}
	return nil
}

// Failure is an error with a kind. The zero value is an internal failure with
// an unknown outcome.
type Failure struct {
	Kind Kind
	Run  Run
	// Detail tells a person more; programs use Kind and Run.
	Detail string
	// RetryAfter is when to try again; zero means that a retry is of no use.
	RetryAfter time.Duration
	cause      error
}

// New returns a failure.
func New(kind Kind, run Run, detail string) *Failure {
	return &Failure{Kind: kind, Run: run, Detail: detail}
}

// Newf returns a failure with a formatted detail.
func Newf(kind Kind, run Run, format string, args ...any) *Failure {
	return New(kind, run, fmt.Sprintf(format, args...))
}

// Wrap returns a failure that was caused by err.
func Wrap(err error, kind Kind, run Run, detail string) *Failure {
	return &Failure{Kind: kind, Run: run, Detail: detail, cause: err}
}

// WithRetry returns a copy that tells when to try again.
func (f *Failure) WithRetry(after time.Duration) *Failure {
	c := *f
	c.RetryAfter = after
	return &c
}

// Error returns kind, outcome and detail on one line.
func (f *Failure) Error() string {
	text := f.Kind.String() + " (" + f.Run.String() + ")"
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (f *Failure) Unwrap() error { return f.cause }

// Of returns the Failure in err's chain, or an internal one that wraps err.
// It returns nil for a nil error.
func Of(err error) *Failure {
	if err == nil {
		return nil
	}
	var f *Failure
	if errors.As(err, &f) {
		return f
	}
	return Wrap(err, Internal, Unknown, "")
}
