package dispatch

import (
	"container/heap"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// job is the state behind a job ID that this entry issued and that has not
// expired.
type job struct {
	id      structs.JobID
	team    string
	service string
	state   chart.State
	tasks   []task
	// tasksDone counts the tasks that have a result.
	tasksDone int
	// digest is a hash of the tasks. It tells a resubmission from a submission of
	// other tasks under the same ID; zero means that none was accepted yet.
	digest uint64
	// refusal is the reason why admission control refused the submission, nil if
	// it did not.
	refusal *failure.Failure
	// taskFailure is the failure of the task that made the job fail, failure that
	// of the job as its caller gets it.
	taskFailure *failure.Failure
	failure     *failure.Failure
	// waiters are the requests that get the answer when the job ends.
	waiters []ReplyID
	// delivered is set when an answer was sent after the job's end.
	delivered bool
	// startedLate is set when a task started after the service's start objective.
	startedLate bool
	// mayHaveRun is set when a task that was put back in the queue may have run
	// before.
	mayHaveRun bool
	// acceptedAt is the time of the job's admission.
	acceptedAt time.Time
	// deadline is the end of the job's lifetime on the monotonic clock.
	deadline time.Time
	// name is the caller's name of an attached job. A job is attached if it came
	// with RunJob: its callers wait for the answer, and it is cancelled when the
	// last of them disconnects.
	name     string
	attached bool
	// requestID is the caller's ID of the request that submitted the job.
	requestID string
	// callerLeftAt is when a front end noticed that the last caller of an attached job
	// has left, zero while one waits. It is only logged.
	callerLeftAt time.Time
	// criticalPath is the estimated run time of the job's critical path on a
	// worker of typical speed. The job meets its response objective if it ends by
	// targetEnd (zero if it has none); a result after usefulUntil is of no use to
	// the caller.
	criticalPath time.Duration
	targetEnd    time.Time
	usefulUntil  time.Time
	steps        []step
}

// notRun reports whether it is certain that no task of the job has started.
func (j *job) notRun() bool {
	if j.mayHaveRun {
		return false
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskStates.Waiting {
			return false
		}
	}
	return true
}

// unstarted reports whether no task of the job is known to have started. Granted
// tasks may be queued at their agents, which can still return them.
func (j *job) unstarted() bool {
	if j.mayHaveRun {
		return false
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskStates.Waiting && (t.state != taskStates.Granted || !t.queuedAtAgent) {
			return false
		}
	}
	return true
}

// runStatus returns what is known about the execution of the job's tasks.
func (j *job) runStatus() failure.Run {
	if j.notRun() {
		return failure.NotRun
	}
	if j.mayHaveRun {
		return failure.Ran
	}
	for i := range j.tasks {
		s := j.tasks[i].state
		if s == taskStates.Done || s == taskStates.Failed {
			return failure.Ran
		}
	}
	return failure.Unknown
}

func (j *job) ended() bool { return jobChart.Final(j.state) }

// open reports whether the job was accepted and has not ended.
func (j *job) open() bool { return j.state == jobStates.Open || j.state == jobStates.Withdrawing }

// createJobs issues job IDs, which are valid until the service's job lifetime ends.
func (c *Core) createJobs(m *CreateJobs) {
	service, f := c.checkCreate(m)
	if f != nil {
		c.stats.JobsRefused++
		c.recordCreateRefusal(m, f)
		c.refuse(m.Reply, f)
		return
	}
	expiry := c.now.Add(service.Lifetime.Duration())
	ids := make([]structs.JobID, 0, m.Count)
	for range m.Count {
		ids = append(ids, c.newJob(m.Team, m.Service, expiry).id)
	}
	c.emit(&Created{Reply: m.Reply, IDs: ids})
}

func (c *Core) newJob(team, service string, expiry time.Time) *job {
	c.lastSeq++
	j := &job{
		id:    structs.JobID{Owner: c.self.Incarnation, Seq: c.lastSeq, Expiry: expiry.UnixMilli()},
		team:  team,
		state: jobChart.Initial(), service: service, deadline: expiry,
	}
	c.jobs[j.id.Seq] = j
	heap.Push(&c.expiries, j)
	return j
}

// findJob returns the job with the ID if it belongs to the team, or a failure.
func (c *Core) findJob(id structs.JobID, team string) (*job, *failure.Failure) {
	if id.Owner != c.self.Incarnation || id.Seq == 0 || id.Seq > c.lastSeq {
		return nil, failure.New(failure.UnknownJob, failure.Unknown, "this entry didn't issue the job ID")
	}
	j := c.jobs[id.Seq]
	if j == nil {
		return nil, failure.New(failure.Expired, failure.Unknown, "the job's lifetime is over")
	}
	if j.id != id {
		return nil, failure.New(failure.UnknownJob, failure.Unknown, "this entry didn't issue the job ID")
	}
	if j.team != team {
		return nil, failure.New(failure.Forbidden, failure.Unknown, "the job belongs to another team")
	}
	return j, nil
}

func (c *Core) submitJob(m *SubmitJob) {
	j, f := c.findJob(m.Submission.ID, m.Submission.Team)
	if f != nil {
		c.refuse(m.Reply, f)
		return
	}
	if j.digest != 0 {
		c.answerResubmission(j, m)
		return
	}
	j.refusal = nil
	c.fireJob(j, jobEvents.Submit, m)
	if j.refusal != nil {
		c.refuseJob(j, m.Reply)
		return
	}
	c.answerOrWait(j, m.Reply, m.Wait)
}

// refuseJob tells the caller that its job was not admitted. The refusal is final
// for this ID: it promises that no task has run, so a delayed duplicate of the
// submission must not be accepted later.
func (c *Core) refuseJob(j *job, reply ReplyID) {
	c.stats.JobsRefused++
	c.logRefused(j, j.refusal)
	c.refuse(reply, j.refusal)
	j.delivered = true
	c.undelivered--
}

// answerResubmission answers a submission for a job whose tasks were already
// accepted.
func (c *Core) answerResubmission(j *job, m *SubmitJob) {
	c.stats.JobsResubmitted++
	if j.digest != submissionDigest(&m.Submission) {
		c.refuse(m.Reply, failure.New(failure.Conflict, failure.Unknown, "the job ID was already submitted with different tasks"))
		return
	}
	c.answerOrWait(j, m.Reply, m.Wait)
}

func (c *Core) awaitJob(m *AwaitJob) {
	j, f := c.findJob(m.ID, m.Team)
	if f != nil {
		c.refuse(m.Reply, f)
		return
	}
	c.answerOrWait(j, m.Reply, m.Wait)
}

func (c *Core) cancelJob(m *CancelJob) {
	j, f := c.findJob(m.ID, m.Team)
	if f != nil {
		c.refuse(m.Reply, f)
		return
	}
	c.fireJob(j, jobEvents.Cancel, nil)
	c.answerOrWait(j, m.Reply, false)
}

// abandonReply answers a caller that stops waiting with the job's current state. An
// attached job is cancelled if this was its last caller.
func (c *Core) abandonReply(m *AbandonReply) {
	j := c.waiters[m.Reply]
	if j == nil {
		return
	}
	delete(c.waiters, m.Reply)
	if j.attached && len(j.waiters) == 1 {
		j.waiters = nil
		j.callerLeftAt = m.At
		c.fireJob(j, jobEvents.Cancel, nil)
		c.deliver(j, m.Reply)
		return
	}
	for i, waiter := range j.waiters {
		if waiter == m.Reply {
			j.waiters = append(j.waiters[:i], j.waiters[i+1:]...)
			break
		}
	}
	c.emit(&Answered{Reply: m.Reply, Answer: j.answer()})
}

// answerOrWait sends the job's answer at once, or, if wait is set, when the job
// ends. A zero reply means that nobody expects an answer.
func (c *Core) answerOrWait(j *job, reply ReplyID, wait bool) {
	if reply == 0 {
		return
	}
	if wait && !j.ended() {
		j.waiters = append(j.waiters, reply)
		c.waiters[reply] = j
		return
	}
	c.deliver(j, reply)
}

// deliver sends the job's answer, and marks it as delivered if the job has ended.
func (c *Core) deliver(j *job, reply ReplyID) {
	c.emit(&Answered{Reply: reply, Answer: j.answer()})
	if j.ended() && !j.delivered {
		j.delivered = true
		c.undelivered--
	}
}

// fireJob applies an event of the job chart. m is nil except for submissions.
func (c *Core) fireJob(j *job, e chart.Event, m *SubmitJob) {
	before := j.state
	jobChart.Fire(&j.state, e, jobContext{core: c, job: j, submit: m})
	if before == j.state {
		return
	}
	if j.open() && before == jobStates.Created {
		c.openJobs++
	}
	if j.ended() && before != jobStates.Created {
		c.openJobs--
	}
	if j.ended() {
		c.jobEnded(j)
	}
}

// jobEnded answers every caller that waits for the job.
func (c *Core) jobEnded(j *job) {
	c.undelivered++
	c.logEnd(j)
	if c.namedJobs[j.name] == j {
		delete(c.namedJobs, j.name)
	}
	waiters := j.waiters
	j.waiters = nil
	for _, reply := range waiters {
		delete(c.waiters, reply)
		c.deliver(j, reply)
	}
}

// accept stores the tasks of an admitted submission and queues those that depend
// on no other step.
func (c *Core) accept(j *job, m *SubmitJob) {
	c.stats.JobsAccepted++
	j.digest = submissionDigest(&m.Submission)
	service := c.doc.Services[j.service]
	p := c.pool(service.Pool)
	j.acceptedAt = c.now
	j.tasks = make([]task, len(m.Submission.Tasks))
	c.logAccepted(j, p)
	for i := range j.tasks {
		c.initTask(p, j, uint32(i), &m.Submission)
	}
	c.startSteps(p, j, &m.Submission)
}

func (c *Core) completeJob(j *job) {
	c.stats.JobsComplete++
	c.recordJobComplete(j)
}

func (c *Core) failJob(j *job, f *failure.Failure) {
	c.stats.JobsFailed++
	c.recordJobFailure(j, f)
	j.failure = f
}

// withdrawTasks removes the job's waiting tasks from the queue and asks the
// agents to return the granted ones that have not started.
func (c *Core) withdrawTasks(j *job) {
	for i := range j.tasks {
		j.tasks[i].leaveLane()
		c.fireTask(&j.tasks[i], taskEvents.Recall, nil, nil)
	}
}

// stopTasks ends every task of a job that has ended and releases its payload and
// result.
func (c *Core) stopTasks(j *job) {
	for i := range j.tasks {
		c.fireTask(&j.tasks[i], taskEvents.JobEnded, nil, nil)
		j.tasks[i].result = nil
		j.tasks[i].payload = nil
	}
}

// answer returns the job's current state. Results are included only when all
// tasks have one.
func (j *job) answer() structs.Answer {
	a := structs.Answer{ID: j.id, State: structs.JobCreated, Failure: j.failure}
	switch j.state {
	case jobStates.Open, jobStates.Withdrawing:
		a.State = structs.JobOpen
		j.countTasks(&a)
	case jobStates.Complete:
		a.State = structs.JobComplete
		a.Results = make([][]byte, len(j.tasks))
		for i := range j.tasks {
			a.Results[i] = j.tasks[i].result
		}
	case jobStates.Failed:
		a.State = structs.JobFailed
	}
	return a
}

// countTasks fills in the number of tasks in each state.
func (j *job) countTasks(a *structs.Answer) {
	a.Done = j.tasksDone
	for i := range j.tasks {
		if j.tasks[i].state == taskStates.Waiting {
			a.Waiting++
		}
	}
	a.Running = len(j.tasks) - a.Done - a.Waiting
}

// expireJobs ends and removes the jobs whose lifetime has ended.
func (c *Core) expireJobs() {
	for len(c.expiries) > 0 && !c.now.Before(c.expiries[0].deadline) {
		j := heap.Pop(&c.expiries).(*job)
		c.fireJob(j, jobEvents.Expire, nil)
		if !j.delivered {
			c.undelivered--
		}
		delete(c.jobs, j.id.Seq)
	}
}

// expiryHeap is a min-heap of jobs by the end of their lifetime.
type expiryHeap []*job

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, k int) bool { return h[i].deadline.Before(h[k].deadline) }
func (h expiryHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
