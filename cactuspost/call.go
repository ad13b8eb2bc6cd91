package cactuspost

import (
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/failure"
)

const (
	// maxAttempts bounds the consecutive failed requests of one call.
	maxAttempts = 8
	// initialRetryDelay and maxRetryDelay bound the exponential backoff of
	// retries.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
	// pollInterval is the minimum time between the starts of two polls.
	pollInterval = 250 * time.Millisecond
	// expiryMargin is how long after a job's expiry its owner may still report
	// the outcome.
	expiryMargin = 2 * time.Second
)

// call is the state machine of one call of the library: it decides what to do
// after each answer. It does no I/O and reads no clock. It is used by one
// goroutine.
type call struct {
	state chart.State
	// untilEnd makes the call poll until the job has ended.
	untilEnd bool
	// deadline ends the retries; the zero value means no deadline.
	deadline time.Time
	// entries is the number of configured entries.
	entries int
	// entry is the index of the entry that receives the next request.
	entry int
	// mayHaveArrived is set once an earlier request may have delivered the
	// tasks. From then on a refusal with NotRun holds for the refused request
	// only, and not for the job.
	mayHaveArrived bool
	// failedRequests counts the failed requests since the last answer.
	failedRequests int
	// failure is that of the last failed request, or of the call once it failed.
	failure *Failure
	// contextErr is the error of the caller's context once it has ended.
	contextErr error
	delays     *backoff.ExponentialBackOff
	// sentAt is the start of the last request.
	sentAt time.Time
	// now is the time of the event that is being handled.
	now time.Time
	// pauseEnd is when the next request is due.
	pauseEnd time.Time
}

func newCall(now time.Time, entries int) *call {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initialRetryDelay
	delays.MaxInterval = maxRetryDelay
	delays.Multiplier = 2
	return &call{state: callChart.Initial(), entries: entries, delays: delays, now: now, sentAt: now}
}

var callChart = chart.MustCompile(charts.Files, "call", chart.Bindings[*call]{
	Guards: map[string]func(*call) bool{
		"until_end": func(c *call) bool { return c.untilEnd },
		"retryable": (*call).retryable,
	},
	Actions: map[string]func(*call){
		"choose_entry":   (*call).chooseEntry,
		"schedule_retry": (*call).scheduleRetry,
		"schedule_poll":  (*call).schedulePoll,
		"record_stop":    (*call).recordStop,
		"record_expiry":  (*call).recordExpiry,
	},
})

var callStates struct {
	Sending  chart.State `chart:"sending"`
	Asking   chart.State `chart:"asking"`
	Pausing  chart.State `chart:"pausing"`
	Answered chart.State `chart:"answered"`
	Failed   chart.State `chart:"failed"`
}

var callEvents struct {
	Answered chart.Event `chart:"answered"`
	Pending  chart.Event `chart:"pending"`
	Refused  chart.Event `chart:"refused"`
	Broken   chart.Event `chart:"broken"`
	Granted  chart.Event `chart:"granted"`
	Denied   chart.Event `chart:"denied"`
	Due      chart.Event `chart:"due"`
	Stopped  chart.Event `chart:"stopped"`
	Expired  chart.Event `chart:"expired"`
}

func init() {
	callChart.MustBindNames(&callStates)
	callChart.MustBindNames(&callEvents)
}

// fire applies an event that occurred at the given time.
func (c *call) fire(now time.Time, event chart.Event) {
	c.now = now
	callChart.Fire(&c.state, event, c)
}

func (c *call) ended() bool { return callChart.Final(c.state) }

// expired reports whether the deadline has passed.
func (c *call) expired(now time.Time) bool { return !c.deadline.IsZero() && !now.Before(c.deadline) }

// recordSent records the start of a request.
func (c *call) recordSent(now time.Time) { c.sentAt = now }

// recordFailure records a failed request. The request may have delivered the
// tasks unless the failure says NotRun. If an earlier request may have
// delivered them, a later NotRun becomes Unknown, except for UnknownJob.
func (c *call) recordFailure(f *Failure) {
	c.failedRequests++
	if f.Run != NotRun {
		c.mayHaveArrived = true
	}
	if c.mayHaveArrived && f.Run == NotRun && f.Kind != UnknownJob {
		changed := *f
		changed.Run = Unknown
		f = &changed
	}
	c.failure = f
}

// recordAnswer records an answer. If it is not final, the tasks are at their
// owner, so that a later refusal of a request says nothing about whether they
// ran.
func (c *call) recordAnswer() {
	c.mayHaveArrived = true
	c.failedRequests = 0
	c.failure = nil
	c.delays.Reset()
}

var transientKinds = []Kind{Unavailable, NoConfiguration, Draining}

// retryable reports whether the request may succeed if it is repeated before the
// deadline.
func (c *call) retryable() bool {
	transient := slices.Contains(transientKinds, c.failure.Kind) || c.failure.RetryAfter > 0
	inTime := c.deadline.IsZero() || c.now.Add(c.failure.RetryAfter).Before(c.deadline)
	return transient && inTime && c.failedRequests < maxAttempts
}

// chooseEntry selects the next entry, unless the owner itself refused the job
// for overload or quota: another entry would only forward the request to the
// same owner.
func (c *call) chooseEntry() {
	if c.failure.Kind != Overloaded && c.failure.Kind != QuotaExceeded {
		c.entry = (c.entry + 1) % c.entries
	}
}

func (c *call) scheduleRetry() {
	c.pauseEnd = c.now.Add(max(c.failure.RetryAfter, c.delays.NextBackOff()))
}

func (c *call) schedulePoll() { c.pauseEnd = c.sentAt.Add(pollInterval) }

func (c *call) recordStop() {
	c.failure = failure.Wrap(c.contextErr, Unavailable, c.runState(), "the caller's context ended before the answer arrived")
}

func (c *call) recordExpiry() {
	c.failure = failure.Wrap(c.lastError(), Expired, c.runState(), "the job id expired before an answer arrived")
}

// lastError returns the last failure as an error, or nil.
func (c *call) lastError() error {
	if c.failure == nil {
		return nil
	}
	return c.failure
}

// runState returns what is known about the execution of the job. It is NotRun
// only if every request so far failed as not run.
func (c *call) runState() Run {
	if c.mayHaveArrived || c.failure == nil {
		return Unknown
	}
	return c.failure.Run
}
