package dispatch

import (
	"slices"
	"time"

	"cactuspost.example/internal/structs"
)

// This file places tasks when many entries share the workers. Each entry then sees a
// small part of the load, holds too few credits of any agent to start a task, and knows
// from reports that are some hundred milliseconds old where there is room. Entries that
// choose the best worker by the same reports all choose the same one. So each takes the
// better of two workers at random, and the agent refuses the grant if there is no room
// after all. A task that finds no room waits here, and the agents that have refused it
// tell when they have room: a try costs a round trip, a wrong queue the run time of a
// task. Only a task that has waited for some time is bound to the queue of an agent.

const (
	// choices is the number of workers at random of which the better one is taken.
	choices = 2
	// maxTries is the number of workers without known room that are tried for a task.
	maxTries = 2
	// retryWorkerAfter is the time after which a worker that has refused a grant for
	// want of room is tried again although no room there is known.
	retryWorkerAfter = 50 * time.Millisecond
	// patience is the time that a task waits for room before it is bound to the queue
	// of an agent.
	patience = 40 * time.Millisecond
	// needSmoothing is the weight of a task in pool.usualNeed.
	needSmoothing = 0.05
)

// recordNeed updates the number of slots that a task usually takes.
func (p *pool) recordNeed(needs structs.Needs) {
	need := float64(p.slotsFor(needs))
	if p.usualNeed == 0 {
		p.usualNeed = need
	}
	p.usualNeed += needSmoothing * (need - p.usualNeed)
}

// sharesAreFragments reports whether an even share of a worker's slots is too small for
// a usual task. Agents offer no credits then.
func (c *Core) sharesAreFragments(p *pool) bool {
	if len(p.sessions) == 0 || !p.sessions[0].divided || c.tuning.QueueDepth == 0 {
		return false
	}
	return float64(p.sessions[0].slots) < p.usualNeed*float64(len(c.peers))
}

// recordRefusedTry records that an agent could not start the task at once.
func (c *Core) recordRefusedTry(s *session, t *task) {
	t.tries++
	s.refusedAt = c.now
}

// room returns the number of the worker's slots that a grant of this entry can probably
// take at once.
func (s *session) room() int { return int(s.idleSlots) - s.unansweredSlots }

// reachableRoom returns the room at all healthy workers.
func (p *pool) reachableRoom() int {
	room := 0
	for _, s := range p.sessions {
		if s.acceptsDemand() {
			room += max(0, s.room())
		}
	}
	return room
}

// prospects says what placeAmongMany may find in a pool. It is collected once for all
// tasks, since many of them may wait, and looking for each of them at every worker takes
// longer than a small machine has.
type prospects struct {
	// credits is the number of credits held, mostRoom the room at the worker that has
	// most.
	credits, mostRoom int
	// unknown is set if a worker may be tried of which no room is known.
	unknown bool
	// mayBind is set if more tasks may wait at agents.
	mayBind bool
}

func (c *Core) prospects(p *pool) prospects {
	v := prospects{credits: p.freeCredits(), mayBind: p.slotsAtAgents < c.evenShare(p)}
	for _, s := range p.sessions {
		if (!s.acceptsDemand() && s.health != healthStates.Trial) || c.refusesGrants(s) {
			continue
		}
		v.mostRoom = max(v.mostRoom, s.room())
		v.unknown = v.unknown || c.mayBeTried(s)
	}
	return v
}

// mayPlace reports whether placeAmongMany may find a worker for the task.
func (c *Core) mayPlace(p *pool, v prospects, t *task) bool {
	need := p.slotsFor(t.needs)
	switch {
	case t.unconfirmedAt != nil, v.credits >= need, v.mostRoom >= need:
		return true
	case t.tries < maxTries:
		return v.unknown
	default:
		return v.mayBind && c.now.Sub(t.queuedAt) >= patience
	}
}

// grantAmongMany grants the waiting tasks for which a worker is found, those of the most
// urgent lanes first.
func (c *Core) grantAmongMany(p *pool) {
	v := c.prospects(p)
	var lanes []*lane
	for _, l := range p.orderedLanes {
		if l.waiting > 0 && c.mayPlace(p, v, l.first()) {
			lanes = append(lanes, l)
		}
	}
	slices.SortStableFunc(lanes, func(a, b *lane) int {
		switch {
		case c.precedes(a, b):
			return -1
		case c.precedes(b, a):
			return 1
		default:
			return 0
		}
	})
	for _, l := range lanes {
		for l.waiting > 0 {
			t := l.first()
			if c.reclassify(t) {
				continue
			}
			s, mode := c.place(p, t)
			if s == nil {
				break
			}
			c.grant(t, s, mode)
		}
	}
}

