package dispatch

import (
	"testing"
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// reportCrash reports runs that were lost because the worker's process ended.
func (h *harness) reportCrash(link LinkID, grants ...structs.Grant) {
	var results []structs.Result
	for _, g := range grants {
		results = append(results, structs.Result{Grant: g.ID, Outcome: structs.Lost, WorkerCrashed: true})
	}
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: results, Offered: structs.Credits{Any: 40}}})
}

// Guards against a task that takes down one worker after the other for as long as its
// job lives.
func TestTaskUnderWhichTwoWorkersCrashedIsGivenUp(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("deadly", 2, 1000)
	for crash := range 2 {
		granted := h.takeGrants()
		if len(granted) == 0 {
			t.Fatalf("after %d crashes the task is not granted, want 2 runs", crash)
		}
		h.reportCrash(1, granted[0])
	}
	answer := lastEffect[*Answered](h).Answer
	h.Equal(answer.State, structs.JobFailed)
	h.Equal(answer.Failure.Kind, failure.TaskFailed)
	h.advance(time.Second)
	h.Equal(len(h.takeGrants()), 0)
}

func TestTaskBesideOneCrashCompletes(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("beside", 1, 1000)
	h.reportCrash(1, h.takeGrants()...)
	g := h.takeGrants()
	h.Equal(len(g), 1)
	h.reportSuccess(1, g[0], 10*time.Millisecond, 40)
	h.Equal(lastEffect[*Answered](h).Answer.State, structs.JobComplete)
}

// endByDeadline ends the open job of a name as its caller's deadline does.
func (h *harness) endByDeadline() {
	h.step(&LinkClosed{Link: 1}) // nothing can run until the deadline
	h.advance(11 * time.Second)
}

// Guards against a task whose crashes are forgotten when its job ends: its caller
// sends the job again, and each submission takes down two more workers.
func TestCrashesCountAcrossSubmissionsOfAJob(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("deadly", 1, 1000)
	h.reportCrash(1, h.takeGrants()...)
	h.endByDeadline()
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Kind, failure.Expired)
	h.connectDividedWorker(2, 2, 40)
	h.takeGrants()

	h.runJob("deadly", 1, 1000)
	h.reportCrash(2, h.takeGrants()...)
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Kind, failure.TaskFailed)

	h.effects = nil
	third := h.runJob("deadly", 1, 1000)
	answered := lastEffect[*Answered](h)
	h.Equal(answered.Reply, third)
	h.Equal(answered.Answer.State, structs.JobFailed)
	h.Equal(answered.Answer.Failure.Kind, failure.TaskFailed)
	h.Equal(len(h.takeGrants()), 0)

	h.advance(crashMemory + time.Second)
	h.runJob("deadly", 1, 1000)
	h.Equal(len(h.takeGrants()), 1)
}
