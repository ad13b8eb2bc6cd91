package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// newTimedTestBench returns a bench with a service whose tasks are repeatable and
// whose jobs have a response objective.
func newTimedTestBench(t *testing.T) *testBench {
	b := newTestBench(t)
	b.core = New(Options{Self: structs.Peer{Incarnation: 9}, Seed: 1, Tuning: Tuning{
		Estimates: Declared, LongTaskThreshold: time.Hour, QueueDepth: 1, AgentGrace: 500 * time.Millisecond,
	}})
	doc := testDocument()
	doc.Services["s"] = structs.Service{
		Pool: "p", StartObjective: 60, Lifetime: 20_000, MaxTasks: 100, MaxTaskBytes: 10,
		Repeatable: true, MaxAttempts: 3, Stretch: 1.5, Margin: 100, UsefulFactor: 3,
	}
	b.step(&Configure{Document: doc})
	return b
}

// connectDividedWorker connects an agent whose slots are equal shares of its
// capacity.
func (b *testBench) connectDividedWorker(link LinkID, incarnation structs.Incarnation, slots uint32) {
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: fmt.Sprintf("w%d", link%100), Incarnation: incarnation, Connection: uint64(link), Session: 1,
		Pool: "p", Slots: slots, Capacity: structs.Needs{Millicores: slots * 100, MemoryMB: 1000}, Divided: true,
	}}})
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: slots}}})
}

// runJob submits an attached job, whose caller waits for ten seconds.
func (b *testBench) runJob(name string, tasks int, millicores uint32) ReplyID {
	b.lastReply++
	s := structs.Submission{Name: name, Team: "a", Service: "s", Needs: structs.Needs{Millicores: millicores}}
	for i := range tasks {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Declared: 100 * time.Millisecond, Name: fmt.Sprintf("%s.%d", name, i)})
	}
	b.step(&RunJob{Reply: b.lastReply, Submission: s, MaxWait: 10 * time.Second})
	return b.lastReply
}

// reportOutcome reports the end of a run, without new credits.
func (b *testBench) reportOutcome(link LinkID, g structs.Grant, outcome structs.Outcome) {
	b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: []structs.Result{{Grant: g.ID, Outcome: outcome}}}})
}

func TestTaskTakesItsShareOfAWorker(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	b.runJob("a", 3, 1500)
	granted := b.takeGrants()
	b.Equal(len(granted), 3)
	b.Equal(granted[0].Slots, uint32(15))
	b.Equal(granted[1].Queued, false)
	b.Equal(granted[2].Queued, true) // 10 of 40 slots are left
}

func TestFailedTaskIsRepeatedUpToMaxAttempts(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	b.runJob("a", 1, 1000)
	for range 2 {
		g := b.takeGrants()[0]
		b.reportOutcome(1, g, structs.Errored)
		b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	}
	b.reportOutcome(1, b.takeGrants()[0], structs.Errored)
	answer := lastEffect[*Answered](b).Answer
	b.Equal(answer.State, structs.JobFailed)
	b.Equal(answer.Failure.Kind, failure.TaskFailed)
}

// A lost run doesn't count as an attempt. The job that then ends with its task
// waiting must not be reported as not run, since the lost run may have executed.
func TestLostRunIsNoAttemptButIsReportedAsRan(t *testing.T) {
	b := newTimedTestBench(t)
	doc := *b.core.doc
	service := doc.Services["s"]
	service.MaxAttempts = 1
	doc.Revision, doc.Services = 2, map[string]structs.Service{"s": service}
	b.step(&Configure{Document: &doc})
	b.connectDividedWorker(1, 1, 40)
	b.runJob("a", 1, 1000)
	for range 2 {
		b.reportOutcome(1, b.takeGrants()[0], structs.Lost)
		b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	}
	b.Equal(len(b.takeGrants()), 1)
	b.step(&LinkClosed{Link: 1}) // no worker is left
	b.advance(20 * time.Second)
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Run, failure.Ran)
}

func TestTasksOfLostAgentAreGrantedElsewhereAfterGracePeriod(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	b.runJob("a", 1, 1000)
	b.Equal(len(b.takeGrants()), 1)
	b.connectDividedWorker(2, 2, 40)
	b.step(&LinkClosed{Link: 1})
	b.advance(400 * time.Millisecond)
	b.Equal(len(b.takeGrants()), 0) // the task may still run at the lost agent
	b.advance(200 * time.Millisecond)
	b.Equal(len(b.takeGrants()), 1)
}

