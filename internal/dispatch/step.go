package dispatch

import (
	"slices"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// step is one step of a job. Its tasks are queued when all tasks of the steps
// that it depends on have results.
type step struct {
	// after lists the steps that this one depends on.
	after []int
	// remaining counts the step's tasks without a result.
	remaining int
	// queued is set when the step's tasks have been queued.
	queued bool
}

// startSteps sets up the steps of a job and queues those without dependencies. A
// submission without steps has a single one.
func (c *Core) startSteps(p *pool, j *job, s *structs.Submission) {
	j.steps = []step{{}}
	if len(s.Steps) > 0 {
		j.steps = make([]step, len(s.Steps))
	}
	for i := range s.Steps {
		j.steps[i].after = s.Steps[i].After
	}
	for i := range j.tasks {
		j.steps[j.tasks[i].step].remaining++
	}
	c.queueReadySteps(p, j)
}

// queueReadySteps queues the tasks of every step that is ready and not queued
// yet.
func (c *Core) queueReadySteps(p *pool, j *job) {
	for i := range j.steps {
		if j.steps[i].queued || !j.stepReady(i) {
			continue
		}
		j.steps[i].queued = true
		for k := range j.tasks {
			if t := &j.tasks[k]; t.step == i {
				t.queuedAt = c.now
				c.enqueue(p, t)
			}
		}
	}
}

// stepReady reports whether all steps that a step depends on are done.
func (j *job) stepReady(i int) bool {
	return !slices.ContainsFunc(j.steps[i].after, func(k int) bool { return j.steps[k].remaining > 0 })
}

// countStepResult counts a task's result, and queues the dependent steps when it
// was the last one of its step.
func (c *Core) countStepResult(t *task) {
	s := &t.job.steps[t.step]
	s.remaining--
	if s.remaining == 0 {
		c.queueReadySteps(t.lane.pool, t.job)
	}
}

// checkSteps refuses a job with a step that depends on itself or on a later one,
// which rules out cycles, or with a task of a step that doesn't exist.
func checkSteps(s *structs.Submission) *failure.Failure {
	for i := range s.Steps {
		for _, k := range s.Steps[i].After {
			if k < 0 || k >= i {
				return failure.Newf(failure.Invalid, failure.NotRun, "step %d depends on step %d, which is not an earlier step", i, k)
			}
		}
	}
	steps := max(1, len(s.Steps))
	for i := range s.Tasks {
		if k := s.Tasks[i].Step; k < 0 || k >= steps {
			return failure.Newf(failure.Invalid, failure.NotRun, "task %d refers to step %d, which does not exist", i, k)
		}
	}
	return nil
}
