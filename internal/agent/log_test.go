package agent

import (
	"testing"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// lastLogged returns the fields of the last event with the given number.
func (h *harness) lastLogged(id event.ID) (fields []event.Field) {
	for _, e := range h.effects {
		if l, ok := e.(*LogEvent); ok && l.Event == id {
			fields = l.Fields
		}
	}
	return fields
}

// loseEntry breaks the link to entry 0, which has a run, a queued grant and a kept
// result here.
func (h *harness) loseEntry() {
	done := h.sendQueuedGrant(0, 1, 20, time.Second)
	h.step(&TaskExited{Grant: done, Outcome: structs.Succeeded})
	h.sendQueuedGrant(0, 2, 20, time.Second)
	h.sendQueuedGrant(0, 3, 20, time.Second)
	h.advance(50 * time.Millisecond)
	h.step(&LinkClosed{Link: h.links[0]})
}

// answerDial lets entry 0 answer the dial that is under way.
func (h *harness) answerDial(incarnation structs.Incarnation) {
	h.advance(100 * time.Millisecond)
	id := h.core.links[0].id
	h.step(&LinkOpened{Link: id})
	h.step(&EntryMessage{Link: id, Message: &structs.FromEntry{Welcome: &structs.Welcome{Entry: structs.Peer{Incarnation: incarnation}}}})
}

func TestLinesOfALinkSayWhatGoesOn(t *testing.T) {
	h := newConfirmingHarness(t)
	h.Equal(h.lastLogged(event.LinkUp)[0], event.Text("session", "new"))
	h.loseEntry()
	h.Equal(h.lastLogged(event.LinkBroken), []event.Field{
		event.Text("session", "new"), event.Int("runs", 2), event.Int("results", 1), event.Int("confirmed_ms_ago", 50), event.Int("vouched_ms_ago", 50),
	})
	h.answerDial(1)
	h.Equal(h.lastLogged(event.LinkUp), []event.Field{ // nothing is confirmed on this connection
		event.Text("session", "kept"), event.Int("runs", 2), event.Int("results", 1), event.Int("vouched_ms_ago", 150),
	})
}

func TestRunsThatAreGivenUpAreLoggedWithTheReason(t *testing.T) {
	for reason, end := range map[string]func(*harness){
		"grace_over":     func(h *harness) { h.advance(300 * time.Millisecond) },
		"entry_replaced": func(h *harness) { h.answerDial(5) },
		"entry_unlisted": func(h *harness) {
			h.core.links[0].seed, h.core.links[0].listed = false, false
			h.advance(0)
		},
	} {
		h := newConfirmingHarness(t)
		h.loseEntry()
		h.Equal(len(h.lastLogged(event.RunsGivenUp)), 0)
		end(h)
		h.Equal(h.lastLogged(event.RunsGivenUp)[:4], []event.Field{event.Text("reason", reason), event.Int("stopped", 1), event.Int("queued", 1), event.Int("results", 1)})
	}
}