func TestAbandonedGrantIsCancelledWhenAgentReconnects(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	b.runJob("a", 1, 1000)
	held := b.takeGrants()[0].ID
	b.step(&LinkClosed{Link: 1})
	b.advance(time.Second)
	b.step(&AgentMessage{Link: 101, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: "w1", Incarnation: 1, Connection: 101, Session: 1, Pool: "p", Slots: 40, Divided: true,
		Capacity: structs.Needs{Millicores: 4000}, Held: []structs.GrantID{held},
	}}})
	cancelled := false
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok {
			for _, id := range send.Message.Cancels {
				cancelled = cancelled || id == held
			}
		}
	}
	b.True(cancelled)
}

func TestJobIsCancelledWhenItsCallerDisconnects(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	reply := b.runJob("a", 1, 1000)
	id := b.takeGrants()[0].ID
	b.step(&AbandonReply{Reply: reply})
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Kind, failure.Cancelled)
	b.Equal(lastEffect[*Send](b).Message.Cancels, []structs.GrantID{id})
}

func TestSameNameJoinsTheOpenJob(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	first, second := b.runJob("a", 1, 1000), b.runJob("a", 1, 1000)
	granted := b.takeGrants()
	b.Equal(len(granted), 1)
	b.step(&AbandonReply{Reply: first}) // the other caller still waits
	b.reportOutcome(1, granted[0], structs.Succeeded)
	answer := lastEffect[*Answered](b)
	b.Equal(answer.Reply, second)
	b.Equal(answer.Answer.State, structs.JobComplete)
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	s := structs.Submission{Name: "a", Team: "a", Service: "s", Needs: structs.Needs{Millicores: 1000}}
	s.Tasks = []structs.Task{{Kind: "k", Name: "first"}, {Kind: "k", Name: "second", Step: 1}}
	s.Steps = []structs.Step{{}, {After: []int{0}}}
	b.step(&RunJob{Reply: 1, Submission: s, MaxWait: 10 * time.Second})
	granted := b.takeGrants()
	b.Equal(len(granted), 1)
	b.reportOutcome(1, granted[0], structs.Succeeded)
	granted = b.takeGrants()
	b.Equal(granted[0].Name, "second")
	b.reportOutcome(1, granted[0], structs.Succeeded)
	b.Equal(lastEffect[*Answered](b).Answer.State, structs.JobComplete)
}

func TestJobIsAcceptedWithoutWorkersDuringWarmUp(t *testing.T) {
	b := newTimedTestBench(t)
	b.runJob("a", 1, 1000)
	b.True(lastEffect[*Refused](b) == nil)
	b.advance(50 * time.Millisecond)
	b.connectDividedWorker(1, 1, 40)
	b.Equal(len(b.takeGrants()), 1)
	b.advance(warmUpPeriod)
	b.step(&LinkClosed{Link: 1})
	b.advance(time.Second)
	b.runJob("b", 1, 1000)
	b.Equal(lastEffect[*Refused](b).Failure.Run, failure.NotRun)
}

func TestJobThatCannotEndInTimeIsShedAndNeverRuns(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 10)
	b.runJob("a", 1, 1000)
	b.Equal(len(b.takeGrants()), 1)
	b.core.tuning.QueueDepth = 0 // nothing waits at the agent
	b.runJob("b", 1, 1000)
	b.advance(3 * 250 * time.Millisecond)
	answer := lastEffect[*Answered](b).Answer
	b.Equal(answer.Failure.Run, failure.NotRun)
	b.True(answer.Failure.RetryAfter > 0)
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	b.Equal(len(b.takeGrants()), 0)
}

func TestJobAvoidsWorkersTooSlowForItsObjective(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 10)
	b.connectDividedWorker(2, 2, 10)
	b.core.sessions["w2"].logSlowness = 1 // 272 ms for 250 ms allowed
	b.core.pool("p").sortBySpeed()
	b.core.tuning.QueueDepth = 0
	b.runJob("a", 2, 1000)
	b.Equal(len(b.takeGrants()), 1)
	b.advance(160 * time.Millisecond) // too late for the fast worker, too
	b.Equal(len(b.takeGrants()), 1)
}

