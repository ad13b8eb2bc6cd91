package dispatch

import (
	"cmp"
	"slices"
	"time"

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
		s := p.place(t)
		if s == nil {
			blocked[l] = true
			continue
		}
		c.grant(t, s)
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
func (p *pool) place(t *task) *session {
	var avoided *session
	for _, s := range p.sessions {
		if !s.accepts(t) {
			continue
		}
		if s != t.avoided {
			return s
		}
		avoided = s
	}
	return avoided
}

func (s *session) accepts(t *task) bool {
	if s.state != sessionStates.Up || s.health == healthStates.Probation || s.health == healthStates.Tried {
		return false
	}
	if !t.needs.Fits(s.capacity) {
		return false
	}
	share := s.share(t.needs)
	return s.credits.any >= share || (!t.lane.long && s.credits.short >= share)
}

// grant sends a task to a worker.
func (c *Core) grant(t *task, s *session) {
	t.lane.pop()
	t.reserved = !t.lane.long && s.credits.short >= s.share(t.needs)
	t.slots = s.share(t.needs)
	s.credits.add(t.reserved, -t.slots)
	c.waitingBytes -= len(t.payload)
	c.accountStart(t)
	c.fireTask(t, taskEvents.Grant, s, nil)
	c.fireHealth(s, healthEvents.Granted)
	m := s.message()
	m.Grants = append(m.Grants, structs.Grant{
		ID: t.grantID(), Service: t.job.service, Kind: t.kind.name, Long: t.lane.long, Reserved: t.reserved,
		Slots: uint32(t.slots), Name: t.name, Limit: c.serviceOf(t.job.service).TaskLimit.Duration(), Payload: t.payload,
	})
}
