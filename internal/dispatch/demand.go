package dispatch

import (
	"time"

	"cactuspost.example/internal/structs"
)

// demandRefreshInterval is when a demand that did not bring a credit is sent again,
// however little has changed.
const demandRefreshInterval = time.Second

// demand describes the waiting tasks to one agent: its part of them, if they
// were spread over the given number of agents, and at most as many as it has
// slots. All agents together are then asked for about what is needed.
func (p *pool) demand(now time.Time, agents int, slots uint32, slotsFor func(structs.Needs) int) structs.Demand {
	d := structs.Demand{}
	for _, l := range p.ordered {
		if l.waiting == 0 {
			continue
		}
		d.HeadAge = max(d.HeadAge, now.Sub(l.first().queuedAt))
		if l.long {
			d.Long += uint32(l.waiting * slotsFor(l.needs))
		} else {
			d.Short += uint32(l.waiting * slotsFor(l.needs))
		}
	}
	d.Short = min(divideRoundingUp(d.Short, agents), slots)
	d.Long = min(divideRoundingUp(d.Long, agents), slots)
	return d
}

func divideRoundingUp(slots uint32, agents int) uint32 {
	return (slots + uint32(agents) - 1) / uint32(agents)
}

// requestCredits tells agents of tasks that wait. Agents at which other
// entries hold unused credits are told at once. The others return the slots
// that this entry's own tasks free in any case, so they are told only when the
// first task has waited for some time, and again when its age has doubled.
// Messages that leave in any case carry the present demand.
func (c *Core) requestCredits(p *pool) {
	agents := p.demandTargets()
	if agents == 0 {
		return
	}
	for _, s := range p.sessions {
		if s.pending != nil && len(s.pending.Grants) > 0 {
			c.refreshDemand(s, agents)
		}
	}
	if p.waiting == 0 {
		return
	}
	c.requestIdleCredits(p)
	if age := c.headAge(p); age >= c.tuning.DemandDelay {
		c.spreadDemand(p, agents, age)
	}
}

// spreadDemand spreads the demand over more agents the longer the first task waits.
func (c *Core) spreadDemand(p *pool, agents int, age time.Duration) {
	outstanding := uint32(0)
	for _, s := range p.sessions {
		outstanding += s.openDemand.Short + s.openDemand.Long
	}
	budget := uint32(float64(p.slotsWaiting()) * (1 + age.Seconds()/c.tuning.DemandDoublingTime.Seconds()))
	for _, s := range p.sessions {
		if outstanding >= budget {
			return
		}
		if s.acceptsDemand() && c.demandIsStale(s, age) {
			c.sendDemand(s, p.demand(c.now, agents, s.slots, s.slotsFor))
			outstanding += s.openDemand.Short + s.openDemand.Long
		}
	}
}

// requestIdleCredits asks for credits that other entries hold unused.
func (c *Core) requestIdleCredits(p *pool) {
	need := uint32(p.slotsWaiting())
	for _, s := range p.sessions {
		if need == 0 {
			return
		}
		if s.idleCredits == 0 || !s.acceptsDemand() || c.now.Sub(s.demandSentAt) < c.tuning.DemandDelay {
			continue
		}
		requested := min(need, s.idleCredits)
		need -= requested
		s.idleCredits = 0
		c.sendDemand(s, p.demand(c.now, 1, requested, s.slotsFor))
	}
}

// refreshDemand adds the demand to a message that leaves in any case, unless the
// agent knows already that nothing waits.
func (c *Core) refreshDemand(s *session, agents int) {
	d := s.pool.demand(c.now, agents, s.slots, s.slotsFor)
	if d != (structs.Demand{}) || s.openDemand != (structs.Demand{}) {
		c.sendDemand(s, d)
	}
}

// demandIsStale reports whether an agent should be told although nothing else
// is sent to it.
func (c *Core) demandIsStale(s *session, age time.Duration) bool {
	if s.openDemand.Short+s.openDemand.Long == 0 {
		return true
	}
	since := c.now.Sub(s.demandSentAt)
	return since >= demandRefreshInterval && age >= 2*s.openDemand.HeadAge
}

// slotsFor returns the slots that a task takes at a typical worker of the pool.
func (p *pool) slotsFor(needs structs.Needs) int {
	if len(p.sessions) == 0 {
		return 1
	}
	return p.sessions[0].slotsFor(needs)
}

// slotsWaiting returns the slots that the waiting tasks would take.
func (p *pool) slotsWaiting() int {
	slots := 0
	for _, l := range p.ordered {
		slots += l.waiting * p.slotsFor(l.needs)
	}
	return slots
}

// demandTargets counts the agents that may be sent a demand.
func (p *pool) demandTargets() int {
	n := 0
	for _, s := range p.sessions {
		if s.acceptsDemand() {
			n++
		}
	}
	return n
}

func (s *session) acceptsDemand() bool {
	return s.state == sessionStates.Up && s.health == healthStates.Healthy
}

func (c *Core) sendDemand(s *session, d structs.Demand) {
	s.message().Demand = &d
	s.openDemand = d
	s.demandSentAt = c.now
}

// reduceDemand takes offered credits off the demand as the agent has done.
func (s *session) reduceDemand(offered structs.Credits) {
	long := min(s.openDemand.Long, offered.Any)
	s.openDemand.Long -= long
	s.openDemand.Short -= min(s.openDemand.Short, offered.Total()-long)
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
