package dispatch

import (
	"time"

	"cactuspost.example/internal/structs"
)

// demandRefreshInterval is the minimum time after which an unanswered demand is sent
// again.
const demandRefreshInterval = time.Second

// demand returns the demand to send to one agent: an equal share of the waiting
// tasks among the given number of agents, limited to the agent's slots. The agents
// together are then asked for about as many credits as are needed.
func (p *pool) demand(now time.Time, agents int, slots uint32, slotsFor func(structs.Needs) int) structs.Demand {
	d := structs.Demand{}
	for _, l := range p.orderedLanes {
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

// requestCredits sends agents the demand of the waiting tasks. Agents of which
// other entries hold unused credits are asked at once. The others return the slots
// freed by this entry's own tasks without being asked, so they get a demand only
// when the first task has waited for some time, and again when its wait has
// doubled. Messages that carry grants always include the current demand.
func (c *Core) requestCredits(p *pool) {
	if c.sharesAreFragments(p) {
		return
	}
	agents := p.demandTargetCount()
	if agents == 0 {
		return
	}
	for _, s := range p.sessions {
		if s.outgoing != nil && len(s.outgoing.Grants) > 0 {
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

// spreadDemand sends the demand to more agents the longer the first task waits:
// the total demand grows from the number of waiting slots to twice as many after
// DemandDoublingTime, and so on.
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

// requestIdleCredits asks agents for credits that other entries hold unused.
func (c *Core) requestIdleCredits(p *pool) {
	need := uint32(p.slotsWaiting())
	for _, s := range p.sessions {
		if need == 0 {
			return
		}
		if s.idleSlots == 0 || !s.acceptsDemand() || c.now.Sub(s.demandSentAt) < c.tuning.DemandDelay {
			continue
		}
		requested := min(need, s.idleSlots)
		need -= requested
		s.idleSlots = 0
		c.sendDemand(s, p.demand(c.now, 1, requested, s.slotsFor))
	}
}

// refreshDemand adds the current demand to a message that is sent anyway, unless
// nothing waits and the agent already knows that.
func (c *Core) refreshDemand(s *session, agents int) {
	d := s.pool.demand(c.now, agents, s.slots, s.slotsFor)
	if d != (structs.Demand{}) || s.openDemand != (structs.Demand{}) {
		c.sendDemand(s, d)
	}
}

// demandIsStale reports whether the demand should be sent to an agent even if
// there is nothing else to send.
func (c *Core) demandIsStale(s *session, age time.Duration) bool {
	if s.openDemand.Short+s.openDemand.Long == 0 {
		return true
	}
	since := c.now.Sub(s.demandSentAt)
	return since >= demandRefreshInterval && age >= 2*s.openDemand.HeadAge
}

// slotsFor returns the number of slots that a task takes on the pool's fastest
// worker, as an estimate for the others.
func (p *pool) slotsFor(needs structs.Needs) int {
	if len(p.sessions) == 0 {
		return 1
	}
	return p.sessions[0].slotsFor(needs)
}

// slotsWaiting estimates the number of slots that the waiting tasks need.
func (p *pool) slotsWaiting() int {
	slots := 0
	for _, l := range p.orderedLanes {
		slots += l.waiting * p.slotsFor(l.needs)
	}
	return slots
}

// demandTargetCount returns the number of agents to which a demand may be sent.
func (p *pool) demandTargetCount() int {
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
	s.outgoingMessage().Demand = &d
	s.openDemand = d
	s.demandSentAt = c.now
}

// reduceDemand subtracts offered credits from the open demand, in the same way as
// the agent does.
func (s *session) reduceDemand(offered structs.Credits) {
	long := min(s.openDemand.Long, offered.Any)
	s.openDemand.Long -= long
	s.openDemand.Short -= min(s.openDemand.Short, offered.Total()-long)
}

func (c *Core) headAge(p *pool) time.Duration {
	var age time.Duration
	for _, l := range p.orderedLanes {
		if l.waiting > 0 {
			age = max(age, c.now.Sub(l.first().queuedAt))
		}
	}
	return age
}
