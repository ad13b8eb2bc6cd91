package dispatch

import (
	"time"

	"cactuspost.example/internal/structs"
)

// demand describes the waiting tasks to one agent, at most as many as it has
// slots.
func (p *pool) demand(now time.Time, slots uint32) *structs.Demand {
	d := &structs.Demand{}
	for _, l := range p.ordered {
		if l.waiting == 0 {
			continue
		}
		d.HeadAge = max(d.HeadAge, now.Sub(l.first().queuedAt))
		if l.long {
			d.Long += uint32(l.waiting)
		} else {
			d.Short += uint32(l.waiting)
		}
	}
	d.Short = min(d.Short, slots)
	d.Long = min(d.Long, slots)
	return d
}

// requestCredits tells agents of tasks that wait. Agents at which other
// entries hold unused credits are told at once. The others return the slots
// that this entry's own tasks free in any case, so they are told only when the
// first task has waited for some time.
func (c *Core) requestCredits(p *pool) {
	if p.waiting == 0 {
		return
	}
	need := uint32(p.waiting)
	for _, s := range p.sessions {
		if need == 0 {
			break
		}
		if s.idle == 0 || !s.askable(c.now, c.tuning.DemandDelay) {
			continue
		}
		asked := min(need, s.idle)
		need -= asked
		s.idle = 0
		c.ask(s, asked)
	}
	if need > 0 && c.headAge(p) >= c.tuning.DemandDelay {
		c.askAll(p)
	}
}

func (c *Core) askAll(p *pool) {
	for _, s := range p.sessions {
		if s.askable(c.now, c.tuning.DemandDelay) {
			c.ask(s, s.slots)
		}
	}
}

// askable reports whether an agent may be sent a demand of its own.
func (s *session) askable(now time.Time, pause time.Duration) bool {
	return s.state == sessionStates.Up && s.health == healthStates.Healthy && now.Sub(s.demandedAt) >= pause
}

func (c *Core) ask(s *session, atMost uint32) {
	d := s.pool.demand(c.now, atMost)
	s.message().Demand = d
	s.demanded = *d
	s.demandedAt = c.now
}

func (c *Core) headAge(p *pool) time.Duration {
	var age time.Duration
	for _, l := range p.ordered {
		if l.waiting > 0 {
			age = max(age, c.now.Sub(l.first().queuedAt))
		}
	}
	return age
}
