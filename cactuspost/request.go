package cactuspost

import (
	"net/http"
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// request composes the HTTP requests of a call and reads their answers. It is
// used by the goroutine of the call.
type request interface {
	// compose returns the method, path and body of the next request.
	compose() (method, path string, body []byte)
	// read decodes the body of a successful answer and reports whether the
	// answer is final. It returns an error if the answer does not match the
	// request.
	read(body []byte) (final bool, err error)
	// waits reports whether the entry should wait for the job's end before it
	// answers.
	waits() bool
}

// createRequest requests new job ids.
type createRequest struct {
	body   []byte
	count  int
	answer api.CreateAnswer
}

func newCreateRequest(service string, n int) (*createRequest, error) {
	if n < 1 || n > api.MaxCreateCount {
		return nil, failure.Newf(Invalid, NotRun, "the number of tickets must be from 1 to %d", api.MaxCreateCount)
	}
	body, err := api.Encode(api.CreateRequest{Service: service, Count: n})
	if err != nil {
		return nil, err
	}
	return &createRequest{body: body, count: n}, nil
}

func (r *createRequest) compose() (string, string, []byte) {
	return http.MethodPost, api.JobsPath, r.body
}

func (r *createRequest) waits() bool { return false }

func (r *createRequest) read(body []byte) (bool, error) {
	r.answer = api.CreateAnswer{}
	if err := api.DecodeLenient(body, &r.answer); err != nil {
		return false, err
	}
	if len(r.answer.IDs) != r.count {
		return false, failure.Newf(Unavailable, Unknown, "the entry returned %d ids, expected %d", len(r.answer.IDs), r.count)
	}
	return true, nil
}

// tickets returns the tickets of the answer. Their expiry counts from the start
// of the request, so that they expire here no later than at their owner, even
// if the clocks of the two machines differ.
func (r *createRequest) tickets(sentAt time.Time, issuer int) []Ticket {
	list := make([]Ticket, len(r.answer.IDs))
	for i, id := range r.answer.IDs {
		list[i] = Ticket{ID: id, Expiry: sentAt.Add(r.answer.Lifetime.Duration()), issuer: issuer}
	}
	return list
}

// jobRequest submits, queries or cancels one job.
type jobRequest struct {
	id     string
	method string
	body   []byte
	// tasks is the number of tasks, or 0 if it is unknown.
	tasks  int
	wait   bool
	status *Status
}

func newSubmitRequest(id string, job Job) (*jobRequest, error) {
	body, err := api.Encode(jobRequestOf(job))
	if err != nil {
		return nil, err
	}
	return &jobRequest{id: id, method: http.MethodPut, body: body, tasks: len(job.Tasks), wait: true}, nil
}

func newAwaitRequest(id string) *jobRequest {
	return &jobRequest{id: id, method: http.MethodGet, wait: true}
}

func newStatusRequest(id string) *jobRequest { return &jobRequest{id: id, method: http.MethodGet} }

func newCancelRequest(id string) *jobRequest { return &jobRequest{id: id, method: http.MethodDelete} }

// compose sends the tasks until an answer shows that they were accepted; from
// then on it only queries the job.
func (r *jobRequest) compose() (string, string, []byte) {
	path := api.JobPathPrefix + r.id
	accepted := r.status != nil && r.status.State != Created
	if r.method == http.MethodPut && accepted {
		return http.MethodGet, path, nil
	}
	return r.method, path, r.body
}

func (r *jobRequest) waits() bool { return r.wait }

// read rejects the answer of another job and a wrong number of results.
func (r *jobRequest) read(body []byte) (bool, error) {
	form, err := api.DecodeAnswer(body)
	if err != nil {
		return false, err
	}
	if form.ID != r.id {
		return false, failure.Newf(Unavailable, Unknown, "the entry answered for another job, %s", form.ID)
	}
	if form.State == structs.JobComplete.String() && r.tasks > 0 && len(form.Results) != r.tasks {
		return false, failure.Newf(Unavailable, Unknown, "the entry returned %d results for %d tasks", len(form.Results), r.tasks)
	}
	r.status = statusOf(form)
	return form.Ended(), nil
}
