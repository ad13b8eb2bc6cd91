package agent

import (
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// slot is a unit of the endpoint's capacity. A running task holds one slot, or
// several if slots are divided.
type slot struct {
	state chart.State
	// link is the link of the entry that holds the credit for the slot or last
	// used it.
	link *link
	// reserved is set if the credit is a Short one.
	reserved bool
	// long is set while a task of a long kind holds the slot.
	long bool
	// offeredAt is when the credit was offered.
	offeredAt time.Time
	// justReleased is set if the slot was held by a task of link and has not been
	// offered since. A new credit to that entry goes in the same message as the
	// task's result.
	justReleased bool
}

func (c *Core) fireSlot(s *slot, e chart.Event, r *run) {
	slotChart.Fire(&s.state, e, slotContext{core: c, slot: s, run: r})
}

func (c *Core) offer(s *slot, l *link, reserved bool) {
	slotChart.Fire(&s.state, slotEvents.Offer, slotContext{core: c, slot: s, link: l, reserved: reserved})
}

func (c *Core) assignSlot(s *slot, l *link, reserved bool) {
	s.link = l
	s.reserved = reserved
	s.offeredAt = c.now
	s.justReleased = false
	offered := &l.outgoingMessage().Offered
	if reserved {
		l.credits.Short++
		offered.Short++
		return
	}
	l.credits.Any++
	offered.Any++
	c.offeredAnyCredits++
}

// withdrawCredit takes a credit back. The entry is told unless its link is down:
// an entry drops all credits of an agent when their connection ends.
func (c *Core) withdrawCredit(s *slot) {
	c.dropCredit(s)
	if !s.link.established {
		return
	}
	revoked := &s.link.outgoingMessage().Revoked
	if s.reserved {
		revoked.Short++
	} else {
		revoked.Any++
	}
}

// dropCredit removes a slot's credit from the counts, because it is used or taken
// back.
func (c *Core) dropCredit(s *slot) {
	if s.reserved {
		s.link.credits.Short--
		return
	}
	s.link.credits.Any--
	c.offeredAnyCredits--
}

func (c *Core) occupySlot(s *slot, r *run) {
	c.dropCredit(s)
	s.long = r.grant.Long
	if s.long {
		c.busyLongSlots++
	}
}

func (c *Core) vacateSlot(s *slot) {
	if s.long {
		c.busyLongSlots--
	}
	s.long = false
	s.justReleased = true
}

// offeredSlots returns the given number of slots for which the entry holds Short
// credits, if reserved is set, or Any credits. It returns nil if there are fewer.
func (c *Core) offeredSlots(l *link, reserved bool, count int) []*slot {
	held := l.credits.Any
	if reserved {
		held = l.credits.Short
	}
	if int(held) < count {
		return nil
	}
	slots := make([]*slot, 0, count)
	for _, s := range c.slots {
		if s.state == slotStates.Offered && s.link == l && s.reserved == reserved {
			slots = append(slots, s)
		}
		if len(slots) == count {
			return slots
		}
	}
	return nil
}

// withdrawLinkCredits takes back all credits of one entry.
func (c *Core) withdrawLinkCredits(l *link) {
	for _, s := range c.slots {
		if s.state == slotStates.Offered && s.link == l {
			c.fireSlot(s, slotEvents.LinkLost, nil)
		}
	}
}

// handleDemand replaces an entry's demand. If its credits and the free slots don't
// cover the demand, idle credits of other entries are revoked for it.
func (c *Core) handleDemand(l *link, d *structs.Demand) {
	l.demand = *d
	if c.creditsWithheld {
		return
	}
	need := int(l.totalDemand()) - c.countSlots(slotStates.Free) - int(l.credits.Total())
	for _, s := range c.slots {
		if need <= 0 {
			return
		}
		if s.link != l && (c.creditUnused(s) || c.outrankedBy(s, l)) {
			c.fireSlot(s, slotEvents.Revoke, nil)
			need--
		}
	}
	c.convertShortCredits(l)
}

// minIdleAge is the age from which a credit counts as idle. It is longer than a
// round trip to an entry: an entry with a task waiting for the credit would have
// used it within that time.
const minIdleAge = 5 * time.Millisecond

// creditUnused reports whether a slot's credit may be revoked for another entry:
// it is idle, and its entry has no demand. A newer credit may have a grant in
// flight.
func (c *Core) creditUnused(s *slot) bool {
	return c.creditIdle(s) && s.link.totalDemand() == 0
}

// outrankedBy reports whether a slot's credit may be revoked for the given entry
// although its holder has waiting tasks. With divided slots, an entry that leaves
// a credit idle holds too few for any of its tasks. The credit is then of more
// use to an entry whose first task has waited longer.
func (c *Core) outrankedBy(s *slot, l *link) bool {
	return c.opts.Divided && c.creditIdle(s) && s.link.demand.HeadAge < l.demand.HeadAge
}

// convertShortCredits revokes Short credits if an entry's long tasks wait for more
// slots than are free and the reserve allows them more. The slots are then offered
// anew, as Any credits.
func (c *Core) convertShortCredits(l *link) {
	need := int(l.demand.Long) - c.countSlots(slotStates.Free) - int(l.credits.Any)
	available := c.availableAnyCredits() - c.countSlots(slotStates.Free)
	for _, s := range c.slots {
		if need <= 0 || available <= 0 {
			return
		}
		if s.state == slotStates.Offered && s.reserved {
			c.fireSlot(s, slotEvents.Revoke, nil)
			need--
			available--
		}
	}
}

// rebalanceCredits revokes unused credits of entries that hold more than an even
// share, up to one such share, for an entry that has just connected.
func (c *Core) rebalanceCredits(l *link) {
	if l.credits.Total() > 0 {
		return
	}
	sharers := 1
	for _, other := range c.links {
		if other != l && other.takesUnrequestedCredits() {
			sharers++
		}
	}
	evenShare := uint32(c.usableSlots / sharers)
	need := evenShare
	for _, s := range c.slots {
		if need == 0 {
			return
		}
		if s.link != l && c.creditUnused(s) && s.link.credits.Total() > evenShare {
			c.fireSlot(s, slotEvents.Revoke, nil)
			need--
		}
	}
}

func (c *Core) countSlots(state chart.State) int {
	n := 0
	for _, s := range c.slots {
		if s.state == state {
			n++
		}
	}
	return n
}

// availableAnyCredits returns the number of further slots that may be offered as
// Any credits. It may be negative after a new configuration has raised the
// reserve.
func (c *Core) availableAnyCredits() int {
	return c.usableSlots - c.reservedSlots() - c.offeredAnyCredits - c.busyLongSlots
}

// resultBufferFull reports whether the unacknowledged results, together with those
// that the busy slots may add, reach the limit.
func (c *Core) resultBufferFull() bool {
	return c.unacked+c.countSlots(slotStates.Busy) >= c.opts.UnackedLimit
}

// allocateFreeSlots offers the free slots to entries, or revokes all credits if no
// more results can be kept.
func (c *Core) allocateFreeSlots() {
	if !c.endpointUp || c.leaving() {
		return
	}
	c.decideWithholding()
	if c.creditsWithheld {
		return
	}
	if c.resultBufferFull() {
		c.revokeAllCredits()
		return
	}
	for _, s := range c.slots {
		if s.state == slotStates.Free {
			c.allocateSlot(s)
		}
	}
}

func (c *Core) allocateSlot(s *slot) {
	reserved := c.availableAnyCredits() <= 0
	if l := c.linkWithDemand(s, reserved); l != nil {
		l.consumeDemand(reserved)
		c.offer(s, l, reserved)
		return
	}
	if l := c.linkWithoutDemand(s); l != nil {
		c.offer(s, l, reserved)
	}
}

// linkWithDemand returns the link of the entry with unmet demand that gets a free
// slot, or nil. A slot goes back to the entry whose task has just left it, since
// the credit is then sent along with the result, unless the first task of another
// entry has waited much longer.
func (c *Core) linkWithDemand(s *slot, reserved bool) *link {
	best := c.longestWaiting(reserved)
	if best == nil || !s.justReleased || s.link == best {
		return best
	}
	previous := s.link
	if previous.state == linkStates.Up && previous.wants(reserved) && best.demand.HeadAge < overtakeAge(previous.demand.HeadAge) {
		return previous
	}
	return best
}

// overtakeAge returns how long another entry's first task must have waited to take a
// slot from the entry that used it last, whose first task has the given age.
func overtakeAge(age time.Duration) time.Duration { return age + age/2 + minOvertakeLead }

// minOvertakeLead is longer than an entry waits before it asks more agents for
// credits.
const minOvertakeLead = 100 * time.Millisecond

// longestWaiting returns the link of the entry whose first task has waited longest,
// among those that want a Short credit, if reserved is set, or an Any credit. It
// returns nil if there is none. It compares the ages as
// last reported. Adding the time since each report would favour the entry whose
// report is oldest.
func (c *Core) longestWaiting(reserved bool) *link {
	var best *link
	for _, l := range c.links {
		if l.state != linkStates.Up || !l.wants(reserved) {
			continue
		}
		if best == nil || l.demand.HeadAge > best.demand.HeadAge {
			best = l
		}
	}
	return best
}

// wants reports whether the entry's demand for Short credits, if reserved is set, or
// for Any credits exceeds the credits that it holds.
func (l *link) wants(reserved bool) bool {
	if reserved {
		return l.demand.Short > l.credits.Total()
	}
	return l.totalDemand() > l.credits.Any+min(l.credits.Short, l.demand.Short)
}

// takesUnrequestedCredits reports whether the entry gets credits without demand.
func (l *link) takesUnrequestedCredits() bool { return l.state == linkStates.Up && !l.entryLeaving }

// consumeDemand lowers the demand by the task that an offered credit is for: a long
// one if there is any and the credit allows it, otherwise a short one.
func (l *link) consumeDemand(reserved bool) {
	if !reserved && l.demand.Long > 0 {
		l.demand.Long--
		return
	}
	l.demand.Short -= min(l.demand.Short, 1)
}

const (
	// maxCreditSurplus is how many more credits than another entry an entry may
	// hold and still get back, without demand, the slots that its tasks leave. Each
	// slot that goes to the other entry instead costs a message.
	maxCreditSurplus = 2
	// maxCreditSurplusShare is the same for divided slots, as a share of all
	// slots.
	maxCreditSurplusShare = 0.125
)

// creditSurplusLimit returns the largest allowed surplus of credits, which depends
// on whether slots are divided.
func (c *Core) creditSurplusLimit() uint32 {
	if c.opts.Divided {
		return uint32(maxCreditSurplusShare * float64(c.usableSlots))
	}
	return maxCreditSurplus
}

// linkWithoutDemand returns the link of the entry that gets a slot for which there
// is no demand, or nil: the entry with the fewest credits, but the entry whose task
// has just left the slot if it holds at most creditSurplusLimit credits more.
func (c *Core) linkWithoutDemand(s *slot) *link {
	var fewest *link
	for _, l := range c.links {
		if l.takesUnrequestedCredits() && (fewest == nil || l.credits.Total() < fewest.credits.Total()) {
			fewest = l
		}
	}
	if fewest == nil || !s.justReleased || !s.link.takesUnrequestedCredits() {
		return fewest
	}
	if s.link.credits.Total() > fewest.credits.Total()+c.creditSurplusLimit() {
		return fewest
	}
	return s.link
}

// enforceReserve revokes Any credits that exceed what a new configuration's
// reserve allows.
func (c *Core) enforceReserve() {
	for _, s := range c.slots {
		if c.availableAnyCredits() >= 0 {
			return
		}
		if s.state == slotStates.Offered && !s.reserved {
			c.fireSlot(s, slotEvents.Revoke, nil)
		}
	}
}