func TestGrantsAreDelayedAfterPause(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	reply := b.runJob("a", 1, 1000)
	b.takeGrants()
	b.now = b.now.Add(2 * time.Second) // the process was paused
	b.step(&LinkClosed{Link: 1})
	b.connectDividedWorker(101, 1, 40) // the agent no longer holds the grant
	b.Equal(len(b.takeGrants()), 0)
	b.step(&AbandonReply{Reply: reply}) // the caller has disconnected in the meantime
	b.advance(time.Second)
	b.Equal(len(b.takeGrants()), 0)
}

func TestOverrunsOfUnresponsiveWorkerAreRepeatedElsewhere(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	for _, name := range []string{"a", "b", "c"} {
		b.runJob(name, 1, 1000)
	}
	b.Equal(len(b.takeGrants()), 3)
	b.connectDividedWorker(2, 2, 40)
	b.advance(500 * time.Millisecond) // estimated at 100 ms each
	cancels := 0
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok {
			cancels += len(send.Message.Cancels)
			for _, id := range send.Message.Cancels {
				b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Results: []structs.Result{{Grant: id, Outcome: structs.Stopped}}}})
			}
		}
	}
	b.Equal(cancels, 3)
	b.Equal(len(b.takeGrants()), 3) // on the other worker
}

func TestSingleOverrunIsNotCancelled(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	b.runJob("a", 1, 1000)
	b.takeGrants()
	b.advance(500 * time.Millisecond)
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok {
			b.Equal(len(send.Message.Cancels), 0)
		}
	}
}

func TestDrainingEntryAcceptsJobsThatEndInTime(t *testing.T) {
	b := newTimedTestBench(t)
	b.core.tuning.DrainAcceptPeriod = time.Second
	b.core.tuning.DrainFinishPeriod = 2 * time.Second
	b.connectDividedWorker(1, 1, 40)
	b.step(&Stop{})
	b.runJob("a", 1, 1000)
	granted := b.takeGrants()
	b.Equal(len(granted), 1)
	b.reportOutcome(1, granted[0], structs.Succeeded)
	b.advance(500 * time.Millisecond)
	b.True(lastEffect[*Drained](b) == nil) // new jobs are still accepted
	b.advance(600 * time.Millisecond)
	b.True(lastEffect[*Drained](b) != nil)
	b.runJob("b", 1, 1000)
	b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Draining)
}

func TestNoGrantIsQueuedAtAgentSoonAfterItRefusedOne(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Revoked: structs.Credits{Any: 40}}}) // the endpoint is down
	b.runJob("a", 1, 1000)
	granted := b.takeGrants()
	b.Equal(len(granted), 1)
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{
		Refusals: []structs.Refusal{{Grant: granted[0].ID, Reason: structs.EndpointDown}},
	}})
	b.advance(queueRetryDelay / 2)
	b.Equal(len(b.takeGrants()), 0)
	b.advance(queueRetryDelay)
	b.Equal(len(b.takeGrants()), 1)
}

func TestQueuedGrantGoesToAgentWithMostRoom(t *testing.T) {
	b := newTimedTestBench(t)
	for link := LinkID(1); link <= 3; link++ {
		b.connectDividedWorker(link, structs.Incarnation(link), 40)
		b.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Revoked: structs.Credits{Any: 38}}})
	}
	b.step(&AgentMessage{Link: 2, Message: &structs.FromAgent{Idle: 20}})
	b.step(&AgentMessage{Link: 3, Message: &structs.FromAgent{Idle: 30}})
	b.runJob("a", 2, 1000)
	granted := b.takeGrants()
	b.Equal(len(granted), 2)
	for i, link := range []LinkID{3, 2} { // only one grant may be queued at an agent
		b.Equal(granted[i].Queued, true)
		b.True(b.core.links[link].granted[granted[i].ID] != nil)
	}
}

func TestStartedJobIsNotShedAfterItsObjective(t *testing.T) {
	b := newTimedTestBench(t)
	b.core.tuning.QueueDepth = 0
	b.connectDividedWorker(1, 1, 10)
	b.runJob("a", 2, 1000)
	granted := b.takeGrants()
	b.Equal(len(granted), 1)
	b.advance(time.Second) // three times the job's objective
	b.Equal(lastEffect[*Answered](b), (*Answered)(nil))
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{
		Results: []structs.Result{{Grant: granted[0].ID, Outcome: structs.Succeeded}}, Offered: structs.Credits{Any: 10},
	}})
	b.Equal(len(b.takeGrants()), 1) // the second task is still granted, since the caller waits ten seconds
}

