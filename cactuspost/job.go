package cactuspost

import (
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Ticket is a job id that was issued for one submission. Store its ID to
// resubmit or await the job from another process.
type Ticket struct {
	ID string
	// Expiry is the time at which the id expires, by the local clock.
	Expiry time.Time
	// issuer is the index of the entry that issued it.
	issuer int
}

// Needs holds the resources that one task takes on a worker while it runs.
type Needs = structs.Needs

// Job is a set of tasks of one service that is answered as a whole.
type Job struct {
	Service string
	Needs   Needs
	Tasks   []Task
}

// Task is a unit of work that runs on one worker.
type Task struct {
	// Kind groups tasks with similar run times, such as "profile-check".
	Kind string
	// Declared is the expected run time, which is sent in whole milliseconds. Zero
	// means unknown.
	Declared time.Duration
	// Payload is the input of the task, which the endpoint interprets.
	Payload []byte
}

// Answer is the answer of a complete job. Results has one element per task, in
// the order of the tasks.
type Answer struct {
	ID      string
	Results [][]byte
}

// State is the state of a job: created, open, complete or failed.
type State string

// The states of a job.
const (
	// Created means that the id was issued and no tasks have arrived.
	Created State = "created"
	// Open means that the job was accepted and has not ended.
	Open State = "open"
	// Complete means that every task has its result.
	Complete State = "complete"
	// Failed means that the job ended with a failure.
	Failed State = "failed"
)

// Status is the state of a job at one moment.
type Status struct {
	ID    string
	State State
	// Results is set in state Complete, with one element per task in the order of
	// the tasks; Failure is set in state Failed.
	Results [][]byte
	Failure *Failure
	// Waiting, Running and Done count the tasks of an open job.
	Waiting, Running, Done int
}

func statusOf(answer *api.JobAnswer) *Status {
	s := &Status{
		ID:      answer.ID,
		State:   State(answer.State),
		Results: answer.Results,
		Waiting: answer.Waiting,
		Running: answer.Running,
		Done:    answer.Done,
	}
	if answer.Failure != nil {
		s.Failure = answer.Failure.Failure()
	}
	return s
}

// answerOf converts the status of an ended job to an answer or a failure.
func answerOf(s *Status) (*Answer, error) {
	if s.State == Failed {
		return nil, s.Failure
	}
	return &Answer{ID: s.ID, Results: s.Results}, nil
}

func jobRequestOf(job Job) *api.JobRequest {
	tasks := make([]api.TaskRequest, len(job.Tasks))
	for i, t := range job.Tasks {
		tasks[i] = api.TaskRequest{Kind: t.Kind, Declared: structs.Millis(t.Declared.Milliseconds()), Payload: t.Payload}
	}
	return &api.JobRequest{Service: job.Service, Needs: job.Needs, Tasks: tasks}
}

// ticketOf parses a job id and returns its ticket.
func ticketOf(id string) (Ticket, error) {
	parsed, err := structs.ParseJobID(id)
	if err != nil {
		return Ticket{}, failure.Of(err)
	}
	return Ticket{ID: id, Expiry: parsed.ExpiryTime()}, nil
}
