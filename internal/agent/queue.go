package agent

import (
	"cmp"
	"slices"
	"time"

	"cactuspost.example/internal/event"
)

const (
	// maxQueued bounds the grants of one entry that wait for slots.
	maxQueued = 16
	// passedOver is how long a grant may wait while smaller ones behind it are
	// started on the slots that are too few for it.
	passedOver = 100 * time.Millisecond
)

// mayWait reports whether a grant that uses no credit may wait for slots.
func (c *Core) mayWait(r *run) bool {
	if !r.grant.Queued || !c.endpointUp || c.leaving() || r.grant.Credits() > len(c.slots) {
		return false
	}
	waiting := 0
	for _, other := range c.queue {
		if other.link == r.link {
			waiting++
		}
	}
	return waiting < maxQueued
}

func (c *Core) dequeue(r *run) {
	c.queue = slices.DeleteFunc(c.queue, func(other *run) bool { return other == r })
}

func (c *Core) withdrawQueue() {
	for _, r := range slices.Clone(c.queue) {
		c.fireRun(r, runEvents.Withdrawn)
	}
}

func (c *Core) reportStart(r *run) {
	c.emit(&Happened{
		Event: event.RunStarted, Entry: r.link.address, Grant: r.grant.ID, Task: r.grant.Name, Waited: c.now.Sub(r.queuedAt),
	})
	if !r.link.greeted {
		return
	}
	m := r.link.message()
	m.Started = append(m.Started, r.grant.ID)
}

// startQueued starts the runs that wait, the most urgent first, as long as there
// are slots for one. A run that needs more than there are is passed over by
// smaller ones for a time.
func (c *Core) startQueued() {
	if len(c.queue) == 0 || !c.endpointUp {
		return
	}
	slices.SortStableFunc(c.queue, compareUrgency)
	for _, r := range slices.Clone(c.queue) {
		r.slots = c.freeSlots(r.grant.Credits())
		if r.slots != nil {
			c.fireRun(r, runEvents.Room)
			continue
		}
		if c.now.Sub(r.queuedAt) > passedOver {
			return
		}
	}
}

// compareUrgency orders runs: first those that can meet their objective.
func compareUrgency(a, b *run) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.due.UnixNano(), b.due.UnixNano())
}

// freeSlots returns as many free slots as asked for, or nil if there are fewer.
// Credits that entries hold without a task for them are taken back for that.
func (c *Core) freeSlots(count int) []*slot {
	free := make([]*slot, 0, count)
	for _, s := range c.slots {
		if len(free) < count && s.state == slotStates.Free {
			free = append(free, s)
		}
	}
	var idle []*slot
	for _, s := range c.slots {
		if len(free)+len(idle) < count && c.idle(s) {
			idle = append(idle, s)
		}
	}
	if len(free)+len(idle) < count {
		return nil
	}
	for _, s := range idle {
		c.fireSlot(s, slotEvents.Revoke, nil)
	}
	return append(free, idle...)
}

// idle reports whether a slot's credit is held by an entry that has had the time
// to use it and has not.
func (c *Core) idle(s *slot) bool {
	return s.state == slotStates.Offered && c.now.Sub(s.offeredAt) >= restTime
}

// claimSlot gives a free slot to a run that waited for it.
func (c *Core) claimSlot(s *slot, r *run) {
	s.link = r.link
	s.reserved = false
	s.long = r.grant.Long
	if s.long {
		c.busyLong++
	}
}
