package agent

import (
	"testing"
	"time"

	"cactuspost.example/internal/structs"
)

// slotsTaken returns the slots that tasks hold or entries may fill, by credits or, while
// none are offered, by grants that use none.
func (h *harness) slotsTaken() int {
	taken := h.core.countSlots(slotStates.Busy) + h.core.countSlots(slotStates.Offered)
	if h.core.creditsWithheld {
		taken += h.core.countSlots(slotStates.Free)
	}
	return taken
}

func (h *harness) setCapacity(millicores uint32) {
	h.step(&CapacityChanged{Capacity: structs.Needs{Millicores: millicores}})
}

// Guards against starts on a worker that has no room for them any more: its capacity
// has shrunk while tasks run, and what runs or is being stopped still counts.
func TestNoStartExceedsACapacityThatHasShrunk(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	first := h.sendQueuedGrant(0, 1, 10, 0)
	h.Equal(h.core.runs[first].state, runStates.Running)
	h.setCapacity(800) // of 2,000; the task holds 10 of 20 slots
	h.advance(10 * time.Millisecond)
	h.Equal(h.slotsTaken(), 10)
	second := h.sendQueuedGrant(1, 2, 4, time.Second)
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.runs[second].state, runStates.Queued)

	h.step(&TaskExited{Grant: first, Outcome: structs.Succeeded})
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.runs[second].state, runStates.Running)
	h.Equal(h.slotsTaken(), 8)
	tooLarge := h.sendQueuedGrant(0, 3, 9, time.Second)
	h.True(h.core.runs[tooLarge] == nil) // refused at once: the entry can place it elsewhere
}

func TestSlotsAreOfferedAgainWhenTheCapacityGrows(t *testing.T) {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	h.setCapacity(100)
	h.advance(10 * time.Millisecond)
	h.Equal(h.slotsTaken(), 1)
	h.setCapacity(2000)
	h.advance(10 * time.Millisecond)
	h.Equal(h.slotsTaken(), 20)
	h.setCapacity(3000)
	h.advance(10 * time.Millisecond)
	h.Equal(h.slotsTaken(), 30)
	h.setCapacity(4_000_000_000)
	h.advance(10 * time.Millisecond)
	h.Equal(h.slotsTaken(), 20*maxGrowth)
	h.setCapacity(0)
	h.advance(10 * time.Millisecond)
	h.Equal(h.slotsTaken(), 0)
}

// The resource that has shrunk most decides.
func TestShrunkMemoryLimitsTheSlots(t *testing.T) {
	h := newHarness(t)
	h.core.opts.Capacity = structs.Needs{Millicores: 2000, MemoryMB: 1000}
	h.advance(2 * minIdleAge)
	h.step(&CapacityChanged{Capacity: structs.Needs{Millicores: 2000, MemoryMB: 250}})
	h.advance(10 * time.Millisecond)
	h.Equal(h.slotsTaken(), 5)
}
