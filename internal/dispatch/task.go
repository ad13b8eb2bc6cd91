package dispatch

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// task is one task of an accepted job.
type task struct {
	job   *job
	index uint32
	// attempt counts the grants; it is part of the grant ID.
	attempt uint32
	state   chart.State
	// reserved is set if the current grant uses a Short credit.
	reserved bool
	// inLane is set while the task waits in its lane.
	inLane bool
	// slots is the number of slots that the current grant takes at the worker.
	slots int
	// queuedAtAgent is set while the current grant, which uses no credit, is
	// queued at the agent.
	queuedAtAgent bool
	// mustNotWait is set if the agent refuses the current grant unless it can start the
	// task at once.
	mustNotWait bool
	// unconfirmedAt is the worker whose agent has refused the task because the link was
	// idle, nil if there is none. The refusal is confirmed with the next grant.
	unconfirmedAt *session
	// tries counts the agents that have refused the task for want of room.
	tries int
	// overran is set if the current run takes far longer than estimated.
	overran bool
	// errorCount counts the runs that the endpoint ended with an error, crashCount
	// those during which the worker crashed, also in earlier submissions of the job.
	errorCount int
	crashCount int
	// avoidedWorker is the worker where the task last failed or could not be
	// delivered. Other workers are preferred for its next grant.
	avoidedWorker *session
	needs         structs.Needs
	name          string
	// step is the index of the task's step in job.steps.
	step int
	kind *kind
	lane *lane
	// holder is the session of the agent with the current grant, nil if there is
	// none.
	holder  *session
	payload []byte
	result  []byte
	// declaredRunTime is the caller's estimate of the run time.
	declaredRunTime time.Duration
	// cost is the estimated slot time that a grant charges to the team.
	cost time.Duration
	// queuedAt is when the task's step became ready, grantedAt when the current
	// grant was made or, if it was queued at the agent, when it started.
	queuedAt  time.Time
	grantedAt time.Time
}

func (c *Core) initTask(p *pool, j *job, index uint32, s *structs.Submission) {
	spec := &s.Tasks[index]
	t := &j.tasks[index]
	t.job = j
	t.index = index
	t.state = taskChart.Initial()
	t.kind = c.kind(j.service, spec.Kind)
	t.payload = spec.Payload
	t.declaredRunTime = spec.Declared
	t.name = spec.Name
	t.crashCount = c.crashesUnder(j.name, index)
	t.step = spec.Step
	t.needs = cmp.Or(spec.Needs, s.Needs)
	t.queuedAt = c.now
	t.cost = c.estimate(t.kind, spec.Declared) * time.Duration(p.slotsFor(t.needs))
	p.recordNeed(t.needs)
	t.lane = p.lane(c.laneKeyOf(t))
}

func (c *Core) laneKeyOf(t *task) laneKey {
	return laneKey{team: t.job.team, service: t.job.service, needs: t.needs, long: c.isLong(t.kind, t.declaredRunTime)}
}

// enqueue appends a task to its lane.
func (c *Core) enqueue(p *pool, t *task) {
	t.lane = p.lane(c.laneKeyOf(t))
	t.lane.weight = c.weight(t.job.team, t.job.service)
	t.lane.pushBack(t)
	c.waitingBytes += len(t.payload)
}

// mayRepeat reports whether a task whose run ended without a result may run
// again. Errors count towards the service's maximum of attempts; lost and stopped
// runs don't, but are repeated only if the service's tasks are repeatable and, if
// the worker crashed, only up to maxCrashes.
func (c *Core) mayRepeat(t *task, r *structs.Result) bool {
	service := c.serviceSettings(t.job.service)
	switch r.Outcome {
	case structs.Errored:
		return t.errorCount+1 < service.MaxAttempts
	case structs.Lost, structs.Stopped:
		return service.Repeatable && (!r.WorkerCrashed || t.crashCount < maxCrashes)
	default:
		return false
	}
}

// countError records a run that ended without a result, and its worker. r is nil
// if the agent is gone and its report missing.
func (t *task) countError(r *structs.Result) {
	t.avoidedWorker = t.holder
	t.job.mayHaveRun = true
	if r != nil && r.Outcome == structs.Errored {
		t.errorCount++
	}
}

func (t *task) leaveLane() {
	if t.inLane {
		t.lane.remove(t)
	}
}

func (t *task) grantID() structs.GrantID {
	return structs.GrantID{Owner: t.job.id.Owner, Job: t.job.id.Seq, Task: t.index, Attempt: t.attempt}
}

// fireTask applies an event of the task chart, and tells the job if the task
// ended or went back to the queue.
func (c *Core) fireTask(t *task, e chart.Event, holder *session, r *structs.Result) {
	before := t.state
	taskChart.Fire(&t.state, e, taskContext{core: c, task: t, event: e, holder: holder, result: r})
	if t.state == before {
		return
	}
	if before == taskStates.Waiting && t.state == taskStates.Dropped {
		c.dropPayload(t)
	}
	switch t.state {
	case taskStates.Waiting:
		c.fireJob(t.job, jobEvents.TaskReturned, nil)
	case taskStates.Done:
		c.stats.TasksDone++
		t.job.tasksDone++
		c.countStepResult(t)
		c.fireJob(t.job, jobEvents.TaskDone, nil)
	case taskStates.Failed:
		c.stats.TasksFailed++
		c.fireJob(t.job, jobEvents.TaskFailed, nil)
	}
}

