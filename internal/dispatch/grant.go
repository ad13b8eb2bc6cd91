package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// rank orders the pool's workers, fastest first.
func (p *pool) rank() {
	slices.SortStableFunc(p.sessions, func(a, b *session) int {
		return cmp.Compare(a.logSlowness, b.logSlowness)
	})
}

// grantWaiting hands waiting tasks to workers for as long as there are both
// tasks and credits that fit.
func (c *Core) grantWaiting(p *pool) {
	if p.waiting == 0 || c.now.Before(c.resumeAt) {
		return
	}
	defer p.dropEmptyLanes()
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
		s := p.place(t, c.now)
		queued := false
		if faster := c.placeIdle(p, t, s); faster != nil {
			s, queued = faster, true
		}
		if s == nil {
			s, queued = c.placeQueued(p, t), true
		}
		if s == nil {
			blocked[l] = true
			continue
		}
		c.grant(t, s, queued)
	}
}

// nextLane returns the lane to serve next, leaving out the blocked ones.
func (c *Core) nextLane(p *pool, blocked map[*lane]bool) *lane {
	var best *lane
	for _, l := range p.ordered {
		if l.waiting == 0 || blocked[l] {
			continue
		}
		if best == nil || c.before(l, best) {
			best = l
		}
	}
	return best
}

// before decides which of two lanes with waiting tasks is served first.
func (c *Core) before(l, other *lane) bool {
	if late := c.overdue(l); late != c.overdue(other) {
		return late
	}
	return l.before(other, c.now, c.aged)
}

const (
	// overdueShare is the part of its objective after which a job goes before
	// everything else, so that its tasks start in time.
	overdueShare = 0.9
	// agedShare is the part of its objective after which a long task is not
	// passed over by short ones of its team any more.
	agedShare = 0.1
)

// overdue reports whether a lane's first task is about to miss its start
// objective. Jobs with a response objective have their own order.
func (c *Core) overdue(l *lane) bool {
	return !l.first().job.timed() && c.waited(l) > c.overdueAge(l.service)
}

func (c *Core) aged(l *lane) bool {
	return c.waited(l).Seconds() > agedShare*c.objective(l.service).Seconds()
}

// waited is the time that a lane's first task has waited.
func (c *Core) waited(l *lane) time.Duration { return c.now.Sub(l.first().queuedAt) }

// overdueAge is the wait from which a service's tasks are overdue.
func (c *Core) overdueAge(service string) time.Duration {
	return time.Duration(overdueShare * float64(c.objective(service)))
}

func (c *Core) objective(service string) time.Duration {
	return c.serviceOf(service).StartObjective.Duration()
}

// reclassify moves a task whose kind has become long, or short, since it was
// queued, to the lane where it belongs now.
func (c *Core) reclassify(t *task) bool {
	long := c.isLong(t.kind, t.declared)
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

// place returns the fastest worker with credits for the task, or nil. The
// worker where the task failed is the last choice.
func (p *pool) place(t *task, now time.Time) *session {
	late := t.job.timed() && p.late(t.job, now)
	var avoided *session
	for _, s := range p.sessions {
		if !s.accepts(t) || !t.job.inTime(s, late, now) {
			continue
		}
		if s != t.avoided {
			return s
		}
		avoided = s
	}
	return avoided
}

// queuePause is how long no grant is sent to wait at an agent that has refused one:
// its endpoint is down, or its queue is full.
const queuePause = 100 * time.Millisecond

// muchFaster is the difference of the logarithms of slowness from which a worker
// is worth a grant without a credit.
const muchFaster = 0.25

// placeIdle returns a worker that is much faster than the one with credits and at
// which other entries hold enough credits that they don't use, or nil: the agent
// takes them back for a grant that waits there.
func (c *Core) placeIdle(p *pool, t *task, placed *session) *session {
	if placed == nil || !placed.divided || c.tuning.QueueDepth == 0 {
		return nil
	}
	for _, s := range p.sessions {
		if s.logSlowness > placed.logSlowness-muchFaster {
			return nil
		}
		if share := s.share(t.needs); c.mayQueue(s, t) && int(s.idle) >= share {
			s.idle -= uint32(share)
			return s
		}
	}
	return nil
}

// placeQueued returns the worker at which a task without a credit waits, or nil:
// the one with most room among the fastest that have enough, where it starts at
// once, or else the one with the fewest of this entry, and the fastest of these.
func (c *Core) placeQueued(p *pool, t *task) *session {
	var roomy, shortest *session
	bound := math.Inf(1)
	late := t.job.timed() && p.late(t.job, c.now)
	for _, s := range p.sessions {
		if s.queued >= c.tuning.QueueDepth || !c.mayQueue(s, t) || !t.job.inTime(s, late, c.now) {
			continue
		}
		if s.room() >= s.share(t.needs) && s.logSlowness < bound && (roomy == nil || s.room() > roomy.room()) {
			bound = min(bound, s.logSlowness+muchFaster)
			roomy = s
		}
		if shortest == nil || s.queued < shortest.queued {
			shortest = s
		}
	}
	if roomy != nil {
		roomy.idle -= min(roomy.idle, uint32(roomy.share(t.needs)))
		return roomy
	}
	return shortest
}

// room returns the slots that a grant without a credit may take at the worker:
// its agent takes back what entries hold and don't use.
func (s *session) room() int { return max(0, s.credits.any) + int(s.idle) }

// mayQueue reports whether a grant without a credit may be sent to the agent.
func (c *Core) mayQueue(s *session, t *task) bool {
	return s.divided && s.takes(t) && s.health == healthStates.Healthy && s != t.avoided && !c.now.Before(s.queueAfter)
}

// takes reports whether the worker could run the task when it has room.
func (s *session) takes(t *task) bool {
	return s.state == sessionStates.Up && s.health != healthStates.Probation && s.health != healthStates.Tried &&
		t.needs.Fits(s.capacity)
}

func (s *session) accepts(t *task) bool {
	if !s.takes(t) {
		return false
	}
	share := s.share(t.needs)
	return s.credits.any >= share || (!t.lane.long && s.credits.short >= share)
}

// grant sends a task to a worker. A queued grant uses no credit.
func (c *Core) grant(t *task, s *session, queued bool) {
	t.lane.pop()
	t.slots = s.share(t.needs)
	t.inQueue = queued
	t.reserved = !queued && !t.lane.long && s.credits.short >= t.slots
	if queued {
		s.queued++
	} else {
		s.credits.add(t.reserved, -t.slots)
	}
	c.waitingBytes -= len(t.payload)
	c.accountStart(t)
	c.fireTask(t, taskEvents.Grant, s, nil)
	c.fireHealth(s, healthEvents.Granted)
	c.journalTask(event.TaskGranted, t, s, "", fact("attempt", int(t.attempt)), fact("slots", t.slots), fact("queued", s.queued),
		fact("credits_left", s.credits.any), millisFact("waited_ms", c.now.Sub(t.queuedAt)), millisFact("estimate_ms", t.declared),
		Fact{Name: "slowness_percent", Value: int64(100 * math.Exp(s.logSlowness))})
	m := s.message()
	m.Grants = append(m.Grants, structs.Grant{
		ID: t.grantID(), Service: t.job.service, Kind: t.kind.name, Long: t.lane.long, Reserved: t.reserved,
		Slots: uint32(t.slots), Queued: queued, StartWithin: t.lane.pool.startWithin(t.job, c.now),
		Limit: c.serviceOf(t.job.service).TaskLimit.Duration(), Name: t.name, Payload: t.payload,
	})
}
