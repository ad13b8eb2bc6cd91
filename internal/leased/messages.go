// Package leased decides how tasks are started, monitored and stopped on a worker
// that executes them under one lease.
//
// Every run on the worker ends when the lease expires, so the agent renews the
// lease with each poll. Start and stop requests carry a fencing token and the
// number of the run they refer to. A request that got no answer may still be
// executed later; the charts workerlease and workerrun define how that is handled.
//
// Like the core of package agent, Core is a pure state machine: Step takes a
// message and a time and collects effects. A single goroutine owns it.
package leased

import (
	"time"

	"cactuspost.example/internal/structs"
)

// RunID identifies a run on the worker.
type RunID struct {
	// Task is the name under which the worker knows the task.
	Task string
	// Number is the number of the run within the task; it only increases.
	Number uint64
}

// Message is an input to Core.Step.
type Message interface{ isMessage() }

// Start requests a run of a granted task.
type Start struct{ Grant structs.Grant }

// Stop requests that the run of a grant be stopped.
type Stop struct{ Grant structs.GrantID }

// Bound sets the time by which every run on the worker must have ended unless a later
// Bound extends it. The zero time means that there is none.
type Bound struct{ At time.Time }

// StartAnswered carries the result of a SendStart.
type StartAnswered struct {
	Run    RunID
	Result CallResult
}

// StopAnswered carries the result of a SendStop.
type StopAnswered struct {
	Run    RunID
	Result CallResult
}

// PollAnswered carries the result of a SendPoll.
type PollAnswered struct {
	Result CallResult
	// SentAt is when the poll was sent, Token the fencing token that it carried.
	SentAt time.Time
	Token  uint64
	Report Report
}

func (*Start) isMessage()         {}
func (*Stop) isMessage()          {}
func (*Bound) isMessage()         {}
func (*StartAnswered) isMessage() {}
func (*StopAnswered) isMessage()  {}
func (*PollAnswered) isMessage()  {}

// CallResult is the outcome of a call to the worker.
type CallResult uint8

// Outcomes of a call to the worker.
const (
	// Done means that the worker executed the request.
	Done CallResult = iota
	// Full means that the worker has no capacity for the run.
	Full
	// Late means that the lease in the request had expired on arrival.
	Late
	// Outdated means that the worker knows a higher run number of the task.
	Outdated
	// Unhealthy means that the worker currently accepts no requests.
	Unhealthy
	// Invalid means that the request was malformed or that the worker rejected it
	// for an unknown reason.
	Invalid
	// Fenced means that the worker knows a higher fencing token.
	Fenced
	// Replaced means that another incarnation of the worker answered.
	Replaced
	// ConnectionRefused means that the worker refuses connections.
	ConnectionRefused
	// Unanswered means that the outcome of the call is unknown.
	Unanswered
)

var callResultNames = [...]string{
	"done", "full", "late", "outdated", "unhealthy", "invalid", "fenced", "replaced", "unreached", "unanswered",
}

// String returns the name used in logs.
func (r CallResult) String() string { return callResultNames[r] }

// Report is the worker's answer to a poll.
type Report struct {
	// Clock is the worker's monotonic clock at the time of the answer; where it began with
	// the worker's start is unknown.
	Clock time.Duration
	// Born is the time of the worker's start in Unix milliseconds, which identifies
	// its incarnation.
	Born    int64
	Running []RunID
	Ended   []End
}

// End describes how a run ended.
type End struct {
	// Serial numbers the ends within an incarnation of the worker, from 1.
	Serial uint64
	Run    RunID
	Reason EndReason
}

// EndReason is the reason why a run ended.
type EndReason uint8

// Reasons why a run ended.
const (
	// Completed means that the task succeeded.
	Completed EndReason = iota
	// Failed means that the task ended with an error.
	Failed
	// Stopped means that the run was stopped on request.
	Stopped
	// LeaseExpired means that the lease expired.
	LeaseExpired
	// GangEnded means that another member of the run's gang ended.
	GangEnded
)

// detail says why a run ended that nobody asked to stop and that had no result. It is
// empty for other ends.
func (r EndReason) detail() string {
	switch r {
	case LeaseExpired:
		return "the worker lists the run as ended by its lease"
	case GangEnded:
		return "the worker lists the run as ended with its gang"
	default:
		return ""
	}
}

// Conclusion is what the end of a run, or that it never started, was concluded from.
type Conclusion uint8

// What the end of a run was concluded from.
const (
	// EndListed means that the worker listed the run as ended.
	EndListed Conclusion = iota
	// StartRejected means that the worker rejected the start request.
	StartRejected
	// StartRevoked means that the worker executed a stop request while it was unknown
	// whether the run had started, and then did not list the run.
	StartRevoked
	// StartLate means that no stop request was answered until the worker would reject
	// the start request as late, and then did not list the run.
	StartLate
	// MissingFromList means that the worker did not list a run that had started.
	MissingFromList
	// LeaseOver means that the lease had expired on the worker by the agent's
	// reckoning.
	LeaseOver
)

// ConclusionCount is the number of defined conclusions.
const ConclusionCount = len(conclusionNames)

