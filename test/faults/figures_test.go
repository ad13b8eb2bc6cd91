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
	f := &outcomeCounts{Jobs: len(outcomes) + openJobs, Unended: openJobs, Kinds: map[cactuspost.Kind]int{}}
	if openJobs > 0 {
		f.example("%d jobs without an end", openJobs)
	}
	for echo, count := range starts {
		f.Started++
		if count > 1 {
			f.StartedTwice++
			f.example("task %s was started %d times", echo, count)
		}
	}
	for i := range outcomes {
		f.add(&outcomes[i], starts)
	}
	return f
}

func (f *outcomeCounts) add(e *outcome, starts map[string]int) {
	f.Submitted += len(e.job.echoes)
	if e.failure == nil {
		f.Complete++
		f.checkAnswer(e, starts)
		return
	}
	f.Failed++
	if anyStarted(e.job, starts) {
		f.CutOff++
		f.Cuts = append(f.Cuts, fmt.Sprintf("%s %v shared=%t at %s", e.job.id, e.failure, e.job.sentTwice, e.at.Format("15:04:05.000")))
	}
	f.Kinds[e.failure.Kind]++
	if e.failure.Run != cactuspost.NotRun {
		return
	}
	f.NotRun++
	if !isJobOutcome(e) {
		return
	}
	if anyStarted(e.job, starts) {
		f.UntrueNotRun++
		f.example("job %s failed as not run (%v), but a task of it has started", e.job.id, e.failure)
	}
}

func anyStarted(job *submission, starts map[string]int) bool {
	return slices.ContainsFunc(job.echoes, func(echo string) bool { return starts[echo] > 0 })
}

// isJobOutcome reports whether a failure is the outcome of the job, and not only
// of one of two concurrent requests for it.
func isJobOutcome(e *outcome) bool {
	passing := e.failure.Kind == cactuspost.Unavailable || e.failure.Kind == cactuspost.NoConfiguration
	return !e.job.sentTwice || !passing
}

func (f *outcomeCounts) checkAnswer(e *outcome, starts map[string]int) {
	if len(e.results) != len(e.job.echoes) {
		f.Partial++
		f.example("job %s has %d of %d results", e.job.id, len(e.results), len(e.job.echoes))
		return
	}
	for i, echo := range e.job.echoes {
		if len(e.results[i]) == 0 {
			f.Partial++
			f.example("job %s is complete without the result of %q", e.job.id, echo)
			continue
		}
		if string(e.results[i]) != echo {
			f.Crossed++
			f.example("job %s got %q for %q", e.job.id, e.results[i], echo)
		}
		if starts[echo] == 0 {
			f.Partial++
			f.example("job %s is complete, but %q never started", e.job.id, echo)
		}
	}
}

func (f *outcomeCounts) example(format string, arguments ...any) {
	if len(f.Examples) < examplesLimit {
		f.Examples = append(f.Examples, fmt.Sprintf(format, arguments...))
	}
}

// violated reports whether a delivery guarantee was violated.
func (f *outcomeCounts) violated() bool {
	return f.StartedTwice+f.Partial+f.Crossed+f.UntrueNotRun+f.Unended > 0
}

// String returns the counts on one line and the examples after it.
func (f *outcomeCounts) String() string {
	line := fmt.Sprintf("jobs=%d complete=%d failed=%d not_run=%d tasks=%d started=%d started_twice=%d partial=%d crossed=%d untrue_not_run=%d unended=%d cut_off=%d kinds=%v",
		f.Jobs, f.Complete, f.Failed, f.NotRun, f.Submitted, f.Started, f.StartedTwice, f.Partial, f.Crossed, f.UntrueNotRun, f.Unended, f.CutOff, f.Kinds)
	return strings.Join(append([]string{line}, f.Examples...), "\n  ")
}
