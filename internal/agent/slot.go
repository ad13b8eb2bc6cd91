package agent

import (
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

// slot is one of the endpoint's places for a running task.
type slot struct {
	state chart.State
	// link is the entry that holds the credit, or that used the slot last.
	link *link
	// reserved says that the credit is a Short one.
	reserved bool
	long     bool
	// offeredAt is when the credit was given.
	offeredAt time.Time
	// returned says that a task of link has just left the slot, so that a new
	// credit travels with its result.
	returned bool
}

func (c *Core) fireSlot(s *slot, e chart.Event, r *run) {
	slotChart.Fire(&s.state, e, slotStep{core: c, slot: s, run: r})
}

func (c *Core) offer(s *slot, l *link, reserved bool) {
	slotChart.Fire(&s.state, slotEvents.Offer, slotStep{core: c, slot: s, link: l, reserved: reserved})
}

func (c *Core) assignSlot(s *slot, l *link, reserved bool) {
	s.link = l
	s.reserved = reserved
	s.offeredAt = c.now
	s.returned = false
	offered := &l.message().Offered
	if reserved {
		l.credits.Short++
		offered.Short++
		return
	}
	l.credits.Any++
	offered.Any++
	c.offeredAny++
}

// withdrawSlot takes a credit back. The entry is told, unless its link is down:
// then it has dropped its credits by itself.
func (c *Core) withdrawSlot(s *slot) {
	c.dropCredit(s)
	if !s.link.greeted {
		return
	}
	revoked := &s.link.message().Revoked
	if s.reserved {
		revoked.Short++
	} else {
		revoked.Any++
	}
}

func (c *Core) dropCredit(s *slot) {
	if s.reserved {
		s.link.credits.Short--
		return
	}
	s.link.credits.Any--
	c.offeredAny--
}

func (c *Core) occupySlot(s *slot, r *run) {
	c.dropCredit(s)
	s.long = r.grant.Long
	if s.long {
		c.busyLong++
	}
}

func (c *Core) vacateSlot(s *slot) {
	if s.long {
		c.busyLong--
	}
	s.long = false
	s.returned = true
}

// offeredSlots returns as many slots as asked for whose credits of the class the
// entry holds, or nil if it holds fewer.
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

// withdrawCredits takes back the credits of one entry.
func (c *Core) withdrawCredits(l *link) {
	for _, s := range c.slots {
		if s.state == slotStates.Offered && s.link == l {
			c.fireSlot(s, slotEvents.LinkLost, nil)
		}
	}
}

// takeDemand replaces an entry's demand. If no slot is free, credits that other
// entries hold unused are taken back for it.
func (c *Core) takeDemand(l *link, d *structs.Demand) {
	l.demand = *d
	need := int(l.wanted()) - c.count(slotStates.Free) - int(l.credits.Total())
	for _, s := range c.slots {
		if need <= 0 {
			return
		}
		if s.link != l && (c.unused(s) || c.tooFew(s, l)) {
			c.fireSlot(s, slotEvents.Revoke, nil)
			need--
		}
	}
	c.convert(l)
}

// restTime is longer than a round trip to an entry: a credit that is older has
// met no waiting task there.
const restTime = 5 * time.Millisecond

// unused reports whether a slot's credit may be taken back for another entry.
// One that was given just now may have a grant on the way.
func (c *Core) unused(s *slot) bool {
	return c.idle(s) && s.link.wanted() == 0
}

// tooFew reports whether an entry keeps the credit although its tasks wait: it
// has too few for any of them. Then they are of more use to an entry whose
// first task waits longer.
func (c *Core) tooFew(s *slot, l *link) bool {
	return c.opts.Divided && c.idle(s) && s.link.demand.HeadAge < l.demand.HeadAge
}

// convert takes back Short credits when long tasks wait and may have the slots.
func (c *Core) convert(l *link) {
	need := int(l.demand.Long) - c.count(slotStates.Free) - int(l.credits.Any)
	room := c.anyRoom() - c.count(slotStates.Free)
	for _, s := range c.slots {
		if need <= 0 || room <= 0 {
			return
		}
		if s.state == slotStates.Offered && s.reserved {
			c.fireSlot(s, slotEvents.Revoke, nil)
			need--
			room--
		}
	}
}

// rebalance takes unused credits back from entries that hold more than an even
// share, for one that has just connected.
func (c *Core) rebalance(l *link) {
	if l.credits.Total() > 0 {
		return
	}
	up := 1
	for _, other := range c.links {
		if other != l && other.takesCredits() {
			up++
		}
	}
	even := uint32(len(c.slots) / up)
	need := even
	for _, s := range c.slots {
		if need == 0 {
			return
		}
		if s.link != l && c.unused(s) && s.link.credits.Total() > even {
			c.fireSlot(s, slotEvents.Revoke, nil)
			need--
		}
	}
}

func (c *Core) count(state chart.State) int {
	n := 0
	for _, s := range c.slots {
		if s.state == state {
			n++
		}
	}
	return n
}

// anyRoom is the number of further slots that may be offered to long tasks.
func (c *Core) anyRoom() int {
	return len(c.slots) - c.reserve() - c.offeredAny - c.busyLong
}

func (c *Core) bufferFull() bool {
	return c.unacked+c.count(slotStates.Busy) >= c.opts.UnackedLimit
}

// allocate offers the free slots.
func (c *Core) allocate() {
	if !c.endpointUp || c.leaving() {
		return
	}
	if c.bufferFull() {
		c.withdrawAll()
		return
	}
	for _, s := range c.slots {
		if s.state == slotStates.Free {
			c.allocateSlot(s)
		}
	}
}

func (c *Core) allocateSlot(s *slot) {
	reserved := c.anyRoom() <= 0
	if l := c.claimant(s, reserved); l != nil {
		l.consumeDemand(reserved)
		c.offer(s, l, reserved)
		return
	}
	if l := c.defaultLink(s); l != nil {
		c.offer(s, l, reserved)
	}
}

// claimant returns the entry with waiting tasks that gets a free slot, or nil.
// A slot goes back to the entry whose task has just left it, since the credit
// then travels with the result, unless tasks wait much longer elsewhere.
func (c *Core) claimant(s *slot, reserved bool) *link {
	best := c.longestWaiting(reserved)
	if best == nil || !s.returned || s.link == best {
		return best
	}
	own := s.link
	if own.state == linkStates.Up && own.wants(reserved) && best.demand.HeadAge < patience(own.demand.HeadAge) {
		return own
	}
	return best
}

// patience returns the age of another entry's first task from which it goes
// before one with a first task of the given age.
func patience(age time.Duration) time.Duration { return age + age/2 + minPatience }

// minPatience is longer than entries wait before they ask more agents.
const minPatience = 100 * time.Millisecond

// longestWaiting returns the entry whose next task has waited longest and could
// use a credit of the class, or nil. The ages are those of the last messages:
// counting on would favour the entry that was heard last.
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

// wants reports whether the entry's demand exceeds the credits that it holds.
func (l *link) wants(reserved bool) bool {
	if reserved {
		return l.demand.Short > l.credits.Total()
	}
	return l.wanted() > l.credits.Any+min(l.credits.Short, l.demand.Short)
}

// takesCredits reports whether the entry gets credits that it has not asked
// for.
func (l *link) takesCredits() bool { return l.state == linkStates.Up && !l.entryLeaving }

func (l *link) consumeDemand(reserved bool) {
	if !reserved && l.demand.Long > 0 {
		l.demand.Long--
		return
	}
	l.demand.Short -= min(l.demand.Short, 1)
}

const (
	// keptMore is how many unused credits more than another an entry may keep
	// before a slot goes to the other. Each such slot costs a message.
	keptMore = 2
	// keptShare is the same for divided slots, as a part of them all.
	keptShare = 0.125
)

func (c *Core) keptMore() uint32 {
	if c.opts.Divided {
		return uint32(keptShare * float64(len(c.slots)))
	}
	return keptMore
}

// defaultLink chooses the entry for a slot that nobody asks for: the one whose
// task has just left it, unless it holds more credits than another.
func (c *Core) defaultLink(s *slot) *link {
	var fewest *link
	for _, l := range c.links {
		if l.takesCredits() && (fewest == nil || l.credits.Total() < fewest.credits.Total()) {
			fewest = l
		}
	}
	if fewest == nil || !s.returned || !s.link.takesCredits() {
		return fewest
	}
	if s.link.credits.Total() > fewest.credits.Total()+c.keptMore() {
		return fewest
	}
	return s.link
}

// reserveChanged is the reason to look at the credits again after a new
// configuration: there may be more Any credits than the reserve now allows.
func (c *Core) reserveChanged() {
	for _, s := range c.slots {
		if c.anyRoom() >= 0 {
			return
		}
		if s.state == slotStates.Offered && !s.reserved {
			c.fireSlot(s, slotEvents.Revoke, nil)
		}
	}
}
