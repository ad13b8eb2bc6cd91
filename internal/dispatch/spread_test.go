package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cactuspost.example/internal/structs"
)

// newCrowdedHarness returns a harness of one of ten entries, so that an even share of a
// worker's forty slots is four. Its agents offer no credits and report their room.
func newCrowdedHarness(t *testing.T, workers int) *harness {
	h := newTimedHarness(t)
	h.core.self.DataCentre = "near"
	var peers []structs.Peer
	for i := range 10 {
		peers = append(peers, structs.Peer{Incarnation: structs.Incarnation(100 + i)})
	}
	h.step(&SetPeers{Peers: peers})
	for i := range workers {
		h.connectCrowdedWorker(LinkID(i+1), "near", 40)
	}
	h.effects = nil
	return h
}

func (h *harness) connectCrowdedWorker(link LinkID, dataCentre string, idle uint32) {
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Idle: idle, Hello: &structs.Hello{
		Endpoint: fmt.Sprintf("w%d", link), Incarnation: structs.Incarnation(link), Connection: uint64(link), Session: 1, Pool: "p",
		DataCentre: dataCentre, Slots: 40, Capacity: structs.Needs{Millicores: 4000, MemoryMB: 1000}, Divided: true, Paced: true,
	}}})
}

// refuse refuses a grant for want of room.
func (h *harness) refuse(link LinkID, id structs.GrantID, idle uint32) {
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Idle: idle, Refusals: []structs.Refusal{{Grant: id, Reason: structs.NoRoom}}}})
}

// takeOnlyGrant returns the only grant since the last call, and its link.
func (h *harness) takeOnlyGrant() (LinkID, structs.Grant) {
	h.Helper()
	var link LinkID
	var grants []structs.Grant
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok && len(send.Message.Grants) > 0 {
			link = send.Link
			grants = append(grants, send.Message.Grants...)
		}
	}
	h.effects = nil
	h.Equal(len(grants), 1)
	return link, grants[0]
}

// Load pattern: many entries, of which each sees a small part of the load and knows the
// same reports.
func TestTasksAreSpreadOverWorkersWithRoom(t *testing.T) {
	h := newCrowdedHarness(t, 8)
	used := map[LinkID]int{}
	for i := range 16 {
		h.runJob(fmt.Sprintf("j%d", i), 1, 1000)
		link, g := h.takeOnlyGrant()
		used[link]++
		h.True(g.NoWait && g.Queued)
	}
	h.True(len(used) >= 6)
	for _, tasks := range used {
		h.True(tasks <= 4) // as many as there is room for
	}
}

func TestRefusedTaskIsTriedElsewhereAndThenWaitsForRoom(t *testing.T) {
	h := newCrowdedHarness(t, 2)
	h.runJob("j", 1, 1000)
	first, g := h.takeOnlyGrant()
	h.refuse(first, g.ID, 0)
	second, g := h.takeOnlyGrant()
	h.True(first != second)
	h.refuse(second, g.ID, 0)
	h.Equal(len(h.takeGrants()), 0) // it waits here, bound to no worker
	h.step(&AgentMessage{Link: first, Message: &structs.FromAgent{Idle: 10}})
	told, g := h.takeOnlyGrant()
	h.Equal(told, first)
	h.True(g.NoWait)
}

// The agent can't tell how old the first grant on an idle link is.
func TestGrantThatWasRefusedAsUnconfirmedIsSentAgain(t *testing.T) {
	h := newCrowdedHarness(t, 8)
	h.runJob("j", 1, 1000)
	first, g := h.takeOnlyGrant()
	h.step(&AgentMessage{Link: first, Message: &structs.FromAgent{Idle: 40, Refusals: []structs.Refusal{{Grant: g.ID, Reason: structs.Unconfirmed}}}})
	again, second := h.takeOnlyGrant()
	h.Equal(again, first)
	h.Equal(second.ID.Attempt, g.ID.Attempt+1)
}

// refuseFor refuses a grant for another reason than want of room.
func (h *harness) refuseFor(reason structs.RefusalReason, link LinkID, id structs.GrantID) {
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Idle: 40, Refusals: []structs.Refusal{{Grant: id, Reason: reason}}}})
}

// Load pattern: a worker is down, or its agent takes no more results, and still has room. A
// task must not go to and fro between its entry and that agent.
func TestAgentThatRefusesGrantsIsLeftAloneForAWhile(t *testing.T) {
	for _, reason := range []structs.RefusalReason{structs.EndpointDown, structs.EndpointUnreachable, structs.EndpointFull, structs.BufferFull, structs.AgentLeaving} {
		h := newCrowdedHarness(t, 1)
		h.runJob("j", 1, 1000)
		link, g := h.takeOnlyGrant()
		h.refuseFor(reason, link, g.ID)
		h.Equal(len(h.takeGrants()), 0)
		h.advance(queueRetryDelay / 2)
		h.Equal(len(h.takeGrants()), 0)
	}
}

