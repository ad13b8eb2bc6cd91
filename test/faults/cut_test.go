package faults

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestCutConnections resets connections between agents and entries, callers and
// entries, and between entries, under load. No process ends, so every job must
// complete.
func TestCutConnections(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	rng := rand.New(rand.NewPCG(seed, 0))
	for range 40 {
		e := b.Entries[rng.IntN(len(b.Entries))]
		switch rng.IntN(3) {
		case 0:
			b.countFaults("agents' links cut", e.Link.Cut())
		case 1:
			b.countFaults("callers' connections cut", e.HTTP.Cut())
		case 2:
			b.countFaults("entries' connections cut", e.Peer.Cut())
		}
		b.awaitComplete(10)
	}
	recovery := b.awaitFullRate()
	counts := b.finishAndCheck()
	t.Logf("recovery %v", recovery)
	b.is.Equal(counts.Failed, 0)
}

// TestRefusedConnections refuses the connections of agents and callers at each
// entry in turn. Any job that fails must not have run.
func TestRefusedConnections(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	slowestRecovery := time.Duration(0)
	for i, e := range b.Entries {
		b.countFaults("connections to an entry refused", 1)
		e.Link.Refuse()
		e.HTTP.Refuse()
		b.awaitComplete(20)
		e.Link.Resume()
		e.HTTP.Resume()
		slowestRecovery = max(slowestRecovery, b.awaitFullRate())
		b.awaitEntry(i)
	}
	counts := b.finishAndCheck()
	t.Logf("slowest recovery %v", slowestRecovery)
	b.is.Equal(counts.Failed, counts.NotRun)
}

// TestLostEndpoints resets the connections between agents and endpoints. Running
// tasks may be lost; all other work must continue.
func TestLostEndpoints(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	slowestRecovery := time.Duration(0)
	for _, a := range b.Agents {
		b.countFaults("endpoint's connections cut", a.Tasks.Cut())
		slowestRecovery = max(slowestRecovery, b.awaitFullRate())
	}
	b.finishAndCheck()
	t.Logf("slowest recovery %v", slowestRecovery)
}
