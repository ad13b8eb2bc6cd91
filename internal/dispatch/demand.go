package dispatch

import (
	"time"

	"cactuspost.example/internal/structs"
)

// demandRefresh is when a demand that did not bring a credit is sent again,
// however little has changed.
const demandRefresh = time.Second

// demand describes the waiting tasks to one agent: its part of them, if they
// were spread over the given number of agents, and at most as many as it has
// slots. All agents together are then asked for about what is needed.
func (p *pool) demand(now time.Time, agents int, slots uint32, share func(structs.Needs) int) structs.Demand {
	d := structs.Demand{}
	for _, l := range p.ordered {
		if l.waiting == 0 {
			continue
		}
		d.HeadAge = max(d.HeadAge, now.Sub(l.first().queuedAt))
		if l.long {
			d.Long += uint32(l.waiting * share(l.needs))
		} else {
			d.Short += uint32(l.waiting * share(l.needs))
		}
	}
	d.Short = min(partOf(d.Short, agents), slots)
	d.Long = min(partOf(d.Long, agents), slots)
	return d
}

func partOf(waiting uint32, agents int) uint32 {
	return (waiting + uint32(agents) - 1) / uint32(agents)
}

// requestCredits tells agents of tasks that wait. Agents at which other
// entries hold unused credits are told at once. The others return the slots
// that this entry's own tasks free in any case, so they are told only when the
// first task has waited for some time, and again when its age has doubled.
// Messages that leave in any case carry the present demand.
func (c *Core) requestCredits(p *pool) {
	agents := p.askableAgents()
	if agents == 0 {
		return
	}
	for _, s := range p.sessions {
		if s.out != nil && len(s.out.Grants) > 0 {
			c.renewDemand(s, agents)
		}
	}
	if p.waiting == 0 {
		return
	}
	c.askIdle(p)
	if age := c.headAge(p); age >= c.tuning.DemandDelay {
		c.askMore(p, agents, age)
	}
}

// askMore spreads the demand over more agents the longer the first task waits.
func (c *Core) askMore(p *pool, agents int, age time.Duration) {
	outstanding := uint32(0)
	for _, s := range p.sessions {
		outstanding += s.demanded.Short + s.demanded.Long
	}
	budget := uint32(float64(p.slotsWaiting()) * (1 + age.Seconds()/c.tuning.DemandSpread.Seconds()))
	for _, s := range p.sessions {
		if outstanding >= budget {
			return
		}
		if s.askable() && c.demandIsStale(s, age) {
			c.ask(s, p.demand(c.now, agents, s.slots, s.share))
			outstanding += s.demanded.Short + s.demanded.Long
		}
	}
}

// askIdle asks for credits that other entries hold unused.
func (c *Core) askIdle(p *pool) {
	need := uint32(p.slotsWaiting())
	for _, s := range p.sessions {
		if need == 0 {
			return
		}
		if s.idle == 0 || !s.askable() || c.now.Sub(s.demandedAt) < c.tuning.DemandDelay {
			continue
		}
		asked := min(need, s.idle)
		need -= asked
		s.idle = 0
		c.ask(s, p.demand(c.now, 1, asked, s.share))
	}
}

// renewDemand adds the demand to a message that leaves in any case, unless the
// agent knows already that nothing waits.
func (c *Core) renewDemand(s *session, agents int) {
	d := s.pool.demand(c.now, agents, s.slots, s.share)
	if d != (structs.Demand{}) || s.demanded != (structs.Demand{}) {
		c.ask(s, d)
	}
}

// demandIsStale reports whether an agent should be told although nothing else
// is sent to it.
func (c *Core) demandIsStale(s *session, age time.Duration) bool {
	if s.demanded.Short+s.demanded.Long == 0 {
		return true
	}
	since := c.now.Sub(s.demandedAt)
	return since >= demandRefresh && age >= 2*s.demanded.HeadAge
}

// share returns the slots that a task takes at a typical worker of the pool.
func (p *pool) share(needs structs.Needs) int {
	if len(p.sessions) == 0 {
		return 1
	}
	return p.sessions[0].share(needs)
}

// slotsWaiting returns the slots that the waiting tasks would take.
func (p *pool) slotsWaiting() int {
	slots := 0
	for _, l := range p.ordered {
		slots += l.waiting * p.share(l.needs)
	}
	return slots
}

// askableAgents counts the agents that may be sent a demand.
func (p *pool) askableAgents() int {
	n := 0
	for _, s := range p.sessions {
		if s.askable() {
			n++
		}
	}
	return n
}

func (s *session) askable() bool {
	return s.state == sessionStates.Up && s.health == healthStates.Healthy
}

func (c *Core) ask(s *session, d structs.Demand) {
	s.message().Demand = &d
	s.demanded = d
	s.demandedAt = c.now
}

// answered takes offered credits off the demand as the agent has done.
func (s *session) answered(offered structs.Credits) {
	long := min(s.demanded.Long, offered.Any)
	s.demanded.Long -= long
	s.demanded.Short -= min(s.demanded.Short, offered.Total()-long)
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
