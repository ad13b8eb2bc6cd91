package faults

import (
	"fmt"
	"testing"
	"time"

	"cactuspost.example/cactuspost"
)

// jobStage is a stage in the life cycle of a job at which a fault is injected.
type jobStage string

const (
	stageCreated  jobStage = "created"
	stageWaiting  jobStage = "waiting"
	stageRunning  jobStage = "running"
	stageAnswered jobStage = "answered"
)

var jobStages = []jobStage{stageCreated, stageWaiting, stageRunning, stageAnswered}

// stageTaskTime is a run time long enough to inject a fault while the task runs.
const stageTaskTime = 300 * time.Millisecond

// tasksPastSettling is a number of tasks that keeps one slot busy for longer
// than the settling phase, in which a stopping entry still works as before.
const tasksPastSettling = 8

// bringTo brings a job to the given stage, on a system with one slot.
func (b *testBed) bringTo(stage jobStage, client *cactuspost.Client, name string, tasks int) *trackedJob {
	b.t.Helper()
	if stage == stageWaiting {
		blocker := b.newTrackedJob(client, name+"-blocker", 1, stageTaskTime)
		started := b.Agents[0].Endpoint.Totals().Started
		blocker.submit(client)
		b.Agents[0].Endpoint.AwaitStarts(started + 1)
		b.callers.Go(func() { blocker.record(<-blocker.done) })
	}
	job := b.newTrackedJob(client, name, tasks, stageTaskTime)
	if stage == stageCreated {
		return job
	}
	started := b.Agents[0].Endpoint.Totals().Started
	job.submit(client)
	switch stage {
	case stageWaiting:
		job.awaitWaiting(client)
	case stageRunning:
		b.Agents[0].Endpoint.AwaitStarts(started + 1)
	case stageAnswered:
		o := <-job.done
		b.is.True(o != nil && o.failure == nil)
		job.done <- o
	}
	return job
}

var oneSlotSystem = systemSize{entries: 2, agents: 1, slots: 1}

// TestKilledOwnerAtEveryStage kills and restarts the owner of a job at each
// stage, then resubmits the job through the other entry and the restarted one.
func TestKilledOwnerAtEveryStage(t *testing.T) {
	b := startTestBed(t, oneSlotSystem)
	owner, other := b.newClient(0), b.newClient(1)
	for _, stage := range jobStages {
		job := b.bringTo(stage, owner, "owner-"+string(stage), 2)
		b.Entries[0].Kill()
		b.countFaults("entry killed", 1)
		b.is.NoErr(b.Entries[0].Start())
		b.awaitEntry(0)
		for _, client := range []*cactuspost.Client{other, owner} {
			again := job.resubmit(client)
			b.is.True(again != nil && again.failure != nil)      // only the lost owner may run the job
			b.is.Equal(again.failure.Kind, cactuspost.OwnerLost) // reported at once, not when the id expires
			b.is.True(again.failure.Run != cactuspost.NotRun)    // only the lost owner knew whether tasks had started
		}
		if stage == stageCreated {
			job.submit(other)
		}
		job.awaitOutcome()
	}
	b.finishAndCheck()
}

// TestKilledAgentAtEveryStage kills and restarts the agent at each stage. Tasks
// that had not started run at the restarted agent; a running task makes its job
// fail.
func TestKilledAgentAtEveryStage(t *testing.T) {
	b := startTestBed(t, oneSlotSystem)
	owner := b.newClient(0)
	for _, stage := range jobStages {
		job := b.bringTo(stage, owner, "agent-"+string(stage), 2)
		b.Agents[0].Kill()
		b.countFaults("agent killed", 1)
		b.is.NoErr(b.Agents[0].Start())
		b.awaitEntry(0)
		if stage == stageCreated {
			job.submit(owner)
		}
		o := job.awaitOutcome()
		b.is.Equal(o.failure != nil, stage == stageRunning)
	}
	b.finishAndCheck()
}

// TestResubmissionAtEveryStage resubmits a job at each stage, through its owner
// and the other entry at the same time. All requests must get the same answer.
func TestResubmissionAtEveryStage(t *testing.T) {
	b := startTestBed(t, oneSlotSystem)
	owner, other := b.newClient(0), b.newClient(1)
	for round := range 2 {
		for _, stage := range jobStages {
			job := b.bringTo(stage, owner, fmt.Sprintf("again-%d-%s", round, stage), 2)
			again := make(chan *outcome, 2)
			for _, client := range []*cactuspost.Client{owner, other} {
				go func() { again <- job.resubmit(client) }()
				b.countFaults("resubmission", 1)
			}
			first, second := <-again, <-again
			if stage == stageCreated {
				job.submit(other)
			}
			o := job.awaitOutcome()
			b.is.True(o.failure == nil)
			b.is.Equal(first, o)
			b.is.Equal(second, o)
		}
	}
	b.finishAndCheck()
}

// TestStoppedOwnerAtEveryStage stops the owner of a job with SIGTERM at each
// stage and restarts it when it has exited. Every accepted job must complete.
func TestStoppedOwnerAtEveryStage(t *testing.T) {
	b := startTestBed(t, oneSlotSystem)
	owner := b.newClient(0)
	for _, stage := range []jobStage{stageWaiting, stageRunning, stageAnswered} {
		job := b.bringTo(stage, owner, "stopped-"+string(stage), tasksPastSettling)
		b.Entries[0].Terminate()
		b.countFaults("entry stopped", 1)
		b.is.Equal(job.awaitOutcome().failure, nil)
		b.awaitExit(b.Entries[0].Ended())
		b.is.NoErr(b.Entries[0].Start())
		b.awaitEntry(0)
	}
	b.report.plannedOnly = true
	b.is.Equal(b.finishAndCheck().Failed, 0)
}
