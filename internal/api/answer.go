package api

import (
	"encoding/json"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// CreateAnswer brings the ids of new jobs. Its status is 201.
type CreateAnswer struct {
	IDs []string `json:"ids"`
	// Lifetime is how long each id may be used, from its issue.
	Lifetime structs.Millis `json:"lifetime_ms"`
}

// JobAnswer is what the system says of a job. Its status is 200, also when the
// job has failed: the request itself did not.
type JobAnswer struct {
	ID string `json:"id"`
	// State is created, open, complete or failed.
	State string `json:"state"`
	// Results is set for complete jobs and has one entry per task, Base64 in JSON.
	Results [][]byte `json:"results,omitempty"`
	// Failure is set for failed jobs.
	Failure *FailureJSON `json:"failure,omitempty"`
	Waiting int          `json:"waiting"`
	Running int          `json:"running"`
	Done    int          `json:"done"`
}

// Ended reports whether the answer is final.
func (a *JobAnswer) Ended() bool {
	return a.State == structs.JobComplete.String() || a.State == structs.JobFailed.String()
}

// Complete reports whether the answer has every task's result.
func (a *JobAnswer) Complete() bool { return a.State == structs.JobComplete.String() }

// EncodeAnswer returns the form of a job's answer.
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

// DecodeAnswer reads a JobAnswer and checks that it is whole: the state is
// known, a failed job has its failure, and nothing but a complete one has
// results. The error is a failure of kind Unavailable with an unknown outcome.
func DecodeAnswer(body []byte) (*JobAnswer, error) {
	answer := &JobAnswer{}
	if err := DecodeLenient(body, answer); err != nil {
		return nil, err
	}
	known := answer.State == structs.JobCreated.String() || answer.State == structs.JobOpen.String() || answer.Ended()
	failed := answer.State == structs.JobFailed.String()
	if !known || failed != (answer.Failure != nil) || (!answer.Complete() && len(answer.Results) > 0) {
		return nil, failure.Newf(failure.Unavailable, failure.Unknown, "state %q does not fit the rest of the answer", answer.State)
	}
	return answer, nil
}

// Encode returns the JSON form of an answer or request.
// The error is a failure of kind Internal.
func Encode(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "encoding JSON")
	}
	return raw, nil
}

// DecodeLenient reads the JSON form of an answer and ignores unknown fields.
// The error is a failure of kind Unavailable with an unknown outcome.
func DecodeLenient(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return failure.Wrap(err, failure.Unavailable, failure.Unknown, "the answer can't be read")
	}
	return nil
}
