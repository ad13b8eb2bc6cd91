// Package failure defines the error type that is reported to callers and
// operators and exchanged between the processes of the system.
//
// A Failure contains the kind of error (Kind), whether the task or job ran (Run),
// and whether and when to retry. Run is a guarantee: NotRun is used only when no
// task was started.
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
	// Internal is an error of the system itself.
	Internal Kind = iota
	// Invalid is a malformed request.
	Invalid
	// TooLarge is a request that exceeds a limit of bytes, tasks or connections.
	TooLarge
	// Unauthorized is a request without a valid token.
	Unauthorized
	// Forbidden is a request that the token or the team does not permit, such as
	// one for another team's job or for an operator's action.
	Forbidden
	// UnknownService is a request for a service that the configuration in force
	// doesn't define.
	UnknownService
	// UnknownJob is a request for a job id that no entry has issued.
	UnknownJob
	// Conflict is a resubmission with different tasks, or a release note with an
	// outdated base revision.
	Conflict
	// NeverRuns is a job that no worker of the pool has the capacity to run.
	NeverRuns
	// Overloaded is a refusal because the expected wait in the queue exceeds the
	// objective.
	Overloaded
	// QuotaExceeded is a refusal because the team has reached its limit.
	QuotaExceeded
	// Draining is a refusal by an instance that is being stopped.
	Draining
	// Unavailable means that there is no answer at the moment; the caller should
	// ask again.
	Unavailable
	// NoConfiguration is a refusal by an instance that has no configuration yet.
	NoConfiguration
	// TaskFailed means that the endpoint reported an error for a task.
	TaskFailed
	// TimeLimit means that a task ran longer than its service allows.
	TimeLimit
	// EndpointLost means that the endpoint or its agent was lost while a task may
	// have been running there.
	EndpointLost
	// OwnerLost means that the entry that owned the job no longer exists.
	OwnerLost
	// Cancelled means that the caller cancelled the job.
	Cancelled
	// Expired means that the job's lifetime ended before the job was complete.
	Expired
	kindCount
)

var kindNames = [kindCount]string{
	"internal", "invalid", "too_large", "unauthorized", "forbidden", "unknown_service",
	"unknown_job", "conflict", "never_runs", "overloaded", "quota_exceeded", "draining",
	"unavailable", "no_configuration", "task_failed", "time_limit", "endpoint_lost",
	"owner_lost", "cancelled", "expired",
}

// String returns the text form that the HTTP interface uses.
func (k Kind) String() string {
	if k >= kindCount {
		return kindNames[Internal]
	}
	return kindNames[k]
}

// MarshalText returns the text form.
func (k Kind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses the text form. It reads an unknown one as Internal, so that
// an older client can decode the failures of a newer server.
func (k *Kind) UnmarshalText(text []byte) error {
	*k = Internal
	for i, name := range kindNames {
		if name == string(text) {
			*k = Kind(i)
		}
	}
	return nil
}

// Run is what is known about the execution of the task or job.
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

// String returns the text form that the HTTP interface uses.
func (r Run) String() string {
	if int(r) >= len(runNames) {
		return runNames[Unknown]
	}
	return runNames[r]
}

// MarshalText returns the text form.
func (r Run) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the text form. It reads an unknown one as Unknown.
func (r *Run) UnmarshalText(text []byte) error {
	*r = Unknown
	for i, name := range runNames {
		if name == string(text) {
			*r = Run(i)
		}
	}
	return nil
}

// Failure is an error with a kind. The zero value is an internal error of which it
// is unknown whether the task or job ran.
type Failure struct {
	Kind Kind
	Run  Run
	// Detail is a description for people; programs should use Kind and Run.
	Detail string
	// RetryAfter is the delay before a retry; zero means that a retry will not
	// help.
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

// WithRetry returns a copy of f with the given RetryAfter.
func (f *Failure) WithRetry(after time.Duration) *Failure {
	c := *f
	c.RetryAfter = after
	return &c
}

// Error returns the kind, the run state, the detail and the cause on one line.
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

// Of returns the first Failure in err's chain, or an internal one that wraps err.
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
