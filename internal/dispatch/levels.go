package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// idealRoundTrip is the allowance of the ideal response for one exchange.
const idealRoundTrip = time.Millisecond

func (j *job) key() burn.Key { return burn.Key{Service: j.service, Team: j.team} }

// accountComplete records a complete job in the ledger.
func (c *Core) accountComplete(j *job) {
	cause := burn.Met
	if j.late {
		cause = burn.Queue
	}
	c.ledger.Job(c.now, j.key(), cause)
}

// accountFailure records a failed job, unless its end says nothing about the
// service: the caller withdrew it, or asked for what can't be done.
func (c *Core) accountFailure(j *job, f *failure.Failure) {
	cause, counts := causeOf(j, f)
	if counts {
		c.ledger.Job(c.now, j.key(), cause)
	}
}

func causeOf(j *job, f *failure.Failure) (cause burn.Cause, counts bool) {
	switch f.Kind {
	case failure.Overloaded, failure.QuotaExceeded, failure.Unavailable, failure.NoConfiguration:
		return burn.Refused, true
	case failure.TaskFailed:
		return burn.Failed, true
	case failure.TimeLimit:
		return burn.Straggler, true
	case failure.EndpointLost:
		return burn.EndpointGone, true
	case failure.Expired:
		return expiryCause(j), len(j.tasks) > 0
	default:
		return burn.Met, false
	}
}

// expiryCause tells a job that waited for slots from one whose tasks ran on.
func expiryCause(j *job) burn.Cause {
	for i := range j.tasks {
		if j.tasks[i].state == taskStates.Waiting {
			return burn.Queue
		}
	}
	return burn.Straggler
}

// accountStart records the wait of a task that is granted now.
func (c *Core) accountStart(t *task) {
	wait := c.now.Sub(t.queuedAt)
	if wait > c.objective(t.job.service) {
		t.job.late = true
	}
	if !t.lane.long {
		c.ledger.ShortStart(t.job.key(), wait, t.lane.pool.longRunning > 0)
	}
}

// accountResult compares a task's response time with the ideal: its run time on
// the pool's fastest worker, at once, and one round trip.
func (c *Core) accountResult(s *session, t *task, r *structs.Result) {
	fastest := s.logSlowness
	for _, other := range s.pool.sessions {
		fastest = min(fastest, other.logSlowness)
	}
	ideal := r.RunTime.Seconds()*math.Exp(fastest-s.logSlowness) + idealRoundTrip.Seconds()
	c.ledger.Task(t.job.key(), c.now.Sub(t.queuedAt).Seconds()/ideal)
}
