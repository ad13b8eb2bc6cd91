package agent

import (
	"cmp"
	"slices"
	"time"

	"cactuspost.example/internal/event"
)

const (
	// maxQueuedPerEntry bounds the queued grants of one entry.
	maxQueuedPerEntry = 16
	// maxOvertakenTime is how long less urgent grants may overtake a queued one
	// that needs more slots than are free. After that the free slots are kept for
	// it.
	maxOvertakenTime = 100 * time.Millisecond
)

// mayWait reports whether a grant that uses no credit may be queued for slots.
func (c *Core) mayWait(r *run) bool {
	if !r.grant.Queued || !c.endpointUp || c.leaving() || r.grant.Credits() > c.usableSlots {
		return false
	}
	waiting := 0
	for _, other := range c.queue {
		if other.link == r.link {
			waiting++
		}
	}
	return waiting < maxQueuedPerEntry
}

func (c *Core) dequeue(r *run) {
	c.queue = slices.DeleteFunc(c.queue, func(other *run) bool { return other == r })
}

// refuseQueued refuses all queued runs.
func (c *Core) refuseQueued() {
	for _, r := range slices.Clone(c.queue) {
		c.fireRun(r, runEvents.Withdrawn)
	}
}

// reportStart logs the start of a queued run and tells the entry.
func (c *Core) reportStart(r *run) {
	c.emit(&LogEvent{
		Event: event.RunStarted, Entry: r.link.address, Grant: r.grant.ID, Task: r.grant.Name, Waited: c.now.Sub(r.queuedAt),
	})
	if !r.link.established {
		return
	}
	m := r.link.outgoingMessage()
	m.Started = append(m.Started, r.grant.ID)
}

// startQueued starts queued runs, the most urgent first, as far as there are
// slots. Runs of entries whose links are not up wait until they are, since an entry
// that has lost the agent may run the tasks elsewhere. Runs that need fewer slots
// may overtake one that needs more than are free, until it has been queued for
// maxOvertakenTime.
func (c *Core) startQueued() {
	if len(c.queue) == 0 || !c.endpointUp {
		return
	}
	slices.SortStableFunc(c.queue, compareUrgency)
	for _, r := range slices.Clone(c.queue) {
		if !c.mayStart(r.link) {
			continue
		}
		r.slots = c.acquireSlots(r.grant.Credits())
		if r.slots != nil {
			c.fireRun(r, runEvents.SlotsFree)
			continue
		}
		if c.now.Sub(r.queuedAt) > maxOvertakenTime {
			return
		}
	}
}

// refuseImpatient refuses the queued runs that must not wait.
func (c *Core) refuseImpatient() {
	for _, r := range slices.Clone(c.queue) {
		if r.grant.NoWait {
			c.rememberRefusal(r)
			c.fireRun(r, runEvents.Withdrawn)
		}
	}
}

// compareUrgency orders runs by their latest start time. Runs that miss their
// objective anyway come after all others.
func compareUrgency(a, b *run) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.startBy.UnixNano(), b.startBy.UnixNano())
}

// acquireSlots returns the given number of free slots, or nil. If too few are
// free, it revokes idle credits, but only if that yields enough slots.
func (c *Core) acquireSlots(count int) []*slot {
	free := make([]*slot, 0, count)
	for _, s := range c.slots {
		if len(free) < count && s.state == slotStates.Free {
			free = append(free, s)
		}
	}
	var idle []*slot
	for _, s := range c.slots {
		if len(free)+len(idle) < count && c.creditIdle(s) {
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

// creditIdle reports whether an entry has held a credit for the slot for minIdleAge
// without using it.
func (c *Core) creditIdle(s *slot) bool {
	return s.state == slotStates.Offered && c.now.Sub(s.offeredAt) >= minIdleAge
}

// claimSlot marks a free slot as held by a queued run that starts.
func (c *Core) claimSlot(s *slot, r *run) {
	s.link = r.link
	s.reserved = false
	s.long = r.grant.Long
	if s.long {
		c.busyLongSlots++
	}
}
