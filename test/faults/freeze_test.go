package faults

import (
	"testing"
	"time"

	"cactuspost.example/cactuspost"
)

// TestFrozenOwner freezes the owner of a running job until other entries call
// the job failed, and thaws it. It must not call the job complete then.
func TestFrozenOwner(t *testing.T) {
	b := startBench(t, small)
	owner, other := b.newClient(0), b.newClient(1)
	f := b.prepare(owner, "frozen", 1, time.Second)
	f.submit(owner)
	b.until("the task runs", func() bool { return b.Starts()["frozen-task-0"] == 1 })
	b.Entries[0].Freeze()
	b.injected("entry frozen", 1)
	said := f.resubmit(other)
	b.is.True(said != nil && said.failure != nil)
	b.is.Equal(said.failure.Kind, cactuspost.Expired)
	b.is.True(said.failure.Run != cactuspost.NotRun)
	b.Entries[0].Thaw()
	again := f.resubmit(owner)
	b.is.True(again != nil && again.failure != nil)
	b.is.True(f.end().failure != nil)
	b.awaitEntry(0)
	b.startLoad(crowd)
	b.finish()
}

// TestFrozenAgent freezes an agent under load until its entries give it up, and
// thaws it. It comes back with results that nobody waits for any more.
func TestFrozenAgent(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	a := b.Agents[0]
	a.Freeze()
	b.injected("agent frozen", 1)
	b.until("the agent is given up", func() bool {
		for i := range b.Entries {
			view, ok := b.view(i)
			if !ok || len(view.Endpoints) == len(b.Agents) {
				return false
			}
		}
		return true
	})
	a.Thaw()
	for i := range b.Entries {
		b.awaitEntry(i)
	}
	recovery := b.awaitRate()
	b.finish()
	t.Logf("recovery %v", recovery)
}