// placeAmongMany returns a worker that is known or hoped to have room, in the mode
// atOnceOrRefused. A task that has waited for long is bound to the queue of an agent, as
// long as not too much of this entry waits there.
func (c *Core) placeAmongMany(p *pool, t *task) (*session, grantMode) {
	if s := c.chooseAgain(t); s != nil {
		return s, atOnceOrRefused
	}
	if s := c.chooseWithRoom(p, t); s != nil {
		return s, atOnceOrRefused
	}
	if t.tries < maxTries {
		if s := c.chooseUnknown(p, t); s != nil {
			return s, atOnceOrRefused
		}
	}
	if c.now.Sub(t.queuedAt) < patience || p.slotsAtAgents >= c.evenShare(p) {
		return nil, queuedThere
	}
	return c.chooseQueue(p, t), queuedThere
}

// chooseAgain returns the worker whose agent has refused the task only because the link
// was idle, if it still has room, or nil.
func (c *Core) chooseAgain(t *task) *session {
	s := t.unconfirmedAt
	t.unconfirmedAt = nil
	if s == nil || s.link == 0 || !s.canRun(t) || c.refusesGrants(s) || s.room() < s.slotsFor(t.needs) {
		return nil
	}
	return s
}

// evenShare returns an even share of the pool's slots among the entries. More than that
// would not start within the run time of a task if it waited at agents, and could neither
// be shed nor be overtaken here.
func (c *Core) evenShare(p *pool) int {
	total := 0
	for _, s := range p.sessions {
		if s.state == sessionStates.Up {
			total += int(s.slots)
		}
	}
	return total / max(1, len(c.peers))
}

// chooseWithRoom returns the worker with more room of two at random, among the fastest
// workers that have room for the task, or nil. A first try goes to a worker of the
// entry's own data centre if one has room.
func (c *Core) chooseWithRoom(p *pool, t *task) *session {
	hasRoom := func(s *session) bool {
		return s.canRun(t) && s != t.avoidedWorker && !c.refusesGrants(s) && s.room() >= s.slotsFor(t.needs)
	}
	if t.tries == 0 {
		isNear := func(s *session) bool { return s.dataCentre == c.self.DataCentre && hasRoom(s) }
		if s := c.chooseAmongFastest(p, t, isNear, (*session).room); s != nil {
			return s
		}
	}
	return c.chooseAmongFastest(p, t, hasRoom, (*session).room)
}

// chooseUnknown returns a worker at random among the fastest that have not refused a
// grant lately, or nil.
func (c *Core) chooseUnknown(p *pool, t *task) *session {
	mayHaveRoom := func(s *session) bool { return s.canRun(t) && s != t.avoidedWorker && c.mayBeTried(s) }
	return c.chooseAmongFastest(p, t, mayHaveRoom, func(s *session) int { return -int(s.slotsWaiting) })
}

// mayBeTried reports whether a grant may be sent to a worker of which no room is known.
func (c *Core) mayBeTried(s *session) bool {
	return s.unansweredSlots == 0 && c.now.Sub(s.refusedAt) >= retryWorkerAfter && !c.refusesGrants(s)
}

// refusesGrants reports whether the agent has lately refused a grant without a credit for
// another reason than NoRoom, so that the room that it reports can't be taken.
func (c *Core) refusesGrants(s *session) bool { return c.now.Before(s.queuePausedUntil) }

// chooseQueue returns the worker where less waits of two at random, among the fastest
// workers where the task may wait, or nil.
func (c *Core) chooseQueue(p *pool, t *task) *session {
	mayWait := func(s *session) bool { return s.queuedGrants < c.tuning.QueueDepth && c.canQueue(s, t) }
	return c.chooseAmongFastest(p, t, mayWait, func(s *session) int { return -int(s.slotsWaiting) })
}

// chooseAmongFastest returns the one with the higher value of two random workers, among
// the workers up to minLogSpeedup slower than the fastest one that is suitable and on
// which the task ends in time. It returns nil if there is none.
func (c *Core) chooseAmongFastest(p *pool, t *task, suitable func(*session) bool, value func(*session) int) *session {
	late := t.job.hasResponseObjective() && p.isLate(t.job, c.now)
	var fastest *session
	candidates := c.candidates[:0]
	for _, s := range p.sessions {
		if fastest != nil && s.logSlowness > fastest.logSlowness+minLogSpeedup {
			break // the workers are sorted by speed
		}
		if !suitable(s) || !t.job.canEndInTime(s, late, c.now) {
			continue
		}
		if fastest == nil {
			fastest = s
		}
		candidates = append(candidates, s)
	}
	c.candidates = candidates
	var best *session
	for range choices {
		if len(candidates) == 0 {
			break
		}
		if s := candidates[c.rng.IntN(len(candidates))]; best == nil || value(s) > value(best) {
			best = s
		}
	}
	return best
}
