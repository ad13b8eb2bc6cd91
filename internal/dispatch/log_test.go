package dispatch

import (
	"testing"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// lastLogged returns the fields of the last event with the given number.
func (h *harness) lastLogged(id event.ID) map[string]any {
	h.Helper()
	fields := map[string]any{}
	for _, e := range h.effects {
		l, ok := e.(*LogEvent)
		if !ok || l.Event != id {
			continue
		}
		clear(fields)
		for _, f := range l.Fields {
			fields[f.Name] = f.Value
			if f.Text != "" {
				fields[f.Name] = f.Text
			}
		}
	}
	return fields
}

// reconnect sends a hello of the agent of the first worker.
func (h *harness) reconnect(incarnation structs.Incarnation, session uint64, held ...structs.GrantID) {
	h.step(&AgentMessage{Link: 101, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: "w1", Incarnation: incarnation, Connection: 101, Session: session, Pool: "p", Slots: 40, Divided: true, Held: held,
	}}})
}

func TestReconnectionIsLoggedWithWhatBecameOfTheGrants(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.Equal(h.lastLogged(event.AgentConnected)["session"], "new")
	h.runJob("a", 3, 1000)
	granted := h.takeGrants()
	h.step(&LinkClosed{Link: 1, End: EndedBySilence})
	h.Equal(h.lastLogged(event.AgentLost), map[string]any{"granted": int64(3), "ended_by": "silence"})
	h.advance(100 * time.Millisecond)
	old := granted[0].ID
	old.Attempt += 7
	h.reconnect(1, 1, granted[0].ID, granted[1].ID, old, structs.GrantID{Owner: 8})
	h.Equal(h.lastLogged(event.AgentConnected), map[string]any{
		"session": "kept", "away_ms": int64(100), "held": int64(4), "listed": int64(2), "unlisted": int64(1), "given_up": int64(1),
	})
}

func TestEndOfASessionIsLoggedWithItsCauseAndLostGrants(t *testing.T) {
	for cause, hello := range map[string]func(*harness){
		"new_session":    func(h *harness) { h.reconnect(1, 101) },
		"agent_replaced": func(h *harness) { h.reconnect(2, 1) },
	} {
		t.Run(cause, func(t *testing.T) {
			h := newTimedHarness(t)
			h.connectDividedWorker(1, 1, 40)
			h.runJob("a", 2, 1000)
			hello(h)
			h.Equal(h.lastLogged(event.AgentReplaced), map[string]any{"cause": cause, "away_ms": int64(0), "held": int64(0), "lost": int64(2)})
			h.Equal(h.lastLogged(event.AgentConnected)["session"], "new")
		})
	}
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("a", 2, 1000)
	h.step(&LinkClosed{Link: 1})
	h.advance(600 * time.Millisecond)
	h.Equal(h.lastLogged(event.AgentGone)["lost"], int64(2))
	h.True(h.lastLogged(event.AgentGone)["away_ms"].(int64) >= 500)
}

func TestJobWhoseCallerLeftIsLoggedWithTheTimeSince(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	first, second := h.runJob("a", 1, 1000), h.runJob("a", 1, 1000)
	h.step(&AbandonReply{Reply: first, At: h.now}) // the other caller still waits
	h.advance(300 * time.Millisecond)
	h.step(&AbandonReply{Reply: second, At: h.now.Add(-70 * time.Millisecond)})
	h.Equal(h.lastLogged(event.JobFailed)["caller_left_ms_ago"], int64(70))
}
