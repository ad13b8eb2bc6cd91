package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// idealRoundTripTime is the allowance of the ideal response for one exchange.
const idealRoundTripTime = time.Millisecond

// accounts copies a page of the ledger with what belongs to it.
func (c *Core) accounts(after burn.Key) Accounts {
	page, more := c.ledger.Page(c.now, after, accountsPerPage)
	return Accounts{
		Entry: c.self, Revision: c.revision(), Objectives: c.objectives(),
		Snapshot: page, More: more, Stats: c.stats,
	}
}

func (c *Core) objectives() map[string]burn.Objective {
	objectives := map[string]burn.Objective{}
	if c.doc == nil {
		return objectives
	}
	for name, service := range c.doc.Services {
		objectives[name] = burn.Objective{Target: service.Target, ObjectiveMS: int64(service.StartObjective)}
	}
	return objectives
}

// accountsPerPage bounds the accounts that are copied at a time, so that a report
// doesn't hold up the dispatcher.
const accountsPerPage = 16

func (j *job) ledgerKey() burn.Key { return burn.Key{Service: j.service, Team: j.team} }

// recordJobComplete records a complete job in the ledger.
func (c *Core) recordJobComplete(j *job) {
	cause := burn.Met
	if j.late {
		cause = burn.Queue
	}
	c.ledger.Job(c.now, j.ledgerKey(), cause)
}

// recordJobFailure records a failed job, unless its end says nothing about the
// service: the caller withdrew it, or asked for what can't be done.
func (c *Core) recordJobFailure(j *job, f *failure.Failure) {
	cause, counts := failureCause(j, f)
	if counts {
		c.ledger.Job(c.now, j.ledgerKey(), cause)
	}
}

// recordCreateRefusal records a refused request for ids as one job. Without a
// configuration the service's name can't be checked: it is left empty, so that
// callers can't add accounts without bound.
func (c *Core) recordCreateRefusal(m *CreateJobs, f *failure.Failure) {
	key := burn.Key{Service: m.Service, Team: m.Team}
	if f.Kind == failure.NoConfiguration {
		key.Service = ""
	}
	if isRefusal(f) {
		c.ledger.Job(c.now, key, burn.Refused)
	}
}

// isRefusal reports whether a failure says that the service would not take the
// job now. A leaving entry is no such case: the caller asks another one.
func isRefusal(f *failure.Failure) bool {
	switch f.Kind {
	case failure.Overloaded, failure.QuotaExceeded, failure.Unavailable, failure.NoConfiguration:
		return true
	default:
		return false
	}
}

func failureCause(j *job, f *failure.Failure) (cause burn.Cause, counts bool) {
	if isRefusal(f) {
		return refusalCause(j), true
	}
	switch f.Kind {
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

// refusalCause tells a job that was never accepted from one that was accepted
// and then shed, since it waited too long for a slot.
func refusalCause(j *job) burn.Cause {
	if len(j.tasks) > 0 {
		return burn.Queue
	}
	return burn.Refused
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

// recordTaskStart records the wait of a task that is granted now.
func (c *Core) recordTaskStart(t *task) {
	wait := c.now.Sub(t.queuedAt)
	if wait > c.startObjective(t.job.service) {
		t.job.late = true
	}
	if !t.lane.long {
		c.ledger.ShortStart(t.job.ledgerKey(), wait, t.lane.pool.longRunning > 0)
	}
}

// recordTaskResult compares a task's response time with the ideal: its run time on
// the pool's fastest worker, at once, and one round trip.
func (c *Core) recordTaskResult(s *session, t *task, r *structs.Result) {
	// The pool's workers are ranked several times a second, fastest first.
	fastest := min(s.logSlowness, s.pool.sessions[0].logSlowness)
	ideal := r.RunTime.Seconds()*math.Exp(fastest-s.logSlowness) + idealRoundTripTime.Seconds()
	c.ledger.Task(t.job.ledgerKey(), c.now.Sub(t.queuedAt).Seconds()/ideal)
}
