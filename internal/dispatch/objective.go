package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/structs"
)

// stragglerGrowth is how much longer the longest of several like tasks runs than a
// typical one, for each doubling of their number.
const stragglerGrowth = 0.2

// setResponseObjective works out when the job's longest chain of tasks has to start.
func (c *Core) setResponseObjective(j *job, s *structs.Submission) {
	service := c.serviceOf(j.service)
	if service.Stretch == 0 {
		return
	}
	j.chain = c.criticalPath(j.service, s)
	objective := time.Duration(service.Stretch*float64(j.chain)) + service.Margin.Duration()
	j.aimBy = c.now.Add(objective)
	j.endBy = j.deadline
	if useful := c.now.Add(time.Duration(service.UsefulFor * float64(objective))); service.UsefulFor > 0 && useful.Before(j.endBy) {
		j.endBy = useful
	}
}

// criticalPath estimates the run time of the job's longest chain of tasks. The
// order of the steps has been checked.
func (c *Core) criticalPath(service string, s *structs.Submission) time.Duration {
	ends := make([]time.Duration, max(1, len(s.Steps)))
	longest := make([]time.Duration, len(ends))
	width := make([]int, len(ends))
	for i := range s.Tasks {
		t := &s.Tasks[i]
		width[t.Step]++
		longest[t.Step] = max(longest[t.Step], c.estimate(c.kind(service, t.Kind), t.Declared))
	}
	path := time.Duration(0)
	for i := range ends {
		ends[i] = stepStart(s, ends, i) + time.Duration(stragglerFactor(width[i])*float64(longest[i]))
		path = max(path, ends[i])
	}
	return path
}

// stepStart is when a step begins if the steps before it end as given.
func stepStart(s *structs.Submission, ends []time.Duration, step int) time.Duration {
	latest := time.Duration(0)
	if len(s.Steps) > 0 {
		for _, k := range s.Steps[step].After {
			latest = max(latest, ends[k])
		}
	}
	return latest
}

// stragglerFactor is how many times longer than a typical task the longest of several runs.
func stragglerFactor(tasks int) float64 {
	factor := 1.0
	for n := 1; n < tasks; n *= 2 {
		factor += stragglerGrowth
	}
	return factor
}

// hasResponseObjective reports whether the job has a response objective.
func (j *job) hasResponseObjective() bool { return !j.aimBy.IsZero() }

// estimatedRunTime estimates the run time of the job's longest chain on a worker.
func (j *job) estimatedRunTime(s *session) time.Duration {
	return time.Duration(float64(j.chain) * math.Exp(s.logSlowness))
}

// isLate reports whether a job that starts now misses its objective on the fastest
// worker of the pool.
func (p *pool) isLate(j *job, now time.Time) bool { return now.After(p.latestStart(j)) }

// latestStart is when the job has to start on the pool's fastest worker to meet its
// objective.
func (p *pool) latestStart(j *job) time.Time {
	return j.aimBy.Add(-p.fastestRunTime(j))
}

// moreUrgent reports whether a job goes before another one: first those that can
// still meet their objective, the one that has to start soonest first; then the
// late ones in the order of their ends.
func (p *pool) moreUrgent(j, other *job, now time.Time) bool {
	late, otherLate := p.isLate(j, now), p.isLate(other, now)
	switch {
	case late != otherLate:
		return otherLate
	case late:
		return j.endBy.Before(other.endBy)
	default:
		return p.latestStart(j).Before(p.latestStart(other))
	}
}

// endsInTime reports whether a job that starts on the worker now meets its objective,
// or, if it is late already, is of any use. A job that has begun is finished as
// long as its caller waits.
func (j *job) endsInTime(s *session, late bool, now time.Time) bool {
	if !j.hasResponseObjective() {
		return true
	}
	latest := j.aimBy
	if late {
		latest = j.latestEnd()
	}
	return !now.Add(j.estimatedRunTime(s)).After(latest)
}

// startWithin is how long the job's next task may wait for the objective.
func (p *pool) startWithin(j *job, now time.Time) time.Duration {
	if !j.hasResponseObjective() {
		return 0
	}
	return p.latestStart(j).Sub(now)
}

// missesLatestEnd reports whether a job that waits can't end before its deadline.
func (p *pool) missesLatestEnd(j *job, now time.Time) bool {
	return j.hasResponseObjective() && now.Add(p.fastestRunTime(j)).After(j.latestEnd())
}

// answerUselessAt reports whether an answer is of no use any more.
func (j *job) answerUselessAt(now time.Time) bool { return now.After(j.endBy) }

// fastestRunTime estimates the run time of the job's longest chain on the pool's
// fastest worker.
func (p *pool) fastestRunTime(j *job) time.Duration {
	if len(p.sessions) == 0 {
		return j.chain
	}
	return j.estimatedRunTime(p.sessions[0])
}

// latestEnd is when the job has to end at the latest.
func (j *job) latestEnd() time.Time {
	if j.unstarted() {
		return j.endBy
	}
	return j.deadline
}