// Load pattern: a large grant waits at the agent, which keeps room for it that it counts
// as idle.
func TestRoomThatWasRefusedIsNotCountedOn(t *testing.T) {
	h := newCrowdedHarness(t, 1)
	h.runJob("j", 1, 1000)
	link, g := h.takeOnlyGrant()
	h.refuse(link, g.ID, 40)
	h.Equal(len(h.takeGrants()), 0)
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Idle: 40}})
	h.takeOnlyGrant() // the agent says again that there is room
}

// An agent deducts no credits of a grant that it refuses on arrival.
func TestCreditsOfAnUnconfirmedGrantAreReturned(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("j", 1, 1000)
	_, g := h.takeOnlyGrant()
	h.True(!g.Queued)
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Refusals: []structs.Refusal{{Grant: g.ID, Reason: structs.Unconfirmed}}}})
	_, again := h.takeOnlyGrant()
	h.True(!again.Queued)
	h.Equal(h.core.sessions["w1"].credits.any, 30)
}

func TestTaskThatHasWaitedIsBoundToAQueue(t *testing.T) {
	h := newCrowdedHarness(t, 3)
	for link := LinkID(1); link <= 3; link++ {
		h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Idle: 0, Waiting: uint32(40 * link)}})
	}
	h.runJob("j", 1, 1000)
	for range maxTries {
		link, g := h.takeOnlyGrant()
		h.refuse(link, g.ID, 0)
	}
	h.Equal(len(h.takeGrants()), 0)
	h.advance(patience)
	_, g := h.takeOnlyGrant()
	h.True(g.Queued && !g.NoWait)
}

// Load pattern: more work than the workers can do. What waits at agents can neither be
// shed nor be overtaken by what is more urgent here.
func TestNoMoreThanAnEvenShareWaitsAtAgents(t *testing.T) {
	h := newCrowdedHarness(t, 10) // 400 slots, 40 for each entry
	for link := LinkID(1); link <= 10; link++ {
		h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Idle: 0}})
	}
	h.runJob("j", 9, 1000)
	bound := 0
	for range 30 {
		for _, g := range h.takeGrants() {
			if !g.NoWait {
				bound++
				continue
			}
			for _, s := range h.core.sessions {
				if s.granted[g.ID] != nil {
					h.refuse(s.link, g.ID, 0)
				}
			}
		}
		h.advance(10 * time.Millisecond)
	}
	h.Equal(bound, 4)
	h.Equal(h.core.pools["p"].waiting, 5)
	h.Equal(h.core.pools["p"].slotsAtAgents, 40)
}

func TestOwnDataCentreIsTriedFirst(t *testing.T) {
	h := newCrowdedHarness(t, 0)
	for link := LinkID(1); link <= 6; link++ {
		dataCentre := "far"
		if link == 4 {
			dataCentre = "near"
		}
		h.connectCrowdedWorker(link, dataCentre, 40)
	}
	h.effects = nil
	h.runJob("j", 1, 4000)
	link, g := h.takeOnlyGrant()
	h.Equal(link, LinkID(4))
	h.refuse(link, g.ID, 0)
	link, _ = h.takeOnlyGrant()
	h.True(link != 4)
}

// Agents that hold no grant of the entry are not asked for heartbeats at the fast pace.
func TestLinkIsRelaxedWhileNoGrantIsOpen(t *testing.T) {
	h := newCrowdedHarness(t, 0)
	h.core.paced = true
	h.connectCrowdedWorker(1, "near", 40)
	h.True(lastEffect[*Send](h).Message.Welcome.Paced)
	relaxed := func() bool {
		found := lastEffect[*RelaxLink](h) != nil
		h.effects = nil
		return found
	}
	h.advance(h.core.tuning.ScanPeriod)
	h.True(relaxed())
	h.advance(h.core.tuning.ScanPeriod)
	h.True(!relaxed())
	h.runJob("j", 1, 1000)
	_, g := h.takeOnlyGrant()
	h.advance(h.core.tuning.ScanPeriod)
	h.True(!relaxed())
	h.reportOutcome(1, g, structs.Succeeded)
	h.advance(h.core.tuning.ScanPeriod)
	h.True(relaxed())
}

func TestJobIsAdmittedWhileRoomIsKnown(t *testing.T) {
	h := newCrowdedHarness(t, 10)
	h.runJob("a", 30, 1000) // thirty times what an entry's even share could run at once
	h.True(lastEffect[*Refused](h) == nil)
	h.Equal(len(h.takeGrants()), 30)
	h.advance(10 * time.Millisecond)
}

// A refused credit says nothing of the worker's room for grants without one.
func TestRefusedCreditDoesNotCountAsATry(t *testing.T) {
	h := newCrowdedHarness(t, 1)
	h.runJob("j", 1, 1000)
	link, g := h.takeOnlyGrant()
	h.refuse(link, g.ID, 0)
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	_, credited := h.takeOnlyGrant()
	h.True(!credited.Queued)
	s := h.core.sessions["w1"]
	tries := s.granted[credited.ID].tries
	task := s.granted[credited.ID]
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Refusals: []structs.Refusal{{Grant: credited.ID, Reason: structs.EndpointDown}}}})
	h.Equal(task.tries, tries)
}
