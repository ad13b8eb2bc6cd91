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
}

// Needs is what one task takes of a worker while it runs.
type Needs struct {
	Cores        uint32 `json:"cores"`
	MemoryMB     uint32 `json:"memory_mb"`
	Accelerators uint32 `json:"accelerators"`
}

// Fits reports whether a worker of the given capacity could ever run the task.
func (n Needs) Fits(capacity Needs) bool {
	return n.Cores <= capacity.Cores && n.MemoryMB <= capacity.MemoryMB && n.Accelerators <= capacity.Accelerators
}

// Submission is a job as its caller sends it.
type Submission struct {
	ID      JobID
	Team    string
	Service string
	Needs   Needs
	Tasks   []Task
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