var conclusionNames = [...]string{
	"listed", "start_rejected", "start_revoked", "start_late", "missing", "lease_expired",
}

// String returns the name used in logs and metrics.
func (c Conclusion) String() string { return conclusionNames[c] }

// Effect is an output of Core.
type Effect interface{ isEffect() }

// SendStart asks the worker to start a run. It is answered by StartAnswered.
type SendStart struct {
	Grant   structs.GrantID
	Run     RunID
	Payload []byte
	Token   uint64
	// Until is the expiry of the lease on the worker's clock.
	Until time.Duration
}

// SendStop asks the worker to stop a run. It is answered by StopAnswered.
type SendStop struct {
	Run   RunID
	Token uint64
}

// SendPoll asks for the worker's lists of running and ended runs and renews the
// lease. It is answered by PollAnswered.
type SendPoll struct {
	// Token is zero while the agent has none.
	Token uint64
	// Until is the expiry of the lease on the worker's clock; zero leaves the lease
	// unchanged.
	Until time.Duration
	// LastSeen is the serial of the last end that was processed.
	LastSeen uint64
	// Wait is how long the worker may hold the answer until a run ends.
	Wait time.Duration
}

// Exited reports the end of a run, or that it never started. It does not follow for the
// runs that are open when WorkerLost is reported.
type Exited struct {
	Grant structs.GrantID
	Task  string
	// Number is the number of the run, zero if no run was requested.
	Number  uint64
	Outcome structs.Outcome
	// Concluded is what the end was concluded from.
	Concluded Conclusion
	// LeaseLeft is the time until the lease of all runs on the worker has expired by
	// the agent's reckoning; it is negative after that.
	LeaseLeft time.Duration
	// Full is set with NotSent if the worker had no room for the run at that time.
	Full bool
	// Crashed is set with Lost if the worker has executed the run and its process has
	// ended since.
	Crashed bool
	RunTime time.Duration
	// StopTime is the time since the first stop request, zero if there was none.
	StopTime time.Duration
	Detail   string
}

// AvailabilityChanged reports whether the worker can be given runs.
type AvailabilityChanged struct {
	Up bool
	// Tenure is this agent's at the worker, set with Up.
	Tenure structs.Tenure
}

// WorkerLost reports that the worker was replaced or that another agent has taken it
// over. The agent must end: entries learn from its successor which runs were lost.
type WorkerLost struct {
	Cause CallResult
	// Token is this agent's fencing token.
	Token uint64
}

// TokenDerived reports the fencing token that the agent uses from now on.
type TokenDerived struct {
	Token uint64
	// Floor is the highest token that is known of earlier agents at the worker's id.
	Floor uint64
	// Born and Clock are the worker's start and its clock, from which the token was derived.
	Born  int64
	Clock time.Duration
}

// TokenRejected reports that the worker knows a higher fencing token than this agent's.
type TokenRejected struct {
	Token uint64
	// State is the state of the lease when the token was rejected.
	State string
}

// RunsLost reports that the lease has expired with runs on the worker. It precedes
// their ends.
type RunsLost struct {
	// Runs is the number of runs, at least one.
	Runs int
	// LeaseLeft is as in Exited.
	LeaseLeft time.Duration
}

// ForeignRunListed reports that the worker lists a run that this agent did not
// request, or whose end it has reported, and that is told to stop.
type ForeignRunListed struct {
	Run RunID
	// Requested is set if this agent requested the run and has reported its end.
	Requested bool
	// Token is this agent's fencing token.
	Token uint64
}

// StopOverdue reports, once a run, that its end is not known although it was asked
// to stop some time ago.
type StopOverdue struct {
	Grant structs.GrantID
	Run   RunID
	// State is the run's state in the chart workerrun.
	State string
	// Attempts is the number of stop requests sent; Executed is set if the worker
	// answered that it executed one.
	Attempts int
	Executed bool
	// Elapsed is the time since the first stop request, Limit the time after which
	// a stop is reported.
	Elapsed, Limit time.Duration
	// LeaseLeft is as in Exited.
	LeaseLeft time.Duration
}

// StoppedRunListed reports, once a run, that the worker lists it as running although
// its start would be rejected by now and no stop request was answered, or although a
// stop was executed and is overdue.
type StoppedRunListed struct {
	Grant structs.GrantID
	Run   RunID
	// State, Attempts and Executed are as in StopOverdue.
	State    string
	Attempts int
	Executed bool
	// LeaseLeft is as in Exited.
	LeaseLeft time.Duration
}

func (*SendStart) isEffect()           {}
func (*SendStop) isEffect()            {}
func (*SendPoll) isEffect()            {}
func (*Exited) isEffect()              {}
func (*AvailabilityChanged) isEffect() {}
func (*WorkerLost) isEffect()          {}
func (*RunsLost) isEffect()            {}
func (*ForeignRunListed) isEffect()    {}
func (*StopOverdue) isEffect()         {}
func (*StoppedRunListed) isEffect()    {}
func (*TokenDerived) isEffect()        {}
func (*TokenRejected) isEffect()       {}
