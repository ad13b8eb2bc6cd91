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

// Config says where the entries are and who calls.
type Config struct {
	// Entries are base URLs, such as "http://127.0.0.1:7101": the balancer's, or
	// one for each entry. The client turns to the next one when one fails.
	Entries []string
	// Token identifies the caller's team.
	Token string
	// TLS is nil for the system's certificates.
	TLS *tls.Config
}

// Client submits and awaits jobs. Any number of goroutines may use it.
type Client struct {
	entries []string
	token   string
	http    *httpclient.Client
	budget  *actor.Inbox[budgetMessage]
	stop    context.CancelFunc
	clock   clock
}

// clock is the source of time, so that tests need not wait.
type clock struct {
	now   func() time.Time
	after func(time.Duration) <-chan time.Time
}

// New returns a client. The error is a failure of kind Invalid.
func New(config Config) (*Client, error) {
	if len(config.Entries) == 0 {
		return nil, failure.New(Invalid, NotRun, "no entries are given")
	}
	entries := make([]string, len(config.Entries))
	for i, url := range config.Entries {
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			return nil, failure.Newf(Invalid, NotRun, "entry %q is not a URL with http or https", url)
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

// Close ends the client's goroutine and its idle connections. Calls in progress
// go on but are not retried.
func (c *Client) Close() {
	c.stop()
	c.http.Close()
}

// NewTickets asks for the ids of n new jobs of a service. Nothing starts. Ids
// that are not used end by themselves.
func (c *Client) NewTickets(ctx context.Context, service string, n int) ([]Ticket, error) {
	request, err := newCreateRequest(service, n)
	if err != nil {
		return nil, err
	}
	now := c.clock.now()
	state := newCall(now, len(c.entries))
	if err := c.perform(ctx, state, request); err != nil {
		return nil, err
	}
	return request.tickets(state.sentAt, state.entry), nil
}

// Submit sends a job under a ticket that was not used before, and waits for its
// answer. When ctx ends first, the job goes on: await or cancel it by its id.
func (c *Client) Submit(ctx context.Context, ticket Ticket, job Job) (*Answer, error) {
	return c.submit(ctx, ticket, job, false)
}

// Resubmit sends a job that may have been sent before under the same id, with
// the same tasks, and waits for its answer. The answer is that of the first
// submission that arrived. Other tasks under the same id are a Conflict.
func (c *Client) Resubmit(ctx context.Context, id string, job Job) (*Answer, error) {
	ticket, err := ticketOf(id)
	if err != nil {
		return nil, err
	}
	return c.submit(ctx, ticket, job, true)
}

func (c *Client) submit(ctx context.Context, ticket Ticket, job Job, again bool) (*Answer, error) {
	request, err := newSubmitRequest(ticket.ID, job)
	if err != nil {
		return nil, err
	}
	state := c.jobCall(ticket)
	state.untilEnd = true
	state.uncertain = again
	if err := c.perform(ctx, state, request); err != nil {
		return nil, err
	}
	return answerOf(request.status)
}

// Await waits for the answer of a job that was submitted.
func (c *Client) Await(ctx context.Context, id string) (*Answer, error) {
	status, err := c.ask(ctx, id, newAwaitRequest(id), true)
	if err != nil {
		return nil, err
	}
	return answerOf(status)
}

// Status returns the present state of a job. A failed job is not an error here.
func (c *Client) Status(ctx context.Context, id string) (*Status, error) {
	return c.ask(ctx, id, newStatusRequest(id), false)
}

// Cancel withdraws a job and returns its state: a job that had ended keeps its
// answer, any other has failed with kind Cancelled.
func (c *Client) Cancel(ctx context.Context, id string) (*Status, error) {
	return c.ask(ctx, id, newCancelRequest(id), false)
}

func (c *Client) ask(ctx context.Context, id string, request *jobRequest, untilEnd bool) (*Status, error) {
	ticket, err := ticketOf(id)
	if err != nil {
		return nil, err
	}
	state := c.jobCall(ticket)
	state.untilEnd = untilEnd
	state.uncertain = true
	if err := c.perform(ctx, state, request); err != nil {
		return nil, err
	}
	return request.status, nil
}

// jobCall returns a call that ends with the ticket.
func (c *Client) jobCall(ticket Ticket) *call {
	state := newCall(c.clock.now(), len(c.entries))
	state.deadline = ticket.Expiry.Add(expiryMargin)
	state.entry = ticket.home % len(c.entries)
	return state
}
