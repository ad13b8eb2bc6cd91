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
	// Internal is an error of the system itself.
	Internal = failure.Internal
	// Invalid is a malformed request.
	Invalid = failure.Invalid
	// TooLarge is a request that exceeds a limit of bytes, tasks or connections.
	TooLarge = failure.TooLarge
	// Unauthorized is a request without a valid token.
	Unauthorized = failure.Unauthorized
	// Forbidden is a request that the token or the team does not permit.
	Forbidden = failure.Forbidden
	// UnknownService is a request for a service that is not configured.
	UnknownService = failure.UnknownService
	// UnknownJob is a request for a job id that no entry has issued.
	UnknownJob = failure.UnknownJob
	// Conflict is a resubmission with different tasks.
	Conflict = failure.Conflict
	// NeverRuns is a job that no worker has the capacity to run.
	NeverRuns = failure.NeverRuns
	// Overloaded is a refusal because the expected wait exceeds the objective.
	Overloaded = failure.Overloaded
	// QuotaExceeded is a refusal because the team has reached its limit.
	QuotaExceeded = failure.QuotaExceeded
	// Draining is a refusal by an entry that is being stopped.
	Draining = failure.Draining
	// Unavailable means that there is no answer at the moment; ask again.
	Unavailable = failure.Unavailable
	// NoConfiguration is a refusal by an entry that has no configuration yet.
	NoConfiguration = failure.NoConfiguration
	// TaskFailed means that the endpoint reported an error for a task.
	TaskFailed = failure.TaskFailed
	// TimeLimit means that a task ran longer than its service allows.
	TimeLimit = failure.TimeLimit
	// EndpointLost means that the endpoint or its agent was lost while a task may
	// have been running there.
	EndpointLost = failure.EndpointLost
	// OwnerLost means that the entry that owned the job no longer exists.
	OwnerLost = failure.OwnerLost
	// Cancelled means that the caller cancelled the job.
	Cancelled = failure.Cancelled
	// Expired means that the job's id expired before the job was complete.
	Expired = failure.Expired
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

// FailureOf returns the first Failure in err's chain, or nil for a nil error. It
// wraps an error that contains none in a Failure of kind Internal.
func FailureOf(err error) *Failure { return failure.Of(err) }
