package dispatch

import (
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
)

const (
	// warmUpPeriod is how long after its start an entry accepts attached jobs
	// although no worker has connected. Agents dial within a fraction of that
	// time.
	warmUpPeriod = 2 * time.Second
	// drainMargin is the factor by which a job at a draining entry may exceed its
	// estimated run time without delaying the entry's exit.
	drainMargin = 4
)

// runJob accepts a job whose caller waits for its end. The job gets an internal
// ID that the caller never sees. A caller who submits the name of an open job
// waits for that job instead.
func (c *Core) runJob(m *RunJob) {
	if j := c.namedJobs[m.Submission.Name]; j != nil {
		c.stats.JobsResubmitted++
		c.emit(&LogEvent{Event: event.JobResubmitted, Job: j.id, Request: j.name, RequestID: m.Submission.RequestID})
		c.answerOrWait(j, m.Reply, true)
		return
	}
	if c.answerGivenUp(m) {
		return
	}
	if f := c.checkRun(m); f != nil {
		c.stats.JobsRefused++
		c.emit(&LogEvent{Event: event.JobRefused, Request: m.Submission.Name, RequestID: m.Submission.RequestID, Detail: f.Error()})
		c.refuse(m.Reply, f)
		return
	}
	j := c.newJob(m.Submission.Team, m.Submission.Service, c.callerLeavesAt(m))
	j.attached = true
	j.name = m.Submission.Name
	j.requestID = m.Submission.RequestID
	m.Submission.ID = j.id
	c.setResponseObjective(j, &m.Submission)
	if j.name != "" {
		c.namedJobs[j.name] = j
	}
	c.submitJob(&SubmitJob{Reply: m.Reply, Submission: m.Submission, Wait: true})
}

func (c *Core) checkRun(m *RunJob) *failure.Failure {
	if f := checkSteps(&m.Submission); f != nil {
		return f
	}
	if !c.now.Before(c.callerLeavesAt(m)) {
		return failure.Newf(failure.Overloaded, failure.NotRun, "the request waited %v at this entry, and its caller waits for %v", c.now.Sub(m.ReceivedAt), m.MaxWait)
	}
	if c.leaving() && !c.endsBeforeExit(m) {
		return drainingFailure()
	}
	if _, f := c.permittedService(m.Submission.Team, m.Submission.Service); f != nil {
		return f
	}
	if len(c.jobs) >= c.tuning.MaxJobs {
		return failure.New(failure.Overloaded, failure.NotRun, "the limit of stored jobs is reached").WithRetry(defaultRetryDelay)
	}
	return nil
}

// callerLeavesAt returns when the caller stops to wait. It may then send its job elsewhere,
// so the time for which the request waited here counts.
func (c *Core) callerLeavesAt(m *RunJob) time.Time {
	if m.ReceivedAt.IsZero() {
		return c.now.Add(m.MaxWait)
	}
	return m.ReceivedAt.Add(m.MaxWait)
}

// endsBeforeExit reports whether a job that arrives at a draining entry is
// expected to end before the entry has to exit, with a wide margin for estimation
// errors.
func (c *Core) endsBeforeExit(m *RunJob) bool {
	since := c.now.Sub(c.drainingSince)
	if c.doc == nil || since > c.tuning.DrainAcceptPeriod {
		return false
	}
	return since+drainMargin*c.criticalPath(m.Submission.Service, &m.Submission) < c.tuning.DrainFinishPeriod
}

// warmingUp reports whether the entry started so recently that agents may not
// have connected yet.
func (c *Core) warmingUp() bool { return c.now.Sub(c.startedAt) < warmUpPeriod }

// findNamedJob returns the state of an open attached job, and cancels it on request.
func (c *Core) findNamedJob(m *FindNamedJob) {
	j := c.namedJobs[m.Name]
	if j == nil {
		c.refuse(m.Reply, failure.New(failure.UnknownJob, failure.Unknown, "no open job has this name"))
		return
	}
	if m.Cancel {
		c.fireJob(j, jobEvents.Cancel, nil)
	}
	c.emit(&Answered{Reply: m.Reply, Answer: j.answer()})
}

// countWaitingJobs returns the number of a service's attached jobs of which no task
// can have started.
func (c *Core) countWaitingJobs(service string) int {
	waiting := 0
	for _, j := range c.namedJobs {
		if j.service == service && j.notRun() {
			waiting++
		}
	}
	return waiting
}
