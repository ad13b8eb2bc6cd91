package faults

import (
	"testing"
	"time"

	"cactuspost.example/internal/registry"
	"cactuspost.example/internal/standin"
)

// TestTableOutage makes the table unavailable for longer than any lease. Work must
// continue, and an entry that restarts during the outage must get the configuration
// from the agents.
func TestTableOutage(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	b.Table.SetFaults(standin.Faults{Down: true})
	b.injected("table down", 1)
	pause(b.ctx, registry.LeaseDuration+time.Second)
	b.checkPassedOn()
	during := b.awaitRate()
	b.Entries[1].Kill()
	b.injected("entry killed", 1)
	b.is.NoErr(b.Entries[1].Start())
	b.awaitEntry(1)
	b.awaitComplete(20)
	b.Table.SetFaults(standin.Faults{})
	after := b.awaitRate()
	b.finish()
	t.Logf("full rate %v into the outage, %v after it", during, after)
}

// TestSlowTable delays every answer of the table beyond its clients' timeout.
func TestSlowTable(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	b.Table.SetFaults(standin.Faults{SlowMS: 2500})
	b.injected("table slow", 1)
	pause(b.ctx, 2*registry.ListPeriod)
	b.checkPassedOn()
	b.awaitComplete(100)
	b.Table.SetFaults(standin.Faults{})
	recovery := b.awaitRate()
	f := b.finish()
	t.Logf("recovery %v", recovery)
	b.is.Equal(f.Failed, 0)
}

// checkPassedOn submits a job that one entry owns through the other, which must
// forward it and needs the list of entries for that.
func (b *bench) checkPassedOn() {
	b.t.Helper()
	f := b.prepare(b.newClient(0), "passed-on", 1, time.Millisecond)
	e := f.resubmit(b.newClient(1))
	f.note(e)
	b.is.True(e.failure == nil)
}
