package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/event"
)

const (
	// overrunFactor is the multiple of its estimate from which a run counts as a
	// failure of its worker. About one run in twenty takes that long on a healthy
	// worker, so a single one does not put a worker on probation.
	overrunFactor = 3
	// overrunAllowance covers the network round trip, and very short tasks.
	overrunAllowance = 100 * time.Millisecond
)

// checkOverruns counts runs that take far longer than estimated as failures of
// their worker, which may have stalled or slowed down without reporting it. On
// a worker that is on probation, such runs are recalled to be repeated elsewhere if
// the service allows it.
func (c *Core) checkOverruns(s *session) {
	if !s.divided || s.state != sessionStates.Up {
		return
	}
	for _, t := range s.grantedTasks() {
		if t.queuedAtAgent || !t.job.hasResponseObjective() || t.overran || !c.isOverrun(t, s) {
			continue
		}
		t.overran = true
		c.logTask(event.TaskOverdue, t, s, "", event.Millis("running_ms", c.now.Sub(t.grantedAt)), event.Millis("estimate_ms", t.declaredRunTime))
		c.fireHealth(s, healthEvents.Failed)
	}
	if s.health != healthStates.Probation {
		return
	}
	for _, t := range s.grantedTasks() {
		if t.overran && !t.job.answerUselessAt(c.now) && c.serviceSettings(t.job.service).Repeatable {
			c.fireTask(t, taskEvents.Recall, nil, nil)
		}
	}
}

func (c *Core) isOverrun(t *task, s *session) bool {
	expected := float64(c.estimate(t.kind, t.declaredRunTime)) * max(1, math.Exp(s.logSlowness))
	return c.now.Sub(t.grantedAt) > time.Duration(overrunFactor*expected)+overrunAllowance
}
