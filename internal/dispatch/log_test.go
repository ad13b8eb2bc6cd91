package dispatch

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

func TestReconnectionIsLoggedWithWhatBecameOfTheGrants(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.Equal(h.lastLogged(event.AgentConnected)[0], event.Text("session", "new"))
	h.runJob("a", 3, 1000)
	granted := h.takeGrants()
	h.step(&LinkClosed{Link: 1, End: EndedBySilence})
	h.Equal(h.lastLogged(event.AgentLost), []event.Field{event.Int("granted", 3), event.Text("ended_by", "silence")})
	h.advance(100 * time.Millisecond)
	held := []structs.GrantID{granted[0].ID, granted[1].ID, {Owner: 9, Job: 7}, {Owner: 8}}
	h.step(&AgentMessage{Link: 101, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: "w1", Incarnation: 1, Connection: 101, Session: 1, Pool: "p", Slots: 40, Divided: true, Held: held,
	}}})
	h.Equal(h.lastLogged(event.AgentConnected), []event.Field{
		event.Text("session", "kept"), event.Int("away_ms", 100), event.Int("held", 4), event.Int("listed", 2), event.Int("unlisted", 1), event.Int("given_up", 1),
		event.Text("agent", "0000000000000001"),
	})
}

func TestEndOfASessionIsLoggedWithItsCauseAndLostGrants(t *testing.T) {
	for cause, agent := range map[string]structs.Incarnation{"new_session": 1, "agent_replaced": 2} {
		h := newTimedHarness(t)
		h.connectDividedWorker(1, 1, 40)
		h.runJob("a", 2, 1000)
		h.hello(agent, 101)
		h.Equal(h.lastLogged(event.AgentReplaced), []event.Field{
			event.Text("cause", cause), event.Int("away_ms", 0), event.Int("held", 0), event.Int("lost", 2),
			event.Text("agent", agent.String()), event.Text("replaced", "0000000000000001"),
		})
		h.Equal(h.lastLogged(event.AgentConnected)[0], event.Text("session", "new"))
	}
}

func TestJobWhoseCallerLeftIsLoggedWithTheTimeSince(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	first, second := h.runJob("a", 1, 1000), h.runJob("a", 1, 1000)
	h.step(&AbandonReply{Reply: first, At: h.now.Add(-time.Second)}) // the other caller still waits
	h.step(&AbandonReply{Reply: second, At: h.now.Add(-70 * time.Millisecond)})
	fields := h.lastLogged(event.JobFailed)
	h.Equal(fields[len(fields)-1], event.Int("caller_left_ms_ago", 70))
}
