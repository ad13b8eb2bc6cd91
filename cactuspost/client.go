package cactuspost

import (
	"context"
	"crypto/tls"
	"strings"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/httpclient"
)

// Config configures a Client.
type Config struct {
	// Entries holds base URLs, such as "http://127.0.0.1:7101": that of the load
	// balancer, or one for each entry. If a request fails, the client tries the
	// next one.
	Entries []string
	// Token identifies the caller's team.
	Token string
	// TLS configures https connections. With nil, the certificates of the system
	// are trusted.
	TLS *tls.Config
}

// Client submits jobs and awaits their answers. It is safe for concurrent use.
type Client struct {
	entries []string
	token   string
	http    *httpclient.Client
	budget  *actor.Inbox[budgetMessage]
	stop    context.CancelFunc
	clock   clock
}

// clock is the source of time. Tests replace it so that they need not wait.
type clock struct {
	now   func() time.Time
	after func(time.Duration) <-chan time.Time
}

// New returns a client, which must be closed. An error is a Failure of kind
// Invalid.
func New(config Config) (*Client, error) {
	if len(config.Entries) == 0 {
		return nil, failure.New(Invalid, NotRun, "the configuration has no entries")
	}
	entries := make([]string, len(config.Entries))
	for i, url := range config.Entries {
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			return nil, failure.Newf(Invalid, NotRun, "entry %q is not an http or https URL", url)
		}
		entries[i] = strings.TrimRight(url, "/")
	}
	ctx, stop := context.WithCancel(context.Background())
	return &Client{
		entries: entries,
		token:   config.Token,
		http:    httpclient.New(config.TLS),
		budget:  startBudget(ctx),
		stop:    stop,
		clock:   clock{now: time.Now, after: time.After},
	}, nil
}

// Close stops the client's goroutine and closes its idle connections. Calls in
// progress continue, but without further retries.
func (c *Client) Close() {
	c.stop()
	c.http.Close()
}

// NewTickets obtains ids for n new jobs of a service, at most 10,000 in one call.
// It starts no task. Unused ids expire.
func (c *Client) NewTickets(ctx context.Context, service string, n int) ([]Ticket, error) {
	request, err := newCreateRequest(service, n)
	if err != nil {
		return nil, err
	}
	now := c.clock.now()
	state := newCall(now, len(c.entries))
	if err := c.runCall(ctx, state, request); err != nil {
		return nil, err
	}
	return request.tickets(state.sentAt, state.entry), nil
}

// Submit submits a job under a ticket that was not used before, and waits for
// its answer. If the job fails, the error is its Failure. If ctx ends first, the
// job continues; use Await or Cancel with its id.
func (c *Client) Submit(ctx context.Context, ticket Ticket, job Job) (*Answer, error) {
	return c.submit(ctx, ticket, job, false)
}

// Resubmit submits a job that may have been submitted before under the same id,
// with the same tasks, and waits for its answer. The answer is that of the first
// submission that arrived. Different tasks under the same id are a Conflict.
func (c *Client) Resubmit(ctx context.Context, id string, job Job) (*Answer, error) {
	ticket, err := ticketOf(id)
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, ticket, job, true)
}

func (c *Client) submit(ctx context.Context, ticket Ticket, job Job, resubmission bool) (*Answer, error) {
	request, err := newSubmitRequest(ticket.ID, job)
	if err != nil {
		return nil, err
	}
	state := c.newJobCall(ticket)
	state.untilEnd = true
	state.mayHaveArrived = resubmission
	if err := c.runCall(ctx, state, request); err != nil {
		return nil, err
	}
	return answerOf(request.status)
}

// Await waits for the answer of a job that was submitted before. If the job
// failed, the error is its Failure.
func (c *Client) Await(ctx context.Context, id string) (*Answer, error) {
	status, err := c.ask(ctx, id, newAwaitRequest(id), true)
	if err != nil {
		return nil, err
	}
	return answerOf(status)
}

// Status returns the current state of a job. For a failed job it returns no
// error; the failure is in the Status.
func (c *Client) Status(ctx context.Context, id string) (*Status, error) {
	return c.ask(ctx, id, newStatusRequest(id), false)
}

// Cancel cancels a job and returns its state. A job that had already ended keeps
// its answer; any other has failed with kind Cancelled.
func (c *Client) Cancel(ctx context.Context, id string) (*Status, error) {
	return c.ask(ctx, id, newCancelRequest(id), false)
}

func (c *Client) ask(ctx context.Context, id string, request *jobRequest, untilEnd bool) (*Status, error) {
	ticket, err := ticketOf(id)
	if err != nil {
		return nil, err
	}
	state := c.newJobCall(ticket)
	state.untilEnd = untilEnd
	state.mayHaveArrived = true
	if err := c.runCall(ctx, state, request); err != nil {
		return nil, err
	}
	return request.status, nil
}

// newJobCall returns a call that ends expiryMargin after the ticket's expiry and
// begins at the entry that issued the ticket.
func (c *Client) newJobCall(ticket Ticket) *call {
	state := newCall(c.clock.now(), len(c.entries))
	state.deadline = ticket.Expiry.Add(expiryMargin)
	state.entry = ticket.issuer % len(c.entries)
	return state
}
