package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/structs"
)

// stragglerGrowth is the relative increase of the longest run time among similar
// tasks, over that of a typical one, for each doubling of their number.
const stragglerGrowth = 0.2

// setResponseObjective sets the job's response objective and the time after which
// its answer is of no use, if the service has a response objective.
func (c *Core) setResponseObjective(j *job, s *structs.Submission) {
	service := c.serviceSettings(j.service)
	if service.Stretch == 0 {
		return
	}
	j.criticalPath = c.criticalPath(j.service, s)
	objective := time.Duration(service.Stretch*float64(j.criticalPath)) + service.Margin.Duration()
	j.targetEnd = c.now.Add(objective)
	j.usefulUntil = j.deadline
	if useful := c.now.Add(time.Duration(service.UsefulFactor * float64(objective))); service.UsefulFactor > 0 && useful.Before(j.usefulUntil) {
		j.usefulUntil = useful
	}
}

// criticalPath estimates the run time of the job's longest chain of dependent
// tasks. checkSteps must have accepted the submission: each step comes after
// earlier ones only.
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

// stepStart returns the time at which a step starts, given the ends of the steps
// that it depends on.
func stepStart(s *structs.Submission, ends []time.Duration, step int) time.Duration {
	latest := time.Duration(0)
	if len(s.Steps) > 0 {
		for _, k := range s.Steps[step].After {
			latest = max(latest, ends[k])
		}
	}
	return latest
}

// stragglerFactor returns the expected ratio of the longest run time among a number
// of similar tasks to a typical one.
func stragglerFactor(tasks int) float64 {
	factor := 1.0
	for n := 1; n < tasks; n *= 2 {
		factor += stragglerGrowth
	}
	return factor
}

// hasResponseObjective reports whether the job's service had a response objective
// when the job was submitted. Only jobs that came with RunJob can have one.
func (j *job) hasResponseObjective() bool { return !j.targetEnd.IsZero() }

// estimatedRunTime estimates the run time of the job's critical path on a worker.
func (j *job) estimatedRunTime(s *session) time.Duration {
	return time.Duration(float64(j.criticalPath) * math.Exp(s.logSlowness))
}

// isLate reports whether a job that starts now misses its response objective even
// on the pool's fastest worker.
func (p *pool) isLate(j *job, now time.Time) bool { return now.After(p.latestStart(j)) }

// latestStart returns the latest time at which the job can start on the pool's
// fastest worker and still meet its response objective.
func (p *pool) latestStart(j *job) time.Time {
	return j.targetEnd.Add(-p.fastestRunTime(j))
}

// moreUrgent reports whether j is served before other. Jobs that can still meet
// their objective come first, in order of their latest start, followed by the late
// ones in order of the time at which their answers become useless.
func (p *pool) moreUrgent(j, other *job, now time.Time) bool {
	late, otherLate := p.isLate(j, now), p.isLate(other, now)
	switch {
	case late != otherLate:
		return otherLate
	case late:
		return j.usefulUntil.Before(other.usefulUntil)
	default:
		return p.latestStart(j).Before(p.latestStart(other))
	}
}

// canEndInTime reports whether a job that starts on the worker now meets its
// response objective or, if it is late anyway, ends while its answer is still
// useful. A job that has already started is continued for as long as its caller
// waits.
func (j *job) canEndInTime(s *session, late bool, now time.Time) bool {
	if !j.hasResponseObjective() {
		return true
	}
	latest := j.targetEnd
	if late {
		latest = j.latestEnd()
	}
	return !now.Add(j.estimatedRunTime(s)).After(latest)
}

// startWithin returns how long the job's next task may wait without missing the
// response objective, zero if there is none.
func (p *pool) startWithin(j *job, now time.Time) time.Duration {
	if !j.hasResponseObjective() {
		return 0
	}
	return p.latestStart(j).Sub(now)
}

// missesLatestEnd reports whether a waiting job can no longer end in time, even if
// it starts now on the pool's fastest worker.
func (p *pool) missesLatestEnd(j *job, now time.Time) bool {
	return j.hasResponseObjective() && now.Add(p.fastestRunTime(j)).After(j.latestEnd())
}

// answerUselessAt reports whether the job's answer is useless at the given time.
func (j *job) answerUselessAt(now time.Time) bool { return now.After(j.usefulUntil) }

// fastestRunTime estimates the run time of the job's critical path on the pool's
// fastest worker.
func (p *pool) fastestRunTime(j *job) time.Duration {
	if len(p.sessions) == 0 {
		return j.criticalPath
	}
	return j.estimatedRunTime(p.sessions[0])
}

// latestEnd returns the time by which the job must end: while none of its tasks
// has started, the time at which its answer becomes useless, then its deadline.
func (j *job) latestEnd() time.Time {
	if j.unstarted() {
		return j.usefulUntil
	}
	return j.deadline
}
