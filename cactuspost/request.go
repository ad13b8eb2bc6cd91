package cactuspost

import (
	"net/http"
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// request is what a call sends and how it reads the answer. The goroutine of
// the call owns it.
type request interface {
	// compose returns method, path and body of the next request.
	compose() (method, path string, body []byte)
	// read takes the body of a successful answer. It reports whether the answer
	// is final. The error means that the answer doesn't fit the request.
	read(body []byte) (final bool, err error)
	// waits reports whether the entry should wait for the job's end.
	waits() bool
}

// createRequest asks for ids.
type createRequest struct {
	body   []byte
	count  int
	answer api.CreateAnswer
}

func newCreateRequest(service string, n int) (*createRequest, error) {
	if n < 1 || n > api.MaxCreateCount {
		return nil, failure.Newf(Invalid, NotRun, "the number of tickets is not from 1 to %d", api.MaxCreateCount)
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
		return false, failure.Newf(Unavailable, Unknown, "%d ids came for %d", len(r.answer.IDs), r.count)
	}
	return true, nil
}

// tickets dates the ids from the start of the request, so that they end here no
// later than at their owner, whatever the clocks say.
func (r *createRequest) tickets(sentAt time.Time, home int) []Ticket {
	list := make([]Ticket, len(r.answer.IDs))
	for i, id := range r.answer.IDs {
		list[i] = Ticket{ID: id, Expiry: sentAt.Add(r.answer.Lifetime.Duration()), home: home}
	}
	return list
}

// jobRequest submits, asks for or withdraws one job.
type jobRequest struct {
	id     string
	method string
	body   []byte
	// tasks is the number of tasks, or 0 when it is not known.
	tasks  int
	wait   bool
	status *Status
}

func newSubmitRequest(id string, job Job) (*jobRequest, error) {
	body, err := api.Encode(formOf(job))
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

// compose sends the tasks until the entry has said that it has them.
func (r *jobRequest) compose() (string, string, []byte) {
	path := api.JobPathPrefix + r.id
	accepted := r.status != nil && r.status.State != Created
	if r.method == http.MethodPut && accepted {
		return http.MethodGet, path, nil
	}
	return r.method, path, r.body
}

func (r *jobRequest) waits() bool { return r.wait }

// read refuses the answer of another job and a result list of another length.
func (r *jobRequest) read(body []byte) (bool, error) {
	form, err := api.DecodeAnswer(body)
	if err != nil {
		return false, err
	}
	if form.ID != r.id {
		return false, failure.Newf(Unavailable, Unknown, "the answer is that of job %s", form.ID)
	}
	if form.State == structs.JobComplete.String() && r.tasks > 0 && len(form.Results) != r.tasks {
		return false, failure.Newf(Unavailable, Unknown, "%d results came for %d tasks", len(form.Results), r.tasks)
	}
	r.status = statusOf(form)
	return form.Ended(), nil
}
