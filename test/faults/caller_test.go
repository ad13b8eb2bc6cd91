package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/standin"
)

const (
	// service is the service that loads submit to by default.
	service = "recession"
	kind    = "profile-check"
	// retryInterval is the interval between a caller's requests until the final
	// answer.
	retryInterval = 50 * time.Millisecond
)

// caller submits one job after the other and follows each to its end. It runs on
// one goroutine; its random numbers depend on the seed and its index only.
type caller struct {
	index int
	// first and second try the entries in different orders.
	first, second *cactuspost.Client
	ledger        *actor.Inbox[ledgerMessage]
	rng           *rand.Rand
	service       string
	maxTasks      int
	sleep         time.Duration
	jobs          int
}

func newCaller(index int, token string, urls func(first int) []string, ledger *actor.Inbox[ledgerMessage]) (*caller, error) {
	first, err := cactuspost.New(cactuspost.Config{Entries: urls(index), Token: token})
	if err != nil {
		return nil, err
	}
	second, err := cactuspost.New(cactuspost.Config{Entries: urls(index + 1), Token: token})
	if err != nil {
		return nil, err
	}
	return &caller{
		index: index, first: first, second: second, ledger: ledger,
		rng: rand.New(rand.NewPCG(seed, uint64(index))),
	}, nil
}

// run submits jobs until stop is closed; the job in progress is followed to its
// end.
func (c *caller) run(ctx context.Context, stop <-chan struct{}) {
	defer c.first.Close()
	defer c.second.Close()
	for ctx.Err() == nil {
		select {
		case <-stop:
			return
		default:
		}
		tickets, err := c.first.NewTickets(ctx, c.service, 1)
		if err != nil {
			sleepOrDone(ctx, retryInterval)
			continue
		}
		c.submitJob(ctx, tickets[0])
	}
}

func sleepOrDone(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// submitJob submits a job and waits for its outcome. One job in four is
// submitted through two entries at the same time.
func (c *caller) submitJob(ctx context.Context, ticket cactuspost.Ticket) {
	c.jobs++
	s := &submission{id: ticket.ID, sentTwice: c.rng.IntN(4) == 0}
	job := c.newJob(s)
	c.ledger.Send(jobSubmitted{})
	second := make(chan *outcome, 1)
	if s.sentTwice {
		go func() { second <- submitUntilEnded(ctx, c.second, s, job, nil) }()
	}
	first := submitUntilEnded(ctx, c.first, s, job, &ticket)
	if s.sentTwice {
		first = mergeOutcomes(first, <-second)
	}
	if first != nil {
		c.ledger.Send(&jobEnded{outcome: *first})
	}
}

// mergeOutcomes merges the outcomes of two requests for one job into the one
// that the checks hold the system to. A complete answer outranks a failure,
// because the other request may not have reached the owner before the owner
// ended. Two complete answers that differ become one without results, which the
// checks report.
func mergeOutcomes(first, second *outcome) *outcome {
	switch {
	case first == nil || second == nil:
		return nil
	case first.failure == nil && second.failure == nil && !slices.EqualFunc(first.results, second.results, slices.Equal):
		return &outcome{job: first.job, results: nil}
	case first.failure == nil:
		return first
	case second.failure == nil || second.failure.Run == failure.NotRun:
		return second
	default:
		return first
	}
}

func (c *caller) newJob(s *submission) cactuspost.Job {
	job := cactuspost.Job{Service: c.service}
	for i := range 1 + c.rng.IntN(c.maxTasks) {
		echo := fmt.Sprintf("caller-%d-job-%d-task-%d", c.index, c.jobs, i)
		s.echoes = append(s.echoes, echo)
		job.Tasks = append(job.Tasks, newTask(echo, c.sleep))
	}
	return job
}

func newTask(echo string, sleep time.Duration) cactuspost.Task {
	payload, err := json.Marshal(standin.EndpointPayload{SleepMicros: sleep.Microseconds(), Echo: echo})
	if err != nil {
		panic(err)
	}
	return cactuspost.Task{Kind: kind, Payload: payload}
}

// transientKinds lists the kinds of failure after which the job may still be
// open.
var transientKinds = []cactuspost.Kind{cactuspost.Unavailable, cactuspost.NoConfiguration}

// submitUntilEnded submits a job and resubmits it until its outcome is known.
// It returns nil if the context ends first.
func submitUntilEnded(ctx context.Context, client *cactuspost.Client, s *submission, job cactuspost.Job, ticket *cactuspost.Ticket) *outcome {
	for {
		answer, err := send(ctx, client, s.id, job, ticket)
		ticket = nil
		if err == nil {
			return &outcome{job: s, results: answer.Results}
		}
		if ctx.Err() != nil {
			return nil
		}
		f := failure.Of(err)
		if !slices.Contains(transientKinds, f.Kind) || (f.Run == failure.NotRun && !s.sentTwice) {
			return &outcome{job: s, failure: f}
		}
		sleepOrDone(ctx, retryInterval)
	}
}

// send submits the job under the ticket, or resubmits it if there is none.
func send(ctx context.Context, client *cactuspost.Client, id string, job cactuspost.Job, ticket *cactuspost.Ticket) (*cactuspost.Answer, error) {
	if ticket != nil {
		return client.Submit(ctx, *ticket, job)
	}
	return client.Resubmit(ctx, id, job)
}
