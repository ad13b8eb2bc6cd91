package agent

import (
	"testing"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// lastLogged returns the fields of the last event with the given number, nil if there
// is none.
func (h *harness) lastLogged(id event.ID) map[string]any {
	var fields map[string]any
	for _, e := range h.effects {
		l, ok := e.(*LogEvent)
		if !ok || l.Event != id {
			continue
		}
		fields = map[string]any{}
		for _, f := range l.Fields {
			fields[f.Name] = f.Value
			if f.Text != "" {
				fields[f.Name] = f.Text
			}
		}
	}
	return fields
}

// runThree lets entry 0 have a run, a queued grant and a kept result.
func (h *harness) runThree() {
	done := h.sendQueuedGrant(0, 1, 20, time.Second)
	h.step(&TaskExited{Grant: done, Outcome: structs.Succeeded})
	h.sendQueuedGrant(0, 2, 20, time.Second)
	h.sendQueuedGrant(0, 3, 20, time.Second)
}

// answerDial lets entry 0 answer the dial that is under way.
func (h *harness) answerDial(incarnation structs.Incarnation) {
	id := h.core.links[0].id
	h.step(&LinkOpened{Link: id})
	h.step(&EntryMessage{Link: id, Message: &structs.FromEntry{Welcome: &structs.Welcome{Entry: structs.Peer{Incarnation: incarnation}}}})
}

func TestLinesOfALinkSayWhatGoesOn(t *testing.T) {
	h := newConfirmingHarness(t)
	h.Equal(h.lastLogged(event.LinkUp)["session"], "new")
	h.runThree()
	h.advance(50 * time.Millisecond)
	h.step(&LinkClosed{Link: h.links[0]})
	h.Equal(h.lastLogged(event.LinkBroken), map[string]any{
		"session": "new", "runs": int64(2), "results": int64(1), "confirmed_ms_ago": int64(50), "vouched_ms_ago": int64(50),
	})
	h.advance(100 * time.Millisecond)
	h.answerDial(1)
	h.Equal(h.lastLogged(event.LinkUp), map[string]any{ // nothing is confirmed on this connection
		"session": "kept", "runs": int64(2), "results": int64(1), "vouched_ms_ago": int64(150),
	})
}

func TestRunsThatAreGivenUpAreLoggedWithTheReason(t *testing.T) {
	for reason, end := range map[string]func(*harness){
		"grace_over": func(h *harness) { h.advance(300 * time.Millisecond) },
		"entry_replaced": func(h *harness) {
			h.advance(100 * time.Millisecond)
			h.answerDial(5)
		},
		"entry_unlisted": func(h *harness) {
			h.core.links[0].seed, h.core.links[0].listed = false, false
			h.advance(0)
		},
	} {
		t.Run(reason, func(t *testing.T) {
			h := newConfirmingHarness(t)
			h.runThree()
			h.step(&LinkClosed{Link: h.links[0]})
			h.Equal(h.lastLogged(event.RunsGivenUp), nil)
			end(h)
			fields := h.lastLogged(event.RunsGivenUp)
			delete(fields, "vouched_ms_ago")
			h.Equal(fields, map[string]any{"reason": reason, "stopped": int64(1), "queued": int64(1), "results": int64(1)})
		})
	}
}
