package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// sortBySpeed sorts the pool's workers, fastest first. Equally fast workers keep
// their order.
func (p *pool) sortBySpeed() {
	slices.SortStableFunc(p.sessions, func(a, b *session) int {
		return cmp.Compare(a.logSlowness, b.logSlowness)
	})
}

// grantWaiting grants waiting tasks until no task is left for which a worker with
// credits, or with room in its queue, can be found.
func (c *Core) grantWaiting(p *pool) {
	if p.waiting == 0 || c.now.Before(c.grantsResumeAt) {
		return
	}
	defer p.dropEmptyLanes()
	if c.sharesAreFragments(p) {
		c.grantAmongMany(p)
		return
	}
	blocked := map[*lane]bool{}
	for {
		l := c.nextLane(p, blocked)
		if l == nil {
			return
		}
		t := l.first()
		if c.reclassify(t) {
			continue
		}
		s, mode := c.place(p, t)
		if s == nil {
			blocked[l] = true
			continue
		}
		c.grant(t, s, mode)
	}
}

// grantMode says what a grant takes at the agent.
type grantMode uint8

const (
	// onCredits means that the grant takes credits that the entry holds.
	onCredits grantMode = iota
	// queuedThere means that the grant waits at the agent until slots are free.
	queuedThere
	// atOnceOrRefused means that the agent starts the task at once on free slots, or
	// refuses the grant.
	atOnceOrRefused
)

// place returns the worker to which a task is granted and in which mode, or nil.
func (c *Core) place(p *pool, t *task) (*session, grantMode) {
	credited := p.placeWithCredits(t, c.now)
	if faster := c.placeOnIdleCredits(p, t, credited); faster != nil {
		return faster, queuedThere
	}
	if credited != nil {
		return credited, onCredits
	}
	if c.sharesAreFragments(p) {
		return c.placeAmongMany(p, t)
	}
	return c.placeQueued(p, t), queuedThere
}

// nextLane returns the lane to serve next, or nil. Blocked lanes are skipped.
func (c *Core) nextLane(p *pool, blocked map[*lane]bool) *lane {
	var best *lane
	for _, l := range p.orderedLanes {
		if l.waiting == 0 || blocked[l] {
			continue
		}
		if best == nil || c.precedes(l, best) {
			best = l
		}
	}
	return best
}

// precedes reports whether l is served before other. Both have waiting tasks.
// Overdue lanes go first.
func (c *Core) precedes(l, other *lane) bool {
	if isOverdue := c.overdue(l); isOverdue != c.overdue(other) {
		return isOverdue
	}
	return l.precedes(other, c.now, c.aged)
}

const (
	// overdueFraction is the fraction of the start objective after which a lane
	// takes priority over all others, so that its tasks still start in time.
	overdueFraction = 0.9
	// agedFraction is the fraction of the start objective after which a long task
	// is no longer overtaken by short tasks of its team.
	agedFraction = 0.1
)

// overdue reports whether a lane's first task is about to miss its start
// objective. Jobs with a response objective are ordered by moreUrgent instead.
func (c *Core) overdue(l *lane) bool {
	return !l.first().job.hasResponseObjective() && c.headWait(l) > c.overdueWait(l.service)
}

func (c *Core) aged(l *lane) bool {
	return c.headWait(l).Seconds() > agedFraction*c.startObjective(l.service).Seconds()
}

// headWait returns how long a lane's first task has waited.
func (c *Core) headWait(l *lane) time.Duration { return c.now.Sub(l.first().queuedAt) }

// overdueWait returns the wait from which a service's tasks are overdue.
func (c *Core) overdueWait(service string) time.Duration {
	return time.Duration(overdueFraction * float64(c.startObjective(service)))
}

func (c *Core) startObjective(service string) time.Duration {
	return c.serviceSettings(service).StartObjective.Duration()
}

// reclassify moves a lane's first task to another lane if its kind has become long
// or short since it was queued. It reports whether the task was moved.
func (c *Core) reclassify(t *task) bool {
	long := c.isLong(t.kind, t.declaredRunTime)
	if long == t.lane.long {
		return false
	}
	key := t.lane.laneKey
	key.long = long
	t.lane.pop()
	t.lane = t.lane.pool.lane(key)
	t.lane.weight = c.weight(key.team, key.service)
	t.lane.pushBack(t)
	return true
}

// placeWithCredits returns the fastest worker with credits for the task on which
// the task ends in time, or nil. The worker on which it last failed is the last
// choice.
func (p *pool) placeWithCredits(t *task, now time.Time) *session {
	late := t.job.hasResponseObjective() && p.isLate(t.job, now)
	var avoided *session
	for _, s := range p.sessions {
		if !s.hasCreditsFor(t) || !t.job.canEndInTime(s, late, now) {
			continue
		}
		if s != t.avoidedWorker {
			return s
		}
		avoided = s
	}
	return avoided
}

// queueRetryDelay is how long no grant is sent without a credit to an agent that
// has refused one, because its endpoint is down or its queue is full.
const queueRetryDelay = 100 * time.Millisecond

