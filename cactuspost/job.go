package cactuspost

import (
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Ticket is the id of one submission that has not been sent yet. Keep its ID
// to resubmit or await the job from another process.
type Ticket struct {
	ID string
	// Expiry is when the id ends, by the local clock.
	Expiry time.Time
	// home is the index of the entry that issued it.
	home int
}

// Needs is what one task takes of a worker while it runs.
type Needs = structs.Needs

// Job is a set of tasks that is answered as a whole.
type Job struct {
	Service string
	Needs   Needs
	Tasks   []Task
}

// Task is one piece of work.
type Task struct {
	// Kind groups tasks with similar run times, such as "profile-check".
	Kind string
	// Declared is the expected run time; zero means not known.
	Declared time.Duration
	Payload  []byte
}

// Answer is a complete job. Results has one entry per task, in their order.
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
	// Failed means that the job ended without an answer.
	Failed State = "failed"
)

// Status is a job's state at one moment.
type Status struct {
	ID    string
	State State
	// Results is set for Complete, Failure for Failed.
	Results [][]byte
	Failure *Failure
	// Waiting, Running and Done count the tasks of an open job.
	Waiting, Running, Done int
}

func statusOf(form *api.JobAnswer) *Status {
	s := &Status{
		ID:      form.ID,
		State:   State(form.State),
		Results: form.Results,
		Waiting: form.Waiting,
		Running: form.Running,
		Done:    form.Done,
	}
	if form.Failure != nil {
		s.Failure = form.Failure.Failure()
	}
	return s
}

// answerOf returns a final status as an answer or a failure.
func answerOf(s *Status) (*Answer, error) {
	if s.State == Failed {
		return nil, s.Failure
	}
	return &Answer{ID: s.ID, Results: s.Results}, nil
}

func formOf(job Job) *api.JobRequest {
	tasks := make([]api.TaskRequest, len(job.Tasks))
	for i, t := range job.Tasks {
		tasks[i] = api.TaskRequest{Kind: t.Kind, Declared: structs.Millis(t.Declared.Milliseconds()), Payload: t.Payload}
	}
	return &api.JobRequest{Service: job.Service, Needs: job.Needs, Tasks: tasks}
}

// ticketOf returns the ticket of an id that was kept as text.
func ticketOf(id string) (Ticket, error) {
	parsed, err := structs.ParseJobID(id)
	if err != nil {
		return Ticket{}, failure.Of(err)
	}
	return Ticket{ID: id, Expiry: parsed.ExpiryTime()}, nil
}
