package agent

import (
	"testing"
	"time"

	"cactuspost.example/internal/structs"
)

// newFragmentsHarness returns a harness whose tasks take more slots than an entry's share
// of the twenty, so that no credits are offered.
func newFragmentsHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.advance(2 * minIdleAge)
	id := h.sendQueuedGrant(0, 1, 12, time.Second)
	h.step(&TaskExited{Grant: id, Outcome: structs.Succeeded})
	h.True(h.core.creditsWithheld)
	h.effects = nil
	return h
}

// sendUrgentGrant delivers a grant that must not wait, from entry 0 or 1.
func (h *harness) sendUrgentGrant(entry int, job uint64, slots uint32) structs.GrantID {
	id := structs.GrantID{Owner: structs.Incarnation(entry + 1), Job: job, Attempt: 1}
	h.step(&EntryMessage{Link: h.links[entry], Message: &structs.FromEntry{Grants: []structs.Grant{
		{ID: id, Slots: slots, Queued: true, NoWait: true, StartWithin: time.Second},
	}}})
	return id
}

// Load pattern: many entries share an endpoint, and each holds fewer credits than a task
// takes. Slots that are offered to and fro among them start nothing.
func TestNoCreditsAreOfferedWhileSharesAreTooSmallForATask(t *testing.T) {
	h := newFragmentsHarness(t)
	h.Equal(h.core.countSlots(slotStates.Free), 20)
	h.Equal(h.core.links[0].credits.Total()+h.core.links[1].credits.Total(), uint32(0))
	h.Equal(h.core.idleSlots(h.core.links[0]), uint32(20))
	h.step(&EntryMessage{Link: h.links[1], Message: &structs.FromEntry{Demand: &structs.Demand{Long: 5, HeadAge: time.Second}}})
	h.Equal(h.core.countSlots(slotStates.Free), 20)
	h.sendQueuedGrant(1, 2, 12, time.Second)
	h.Equal(h.startedJobs(), []uint64{2})
	h.Equal(h.core.idleSlots(h.core.links[0]), uint32(8))
}

func TestCreditsAreOfferedAgainWhenTasksHaveBecomeSmaller(t *testing.T) {
	h := newFragmentsHarness(t)
	for job := uint64(2); job < 40; job++ {
		h.step(&TaskExited{Grant: h.sendQueuedGrant(0, job, 1, time.Second), Outcome: structs.Succeeded})
	}
	h.True(!h.core.creditsWithheld)
	h.Equal(h.core.countSlots(slotStates.Offered), 20)
}

func TestGrantThatMustNotWaitIsRefusedWithoutRoom(t *testing.T) {
	h := newFragmentsHarness(t)
	h.sendUrgentGrant(0, 2, 12)
	h.Equal(h.startedJobs(), []uint64{2})
	h.sent(0)
	refused := h.sendUrgentGrant(1, 3, 12)
	messages := h.sent(1)
	h.Equal(len(messages), 1)
	h.Equal(messages[0].Refusals, []structs.Refusal{{Grant: refused, Reason: structs.NoRoom}})
	h.Equal(messages[0].Idle, uint32(8))
	h.Equal(len(h.core.queue), 0)
}

// The task that found no room waits at its entry, which hears of room at once, and only
// one entry of the same room.
func TestRefusedEntriesAreToldOfRoomInTurn(t *testing.T) {
	h := newFragmentsHarness(t)
	running := h.sendUrgentGrant(0, 2, 20)
	h.sendUrgentGrant(1, 3, 12)
	h.sendUrgentGrant(0, 4, 12)
	h.sent(1)
	h.step(&TaskExited{Grant: running, Outcome: structs.Succeeded})
	messages := h.sent(1)
	h.Equal(len(messages), 1)
	h.Equal(messages[0].Idle, uint32(20))
	h.Equal(len(h.core.refusedEntries), 1) // the result told entry 0, but it has no room of its own yet
	h.advance(promiseTime)
	h.Equal(len(h.sent(0)), 1)
	h.Equal(len(h.core.refusedEntries), 0)
}

func TestNoRoomIsToldWhileGrantsWait(t *testing.T) {
	h := newFragmentsHarness(t)
	running := h.sendUrgentGrant(0, 2, 20)
	h.sendUrgentGrant(1, 3, 12)
	h.sendQueuedGrant(0, 4, 20, time.Second)
	h.effects = nil
	h.step(&TaskExited{Grant: running, Outcome: structs.Succeeded})
	h.Equal(h.startedJobs(), []uint64{4})
	h.Equal(len(h.sent(1)), 0)
	h.Equal(h.core.slotsWaiting(), uint32(0))
}
