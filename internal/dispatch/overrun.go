package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/event"
)

const (
	// overrunFactor is the multiple of its estimate from which a run counts
	// against its worker: one run in twenty takes as long by itself, so that it
	// takes several to bring a worker under suspicion.
	overrunFactor = 3
	// overrunAllowance is for the way there and back, and for very short tasks.
	overrunAllowance = 100 * time.Millisecond
)

// checkOverruns counts runs that take far longer than foretold as failures of their
// worker: it may stand still, or have turned slow, and say nothing. Runs that
// overran on a worker that has lost its work for that are stopped, to be repeated
// elsewhere.
func (c *Core) checkOverruns(s *session) {
	if !s.divided || s.state != sessionStates.Up {
		return
	}
	for _, t := range s.grantedTasks() {
		if t.inQueue || !t.job.hasResponseObjective() || t.overran || !c.isOverrun(t, s) {
			continue
		}
		t.overran = true
		c.journalTask(event.TaskOverran, t, s, "", millisFact("running_ms", c.now.Sub(t.grantedAt)), millisFact("estimate_ms", t.declared))
		c.fireHealth(s, healthEvents.Failed)
	}
	if s.health != healthStates.Probation {
		return
	}
	for _, t := range s.grantedTasks() {
		if t.overran && !t.job.answerUselessAt(c.now) && c.serviceOf(t.job.service).Repeatable {
			c.fireTask(t, taskEvents.Recall, nil, nil)
		}
	}
}

func (c *Core) isOverrun(t *task, s *session) bool {
	expected := float64(c.estimate(t.kind, t.declared)) * max(1, math.Exp(s.logSlowness))
	return c.now.Sub(t.grantedAt) > time.Duration(overrunFactor*expected)+overrunAllowance
}
