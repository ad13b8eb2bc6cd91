package agent

import (
	"fmt"
	"slices"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// handleCapacityChanged adapts the number of slots in use to the endpoint's present
// capacity. A slot keeps its share of the capacity, so the entries' reckoning of how
// many slots a task takes stays valid.
func (c *Core) handleCapacityChanged(capacity structs.Needs) {
	usable := c.slotsWithin(capacity)
	if usable == c.usableSlots || c.leaving() {
		return
	}
	c.emit(&LogEvent{Event: event.CapacityChanged, Detail: fmt.Sprintf("%d slots, %d before", usable, c.usableSlots)})
	c.usableSlots = usable
	for len(c.slots) < usable {
		added := &slot{state: slotChart.Initial()}
		c.fireSlot(added, slotEvents.Withhold, nil)
		c.slots = append(c.slots, added)
	}
	c.enforceCapacity()
	spare := usable - c.slotsInUse()
	for _, s := range c.slots {
		if spare > 0 && s.state == slotStates.Withheld {
			c.fireSlot(s, slotEvents.Restore, nil)
			spare--
		}
	}
	for _, r := range slices.Clone(c.queue) {
		if r.grant.Credits() > usable {
			c.fireRun(r, runEvents.Withdrawn)
		}
	}
}

// maxGrowth bounds the slots of a grown endpoint, as a multiple of those at the start:
// a capacity beyond that is a mistake rather than a larger machine.
const maxGrowth = 4

// slotsWithin returns how many slots the given capacity has room for. The resource that
// has shrunk most, or grown least, decides.
func (c *Core) slotsWithin(capacity structs.Needs) int {
	slots := uint64(c.opts.Slots) * maxGrowth
	for _, r := range [...]struct{ now, initial uint64 }{
		{capacity.TotalMillicores(), c.opts.Capacity.TotalMillicores()},
		{uint64(capacity.MemoryMB), uint64(c.opts.Capacity.MemoryMB)},
		{uint64(capacity.Accelerators), uint64(c.opts.Capacity.Accelerators)},
	} {
		if r.initial > 0 {
			slots = min(slots, uint64(c.opts.Slots)*r.now/r.initial)
		}
	}
	return int(slots)
}

// slotsInUse counts the slots that count towards the capacity.
func (c *Core) slotsInUse() int { return len(c.slots) - c.countSlots(slotStates.Withheld) }

// enforceCapacity withholds slots until no more are in use than the capacity has room
// for: free ones, then those offered to entries. Slots of tasks follow as they end.
func (c *Core) enforceCapacity() {
	excess := c.slotsInUse() - c.usableSlots
	for _, state := range [...]chart.State{slotStates.Free, slotStates.Offered} {
		for _, s := range c.slots {
			if excess <= 0 {
				return
			}
			if s.state == state {
				c.fireSlot(s, slotEvents.Withhold, nil)
				excess--
			}
		}
	}
}
