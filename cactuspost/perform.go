package cactuspost

import (
	"context"
	"net/http"
	"time"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/httpclient"
)

const (
	// maxPollWait is the longest time that a request asks the entry to wait for
	// the job's end.
	maxPollWait = 30 * time.Second
	// exchangeTimeout is the timeout of a request in addition to that wait.
	exchangeTimeout = 10 * time.Second
)

// runCall runs a call until it has ended, doing the I/O that its state requires.
func (c *Client) runCall(ctx context.Context, state *call, r request) error {
	c.budget.TrySend(budgetMessage{})
	for !state.ended() {
		event := c.step(ctx, state, r)
		state.fire(c.clock.now(), event)
	}
	if state.state == callStates.Failed {
		return state.failure
	}
	return nil
}

// step does the I/O of the call's current state and returns the resulting event.
func (c *Client) step(ctx context.Context, state *call, r request) chart.Event {
	switch state.state {
	case callStates.Asking:
		return c.awaitBudget()
	case callStates.Pausing:
		return c.wait(ctx, state)
	default:
		return c.send(ctx, state, r)
	}
}

func (c *Client) awaitBudget() chart.Event {
	if requestRetry(c.budget) {
		return callEvents.Granted
	}
	return callEvents.Denied
}

func (c *Client) wait(ctx context.Context, state *call) chart.Event {
	select {
	case <-c.clock.after(state.pauseEnd.Sub(c.clock.now())):
	case <-ctx.Done():
		state.contextErr = ctx.Err()
		return callEvents.Stopped
	}
	if state.expired(c.clock.now()) {
		return callEvents.Expired
	}
	return callEvents.Due
}

func (c *Client) send(ctx context.Context, state *call, r request) chart.Event {
	now := c.clock.now()
	if state.expired(now) {
		return callEvents.Expired
	}
	state.recordSent(now)
	response, err := c.http.Exchange(ctx, c.compose(ctx, state, r, now))
	if err != nil {
		state.recordFailure(failure.Of(err))
		return c.exchangeFailure(ctx, state)
	}
	if response.Status >= http.StatusBadRequest {
		state.recordFailure(api.DecodeFailure(response.Status, response.Body, response.RetryAfter))
		return callEvents.Refused
	}
	final, err := r.read(response.Body)
	if err != nil {
		state.recordFailure(failure.Of(err))
		return callEvents.Broken
	}
	state.recordAnswer()
	if final {
		return callEvents.Answered
	}
	return callEvents.Pending
}

func (c *Client) exchangeFailure(ctx context.Context, state *call) chart.Event {
	if ctx.Err() == nil {
		return callEvents.Broken
	}
	state.contextErr = ctx.Err()
	return callEvents.Stopped
}

func (c *Client) compose(ctx context.Context, state *call, r request, now time.Time) httpclient.Request {
	method, path, body := r.compose()
	wait := pollWait(ctx, state, r, now)
	url := c.entries[state.entry] + path
	if wait > 0 {
		url += "?" + api.WaitParameter + "=" + api.FormatWait(wait)
	}
	request := httpclient.Request{
		Method:  method,
		URL:     url,
		Token:   c.token,
		Accept:  api.JSONType,
		Body:    body,
		Timeout: wait + exchangeTimeout,
	}
	if body != nil {
		request.ContentType = api.JSONType
	}
	return request
}

// pollWait returns how long the entry may wait for the job's end: at most
// maxPollWait, and no longer than the call's deadline and its context allow.
func pollWait(ctx context.Context, state *call, r request, now time.Time) time.Duration {
	if !r.waits() {
		return 0
	}
	wait := min(maxPollWait, state.deadline.Sub(now))
	if end, ok := ctx.Deadline(); ok {
		wait = min(wait, end.Sub(now))
	}
	return max(0, wait)
}
