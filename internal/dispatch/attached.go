package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/event"
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
	// leaveMargin is the multiple of its estimate that a job at a leaving entry may
	// take.
	leaveMargin = 4
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
		c.emit(&Happened{Event: event.JobRefused, Request: m.Submission.Name, Detail: f.Error()})
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

// endsInTime reports whether a job that comes to a leaving entry ends before it
// has to be gone, by a wide margin for the error of the estimate.
func (c *Core) endsInTime(m *RunJob) bool {
	since := c.now.Sub(c.leavingSince)
	if c.doc == nil || since > c.tuning.LeaveAccept {
		return false
	}
	return since+leaveMargin*c.longestChain(m.Submission.Service, &m.Submission) < c.tuning.LeaveEnd
}

// setObjective works out when the job's longest chain of tasks has to start.
func (c *Core) setObjective(j *job, s *structs.Submission) {
	service := c.serviceOf(j.service)
	if service.Stretch == 0 {
		return
	}
	j.chain = c.longestChain(j.service, s)
	objective := time.Duration(service.Stretch*float64(j.chain)) + service.Margin.Duration()
	j.aimBy = c.now.Add(objective)
	j.endBy = j.deadline
	if useful := c.now.Add(time.Duration(service.UsefulFor * float64(objective))); service.UsefulFor > 0 && useful.Before(j.endBy) {
		j.endBy = useful
	}
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
func (j *job) timed() bool { return !j.aimBy.IsZero() }

// runTime estimates the run time of the job's longest chain on a worker.
func (j *job) runTime(s *session) time.Duration {
	return time.Duration(float64(j.chain) * math.Exp(s.logSlowness))
}

// late reports whether a job that starts now misses its objective on the fastest
// worker of the pool.
func (p *pool) late(j *job, now time.Time) bool { return now.After(p.startBy(j)) }

// startBy is when the job has to start on the pool's fastest worker to meet its
// objective.
func (p *pool) startBy(j *job) time.Time {
	return j.aimBy.Add(-p.fastest(j))
}

// urgent reports whether a job goes before another one: first those that can
// still meet their objective, the one that has to start soonest first; then the
// late ones in the order of their ends.
func (p *pool) urgent(j, other *job, now time.Time) bool {
	late, otherLate := p.late(j, now), p.late(other, now)
	switch {
	case late != otherLate:
		return otherLate
	case late:
		return j.endBy.Before(other.endBy)
	default:
		return p.startBy(j).Before(p.startBy(other))
	}
}

// inTime reports whether a job that starts on the worker now meets its objective,
// or, if it is late already, is of any use. A job that has begun is finished as
// long as its caller waits.
func (j *job) inTime(s *session, late bool, now time.Time) bool {
	if !j.timed() {
		return true
	}
	end := j.aimBy
	if late {
		end = j.lastEnd()
	}
	return !now.Add(j.runTime(s)).After(end)
}

// warmingUp reports whether agents may not have had the time to connect.
func (c *Core) warmingUp() bool { return c.now.Sub(c.startedAt) < warmUp }

// startWithin is how long the job's next task may wait for the objective.
func (p *pool) startWithin(j *job, now time.Time) time.Duration {
	if !j.timed() {
		return 0
	}
	return p.startBy(j).Sub(now)
}

// hopeless reports whether a job that waits can't end before its deadline.
func (p *pool) hopeless(j *job, now time.Time) bool {
	return j.timed() && now.Add(p.fastest(j)).After(j.lastEnd())
}

// hopelessAt reports whether an answer is of no use any more.
func (j *job) hopelessAt(now time.Time) bool { return now.After(j.endBy) }

// fastest estimates the run time of the job's longest chain on the pool's
// fastest worker.
func (p *pool) fastest(j *job) time.Duration {
	if len(p.sessions) == 0 {
		return j.chain
	}
	return j.runTime(p.sessions[0])
}

// lastEnd is when the job has to end at the latest.
func (j *job) lastEnd() time.Time {
	if j.untouched() {
		return j.endBy
	}
	return j.deadline
}

// notePause holds grants back for a moment if this process has been paused.
func (c *Core) notePause(now time.Time) {
	if !c.now.IsZero() && now.Sub(c.now) > pauseLimit && len(c.sessions) > 0 {
		c.now = now
		c.settle()
	}
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	c.now = now
}

// settle holds grants back until what happened during a pause was heard.
func (c *Core) settle() { c.resumeAt = c.now.Add(settleAfterPause) }

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