// minLogSpeedup is the difference in logSlowness from which a faster worker is
// preferred although no credit of it is held.
const minLogSpeedup = 0.25

// placeOnIdleCredits returns a worker that is much faster than the credited one and
// of which other entries hold enough unused credits, or nil. The agent revokes
// these credits for a grant that waits in its queue.
func (c *Core) placeOnIdleCredits(p *pool, t *task, credited *session) *session {
	if credited == nil || !credited.divided || c.tuning.QueueDepth == 0 {
		return nil
	}
	for _, s := range p.sessions {
		if s.logSlowness > credited.logSlowness-minLogSpeedup {
			return nil
		}
		if slots := s.slotsFor(t.needs); c.canQueue(s, t) && int(s.idleSlots) >= slots {
			s.idleSlots -= uint32(slots)
			return s
		}
	}
	return nil
}

// placeQueued returns the worker to which a task is granted without a credit, or
// nil. It prefers the worker with the most reachable slots among the fastest that
// have enough, where the task starts at once. Otherwise it takes the worker with
// the fewest queued grants of this entry, the fastest one of these.
func (c *Core) placeQueued(p *pool, t *task) *session {
	var immediate, shortest *session
	maxSlowness := math.Inf(1)
	late := t.job.hasResponseObjective() && p.isLate(t.job, c.now)
	for _, s := range p.sessions {
		if s.queuedGrants >= c.tuning.QueueDepth || !c.canQueue(s, t) || !t.job.canEndInTime(s, late, c.now) {
			continue
		}
		if s.reachableSlots() >= s.slotsFor(t.needs) && s.logSlowness < maxSlowness && (immediate == nil || s.reachableSlots() > immediate.reachableSlots()) {
			maxSlowness = min(maxSlowness, s.logSlowness+minLogSpeedup)
			immediate = s
		}
		if shortest == nil || s.queuedGrants < shortest.queuedGrants {
			shortest = s
		}
	}
	if immediate != nil {
		immediate.idleSlots -= min(immediate.idleSlots, uint32(immediate.slotsFor(t.needs)))
		return immediate
	}
	return shortest
}

// reachableSlots returns the number of slots that a grant without a credit can get
// at the worker, since its agent revokes the unused credits that entries hold.
func (s *session) reachableSlots() int { return max(0, s.credits.any) + int(s.idleSlots) }

// canQueue reports whether the task may be granted to the agent without a credit.
func (c *Core) canQueue(s *session, t *task) bool {
	return s.divided && s.canRun(t) && s.health == healthStates.Healthy && s != t.avoidedWorker && !c.now.Before(s.queuePausedUntil)
}

// canRun reports whether the worker can run the task once it has free slots.
func (s *session) canRun(t *task) bool {
	return s.state == sessionStates.Up && s.health != healthStates.Probation && s.health != healthStates.Tried &&
		t.needs.Fits(s.capacity)
}

// hasCreditsFor reports whether the task can be granted on the credits held.
// Short credits are not for tasks of long kinds.
func (s *session) hasCreditsFor(t *task) bool {
	if !s.canRun(t) {
		return false
	}
	slots := s.slotsFor(t.needs)
	return s.credits.any >= slots || (!t.lane.long && s.credits.short >= slots)
}

// grant sends a task to a worker.
func (c *Core) grant(t *task, s *session, mode grantMode) {
	t.lane.pop()
	t.slots = s.slotsFor(t.needs)
	t.reserved = mode == onCredits && !t.lane.long && s.credits.short >= t.slots
	if mode == onCredits {
		t.mustNotWait = false
		s.credits.add(t.reserved, -t.slots)
	} else {
		t.enterAgentQueue(s, mode == atOnceOrRefused)
	}
	s.hastened = true
	c.waitingBytes -= len(t.payload)
	c.recordTaskStart(t)
	c.fireTask(t, taskEvents.Grant, s, nil)
	c.fireHealth(s, healthEvents.Granted)
	c.logTask(event.TaskGranted, t, s, "", event.Int("attempt", int(t.attempt)), event.Int("slots", t.slots), event.Int("queued", s.queuedGrants),
		event.Int("idle_slots", int(s.idleSlots)), event.Int("tries", t.tries),
		event.Int("credits_left", s.credits.any), event.Millis("waited_ms", c.now.Sub(t.queuedAt)), event.Millis("estimate_ms", t.declaredRunTime),
		event.Field{Name: "slowness_percent", Value: int64(100 * math.Exp(s.logSlowness))})
	m := s.outgoingMessage()
	m.Grants = append(m.Grants, structs.Grant{
		ID: t.grantID(), Service: t.job.service, Kind: t.kind.name, Long: t.lane.long, Reserved: t.reserved,
		Slots: uint32(t.slots), Queued: mode != onCredits, NoWait: mode == atOnceOrRefused, StartWithin: t.lane.pool.startWithin(t.job, c.now),
		Limit: c.serviceSettings(t.job.service).TaskLimit.Duration(), Name: t.name, Payload: t.payload,
	})
}
