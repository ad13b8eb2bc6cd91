package faults

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cactuspost.example/cactuspost"
)

// outcome is the outcome of a job as its caller saw it.
type outcome struct {
	job     *submission
	results [][]byte
	// failure is nil for a complete job.
	failure *cactuspost.Failure
	at      time.Time
}

// submission is a job of a caller. Each task has a unique echo, which its
// endpoint returns as the result.
type submission struct {
	id     string
	echoes []string
	// sentTwice is set when the job was submitted by two concurrent requests,
	// so that the refusal of one says nothing about the other.
	sentTwice bool
}

// outcomeCounts counts the outcomes that the callers and the endpoints observed.
type outcomeCounts struct {
	Jobs, Complete, Failed, NotRun int
	Submitted, Started             int
	// Violations of the delivery guarantees; all of them must be zero.
	StartedTwice, Partial, Crossed, UntrueNotRun, Unended int
	// CutOff counts the failed jobs of which a task had started. It must be zero
	// if planned stops were the only faults; other faults may cause it.
	CutOff int
	// Cuts describes the jobs that CutOff counts.
	Cuts []string
	// Kinds counts the failed jobs by their kind of failure.
	Kinds map[cactuspost.Kind]int
	// Examples describes the first violations found.
	Examples []string
}

// examplesLimit bounds the number of described violations.
const examplesLimit = 10

// checkOutcomes compares the answers that callers received with the tasks that
// endpoints have started.
func checkOutcomes(outcomes []outcome, openJobs int, starts map[string]int) *outcomeCounts {
	c := &outcomeCounts{Jobs: len(outcomes) + openJobs, Unended: openJobs, Kinds: map[cactuspost.Kind]int{}}
	if openJobs > 0 {
		c.example("%d jobs without an end", openJobs)
	}
	for echo, count := range starts {
		c.Started++
		if count > 1 {
			c.StartedTwice++
			c.example("task %s was started %d times", echo, count)
		}
	}
	for i := range outcomes {
		c.add(&outcomes[i], starts)
	}
	return c
}

func (c *outcomeCounts) add(o *outcome, starts map[string]int) {
	c.Submitted += len(o.job.echoes)
	if o.failure == nil {
		c.Complete++
		c.checkAnswer(o, starts)
		return
	}
	c.Failed++
	if anyStarted(o.job, starts) {
		c.CutOff++
		c.Cuts = append(c.Cuts, fmt.Sprintf("%s %v shared=%t at %s", o.job.id, o.failure, o.job.sentTwice, o.at.Format("15:04:05.000")))
	}
	c.Kinds[o.failure.Kind]++
	if o.failure.Run != cactuspost.NotRun {
		return
	}
	c.NotRun++
	if !isJobOutcome(o) {
		return
	}
	if anyStarted(o.job, starts) {
		c.UntrueNotRun++
		c.example("job %s failed as not run (%v), but a task of it has started", o.job.id, o.failure)
	}
}

func anyStarted(job *submission, starts map[string]int) bool {
	return slices.ContainsFunc(job.echoes, func(echo string) bool { return starts[echo] > 0 })
}

// isJobOutcome reports whether a failure is the outcome of the job, and not only
// of one of two concurrent requests for it.
func isJobOutcome(o *outcome) bool {
	transient := o.failure.Kind == cactuspost.Unavailable || o.failure.Kind == cactuspost.NoConfiguration
	return !o.job.sentTwice || !transient
}

func (c *outcomeCounts) checkAnswer(o *outcome, starts map[string]int) {
	if len(o.results) != len(o.job.echoes) {
		c.Partial++
		c.example("job %s has %d of %d results", o.job.id, len(o.results), len(o.job.echoes))
		return
	}
	for i, echo := range o.job.echoes {
		if len(o.results[i]) == 0 {
			c.Partial++
			c.example("job %s is complete without the result of %q", o.job.id, echo)
			continue
		}
		if string(o.results[i]) != echo {
			c.Crossed++
			c.example("job %s got %q for %q", o.job.id, o.results[i], echo)
		}
		if starts[echo] == 0 {
			c.Partial++
			c.example("job %s is complete, but %q never started", o.job.id, echo)
		}
	}
}

func (c *outcomeCounts) example(format string, arguments ...any) {
	if len(c.Examples) < examplesLimit {
		c.Examples = append(c.Examples, fmt.Sprintf(format, arguments...))
	}
}

// violated reports whether a delivery guarantee was violated.
func (c *outcomeCounts) violated() bool {
	return c.StartedTwice+c.Partial+c.Crossed+c.UntrueNotRun+c.Unended > 0
}

// String returns the counts on one line and the examples after it.
func (c *outcomeCounts) String() string {
	line := fmt.Sprintf("jobs=%d complete=%d failed=%d not_run=%d tasks=%d started=%d started_twice=%d partial=%d crossed=%d untrue_not_run=%d unended=%d cut_off=%d kinds=%v",
		c.Jobs, c.Complete, c.Failed, c.NotRun, c.Submitted, c.Started, c.StartedTwice, c.Partial, c.Crossed, c.UntrueNotRun, c.Unended, c.CutOff, c.Kinds)
	return strings.Join(append([]string{line}, c.Examples...), "\n  ")
}
