package faults

import (
	"testing"
	"time"

	"cactuspost.example/internal/registry"
	"cactuspost.example/internal/standin"
)

// TestTableOutage takes the table away for longer than every lease. Work goes
// on, and an entry that is started meanwhile learns the configuration from the
// agents.
func TestTableOutage(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	b.Table.SetFaults(standin.Faults{Down: true})
	b.injected("table down", 1)
	pause(b.ctx, registry.LeaseTime+time.Second)
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

// TestSlowTable makes every answer of the table slower than its callers wait.
func TestSlowTable(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	b.Table.SetFaults(standin.Faults{SlowMS: 2500})
	b.injected("table slow", 1)
	b.awaitComplete(500)
	b.Table.SetFaults(standin.Faults{})
	recovery := b.awaitRate()
	f := b.finish()
	t.Logf("recovery %v", recovery)
	b.is.Equal(f.Failed, 0)
}
