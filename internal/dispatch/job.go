package dispatch

import (
	"container/heap"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// job is one job id that this entry issued and whose lifetime has not ended.
type job struct {
	id      structs.JobID
	team    string
	service string
	state   chart.State
	tasks   []task
	done    int
	// digest identifies the tasks, to tell a resubmission from another job.
	digest uint64
	// refusal is why the last submission was not admitted.
	refusal *failure.Failure
	// cause is why a task failed.
	cause     *failure.Failure
	failure   *failure.Failure
	waiters   []ReplyID
	delivered bool
	// late says that a task started after the service's objective.
	late bool
	// ran says that a task that waits again may have run before.
	ran bool
	// acceptedAt is when the job's tasks were queued.
	acceptedAt time.Time
	// deadline is the end of the job's lifetime on the steady clock.
	deadline time.Time
	// name is the caller's own name of a job whose one caller waits for it;
	// such a job ends when the caller leaves.
	name     string
	attached bool
	// requestID is the caller's id of the request that brought the job.
	requestID string
	// chain is the estimated run time of the job's longest chain of tasks on a
	// worker of typical speed. The chain has to end by aimBy for the response
	// objective, zero means that there is none, and by endBy to be of any use.
	chain time.Duration
	aimBy time.Time
	endBy time.Time
	steps []step
}

// untouched reports whether no task of the job may have started.
func (j *job) untouched() bool {
	if j.ran {
		return false
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskStates.Waiting {
			return false
		}
	}
	return true
}

// unstarted reports whether no task of the job is known to have started: those
// that were granted wait at their agents for room, which can give them back.
func (j *job) unstarted() bool {
	if j.ran {
		return false
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.state != taskStates.Waiting && (t.state != taskStates.Granted || !t.inQueue) {
			return false
		}
	}
	return true
}

// run says what is known about the execution of the job's tasks.
func (j *job) run() failure.Run {
	if j.untouched() {
		return failure.NotRun
	}
	if j.ran {
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

// open reports whether the job was accepted and has no answer yet.
func (j *job) open() bool { return j.state == jobStates.Open || j.state == jobStates.Withdrawing }

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

// findJob returns the job for its team's caller, or a failure.
func (c *Core) findJob(id structs.JobID, team string) (*job, *failure.Failure) {
	if id.Owner != c.self.Incarnation || id.Seq == 0 || id.Seq > c.lastSeq {
		return nil, failure.New(failure.UnknownJob, failure.Unknown, "this entry didn't issue the id")
	}
	j := c.jobs[id.Seq]
	if j == nil {
		return nil, failure.New(failure.Expired, failure.Unknown, "the job's lifetime is over")
	}
	if j.id != id {
		return nil, failure.New(failure.UnknownJob, failure.Unknown, "this entry didn't issue the id")
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
		c.resubmit(j, m)
		return
	}
	j.refusal = nil
	c.fireJob(j, jobEvents.Submit, m)
	if j.refusal != nil {
		c.refuseJob(j, m.Reply)
		return
	}
	c.reply(j, m.Reply, m.Wait)
}

// refuseJob tells the caller that its job was not admitted. The refusal is the
// answer of this id for good: it says "not run", so a delayed copy of the
// submission must not run either.
func (c *Core) refuseJob(j *job, reply ReplyID) {
	c.stats.JobsRefused++
	c.journalRefused(j, j.refusal)
	c.refuse(reply, j.refusal)
	j.delivered = true
	c.undelivered--
}

// resubmit answers a submission of a job whose tasks are known.
func (c *Core) resubmit(j *job, m *SubmitJob) {
	c.stats.JobsResubmitted++
	if j.digest != digestOf(&m.Submission) {
		c.refuse(m.Reply, failure.New(failure.Conflict, failure.Unknown, "the id was submitted with other tasks"))
		return
	}
	c.reply(j, m.Reply, m.Wait)
}

func (c *Core) awaitJob(m *AwaitJob) {
	j, f := c.findJob(m.ID, m.Team)
	if f != nil {
		c.refuse(m.Reply, f)
		return
	}
	c.reply(j, m.Reply, m.Wait)
}

func (c *Core) cancelJob(m *CancelJob) {
	j, f := c.findJob(m.ID, m.Team)
	if f != nil {
		c.refuse(m.Reply, f)
		return
	}
	c.fireJob(j, jobEvents.Cancel, nil)
	c.reply(j, m.Reply, false)
}

func (c *Core) abandonReply(m *AbandonReply) {
	j := c.waiters[m.Reply]
	if j == nil {
		return
	}
	delete(c.waiters, m.Reply)
	if j.attached && len(j.waiters) == 1 {
		j.waiters = nil
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

// reply answers now, or registers the caller to be answered when the job ends.
func (c *Core) reply(j *job, reply ReplyID, wait bool) {
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

func (c *Core) deliver(j *job, reply ReplyID) {
	c.emit(&Answered{Reply: reply, Answer: j.answer()})
	if j.ended() && !j.delivered {
		j.delivered = true
		c.undelivered--
	}
}

// fireJob applies an event to a job; m is set for a submission only.
func (c *Core) fireJob(j *job, e chart.Event, m *SubmitJob) {
	before := j.state
	jobChart.Fire(&j.state, e, jobStep{core: c, job: j, submit: m})
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

func (c *Core) jobEnded(j *job) {
	c.undelivered++
	c.journalEnd(j)
	if c.named[j.name] == j {
		delete(c.named, j.name)
	}
	waiters := j.waiters
	j.waiters = nil
	for _, reply := range waiters {
		delete(c.waiters, reply)
		c.deliver(j, reply)
	}
}

// accept keeps the tasks of an admitted submission and queues them.
func (c *Core) accept(j *job, m *SubmitJob) {
	c.stats.JobsAccepted++
	j.digest = digestOf(&m.Submission)
	service := c.doc.Services[j.service]
	p := c.pool(service.Pool)
	j.acceptedAt = c.now
	j.tasks = make([]task, len(m.Submission.Tasks))
	c.journalAccepted(j, p)
	for i := range j.tasks {
		c.initTask(p, j, uint32(i), &m.Submission)
	}
	c.startSteps(p, j, &m.Submission)
}

func (c *Core) complete(j *job) {
	c.stats.JobsComplete++
	c.recordJobComplete(j)
}

func (c *Core) fail(j *job, f *failure.Failure) {
	c.stats.JobsFailed++
	c.recordJobFailure(j, f)
	j.failure = f
}

// withdrawTasks keeps the job's tasks from being granted and asks their agents
// for those that wait there.
func (c *Core) withdrawTasks(j *job) {
	for i := range j.tasks {
		j.tasks[i].leaveQueue()
		c.fireTask(&j.tasks[i], taskEvents.Recall, nil, nil)
	}
}

// stopTasks ends every task of a job that is over.
func (c *Core) stopTasks(j *job) {
	for i := range j.tasks {
		c.fireTask(&j.tasks[i], taskEvents.JobOver, nil, nil)
		j.tasks[i].result = nil
		j.tasks[i].payload = nil
	}
}

// answer describes the job as it is. Results are handed out only as a whole.
func (j *job) answer() structs.Answer {
	a := structs.Answer{ID: j.id, State: structs.JobCreated, Failure: j.failure}
	switch j.state {
	case jobStates.Open, jobStates.Withdrawing:
		a.State = structs.JobOpen
		j.count(&a)
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

func (j *job) count(a *structs.Answer) {
	a.Done = j.done
	for i := range j.tasks {
		if j.tasks[i].state == taskStates.Waiting {
			a.Waiting++
		}
	}
	a.Running = len(j.tasks) - a.Done - a.Waiting
}

// expireJobs ends the jobs whose lifetime is over and forgets them.
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

// expiryHeap orders jobs by the end of their lifetime.
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
