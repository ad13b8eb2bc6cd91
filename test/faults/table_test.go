package faults

import (
	"testing"
	"time"

	"cactuspost.example/internal/registry"
	"cactuspost.example/internal/standin"
)

// TestTableOutage makes the table unavailable for longer than any lease. Work
// must continue, and an entry that restarts during the outage must get the
// configuration from the agents.
func TestTableOutage(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	b.Table.SetFaults(standin.Faults{Down: true})
	b.countFaults("table down", 1)
	sleepOrDone(b.ctx, registry.LeaseDuration+time.Second)
	b.checkForwarding()
	during := b.awaitFullRate()
	b.Entries[1].Kill()
	b.countFaults("entry killed", 1)
	b.is.NoErr(b.Entries[1].Start())
	b.awaitEntry(1)
	b.awaitComplete(20)
	b.Table.SetFaults(standin.Faults{})
	after := b.awaitFullRate()
	b.finishAndCheck()
	t.Logf("full rate %v into the outage, %v after it", during, after)
}

// TestSlowTable delays every answer of the table beyond its clients' timeout.
func TestSlowTable(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	b.Table.SetFaults(standin.Faults{SlowMS: 2500})
	b.countFaults("table slow", 1)
	sleepOrDone(b.ctx, 2*registry.ListPeriod)
	b.checkForwarding()
	b.awaitComplete(100)
	b.Table.SetFaults(standin.Faults{})
	recovery := b.awaitFullRate()
	counts := b.finishAndCheck()
	t.Logf("recovery %v", recovery)
	b.is.Equal(counts.Failed, 0)
}

// checkForwarding submits a job that one entry owns through the other, which
// must forward it and needs the list of entries for that.
func (b *testBed) checkForwarding() {
	b.t.Helper()
	job := b.newTrackedJob(b.newClient(0), "passed-on", 1, time.Millisecond)
	o := job.resubmit(b.newClient(1))
	job.record(o)
	b.is.True(o.failure == nil)
}