// bindGrant records a new grant of the task with the agent that gets it, and charges
// the team.
func (c *Core) bindGrant(t *task, holder *session) {
	t.attempt++
	t.holder = holder
	t.grantedAt = c.now
	t.overran = false
	holder.granted[t.grantID()] = t
	holder.pool.running++
	holder.pool.busySlots += t.slots
	t.adjustLongRunning(1)
	t.lane.charge(t.cost)
	c.stats.TasksGranted++
	c.stats.Messages.Grants++
}

// releaseGrant ends the task's current grant and frees its slots.
func (c *Core) releaseGrant(t *task) {
	delete(t.holder.granted, t.grantID())
	t.holder.pool.running--
	t.holder.pool.busySlots -= t.slots
	t.leaveAgentQueue()
	t.adjustLongRunning(-1)
	t.holder = nil
}

// enterAgentQueue records that the task is granted without a credit, and goes through
// the queue of the agent.
func (t *task) enterAgentQueue(s *session, mustNotWait bool) {
	t.queuedAtAgent = true
	t.mustNotWait = mustNotWait
	s.queuedGrants++
	if mustNotWait {
		s.unansweredSlots += t.slots
		return
	}
	t.lane.pool.slotsAtAgents += t.slots
	t.lane.pool.costAtAgents += t.cost
}

// leaveAgentQueue records that the grant is no longer queued at its agent.
func (t *task) leaveAgentQueue() {
	if !t.queuedAtAgent {
		return
	}
	t.queuedAtAgent = false
	t.holder.queuedGrants--
	if t.mustNotWait {
		t.holder.unansweredSlots -= t.slots
		return
	}
	t.lane.pool.slotsAtAgents -= t.slots
	t.lane.pool.costAtAgents -= t.cost
}

// adjustLongRunning adjusts the pool's count of long tasks that run.
func (t *task) adjustLongRunning(difference int) {
	if t.lane.long {
		t.lane.pool.longRunning += difference
	}
}

// requeue puts a task whose grant ended back at the head of its lane and refunds
// its cost. Tasks of a job that is being withdrawn are not granted again.
func (c *Core) requeue(t *task) {
	t.lane.adjustUsage(-t.cost)
	t.lane = t.lane.pool.lane(t.lane.laneKey)
	t.lane.weight = c.weight(t.lane.team, t.lane.service)
	c.waitingBytes += len(t.payload)
	if t.job.state != jobStates.Withdrawing {
		t.lane.pushFront(t)
	}
}

func (c *Core) dropPayload(t *task) {
	c.waitingBytes -= len(t.payload)
	t.payload = nil
}

func (c *Core) sendCancel(t *task) {
	c.stats.Messages.Cancels++
	m := t.holder.outgoingMessage()
	m.Cancels = append(m.Cancels, t.grantID())
}

// outcomeFailure converts the outcome of a started task to a failure.
func outcomeFailure(t *task, r *structs.Result) *failure.Failure {
	switch r.Outcome {
	case structs.LimitExceeded:
		return failure.Newf(failure.TimeLimit, failure.Ran, "task %d exceeded its time limit: ran for %s", t.index, r.RunTime)
	case structs.Lost:
		if r.WorkerCrashed && t.crashCount >= maxCrashes {
			return crashFailure(t.index)
		}
		return failure.Newf(failure.EndpointLost, failure.Unknown, "task %d: the connection to the endpoint was lost", t.index)
	default:
		return failure.Newf(failure.TaskFailed, failure.Ran, "task %d: %s", t.index, r.Payload)
	}
}

func lossFailure(t *task) *failure.Failure {
	return failure.Newf(failure.EndpointLost, failure.Unknown, "task %d: its agent ended or did not reconnect in time", t.index)
}

func cancelFailure(j *job) *failure.Failure {
	return failure.New(failure.Cancelled, j.runStatus(), "the caller cancelled the job or disconnected")
}

func expiryFailure(j *job) *failure.Failure {
	return failure.New(failure.Expired, j.runStatus(), "the job's lifetime is over")
}

func shedFailure(j *job) *failure.Failure {
	return failure.New(failure.Overloaded, failure.NotRun, "the job could not start within its objective").WithRetry(shedRetryDelay)
}

// submissionDigest returns a hash of the submission's service and tasks. It is
// never zero, since a zero digest marks a job without a submission. Each field is
// preceded by its length, so that different lists of fields give different input.
func submissionDigest(s *structs.Submission) uint64 {
	d := xxhash.New()
	var length [8]byte
	writeField := func(b []byte) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(b)))
		_, _ = d.Write(length[:])
		_, _ = d.Write(b)
	}
	writeField([]byte(s.Service))
	for i := range s.Tasks {
		writeField([]byte(s.Tasks[i].Kind))
		writeField(s.Tasks[i].Payload)
	}
	return d.Sum64() | 1
}
