package dispatch

import (
	"slices"
	"time"

	"cactuspost.example/internal/structs"
)

// pool is a group of workers that serve the same services, and the tasks that wait
// for them.
type pool struct {
	name     string
	sessions []*session
	// unsent lists the sessions with an outgoing message.
	unsent []*session
	lanes  map[laneKey]*lane
	// orderedLanes holds the lanes in order of creation, so that ties are broken the
	// same way in every run.
	orderedLanes []*lane
	teams        map[string]*teamUsage
	// virtualTime is the virtual time of the fair queueing. It is at least that of
	// each team at the moment it was last served. Teams that become active start
	// from it.
	virtualTime float64
	waiting     int
	running     int
	// busySlots is the number of slots of the running tasks.
	busySlots int
	// slotsAtAgents and costAtAgents are the slots and the estimated slot time of the
	// tasks that wait in queues of agents.
	slotsAtAgents int
	costAtAgents  time.Duration
	// usualNeed is the smoothed number of slots that a task takes.
	usualNeed float64
	// longRunning counts the running tasks of long kinds.
	longRunning int
	// failureRate is the smoothed fraction of failed tasks over all workers.
	failureRate float64
}

// teamUsage is a team's use of a pool, the basis of weighted fair queueing.
type teamUsage struct {
	// virtualTime is the slot time used, in seconds, divided by the team's weight.
	virtualTime float64
	waiting     int
	// waitingCost is the estimated slot time of the waiting tasks.
	waitingCost time.Duration
	// lastSubmitAt is the time of the team's last submission, admitted or not.
	lastSubmitAt time.Time
}

// laneKey identifies the tasks that the scheduling policy treats alike.
type laneKey struct {
	team, service string
	needs         structs.Needs
	long          bool
}

// lane is a FIFO queue of tasks with the same key. Tasks that are removed out of
// order stay in the slice and are skipped when they reach its head.
type lane struct {
	laneKey
	pool    *pool
	usage   *teamUsage
	weight  float64
	tasks   []*task
	head    int
	waiting int
}

func (c *Core) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{name: name, lanes: map[laneKey]*lane{}, teams: map[string]*teamUsage{}}
		c.pools[name] = p
		c.orderedPools = append(c.orderedPools, p)
	}
	return p
}

func (p *pool) usage(team string) *teamUsage {
	u := p.teams[team]
	if u == nil {
		u = &teamUsage{}
		p.teams[team] = u
	}
	return u
}

func (p *pool) lane(key laneKey) *lane {
	l := p.lanes[key]
	if l == nil {
		l = &lane{laneKey: key, pool: p, usage: p.usage(key.team), weight: 1}
		p.lanes[key] = l
		p.orderedLanes = append(p.orderedLanes, l)
	}
	return l
}

// dropEmptyLanes deletes the lanes without waiting tasks. Needs can differ from job
// to job, and each combination has its own lane, so lanes would pile up otherwise.
func (p *pool) dropEmptyLanes() {
	p.orderedLanes = slices.DeleteFunc(p.orderedLanes, func(l *lane) bool {
		if l.waiting > 0 {
			return false
		}
		delete(p.lanes, l.laneKey)
		return true
	})
}

func (l *lane) pushBack(t *task) {
	l.tasks = append(l.tasks, t)
	l.added(t)
}

func (l *lane) pushFront(t *task) {
	if l.head > 0 {
		l.head--
		l.tasks[l.head] = t
	} else {
		l.tasks = slices.Insert(l.tasks, 0, t)
	}
	l.added(t)
}

func (l *lane) added(t *task) {
	t.inLane = true
	l.waiting++
	l.pool.waiting++
	u := l.usage
	if u.waiting == 0 {
		// A team that was idle starts at the pool's virtual time: unused shares
		// don't accumulate.
		u.virtualTime = max(u.virtualTime, l.pool.virtualTime)
	}
	u.waiting++
	u.waitingCost += t.cost
}

// remove marks a waiting task as no longer queued. Its slice element is skipped
// later.
func (l *lane) remove(t *task) {
	t.inLane = false
	l.waiting--
	l.pool.waiting--
	l.usage.waiting--
	l.usage.waitingCost -= t.cost
	if l.waiting == 0 {
		l.tasks = nil
		l.head = 0
	}
}

// first returns the task at the head of the lane, or nil.
func (l *lane) first() *task {
	for l.head < len(l.tasks) {
		t := l.tasks[l.head]
		if t != nil && t.inLane {
			return t
		}
		l.advanceHead()
	}
	return nil
}

// jobsWaitingSince returns the jobs with a task that was queued before limit. It
// stops at the first later task: the lane is sorted by queueing time, except for
// the few tasks that were refused by an agent or moved from another lane.
func (l *lane) jobsWaitingSince(limit time.Time) []*job {
	var jobs []*job
	for _, t := range l.tasks[l.head:] {
		if t == nil || !t.inLane {
			continue
		}
		if !t.queuedAt.Before(limit) {
			break
		}
		if len(jobs) == 0 || jobs[len(jobs)-1] != t.job {
			jobs = append(jobs, t.job)
		}
	}
	return jobs
}

// pop removes the task returned by first.
func (l *lane) pop() {
	t := l.tasks[l.head]
	l.advanceHead()
	l.remove(t)
}

func (l *lane) advanceHead() {
	l.tasks[l.head] = nil
	l.head++
	if l.head == len(l.tasks) {
		l.tasks = l.tasks[:0]
		l.head = 0
	} else if l.head > 1024 && l.head*2 > len(l.tasks) {
		l.tasks = slices.Delete(l.tasks, 0, l.head)
		l.head = 0
	}
}

// charge adds the estimated slot time of a task to the team's usage when the task
// is granted.
func (l *lane) charge(cost time.Duration) {
	l.pool.virtualTime = max(l.pool.virtualTime, l.usage.virtualTime)
	l.adjustUsage(cost)
}

// adjustUsage corrects the team's usage by a difference of slot time.
func (l *lane) adjustUsage(difference time.Duration) {
	l.usage.virtualTime += difference.Seconds() / l.weight
}

// precedes reports whether l is served before other. Lanes of different teams are
// ordered by the teams' virtual time, those of one team by urgency, class and age.
func (l *lane) precedes(other *lane, now time.Time, aged func(*lane) bool) bool {
	if l.usage != other.usage {
		return l.usage.virtualTime < other.usage.virtualTime
	}
	if l.first().job.hasResponseObjective() && other.first().job.hasResponseObjective() {
		return l.pool.moreUrgent(l.first().job, other.first().job, now)
	}
	if l.long != other.long {
		longLane := l
		if other.long {
			longLane = other
		}
		// Within a team short tasks go first, unless the long one has waited for
		// too much of its objective.
		if !aged(longLane) {
			return other.long
		}
	}
	return l.first().queuedAt.Before(other.first().queuedAt)
}
