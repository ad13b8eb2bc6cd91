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
	// maxAttempts bounds the requests of one call that end without an answer.
	maxAttempts = 8
	// firstPause and longestPause bound the exponential delay of retries.
	firstPause   = 50 * time.Millisecond
	longestPause = 5 * time.Second
	// pollInterval is the least time between the starts of two polls.
	pollInterval = 250 * time.Millisecond
	// expiryMargin is how long after a job's expiry its owner may still say how
	// it ended.
	expiryMargin = 2 * time.Second
)

// call decides, for one call of the library, what follows each answer. It does
// no I/O and reads no clock; one goroutine owns it.
type call struct {
	state chart.State
	// untilEnd makes the call poll until the job has ended.
	untilEnd bool
	// deadline ends the retries; the zero value means none.
	deadline time.Time
	entries  int
	// entry is the index of the entry that the next request goes to.
	entry int
	// uncertain is set once tasks may have arrived without an answer. From then
	// on a refusal's "not run" does not speak for the earlier request.
	uncertain bool
	// failed counts the requests since the last answer.
	failed  int
	failure *Failure
	// stop is the context's error when the caller's context has ended.
	stop     error
	delays   *backoff.ExponentialBackOff
	sentAt   time.Time
	now      time.Time
	pauseEnd time.Time
}

func newCall(now time.Time, entries int) *call {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = firstPause
	delays.MaxInterval = longestPause
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

// fire applies one event at a time.
func (c *call) fire(now time.Time, event chart.Event) {
	c.now = now
	callChart.Fire(&c.state, event, c)
}

func (c *call) ended() bool { return callChart.Final(c.state) }

// expired reports whether the retries must end.
func (c *call) expired(now time.Time) bool { return !c.deadline.IsZero() && !now.Before(c.deadline) }

// sent notes the start of a request.
func (c *call) sent(now time.Time) { c.sentAt = now }

// reject notes a failure without a final answer. The request's tasks may have
// arrived unless the failure says that they did not.
func (c *call) reject(f *Failure) {
	c.failed++
	if f.Run != NotRun {
		c.uncertain = true
	}
	if c.uncertain && f.Run == NotRun && f.Kind != UnknownJob {
		changed := *f
		changed.Run = Unknown
		f = &changed
	}
	c.failure = f
}

// accept notes an answer. If it is not final, the tasks are at their owner, and
// no later refusal of a request speaks for them.
func (c *call) accept() {
	c.uncertain = true
	c.failed = 0
	c.failure = nil
	c.delays.Reset()
}

var passingKinds = []Kind{Unavailable, NoConfiguration, Draining}

// retryable reports whether the same request may succeed later, in time.
func (c *call) retryable() bool {
	passing := slices.Contains(passingKinds, c.failure.Kind) || c.failure.RetryAfter > 0
	inTime := c.deadline.IsZero() || c.now.Add(c.failure.RetryAfter).Before(c.deadline)
	return passing && inTime && c.failed < maxAttempts
}

// chooseEntry turns to the next entry, except when the refusal is the owner's
// own decision: another entry would only ask the owner again.
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
	c.failure = failure.Wrap(c.stop, Unavailable, c.run(), "the caller's context ended")
}

func (c *call) recordExpiry() {
	c.failure = failure.Wrap(c.reason(), Expired, c.run(), "the id's lifetime ended without an answer")
}

// reason returns the last failure as an error, or nil.
func (c *call) reason() error {
	if c.failure == nil {
		return nil
	}
	return c.failure
}

// run is NotRun only if every request so far was refused as such.
func (c *call) run() Run {
	if c.uncertain || c.failure == nil {
		return Unknown
	}
	return c.failure.Run
}
