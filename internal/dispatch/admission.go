package dispatch

import (
	"cmp"
	"slices"
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

const (
	// MaxIDsPerCreate is the maximum number of IDs that one CreateJobs may request.
	MaxIDsPerCreate = 1000
	// shedRetryDelay is the retry delay suggested for a job that was shed.
	shedRetryDelay = time.Second
	// defaultRetryDelay is the retry delay suggested when the entry is not ready
	// or a limit on jobs, tasks or bytes is reached.
	defaultRetryDelay = time.Second
	// minRetryDelay is the minimum retry delay suggested with a refusal.
	minRetryDelay = 100 * time.Millisecond
	// maxWaitFraction is the fraction of the start objective that the estimated
	// wait may use; the rest allows for errors of the estimate.
	maxWaitFraction = 0.5
)

// checkCreate returns the service of the new jobs, or the reason for a refusal.
func (c *Core) checkCreate(m *CreateJobs) (*structs.Service, *failure.Failure) {
	if c.leaving() {
		return nil, drainingFailure()
	}
	service, f := c.permittedService(m.Team, m.Service)
	if f != nil {
		return nil, f
	}
	if m.Count < 1 || m.Count > MaxIDsPerCreate {
		return nil, failure.Newf(failure.Invalid, failure.NotRun, "count is %d, must be between 1 and %d", m.Count, MaxIDsPerCreate)
	}
	if len(c.jobs)+m.Count > c.tuning.MaxJobs {
		return nil, failure.New(failure.Overloaded, failure.NotRun, "the limit of stored jobs is reached").WithRetry(defaultRetryDelay)
	}
	return service, nil
}

func drainingFailure() *failure.Failure {
	return failure.New(failure.Draining, failure.NotRun, "this entry is draining; use another entry").WithRetry(minRetryDelay)
}

// permittedService returns the named service if the team may use it, or a
// failure.
func (c *Core) permittedService(team, name string) (*structs.Service, *failure.Failure) {
	if c.doc == nil {
		return nil, failure.New(failure.NoConfiguration, failure.NotRun, "no configuration is known yet").WithRetry(defaultRetryDelay)
	}
	service, ok := c.doc.Services[name]
	if !ok {
		return nil, failure.Newf(failure.UnknownService, failure.NotRun, "service %q does not exist", name)
	}
	if _, ok := c.doc.Teams[team].Quotas[name]; !ok {
		return nil, failure.Newf(failure.Forbidden, failure.NotRun, "team %q has no quota for service %q", team, name)
	}
	return &service, nil
}

// weight returns the team's quota for a service, which is its weight in fair
// queueing; 1 if it has none any more.
func (c *Core) weight(team, service string) float64 {
	if weight := c.doc.Teams[team].Quotas[service]; weight > 0 {
		return weight
	}
	return 1
}

// admit reports whether the first submission of a job is accepted, and stores the
// reason for a refusal in the job.
func (c *Core) admit(j *job, m *SubmitJob) bool {
	j.refusal = c.checkSubmission(j, &m.Submission)
	return j.refusal == nil
}

func (c *Core) checkSubmission(j *job, s *structs.Submission) *failure.Failure {
	if c.leaving() && !j.attached {
		return drainingFailure()
	}
	service, f := c.permittedService(j.team, j.service)
	if f != nil {
		return f
	}
	if s.Service != j.service {
		return failure.Newf(failure.Invalid, failure.NotRun, "the job ID was issued for service %q", j.service)
	}
	if f := checkSizes(service, s); f != nil {
		return f
	}
	if f := checkSteps(s); f != nil {
		return f
	}
	p := c.pool(service.Pool)
	if len(p.sessions) == 0 && j.attached && c.warmingUp() {
		return nil
	}
	if f := p.checkTasks(s); f != nil {
		return f
	}
	return c.checkLoad(p, service, j, s)
}

func checkSizes(service *structs.Service, s *structs.Submission) *failure.Failure {
	if len(s.Tasks) == 0 {
		return failure.New(failure.Invalid, failure.NotRun, "the job has no tasks")
	}
	if len(s.Tasks) > service.MaxTasks {
		return failure.Newf(failure.TooLarge, failure.NotRun, "the job has %d tasks, the maximum is %d", len(s.Tasks), service.MaxTasks)
	}
	for i := range s.Tasks {
		if size := len(s.Tasks[i].Payload); size > service.MaxTaskBytes {
			return failure.Newf(failure.TooLarge, failure.NotRun, "task %d has %d bytes, the maximum is %d", i, size, service.MaxTaskBytes)
		}
	}
	return nil
}

// checkNeeds refuses resource needs that exceed the capacity of every worker in
// the pool.
func (p *pool) checkNeeds(needs structs.Needs) *failure.Failure {
	if len(p.sessions) == 0 {
		return failure.Newf(failure.Unavailable, failure.NotRun, "no worker of pool %q is known", p.name).WithRetry(defaultRetryDelay)
	}
	for _, s := range p.sessions {
		if needs.Fits(s.capacity) {
			return nil
		}
	}
	return failure.Newf(failure.NeverRuns, failure.NotRun, "the task needs more capacity than any worker of pool %q has", p.name)
}

// checkTasks refuses a job with a task that no worker of the pool could ever run.
func (p *pool) checkTasks(s *structs.Submission) *failure.Failure {
	checked := structs.Needs{}
	for i := range s.Tasks {
		needs := cmp.Or(s.Tasks[i].Needs, s.Needs)
		if i > 0 && needs == checked {
			continue
		}
		checked = needs
		if f := p.checkNeeds(needs); f != nil {
			return f
		}
	}
	return nil
}

// checkLoad refuses a job that is not expected to meet its service's objective,
// or that exceeds a limit on waiting tasks or on their bytes.
func (c *Core) checkLoad(p *pool, service *structs.Service, j *job, s *structs.Submission) *failure.Failure {
	a := p.usage(j.team)
	if maxWaiting := c.doc.Teams[j.team].MaxWaiting; maxWaiting > 0 && a.waiting+len(s.Tasks) > maxWaiting {
		return failure.Newf(failure.QuotaExceeded, failure.NotRun, "the job would exceed the team's limit of %d waiting tasks", maxWaiting).WithRetry(defaultRetryDelay)
	}
	if c.waitingBytes > c.tuning.MaxWaitingBytes {
		return failure.New(failure.Overloaded, failure.NotRun, "the limit of payload bytes of waiting tasks is reached").WithRetry(defaultRetryDelay)
	}
	a.lastSubmitAt = c.now
	wait := c.expectedWait(p, j, s)
	if j.hasResponseObjective() {
		if c.now.Add(wait + p.fastestRunTime(j)).Before(j.usefulUntil) {
			return nil
		}
		return failure.New(failure.Overloaded, failure.NotRun, "the job would end after its deadline").WithRetry(max(minRetryDelay, wait/2))
	}
	objective := service.StartObjective.Duration()
	if wait.Seconds() <= maxWaitFraction*objective.Seconds() {
		return nil
	}
	retry := max(minRetryDelay, wait-objective/2)
	return failure.New(failure.Overloaded, failure.NotRun, "the job is not expected to start within its objective").WithRetry(retry)
}

// expectedWait estimates how long the job's last task would wait: the queued slot
// time of the team, divided by the number of slots that the team gets.
func (c *Core) expectedWait(p *pool, j *job, s *structs.Submission) time.Duration {
	slots := 0
	a := p.usage(j.team)
	slotTime := a.waitingCost
	for i := range s.Tasks {
		t := &s.Tasks[i]
		share := p.slotsFor(cmp.Or(t.Needs, s.Needs))
		slots += share
		slotTime += c.estimate(c.kind(j.service, t.Kind), t.Declared) * time.Duration(share)
	}
	free := p.freeCredits()
	if c.sharesAreFragments(p) {
		free += p.reachableRoom()
		slotTime += p.costAtAgents
	}
	if free-p.slotsWaiting() >= slots {
		return 0
	}
	return time.Duration(float64(slotTime) / (c.usableSlots(p) * c.teamShare(p, j)))
}

// usableSlots estimates how many of the pool's slots serve this entry: the number
// in use now or an even share among the entries, whichever is larger.
func (c *Core) usableSlots(p *pool) float64 {
	return float64(max(1, c.evenShare(p), p.busySlots))
}

// teamShare returns the fraction of the slots that the team gets in competition
// with the teams that have waiting tasks or submitted jobs recently, 0 to 1.
func (c *Core) teamShare(p *pool, j *job) float64 {
	own := c.weight(j.team, j.service)
	sum := own
	counted := map[string]bool{j.team: true}
	for _, l := range p.orderedLanes {
		recent := c.now.Sub(l.usage.lastSubmitAt) < c.startObjective(l.service)
		if (l.waiting > 0 || recent) && !counted[l.team] {
			counted[l.team] = true
			sum += l.weight
		}
	}
	return own / sum
}

// freeCredits returns the number of unused credits at the pool's connected,
// healthy workers.
func (p *pool) freeCredits() int {
	free := 0
	for _, s := range p.sessions {
		if s.state == sessionStates.Up && s.health == healthStates.Healthy {
			free += max(0, s.credits.any) + max(0, s.credits.short)
		}
	}
	return free
}

// shedLateJobs sheds the jobs that did not start within their objective. Only
// jobs without a started task are shed, since the refusal promises that none has
// run.
func (c *Core) shedLateJobs() {
	for _, p := range c.orderedPools {
		for _, l := range slices.Clone(p.orderedLanes) {
			c.shedLane(l)
		}
	}
}

// shedLane sheds the overdue jobs of a lane. Jobs of which some tasks have
// started stay, and their other tasks keep their place in the queue.
func (c *Core) shedLane(l *lane) {
	if l.waiting == 0 {
		return
	}
	if l.first().job.hasResponseObjective() {
		c.endUnachievable(l)
		return
	}
	if !c.overdue(l) {
		return
	}
	for _, j := range l.jobsWaitingSince(c.now.Add(-c.startObjective(l.service))) {
		c.fireJob(j, jobEvents.Shed, nil)
	}
}

// endUnachievable ends the jobs of a lane that can't end in time. This includes
// jobs that have started: making their callers wait longer gains nothing.
func (c *Core) endUnachievable(l *lane) {
	for l.waiting > 0 && l.pool.missesLatestEnd(l.first().job, c.now) {
		j := l.first().job
		c.endLateJob(j)
	}
}

// endLateJob ends a job that can't end in time. If none of its tasks has started,
// the caller is told so after the agents have returned the tasks queued there.
func (c *Core) endLateJob(j *job) {
	if j.unstarted() {
		c.fireJob(j, jobEvents.Shed, nil)
		return
	}
	c.fireJob(j, jobEvents.Expire, nil)
}

// endLateAtAgents ends the jobs that can't end in time and of which no task is
// known to have started. It catches those whose tasks are all queued at agents,
// where other tasks may be started before them indefinitely.
func (c *Core) endLateAtAgents() {
	var late []*job
	for _, j := range c.namedJobs {
		if j.hasResponseObjective() && j.answerUselessAt(c.now) && j.unstarted() {
			late = append(late, j)
		}
	}
	slices.SortFunc(late, func(a, b *job) int { return cmp.Compare(a.id.Seq, b.id.Seq) })
	for _, j := range late {
		c.endLateJob(j)
	}
}
