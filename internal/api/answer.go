package api

import (
	"encoding/json"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// CreateAnswer is the body of the answer to a CreateRequest: the ids of the new
// jobs. Its HTTP status is 201.
type CreateAnswer struct {
	IDs []string `json:"ids"`
	// Lifetime is how long each id can be used, counted from when it was issued.
	Lifetime structs.Millis `json:"lifetime_ms"`
}

// JobAnswer is the state of a job. Its HTTP status is 200 even when the job has
// failed, because the request about it has succeeded.
type JobAnswer struct {
	ID string `json:"id"`
	// State is created, open, complete or failed.
	State string `json:"state"`
	// Results is set for complete jobs. It has one element per task, in Base64 in
	// JSON.
	Results [][]byte `json:"results,omitempty"`
	// Failure is set for failed jobs.
	Failure *FailureJSON `json:"failure,omitempty"`
	Waiting int          `json:"waiting"`
	Running int          `json:"running"`
	Done    int          `json:"done"`
}

// Ended reports whether the job has reached a final state.
func (a *JobAnswer) Ended() bool {
	return a.State == structs.JobComplete.String() || a.State == structs.JobFailed.String()
}

// Complete reports whether the job is complete, so that the answer has the result
// of every task.
func (a *JobAnswer) Complete() bool { return a.State == structs.JobComplete.String() }

// EncodeAnswer returns the JSON encoding of a job's answer.
func EncodeAnswer(answer structs.Answer) ([]byte, error) {
	body := &JobAnswer{
		ID:      answer.ID.String(),
		State:   answer.State.String(),
		Results: answer.Results,
		Waiting: answer.Waiting,
		Running: answer.Running,
		Done:    answer.Done,
	}
	if answer.Failure != nil {
		body.Failure = NewFailureJSON(answer.Failure)
	}
	return Encode(body)
}

// DecodeAnswer decodes a JobAnswer and checks that it is consistent: the state is
// known, a failure is set exactly for a failed job, and only a complete job has
// results. The error is a failure of kind Unavailable with an unknown outcome.
func DecodeAnswer(body []byte) (*JobAnswer, error) {
	answer := &JobAnswer{}
	if err := DecodeLenient(body, answer); err != nil {
		return nil, err
	}
	known := answer.State == structs.JobCreated.String() || answer.State == structs.JobOpen.String() || answer.Ended()
	failed := answer.State == structs.JobFailed.String()
	if !known || failed != (answer.Failure != nil) || (!answer.Complete() && len(answer.Results) > 0) {
		return nil, failure.Newf(failure.Unavailable, failure.Unknown, "state %q is inconsistent with the other fields of the answer", answer.State)
	}
	return answer, nil
}

// Encode returns the JSON encoding of an answer or a request.
// The error is a failure of kind Internal.
func Encode(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "encode JSON")
	}
	return raw, nil
}

// DecodeLenient decodes the JSON of an answer and ignores unknown fields.
// The error is a failure of kind Unavailable with an unknown outcome.
func DecodeLenient(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return failure.Wrap(err, failure.Unavailable, failure.Unknown, "the answer could not be decoded")
	}
	return nil
}
