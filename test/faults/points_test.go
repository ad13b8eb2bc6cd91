package faults

import (
	"fmt"
	"testing"
	"time"

	"cactuspost.example/cactuspost"
)

// point is a stage in the life cycle of a job at which a fault is injected.
type point string

const (
	created  point = "created"
	waiting  point = "waiting"
	running  point = "running"
	answered point = "answered"
)

var points = []point{created, waiting, running, answered}

// pointSleep is a run time long enough to inject a fault while the task runs.
const pointSleep = 300 * time.Millisecond

// tasksPastSettling is a number of tasks that keeps one slot busy for longer than
// the settling phase, in which a stopping entry still works as before.
const tasksPastSettling = 8

// reach brings a job to the given stage, on a system with one slot.
func (b *bench) reach(p point, client *cactuspost.Client, name string, tasks int) *flight {
	b.t.Helper()
	if p == waiting {
		blocker := b.prepare(client, name+"-blocker", 1, pointSleep)
		started := b.Agents[0].Endpoint.Totals().Started
		blocker.submit(client)
		b.Agents[0].Endpoint.AwaitStarts(started + 1)
		b.callers.Go(func() { blocker.note(<-blocker.done) })
	}
	f := b.prepare(client, name, tasks, pointSleep)
	if p == created {
		return f
	}
	started := b.Agents[0].Endpoint.Totals().Started
	f.submit(client)
	switch p {
	case waiting:
		f.awaitWaiting(client)
	case running:
		b.Agents[0].Endpoint.AwaitStarts(started + 1)
	case answered:
		e := <-f.done
		b.is.True(e != nil && e.failure == nil)
		f.done <- e
	}
	return f
}

var oneSlot = size{entries: 2, agents: 1, slots: 1}

// TestKilledOwnerAtEveryPoint kills and restarts the owner of a job at each stage,
// then resubmits the job through the other entry and the restarted one.
func TestKilledOwnerAtEveryPoint(t *testing.T) {
	b := startBench(t, oneSlot)
	owner, other := b.newClient(0), b.newClient(1)
	for _, p := range points {
		f := b.reach(p, owner, "owner-"+string(p), 2)
		b.Entries[0].Kill()
		b.injected("entry killed", 1)
		b.is.NoErr(b.Entries[0].Start())
		b.awaitEntry(0)
		for _, client := range []*cactuspost.Client{other, owner} {
			again := f.resubmit(client)
			b.is.True(again != nil && again.failure != nil)      // only the lost owner may run the job
			b.is.Equal(again.failure.Kind, cactuspost.OwnerLost) // reported at once, not when the id expires
			b.is.True(again.failure.Run != cactuspost.NotRun)    // only the lost owner knew whether tasks had started
		}
		if p == created {
			f.submit(other)
		}
		f.end()
	}
	b.finish()
}

// TestKilledAgentAtEveryPoint kills and restarts the agent at each stage. Tasks
// that had not started run at the restarted agent; a running task makes its job
// fail.
func TestKilledAgentAtEveryPoint(t *testing.T) {
	b := startBench(t, oneSlot)
	owner := b.newClient(0)
	for _, p := range points {
		f := b.reach(p, owner, "agent-"+string(p), 2)
		b.Agents[0].Kill()
		b.injected("agent killed", 1)
		b.is.NoErr(b.Agents[0].Start())
		b.awaitEntry(0)
		if p == created {
			f.submit(owner)
		}
		e := f.end()
		b.is.Equal(e.failure != nil, p == running)
	}
	b.finish()
}

// TestResubmissionAtEveryPoint resubmits a job at each stage, through its owner
// and the other entry at the same time. All requests must get the same answer.
func TestResubmissionAtEveryPoint(t *testing.T) {
	b := startBench(t, oneSlot)
	owner, other := b.newClient(0), b.newClient(1)
	for round := range 2 {
		for _, p := range points {
			f := b.reach(p, owner, fmt.Sprintf("again-%d-%s", round, p), 2)
			again := make(chan *ending, 2)
			for _, client := range []*cactuspost.Client{owner, other} {
				go func() { again <- f.resubmit(client) }()
				b.injected("resubmission", 1)
			}
			first, second := <-again, <-again
			if p == created {
				f.submit(other)
			}
			e := f.end()
			b.is.True(e.failure == nil)
			b.is.Equal(first, e)
			b.is.Equal(second, e)
		}
	}
	b.finish()
}

// TestStoppedOwnerAtEveryPoint stops the owner of a job with SIGTERM at each stage
// and restarts it when it has exited. Every accepted job must complete.
func TestStoppedOwnerAtEveryPoint(t *testing.T) {
	b := startBench(t, oneSlot)
	owner := b.newClient(0)
	for _, p := range []point{waiting, running, answered} {
		f := b.reach(p, owner, "stopped-"+string(p), tasksPastSettling)
		b.Entries[0].Terminate()
		b.injected("entry stopped", 1)
		b.is.Equal(f.end().failure, nil)
		b.awaitEnd(b.Entries[0].Ended())
		b.is.NoErr(b.Entries[0].Start())
		b.awaitEntry(0)
	}
	b.report.planned = true
	b.is.Equal(b.finish().Failed, 0)
}
