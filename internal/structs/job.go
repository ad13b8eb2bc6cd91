package structs

import (
	"time"

	"cactuspost.example/internal/failure"
)

// Task is one piece of work, opaque to the system.
type Task struct {
	// Kind groups tasks with similar run times, such as "profile-check". Run
	// times are learnt per kind.
	Kind string
	// Declared is the caller's estimate of the run time; it is not trusted.
	Declared time.Duration
	Payload  []byte
	// Name is what the endpoint knows the task by; it may be empty.
	Name string
	// Needs replace those of the submission if they are set.
	Needs Needs
	// Step is the index of the task's step in Submission.Steps.
	Step int
}

// Step orders the tasks of a job: those of a step start when all tasks of the
// steps in After have their results.
type Step struct{ After []int }

// Needs is what one task takes of a worker while it runs.
type Needs struct {
	// Cores are whole cores; Millicores are thousandths of a core beyond them.
	Cores        uint32 `json:"cores"`
	Millicores   uint32 `json:"millicores,omitempty"`
	MemoryMB     uint32 `json:"memory_mb"`
	Accelerators uint32 `json:"accelerators"`
}

// Processor returns the need for processors in thousandths of a core.
func (n Needs) Processor() uint64 { return uint64(n.Cores)*1000 + uint64(n.Millicores) }

// Fits reports whether a worker of the given capacity could ever run the task.
func (n Needs) Fits(capacity Needs) bool {
	return n.Processor() <= capacity.Processor() && n.MemoryMB <= capacity.MemoryMB && n.Accelerators <= capacity.Accelerators
}

// Share returns the number of slots that the needs take of a worker whose
// capacity is divided into equal slots: the part of the scarcest resource,
// rounded up. It is at least one.
func (n Needs) Share(capacity Needs, slots uint32) uint32 {
	share := uint64(1)
	for _, r := range [...]struct{ need, have uint64 }{
		{n.Processor(), capacity.Processor()},
		{uint64(n.MemoryMB), uint64(capacity.MemoryMB)},
		{uint64(n.Accelerators), uint64(capacity.Accelerators)},
	} {
		if r.need > 0 && r.have > 0 {
			share = max(share, (r.need*uint64(slots)+r.have-1)/r.have)
		}
	}
	return uint32(min(share, uint64(slots)))
}

// Submission is a job as its caller sends it.
type Submission struct {
	ID JobID
	// Name is the caller's own name of the job, RequestID that of the request that
	// brought it, for the log; both may be empty.
	Name      string
	RequestID string
	Team      string
	Service   string
	Needs     Needs
	Tasks     []Task
	// Steps is empty for a job whose tasks may all start at once.
	Steps []Step
}

// JobState is what a caller can learn about a job.
type JobState uint8

// The states that callers see.
const (
	// JobCreated means that the id was issued and no tasks have arrived.
	JobCreated JobState = iota
	// JobOpen means that the job was accepted and has not ended.
	JobOpen
	// JobComplete means that every task's result is in the answer.
	JobComplete
	// JobFailed means that the job ended without an answer.
	JobFailed
)

var jobStateNames = [...]string{"created", "open", "complete", "failed"}

// String returns the text form, as in the HTTP interface.
func (s JobState) String() string {
	if int(s) >= len(jobStateNames) {
		return jobStateNames[JobFailed]
	}
	return jobStateNames[s]
}

// Answer is what the system says of a job. Results is set only for
// JobComplete, and then has one entry per task; Failure only for JobFailed.
type Answer struct {
	ID      JobID
	State   JobState
	Results [][]byte
	Failure *failure.Failure
	// Waiting, Running and Done count the job's tasks while it is open.
	Waiting, Running, Done int
}

// Outcome is how one task ended at its endpoint.
type Outcome uint8

// The outcomes of a task.
const (
	// Succeeded carries the task's result.
	Succeeded Outcome = iota
	// Errored means that the endpoint reported an error.
	Errored
	// LimitExceeded means that the agent stopped the task at its time limit.
	LimitExceeded
	// Stopped means that the agent stopped the task on the entry's request.
	Stopped
	// Lost means that the connection to the endpoint broke during the task.
	Lost
	// NotSent means that the endpoint could not be reached and nothing of the
	// task was sent. It never leaves the agent, which refuses the grant instead.
	NotSent
)

// Outcomes is the number of outcomes.
const Outcomes = len(outcomeNames)

var outcomeNames = [...]string{"succeeded", "errored", "limit_exceeded", "stopped", "lost", "not_sent"}

// String returns the text form, as in logs and metrics. An outcome may come from
// another process, and have any number.
func (o Outcome) String() string {
	if int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}
