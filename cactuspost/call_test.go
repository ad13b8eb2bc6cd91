package cactuspost

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/failure"
)

// TestCallInvariants drives calls through random answers. A call must stay
// within its attempts and entries, and must not report NotRun once a request may
// have delivered the tasks.
func TestCallInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		c := newCall(now, rapid.IntRange(1, 3).Draw(t, "entries"))
		c.untilEnd = rapid.Bool().Draw(t, "until end")
		c.deadline = now.Add(time.Minute)
		mayHaveArrived := false
		for requests := 0; !c.ended(); {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			switch c.state {
			case callStates.Asking:
				c.fire(now, rapid.SampledFrom([]chart.Event{callEvents.Granted, callEvents.Denied}).Draw(t, "budget"))
			case callStates.Pausing:
				if c.expired(now) {
					c.fire(now, callEvents.Expired)
					continue
				}
				c.fire(now, callEvents.Due)
			default:
				requests++
				c.recordSent(now)
				mayHaveArrived = answerAtRandom(t, c, now) || mayHaveArrived
			}
			if c.failedRequests > maxAttempts || c.entry >= c.entries {
				t.Fatalf("%d failures, entry %d", c.failedRequests, c.entry)
			}
		}
		if c.state == callStates.Failed && mayHaveArrived && c.failure.Run == NotRun && c.failure.Kind != UnknownJob {
			t.Fatalf("reported as not run after a request that may have arrived: %v", c.failure)
		}
	})
}

// answerAtRandom applies a random answer and reports whether the request may
// have started tasks.
func answerAtRandom(t *rapid.T, c *call, now time.Time) bool {
	switch rapid.IntRange(0, 2).Draw(t, "answer") {
	case 0:
		c.recordAnswer()
		c.fire(now, callEvents.Pending)
		return true
	case 1:
		c.recordFailure(failure.New(Unavailable, Unknown, "cut"))
		c.fire(now, callEvents.Broken)
		return true
	default:
		kind := Kind(rapid.IntRange(0, int(Expired)).Draw(t, "kind"))
		after := time.Duration(rapid.IntRange(0, 3).Draw(t, "retry after")) * time.Second
		c.recordFailure(failure.New(kind, NotRun, "").WithRetry(after))
		c.fire(now, callEvents.Refused)
		return false
	}
}
