package dispatch

import (
	"slices"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// step is one step of a job: its tasks are queued when those of all steps that
// it comes after are done.
type step struct {
	after []int
	// left counts the tasks without a result.
	left   int
	queued bool
}

// startSteps queues the tasks that depend on no others.
func (c *Core) startSteps(p *pool, j *job, s *structs.Submission) {
	j.steps = []step{{}}
	if len(s.Steps) > 0 {
		j.steps = make([]step, len(s.Steps))
	}
	for i := range s.Steps {
		j.steps[i].after = s.Steps[i].After
	}
	for i := range j.tasks {
		j.steps[j.tasks[i].step].left++
	}
	c.queueSteps(p, j)
}

// queueSteps queues the tasks of each step whose turn has come.
func (c *Core) queueSteps(p *pool, j *job) {
	for i := range j.steps {
		if j.steps[i].queued || !j.turnOf(i) {
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

func (j *job) turnOf(i int) bool {
	return !slices.ContainsFunc(j.steps[i].after, func(k int) bool { return j.steps[k].left > 0 })
}

// stepDone counts a result of a step and queues the steps that waited for it.
func (c *Core) stepDone(t *task) {
	s := &t.job.steps[t.step]
	s.left--
	if s.left == 0 {
		c.queueSteps(t.lane.pool, t.job)
	}
}

// checkSteps refuses a job whose steps don't come one after the other.
func checkSteps(s *structs.Submission) *failure.Failure {
	for i := range s.Steps {
		for _, k := range s.Steps[i].After {
			if k < 0 || k >= i {
				return failure.Newf(failure.Invalid, failure.NotRun, "step %d comes after step %d", i, k)
			}
		}
	}
	steps := max(1, len(s.Steps))
	for i := range s.Tasks {
		if k := s.Tasks[i].Step; k < 0 || k >= steps {
			return failure.Newf(failure.Invalid, failure.NotRun, "task %d is of step %d", i, k)
		}
	}
	return nil
}
