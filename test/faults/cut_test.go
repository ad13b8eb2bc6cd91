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
	b := startBench(t, small)
	b.startLoad(crowd)
	rng := rand.New(rand.NewPCG(seed, 0))
	for range 40 {
		e := b.Entries[rng.IntN(len(b.Entries))]
		switch rng.IntN(3) {
		case 0:
			b.injected("agents' links cut", e.Link.Cut())
		case 1:
			b.injected("callers' connections cut", e.HTTP.Cut())
		case 2:
			b.injected("entries' connections cut", e.Peer.Cut())
		}
		b.awaitComplete(10)
	}
	recovery := b.awaitRate()
	f := b.finish()
	t.Logf("recovery %v", recovery)
	b.is.Equal(f.Failed, 0)
}

// TestRefusedConnections refuses the connections of agents and callers at each
// entry in turn. Any job that fails must not have run.
func TestRefusedConnections(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	slowest := time.Duration(0)
	for i, e := range b.Entries {
		b.injected("entry cut off", 1)
		e.Link.Refuse()
		e.HTTP.Refuse()
		b.awaitComplete(20)
		e.Link.Resume()
		e.HTTP.Resume()
		slowest = max(slowest, b.awaitRate())
		b.awaitEntry(i)
	}
	f := b.finish()
	t.Logf("slowest recovery %v", slowest)
	b.is.Equal(f.Failed, f.NotRun)
}

// TestLostEndpoints resets the connections between agents and endpoints. Running
// tasks may be lost; all other work must continue.
func TestLostEndpoints(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	slowest := time.Duration(0)
	for _, a := range b.Agents {
		b.injected("endpoint's connections cut", a.Tasks.Cut())
		slowest = max(slowest, b.awaitRate())
	}
	b.finish()
	t.Logf("slowest recovery %v", slowest)
}
