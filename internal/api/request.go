package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Limits that hold for every service. A service's own limits may be lower.
const (
	// MaxCreateCount limits the number of ids in one request.
	MaxCreateCount = 10_000
	// MaxNameBytes limits the length of the names of services and kinds.
	MaxNameBytes = 64
	// MaxDeclaredRunTime limits the declared run time of a task.
	MaxDeclaredRunTime = 24 * time.Hour
)

// Limits are the limits of a decoded request. Zero means no limit.
type Limits struct {
	// Body is the maximum length of the body in bytes.
	Body int
	// Tasks is the maximum number of tasks in a job.
	Tasks int
	// TaskBytes is the maximum length of a task's payload in bytes.
	TaskBytes int
}

// CreateRequest asks for the ids of new jobs.
type CreateRequest struct {
	Service string `json:"service"`
	// Count is the number of ids; the default is 1.
	Count int `json:"count"`
}

// JobRequest submits the tasks of one job.
type JobRequest struct {
	Service string        `json:"service"`
	Needs   structs.Needs `json:"needs"`
	Tasks   []TaskRequest `json:"tasks"`
}

// TaskRequest is one task of a JobRequest.
type TaskRequest struct {
	Kind     string         `json:"kind"`
	Declared structs.Millis `json:"declared_ms"`
	// Payload is Base64 in JSON.
	Payload []byte `json:"payload"`
}

// DecodeCreate decodes and validates a CreateRequest.
// The error is a failure of kind Invalid or TooLarge with the outcome NotRun.
func DecodeCreate(body []byte, limits Limits) (*CreateRequest, error) {
	request := &CreateRequest{Count: 1}
	if err := decodeStrict(body, limits, request); err != nil {
		return nil, err
	}
	if err := checkName("service", request.Service); err != nil {
		return nil, err
	}
	if request.Count < 1 || request.Count > MaxCreateCount {
		return nil, invalid(fmt.Sprintf("count must be between 1 and %d", MaxCreateCount))
	}
	return request, nil
}

// DecodeJob decodes and validates a JobRequest.
// The error is a failure of kind Invalid or TooLarge with the outcome NotRun.
func DecodeJob(body []byte, limits Limits) (*JobRequest, error) {
	request := &JobRequest{}
	if err := decodeStrict(body, limits, request); err != nil {
		return nil, err
	}
	if err := checkName("service", request.Service); err != nil {
		return nil, err
	}
	if len(request.Tasks) == 0 {
		return nil, invalid("a job must have at least one task")
	}
	if exceeds(len(request.Tasks), limits.Tasks) {
		return nil, tooLarge(fmt.Sprintf("the job has %d tasks; the limit is %d", len(request.Tasks), limits.Tasks))
	}
	for i := range request.Tasks {
		if err := checkTask(i, &request.Tasks[i], limits); err != nil {
			return nil, err
		}
	}
	return request, nil
}

// Submission returns the job in the form that the dispatcher takes. The team is
// known from the token of the request.
func (r *JobRequest) Submission(id structs.JobID, team string) structs.Submission {
	tasks := make([]structs.Task, len(r.Tasks))
	for i, t := range r.Tasks {
		tasks[i] = structs.Task{Kind: t.Kind, Declared: t.Declared.Duration(), Payload: t.Payload}
	}
	return structs.Submission{ID: id, Team: team, Service: r.Service, Needs: r.Needs, Tasks: tasks}
}

func checkTask(index int, task *TaskRequest, limits Limits) error {
	if err := checkName(fmt.Sprintf("tasks[%d].kind", index), task.Kind); err != nil {
		return err
	}
	if task.Declared < 0 || task.Declared > structs.Millis(MaxDeclaredRunTime.Milliseconds()) {
		return invalid(fmt.Sprintf("tasks[%d].declared_ms must be between 0 and %d", index, MaxDeclaredRunTime.Milliseconds()))
	}
	if exceeds(len(task.Payload), limits.TaskBytes) {
		return tooLarge(fmt.Sprintf("tasks[%d].payload has %d bytes; the limit is %d", index, len(task.Payload), limits.TaskBytes))
	}
	return nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return invalid(fmt.Sprintf("%s must be 1 to %d bytes long", field, MaxNameBytes))
	}
	return nil
}

// decodeStrict decodes a body that must be exactly one JSON value without unknown
// fields.
func decodeStrict(body []byte, limits Limits, target any) error {
	if exceeds(len(body), limits.Body) {
		return tooLarge(fmt.Sprintf("the body has %d bytes; the limit is %d", len(body), limits.Body))
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "the request body does not have the expected JSON form")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return invalid("the body has data after the JSON value")
	}
	return nil
}

func exceeds(n, limit int) bool { return limit > 0 && n > limit }

func tooLarge(detail string) *failure.Failure {
	return failure.New(failure.TooLarge, failure.NotRun, detail)
}
