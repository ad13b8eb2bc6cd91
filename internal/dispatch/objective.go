package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/structs"
)

// widthSpread is how much longer the longest of several like tasks runs than a
// typical one, for each doubling of their number.
const widthSpread = 0.2

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

// longestChain estimates the run time of the job's longest chain of tasks. The
// order of the steps has been checked.
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
		ends[i] = begin(s, ends, i) + time.Duration(spread(width[i])*float64(longest[i]))
		chain = max(chain, ends[i])
	}
	return chain
}

// begin is when a step begins if the steps before it end as given.
func begin(s *structs.Submission, ends []time.Duration, step int) time.Duration {
	latest := time.Duration(0)
	if len(s.Steps) > 0 {
		for _, k := range s.Steps[step].After {
			latest = max(latest, ends[k])
		}
	}
	return latest
}

// spread is how many times longer than a typical task the longest of several runs.
func spread(tasks int) float64 {
	factor := 1.0
	for n := 1; n < tasks; n *= 2 {
		factor += widthSpread
	}
	return factor
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
	if j.unstarted() {
		return j.endBy
	}
	return j.deadline
}
