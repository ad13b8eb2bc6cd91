package cactuspost

import "cactuspost.example/internal/failure"

// Failure is the type of every error of this package.
type Failure = failure.Failure

// Kind classifies a failure.
type Kind = failure.Kind

// Run says what is known about the execution of a job.
type Run = failure.Run

// The kinds of failure.
const (
	Internal        = failure.Internal
	Invalid         = failure.Invalid
	TooLarge        = failure.TooLarge
	Unauthorized    = failure.Unauthorized
	Forbidden       = failure.Forbidden
	UnknownService  = failure.UnknownService
	UnknownJob      = failure.UnknownJob
	Conflict        = failure.Conflict
	NeverRuns       = failure.NeverRuns
	Overloaded      = failure.Overloaded
	QuotaExceeded   = failure.QuotaExceeded
	Draining        = failure.Draining
	Unavailable     = failure.Unavailable
	NoConfiguration = failure.NoConfiguration
	TaskFailed      = failure.TaskFailed
	TimeLimit       = failure.TimeLimit
	EndpointLost    = failure.EndpointLost
	OwnerLost       = failure.OwnerLost
	Cancelled       = failure.Cancelled
	Expired         = failure.Expired
)

// What is known about the execution of a job.
const (
	// Unknown means that a task may have started.
	Unknown = failure.Unknown
	// NotRun means that no task started and none will.
	NotRun = failure.NotRun
	// Ran means that at least one task started.
	Ran = failure.Ran
)

// FailureOf returns the Failure in err's chain, or nil for a nil error.
func FailureOf(err error) *Failure { return failure.Of(err) }
