package agent

import (
	"testing"
	"time"

	"cactuspost.example/internal/structs"
)

// newPacedHarness returns a harness with the times of the users' platform whose entries
// send fewer heartbeats on idle links. Entry 0 has just confirmed a message.
func newPacedHarness(t *testing.T) *harness {
	h := newConfirmingHarness(t)
	h.core.tuning.IdleHeartbeat = 300 * time.Millisecond
	h.core.tuning.IdleSilenceTimeout = 2700 * time.Millisecond
	for _, l := range h.core.links {
		l.paced = true
	}
	return h
}

func (h *harness) advanceTo(at time.Time) {
	for h.now.Before(at) {
		h.advance(10 * time.Millisecond)
	}
}

func TestIdleLinkIsClosedAfterALongerSilence(t *testing.T) {
	h := newPacedHarness(t)
	last := h.now
	h.advanceTo(last.Add(2700 * time.Millisecond))
	h.Equal(h.core.links[0].state, linkStates.Up)
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.links[0].state, linkStates.Waiting)
}

func TestLinkWithOpenGrantsIsClosedAfterAShortSilence(t *testing.T) {
	h := newPacedHarness(t)
	last := h.now
	h.sendQueuedGrant(0, 1, 4, time.Second)
	h.advanceTo(last.Add(450 * time.Millisecond))
	h.Equal(h.core.links[0].state, linkStates.Up)
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.links[0].state, linkStates.Waiting)
}

// The entry may have sent the grant at any time since it read the newest confirmed
// message, and may have given the agent up by now.
func TestGrantOnAnIdleLinkIsRefusedIfTheConfirmationIsOld(t *testing.T) {
	h := newPacedHarness(t)
	confirmedAt := h.now
	h.now = confirmedAt.Add(500 * time.Millisecond)
	h.sendQueuedGrant(0, 1, 4, time.Second)
	h.Equal(h.startedJobs(), []uint64{1})
	h.core.links[0].openGrants = 0 // as if the run had ended
	h.now = confirmedAt.Add(510 * time.Millisecond)
	h.effects = nil
	late := h.sendQueuedGrant(0, 2, 4, time.Second)
	h.Equal(len(h.startedJobs()), 0)
	h.Equal(h.sent(0)[0].Refusals, []structs.Refusal{{Grant: late, Reason: structs.Unconfirmed}})
	h.Equal(h.core.links[0].state, linkStates.Up)
	h.confirm(h.now)
	h.sendQueuedGrant(0, 3, 4, time.Second)
	h.Equal(h.startedJobs(), []uint64{3})
}

func TestMessagesSayWhetherGrantsAreOpen(t *testing.T) {
	h := newPacedHarness(t)
	h.sent(0)
	id := h.sendQueuedGrant(0, 1, 4, time.Second)
	busy := func() bool {
		messages := h.sent(0)
		return messages[len(messages)-1].Busy
	}
	h.True(busy())
	h.step(&TaskExited{Grant: id, Outcome: structs.Succeeded})
	h.True(!busy())
	h.core.links[0].paced = false
	h.sendQueuedGrant(0, 2, 100, time.Second) // too large: refused
	h.True(busy())                            // the entry knows of no other pace
}

func TestOpenGrantsFollowTheirRuns(t *testing.T) {
	h := newPacedHarness(t)
	first := h.sendQueuedGrant(0, 1, 20, time.Second)
	h.sendQueuedGrant(0, 2, 20, time.Second)
	h.Equal(h.core.links[0].openGrants, 2) // one runs, one is queued
	h.step(&EntryMessage{Link: h.links[0], Message: &structs.FromEntry{Cancels: []structs.GrantID{first}}})
	h.Equal(h.core.links[0].openGrants, 2) // the stop has not ended the run yet
	h.step(&TaskExited{Grant: first, Outcome: structs.Stopped})
	h.Equal(h.core.links[0].openGrants, 1)
	h.step(&EndpointChanged{Up: false})
	h.step(&LinkClosed{Link: h.links[0]})
	h.advanceTo(h.now.Add(time.Second))
	h.Equal(h.core.links[0].openGrants, 0) // the run is orphaned
}

// Nothing runs that the entry may repeat, and a result that was under way is sent again.
func TestSessionGoesOnIfAnIdleLinkBreaks(t *testing.T) {
	h := newPacedHarness(t)
	id := h.sendQueuedGrant(0, 1, 4, time.Second)
	h.step(&TaskExited{Grant: id, Outcome: structs.Succeeded})
	session := h.core.links[0].session
	h.advanceTo(h.now.Add(1700 * time.Millisecond)) // the confirmation is old
	link := h.greet()
	h.Equal(h.core.links[0].session, session)
	h.welcome(link)
	results := 0
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok && send.Link == link {
			results += len(send.Message.Results)
		}
	}
	h.Equal(results, 1)
}

// Until the agent says that it is busy, the entry takes its messages for those of an agent
// that has not got the grant, and heartbeats keep the slow pace.
func TestFirstOpenGrantOnAnIdleLinkIsReportedAtOnce(t *testing.T) {
	t.Run("started on a credit", func(t *testing.T) {
		h := newPacedHarness(t)
		h.sent(0)
		h.sendGrant(0, 1)
		h.Equal(h.startedJobs(), []uint64{1})
		messages := h.sent(0)
		h.Equal(len(messages), 1)
		h.True(messages[0].Busy)
		h.sendGrant(0, 2)
		h.Equal(len(h.sent(0)), 0) // the entry knows
	})
	t.Run("waits for slots", func(t *testing.T) {
		h := newPacedHarness(t)
		h.sendQueuedGrant(1, 1, 20, time.Second)
		h.sent(0)
		h.sendQueuedGrant(0, 2, 20, time.Second)
		h.Equal(h.core.links[0].openGrants, 1)
		messages := h.sent(0)
		h.Equal(len(messages), 1)
		h.True(messages[0].Busy)
	})
}
