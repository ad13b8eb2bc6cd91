package structs

import (
	"time"

	"cactuspost.example/internal/failure"
)

// Task is one unit of work. Its payload is opaque to the system.
type Task struct {
	// Kind groups tasks with similar run times, such as "profile-check". Run-time
	// statistics are kept per kind.
	Kind string
	// Declared is the caller's estimate of the run time; it is not trusted.
	Declared time.Duration
	Payload  []byte
	// Name is the endpoint's identifier of the task; it may be empty.
	Name string
	// Needs overrides the submission's Needs if it is set.
	Needs Needs
	// Step is the index of the task's step in Submission.Steps.
	Step int
}

// Step defines the order of a job's tasks: the tasks of a step start once all
// tasks of the steps in After have results.
type Step struct{ After []int }

// Needs is the amount of a worker's resources that a task occupies while it runs.
// It also describes a worker's capacity.
type Needs struct {
	// Cores is a number of whole cores. Millicores is added to it, in thousandths
	// of a core.
	Cores        uint32 `json:"cores"`
	Millicores   uint32 `json:"millicores,omitempty"`
	MemoryMB     uint32 `json:"memory_mb"`
	Accelerators uint32 `json:"accelerators"`
}

// TotalMillicores returns the sum of Cores and Millicores in thousandths of a core.
func (n Needs) TotalMillicores() uint64 { return uint64(n.Cores)*1000 + uint64(n.Millicores) }

// Fits reports whether an otherwise idle worker of the given capacity could run
// the task.
func (n Needs) Fits(capacity Needs) bool {
	return n.TotalMillicores() <= capacity.TotalMillicores() && n.MemoryMB <= capacity.MemoryMB && n.Accelerators <= capacity.Accelerators
}

// SlotCount returns the number of slots that the needs occupy on a worker whose
// capacity is divided into equal slots. The resource of which the needs take the
// largest fraction decides; the result is rounded up and is at least one.
func (n Needs) SlotCount(capacity Needs, slots uint32) uint32 {
	count := uint64(1)
	for _, r := range [...]struct{ need, have uint64 }{
		{n.TotalMillicores(), capacity.TotalMillicores()},
		{uint64(n.MemoryMB), uint64(capacity.MemoryMB)},
		{uint64(n.Accelerators), uint64(capacity.Accelerators)},
	} {
		if r.need > 0 && r.have > 0 {
			count = max(count, (r.need*uint64(slots)+r.have-1)/r.have)
		}
	}
	return uint32(min(count, uint64(slots)))
}

// Submission is a job as submitted by its caller.
type Submission struct {
	ID JobID
	// Name is the caller's own name for the job. RequestID identifies the request
	// that submitted it, for the log. Both may be empty.
	Name      string
	RequestID string
	Team      string
	Service   string
	Needs     Needs
	Tasks     []Task
	// Steps is empty if all tasks of the job may start at once.
	Steps []Step
}

// JobState is the state of a job as reported to its caller.
type JobState uint8

// The states of a job.
const (
	// JobCreated means that the id was issued but no tasks have arrived yet.
	JobCreated JobState = iota
	// JobOpen means that the job was accepted and has not ended.
	JobOpen
	// JobComplete means that the answer contains the result of every task.
	JobComplete
	// JobFailed means that the job ended without results.
	JobFailed
)

var jobStateNames = [...]string{"created", "open", "complete", "failed"}

// String returns the name that the HTTP interface uses.
func (s JobState) String() string {
	if int(s) >= len(jobStateNames) {
		return jobStateNames[JobFailed]
	}
	return jobStateNames[s]
}

// Answer is the reply to a caller's request for a job. Results is set only in
// state JobComplete, with one element per task; Failure is set only in state
// JobFailed.
type Answer struct {
	ID      JobID
	State   JobState
	Results [][]byte
	Failure *failure.Failure
	// Waiting, Running and Done count the job's tasks while it is open.
	Waiting, Running, Done int
}

// Outcome is the way in which a task's run ended.
type Outcome uint8

// The outcomes of a task.
const (
	// Succeeded means that the endpoint returned the task's result.
	Succeeded Outcome = iota
	// Errored means that the endpoint reported an error for the task.
	Errored
	// LimitExceeded means that the agent stopped the task at its time limit.
	LimitExceeded
	// Stopped means that the agent stopped the task at the entry's request.
	Stopped
	// Lost means that the connection to the endpoint broke while the task ran.
	Lost
	// NotSent means that the endpoint could not be reached and no part of the task
	// was sent. It is used only within the agent, which refuses the grant.
	NotSent
)

// OutcomeCount is the number of defined outcomes.
const OutcomeCount = len(outcomeNames)

var outcomeNames = [...]string{"succeeded", "errored", "limit_exceeded", "stopped", "lost", "not_sent"}

// String returns the name used in logs and metrics. Outcomes that arrive from
// another process may have a value that is not defined here.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}
