package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// idealRoundTripTime is the network time included in the ideal response time.
const idealRoundTripTime = time.Millisecond

// accounts returns a page of the ledger, with the objectives and statistics.
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

// accountsPerPage limits the accounts copied at a time, so that a report doesn't
// block the dispatcher.
const accountsPerPage = 16

func (j *job) ledgerKey() burn.Key { return burn.Key{Service: j.service, Team: j.team} }

// recordJobComplete records a complete job in the ledger: as met, or as delayed by
// queueing if one of its tasks started after the objective.
func (c *Core) recordJobComplete(j *job) {
	cause := burn.Met
	if j.startedLate {
		cause = burn.Queue
	}
	c.ledger.RecordJob(c.now, j.ledgerKey(), cause)
}

// recordJobFailure records a failed job, unless the failure says nothing about the
// service level: the caller cancelled the job, or the request was invalid.
func (c *Core) recordJobFailure(j *job, f *failure.Failure) {
	cause, counts := failureCause(j, f)
	if counts {
		c.ledger.RecordJob(c.now, j.ledgerKey(), cause)
	}
}

// recordCreateRefusal records a refused request for IDs as one job. Without a
// configuration the service's name can't be checked. It is left empty then, so that
// callers can't create any number of accounts.
func (c *Core) recordCreateRefusal(m *CreateJobs, f *failure.Failure) {
	key := burn.Key{Service: m.Service, Team: m.Team}
	if f.Kind == failure.NoConfiguration {
		key.Service = ""
	}
	if isTemporaryRefusal(f) {
		c.ledger.RecordJob(c.now, key, burn.Refused)
	}
}

// isTemporaryRefusal reports whether a failure means that the service did not
// accept the job at this time. The refusal of a draining entry doesn't count, since
// the caller retries at another entry.
func isTemporaryRefusal(f *failure.Failure) bool {
	switch f.Kind {
	case failure.Overloaded, failure.QuotaExceeded, failure.Unavailable, failure.NoConfiguration:
		return true
	default:
		return false
	}
}

// failureCause returns the cause under which a failure is recorded, and whether it
// counts at all.
func failureCause(j *job, f *failure.Failure) (cause burn.Cause, counts bool) {
	if isTemporaryRefusal(f) {
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

// refusalCause distinguishes a job that was never accepted from one that was
// accepted and then shed because it waited too long for a slot.
func refusalCause(j *job) burn.Cause {
	if len(j.tasks) > 0 {
		return burn.Queue
	}
	return burn.Refused
}

// expiryCause distinguishes a job that expired while tasks waited for slots from
// one whose tasks were all started but ran too long.
func expiryCause(j *job) burn.Cause {
	for i := range j.tasks {
		if j.tasks[i].state == taskStates.Waiting {
			return burn.Queue
		}
	}
	return burn.Straggler
}

// recordTaskStart records the queueing time of a task that is being granted.
func (c *Core) recordTaskStart(t *task) {
	wait := c.now.Sub(t.queuedAt)
	if wait > c.startObjective(t.job.service) {
		t.job.startedLate = true
	}
	if !t.lane.long {
		c.ledger.RecordShortStart(t.job.ledgerKey(), wait, t.lane.pool.longRunning > 0)
	}
}

// recordTaskResult records the ratio of a task's response time to the ideal one:
// an immediate start on the pool's fastest worker, plus one round trip.
func (c *Core) recordTaskResult(s *session, t *task, r *structs.Result) {
	// The pool's workers are sorted by speed several times a second, so the first
	// one may be slightly slower than this one.
	fastest := min(s.logSlowness, s.pool.sessions[0].logSlowness)
	ideal := r.RunTime.Seconds()*math.Exp(fastest-s.logSlowness) + idealRoundTripTime.Seconds()
	c.ledger.RecordTask(t.job.ledgerKey(), c.now.Sub(t.queuedAt).Seconds()/ideal)
}