func TestStartedJobEndsAtOnceWhenItsDeadlineIsUnreachable(t *testing.T) {
	b := newTimedTestBench(t)
	b.core.tuning.QueueDepth = 0
	b.connectDividedWorker(1, 1, 10)
	b.runJob("a", 2, 1000)
	b.Equal(len(b.takeGrants()), 1) // its run does not end, and the other task waits
	startedAt := b.now
	for lastEffect[*Answered](b) == nil {
		b.advance(10 * time.Millisecond)
	}
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Run, failure.Unknown)
	b.True(b.now.Sub(startedAt) < 10*time.Second-100*time.Millisecond) // before the caller's deadline
}

// A job whose granted tasks are only queued at agents is shed as not run, but not
// before the agents have returned them: until then one of them may start.
func TestJobQueuedOnlyAtAgentsIsShedAfterTheyReturnIt(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 10)
	b.runJob("busy", 1, 1000)
	b.Equal(len(b.takeGrants()), 1)
	reply := b.runJob("a", 2, 1000)
	queued := b.takeGrants()
	b.Equal(len(queued), 1) // queued at the agent; the other task waits at the entry
	b.True(queued[0].Queued)
	b.advance(time.Second)                  // three times the job's objective
	b.True(lastEffect[*Answered](b) == nil) // the queued task may start until it is returned
	b.Equal(b.takeCancels(), []structs.GrantID{queued[0].ID})
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	b.Equal(len(b.takeGrants()), 0) // the task that waited at the entry is not granted any more
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{
		Refusals: []structs.Refusal{{Grant: queued[0].ID, Reason: structs.QueueFull}},
	}})
	b.Equal(lastEffect[*Answered](b).Reply, reply)
	b.Equal(lastEffect[*Answered](b).Answer.Failure.Run, failure.NotRun)
	b.True(lastEffect[*Answered](b).Answer.Failure.RetryAfter > 0)
	b.Equal(len(b.takeGrants()), 0)
	b.Equal(b.core.openJobs, 1)
	b.Equal(b.core.waitingBytes, 0)
}

// The start of a queued task can cross with its cancellation.
func TestTaskStartDuringWithdrawalIsNotReportedAsNotRun(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 10)
	b.runJob("busy", 1, 1000)
	b.takeGrants()
	b.runJob("a", 1, 1000)
	queued := b.takeGrants()
	b.advance(time.Second)
	b.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Started: []structs.GrantID{queued[0].ID}}})
	b.True(lastEffect[*Answered](b).Answer.Failure.Run != failure.NotRun)
}

// takeCancels returns the grants that were cancelled since the last call.
func (b *testBench) takeCancels() []structs.GrantID {
	var ids []structs.GrantID
	for _, e := range b.effects {
		if send, ok := e.(*Send); ok {
			ids = append(ids, send.Message.Cancels...)
			send.Message.Cancels = nil
		}
	}
	return ids
}

// After a suspension of the machine, messages that arrived in the meantime are
// handled before anything is granted.
func TestGrantsAreDelayedAfterSuspension(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	b.step(&Suspended{})
	b.runJob("a", 1, 1000)
	b.Equal(len(b.takeGrants()), 0)
	b.advance(2 * grantDelayAfterPause)
	b.Equal(len(b.takeGrants()), 1)
}

func TestStepsWithInvalidDependenciesAreRefused(t *testing.T) {
	b := newTimedTestBench(t)
	b.connectDividedWorker(1, 1, 40)
	for _, after := range []int{-1, 0, 7} {
		s := structs.Submission{Name: "a", Team: "a", Service: "s", Tasks: []structs.Task{{Kind: "k"}}}
		s.Steps = []structs.Step{{After: []int{after}}}
		b.lastReply++
		b.step(&RunJob{Reply: b.lastReply, Submission: s, MaxWait: 10 * time.Second})
		b.Equal(lastEffect[*Refused](b).Reply, b.lastReply)
		b.Equal(lastEffect[*Refused](b).Failure.Kind, failure.Invalid)
	}
}
