package dispatch

import (
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
)

const (
	// warmUp is how long after its start an entry keeps jobs although it knows no
	// worker: agents dial within a fraction of that.
	warmUp = 2 * time.Second
	// leaveMargin is the multiple of its estimate that a job at a leaving entry may
	// take.
	leaveMargin = 4
)

// runJob accepts a job of a caller who waits for its end, under an id of this
// entry that the caller never learns. A caller who names a job that is open
// already waits for that one.
func (c *Core) runJob(m *RunJob) {
	if j := c.named[m.Submission.Name]; j != nil {
		c.stats.JobsResubmitted++
		c.emit(&Happened{Event: event.JobJoined, Job: j.id, Request: j.name, RequestID: m.Submission.RequestID})
		c.reply(j, m.Reply, true)
		return
	}
	if f := c.checkRun(m); f != nil {
		c.stats.JobsRefused++
		c.emit(&Happened{Event: event.JobRefused, Request: m.Submission.Name, RequestID: m.Submission.RequestID, Detail: f.Error()})
		c.refuse(m.Reply, f)
		return
	}
	j := c.newJob(m.Submission.Team, m.Submission.Service, c.now.Add(m.Patience))
	j.attached = true
	j.name = m.Submission.Name
	j.requestID = m.Submission.RequestID
	m.Submission.ID = j.id
	c.setResponseObjective(j, &m.Submission)
	if j.name != "" {
		c.named[j.name] = j
	}
	c.submitJob(&SubmitJob{Reply: m.Reply, Submission: m.Submission, Wait: true})
}

func (c *Core) checkRun(m *RunJob) *failure.Failure {
	if f := checkSteps(&m.Submission); f != nil {
		return f
	}
	if c.leaving() && !c.endsInTime(m) {
		return drainingFailure()
	}
	if _, f := c.service(m.Submission.Team, m.Submission.Service); f != nil {
		return f
	}
	if len(c.jobs) >= c.tuning.MaxJobs {
		return failure.New(failure.Overloaded, failure.NotRun, "too many jobs are remembered").WithRetry(startRetry)
	}
	return nil
}

// canEndInTime reports whether a job that comes to a leaving entry ends before it
// has to be gone, by a wide margin for the error of the estimate.
func (c *Core) endsInTime(m *RunJob) bool {
	since := c.now.Sub(c.leavingSince)
	if c.doc == nil || since > c.tuning.DrainAcceptPeriod {
		return false
	}
	return since+leaveMargin*c.criticalPath(m.Submission.Service, &m.Submission) < c.tuning.DrainFinishPeriod
}

// warmingUp reports whether agents may not have had the time to connect.
func (c *Core) warmingUp() bool { return c.now.Sub(c.startedAt) < warmUp }

func (c *Core) findNamed(m *FindNamed) {
	j := c.named[m.Name]
	if j == nil {
		c.refuse(m.Reply, failure.New(failure.UnknownJob, failure.Unknown, "no open job has the name"))
		return
	}
	if m.Cancel {
		c.fireJob(j, jobEvents.Cancel, nil)
	}
	c.emit(&Answered{Reply: m.Reply, Answer: j.answer()})
}

func (c *Core) countWaiting(service string) int {
	waiting := 0
	for _, j := range c.named {
		if j.service == service && j.untouched() {
			waiting++
		}
	}
	return waiting
}
