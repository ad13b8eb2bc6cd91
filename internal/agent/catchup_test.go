package agent_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/structs"
)

func (e *entryProcess) revision() uint64 {
	e.core.Step(e.sim.now, &dispatch.Inspect{Reply: e.sim.newReply(structs.JobID{})})
	e.core.Flush(e.sim.now)
	revision := uint64(0)
	for _, effect := range e.core.Effects() {
		if inspected, ok := effect.(*dispatch.Inspected); ok {
			revision = inspected.View.Revision
		}
	}
	return revision
}

// Guards against an entry that rejects requests for new queues for as long as the
// store turns it away, while other entries and its own agents have the higher
// revision.
func TestEntryTurnedAwayByTheStoreServesWhatItsAgentsKnow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		informed, turnedAway := sim.entries[0], sim.entries[1]
		revision := uint64(1)
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			revision++
			doc := testDocument()
			doc.Revision = revision
			sim.step(informed, &dispatch.Configure{Document: doc})
			sim.runTicks(rapid.IntRange(0, 30).Draw(t, "ticks between changes"))
		}
		if rapid.Bool().Draw(t, "one agent is lost") {
			for _, c := range sim.agents[0].sortedConns() {
				c.close()
			}
		}
		const limit = time.Second
		sim.runTicks(int(limit / (10 * time.Millisecond)))
		if got := turnedAway.revision(); got != revision {
			t.Fatalf("the entry has revision %d %v after its agents received %d, limit %v", got, limit, revision, limit)
		}
	})
}
