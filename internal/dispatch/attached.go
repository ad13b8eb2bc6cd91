package dispatch

import (
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

const (
	// pauseLimit is the longest time between two inputs that doesn't count as a
	// pause of this process: ticks come at least ten times a second.
	pauseLimit = 500 * time.Millisecond
	// settleAfterPause is how long nothing is granted after a pause: callers
	// that left and agents that gave up meanwhile are heard first.
	settleAfterPause = 50 * time.Millisecond
	// warmUp is how long after its start an entry keeps jobs although it knows no
	// worker: agents dial within a fraction of that.
	warmUp = 2 * time.Second
	// widthSpread is how much longer the longest of several like tasks runs than
	// a typical one, for each doubling of their number.
	widthSpread = 0.2
)

// runJob accepts a job of a caller who waits for its end, under an id of this
// entry that the caller never learns. A caller who names a job that is open
// already waits for that one.
func (c *Core) runJob(m *RunJob) {
	if j := c.named[m.Submission.Name]; j != nil {
		c.stats.JobsResubmits++
		c.reply(j, m.Reply, true)
		return
	}
	if f := c.checkRun(m); f != nil {
		c.stats.JobsRefused++
		c.refuse(m.Reply, f)
		return
	}
	j := c.newJob(m.Submission.Team, m.Submission.Service, c.now.Add(m.Patience))
	j.attached = true
	j.name = m.Submission.Name
	m.Submission.ID = j.id
	c.setObjective(j, &m.Submission)
	if j.name != "" {
		c.named[j.name] = j
	}
	c.submitJob(&SubmitJob{Reply: m.Reply, Submission: m.Submission, Wait: true})
}

func (c *Core) checkRun(m *RunJob) *failure.Failure {
	if c.leaving() {
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

// setObjective works out when the job's longest chain of tasks has to start.
func (c *Core) setObjective(j *job, s *structs.Submission) {
	service := c.serviceOf(j.service)
	if service.Stretch == 0 {
		return
	}
	chain := c.longestChain(j.service, s)
	objective := time.Duration(service.Stretch*float64(chain)) + service.Margin.Duration()
	j.startBy = c.now.Add(objective - chain)
	end := j.deadline
	if useful := c.now.Add(time.Duration(service.UsefulFor * float64(objective))); service.UsefulFor > 0 && useful.Before(end) {
		end = useful
	}
	j.startLatest = end.Add(-chain)
}

// longestChain estimates the run time of the job's longest chain of tasks.
func (c *Core) longestChain(service string, s *structs.Submission) time.Duration {
	ends := make([]time.Duration, max(1, len(s.Steps)))
	longest := make([]time.Duration, len(ends))
	width := make([]int, len(ends))
	for i := range s.Tasks {
		t := &s.Tasks[i]
		width[t.Step]++
		longest[t.Step] = max(longest[t.Step], c.estimate(c.kind(service, t.Kind), t.Declared))
	}
	chain := time.Duration(0)
	for i := range ends {
		begin := time.Duration(0)
		if len(s.Steps) > 0 {
			for _, k := range s.Steps[i].After {
				begin = max(begin, ends[k])
			}
		}
		spread := 1.0
		for n := 1; n < width[i]; n *= 2 {
			spread += widthSpread
		}
		ends[i] = begin + time.Duration(spread*float64(longest[i]))
		chain = max(chain, ends[i])
	}
	return chain
}

// timed reports whether the job has a response objective.
func (j *job) timed() bool { return !j.startBy.IsZero() }

// urgent reports whether a job goes before another one: first those that can
// still meet their objective, the one that has to start soonest first; then the
// late ones in the order of their deadlines.
func (j *job) urgent(other *job, now time.Time) bool {
	late, otherLate := now.After(j.startBy), now.After(other.startBy)
	switch {
	case late != otherLate:
		return otherLate
	case late:
		return j.startLatest.Before(other.startLatest)
	default:
		return j.startBy.Before(other.startBy)
	}
}

// warmingUp reports whether agents may not have had the time to connect.
func (c *Core) warmingUp() bool { return c.now.Sub(c.startedAt) < warmUp }

// startWithin is how long the job's next task may wait for the objective.
func (j *job) startWithin(now time.Time) time.Duration {
	if !j.timed() {
		return 0
	}
	return j.startBy.Sub(now)
}

// hopeless reports whether a job that waits can't end before its deadline.
func (j *job) hopeless(now time.Time) bool { return j.timed() && now.After(j.startLatest) }

// notePause holds grants back for a moment if this process has been paused.
func (c *Core) notePause(now time.Time) {
	if !c.now.IsZero() && now.Sub(c.now) > pauseLimit && len(c.sessions) > 0 {
		c.resumeAt = now.Add(settleAfterPause)
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.now = now
}

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
