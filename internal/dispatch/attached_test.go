package dispatch

import (
	"fmt"
	"testing"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// newTimedHarness returns a harness with a service whose tasks are repeatable and
// whose jobs have a response objective.
func newTimedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.core = New(Options{Self: structs.Peer{Incarnation: 9}, Seed: 1, Tuning: Tuning{
		Estimates: Declared, LongTaskThreshold: time.Hour, QueueDepth: 1, AgentGrace: 500 * time.Millisecond,
	}})
	doc := testDocument()
	doc.Services["s"] = structs.Service{
		Pool: "p", StartObjective: 60, Lifetime: 20_000, MaxTasks: 100, MaxTaskBytes: 10,
		Repeatable: true, MaxAttempts: 3, Stretch: 1.5, Margin: 100, UsefulFactor: 3,
	}
	h.step(&Configure{Document: doc})
	return h
}

// connectDividedWorker connects an agent whose slots are equal shares of its
// capacity.
func (h *harness) connectDividedWorker(link LinkID, incarnation structs.Incarnation, slots uint32) {
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: fmt.Sprintf("w%d", link%100), Incarnation: incarnation, Connection: uint64(link), Session: 1,
		Pool: "p", Slots: slots, Capacity: structs.Needs{Millicores: slots * 100, MemoryMB: 1000}, Divided: true,
	}}})
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: slots}}})
}

// runJob submits an attached job, whose caller waits for ten seconds.
func (h *harness) runJob(name string, tasks int, millicores uint32) ReplyID {
	h.lastReply++
	s := structs.Submission{Name: name, Team: "a", Service: "s", Needs: structs.Needs{Millicores: millicores}}
	for i := range tasks {
		s.Tasks = append(s.Tasks, structs.Task{Kind: "k", Declared: 100 * time.Millisecond, Name: fmt.Sprintf("%s.%d", name, i)})
	}
	h.step(&RunJob{Reply: h.lastReply, Submission: s, MaxWait: 10 * time.Second})
	return h.lastReply
}

// reportOutcome reports the end of a run, without new credits.
func (h *harness) reportOutcome(link LinkID, g structs.Grant, outcome structs.Outcome) {
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Results: []structs.Result{{Grant: g.ID, Outcome: outcome}}}})
}

func TestTaskTakesItsShareOfAWorker(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("a", 3, 1500)
	granted := h.takeGrants()
	h.Equal(len(granted), 3)
	h.Equal(granted[0].Slots, uint32(15))
	h.Equal(granted[1].Queued, false)
	h.Equal(granted[2].Queued, true) // 10 of 40 slots are left
}

func TestFailedTaskIsRepeatedUpToMaxAttempts(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("a", 1, 1000)
	for range 2 {
		g := h.takeGrants()[0]
		h.reportOutcome(1, g, structs.Errored)
		h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	}
	h.reportOutcome(1, h.takeGrants()[0], structs.Errored)
	answer := lastEffect[*Answered](h).Answer
	h.Equal(answer.State, structs.JobFailed)
	h.Equal(answer.Failure.Kind, failure.TaskFailed)
}

// TestLostRunIsNoAttemptButIsReportedAsRan checks that a lost run doesn't count as
// an attempt. The job that then ends with its task waiting must not be reported as
// not run, since the lost run may have executed.
func TestLostRunIsNoAttemptButIsReportedAsRan(t *testing.T) {
	h := newTimedHarness(t)
	doc := *h.core.doc
	service := doc.Services["s"]
	service.MaxAttempts = 1
	doc.Revision, doc.Services = 2, map[string]structs.Service{"s": service}
	h.step(&Configure{Document: &doc})
	h.connectDividedWorker(1, 1, 40)
	h.runJob("a", 1, 1000)
	for range 2 {
		h.reportOutcome(1, h.takeGrants()[0], structs.Lost)
		h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	}
	h.Equal(len(h.takeGrants()), 1)
	h.step(&LinkClosed{Link: 1}) // no worker is left
	h.advance(20 * time.Second)
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Run, failure.Ran)
}

func TestTasksOfLostAgentAreGrantedElsewhereAfterGracePeriod(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("a", 1, 1000)
	h.Equal(len(h.takeGrants()), 1)
	h.connectDividedWorker(2, 2, 40)
	h.step(&LinkClosed{Link: 1})
	h.advance(400 * time.Millisecond)
	h.Equal(len(h.takeGrants()), 0) // the task may still run at the lost agent
	h.advance(200 * time.Millisecond)
	h.Equal(len(h.takeGrants()), 1)
}

// hello sends a hello of the agent of the first worker, which holds no grants.
func (h *harness) hello(incarnation structs.Incarnation, session uint64) {
	h.step(&AgentMessage{Link: 101, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: "w1", Incarnation: incarnation, Connection: 101, Session: session, Pool: "p", Slots: 40, Divided: true,
	}}})
}

func TestReturnedTaskSaysWhatItsReturnFollows(t *testing.T) {
	for follows, end := range map[string]func(*harness, structs.Grant){
		"refused": func(h *harness, g structs.Grant) {
			refusal := structs.Refusal{Grant: g.ID, Reason: structs.EndpointFull}
			h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Refusals: []structs.Refusal{refusal}}})
		},
		"result":         func(h *harness, g structs.Grant) { h.reportOutcome(1, g, structs.Lost) },
		"unlisted":       func(h *harness, _ structs.Grant) { h.hello(1, 1) },
		"new_session":    func(h *harness, _ structs.Grant) { h.hello(1, 101) },
		"agent_replaced": func(h *harness, _ structs.Grant) { h.hello(2, 1) },
		"grace_over": func(h *harness, _ structs.Grant) {
			h.step(&LinkClosed{Link: 1})
			h.advance(600 * time.Millisecond)
		},
	} {
		t.Run(follows, func(t *testing.T) {
			h := newTimedHarness(t)
			h.connectDividedWorker(1, 1, 40)
			h.runJob("a", 1, 1000)
			end(h, h.takeGrants()[0])
			var texts []string
			for _, e := range h.effects {
				if l, ok := e.(*LogEvent); ok && l.Event == event.TaskRequeued {
					texts = append(texts, l.Fields[len(l.Fields)-1].Text)
				}
			}
			h.Equal(texts, []string{follows})
		})
	}
}

func TestAbandonedGrantIsCancelledWhenAgentReconnects(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("a", 1, 1000)
	held := h.takeGrants()[0].ID
	h.step(&LinkClosed{Link: 1})
	h.advance(time.Second)
	h.step(&AgentMessage{Link: 101, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: "w1", Incarnation: 1, Connection: 101, Session: 1, Pool: "p", Slots: 40, Divided: true,
		Capacity: structs.Needs{Millicores: 4000}, Held: []structs.GrantID{held},
	}}})
	cancelled := false
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok {
			for _, id := range send.Message.Cancels {
				cancelled = cancelled || id == held
			}
		}
	}
	h.True(cancelled)
}

func TestJobIsCancelledWhenItsCallerDisconnects(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	reply := h.runJob("a", 1, 1000)
	id := h.takeGrants()[0].ID
	h.step(&AbandonReply{Reply: reply})
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Kind, failure.Cancelled)
	h.Equal(lastEffect[*Send](h).Message.Cancels, []structs.GrantID{id})
}

func TestSameNameJoinsTheOpenJob(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	first, second := h.runJob("a", 1, 1000), h.runJob("a", 1, 1000)
	granted := h.takeGrants()
	h.Equal(len(granted), 1)
	h.step(&AbandonReply{Reply: first}) // the other caller still waits
	h.reportOutcome(1, granted[0], structs.Succeeded)
	answer := lastEffect[*Answered](h)
	h.Equal(answer.Reply, second)
	h.Equal(answer.Answer.State, structs.JobComplete)
}

func TestStepWaitsForItsDependencies(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	s := structs.Submission{Name: "a", Team: "a", Service: "s", Needs: structs.Needs{Millicores: 1000}}
	s.Tasks = []structs.Task{{Kind: "k", Name: "first"}, {Kind: "k", Name: "second", Step: 1}}
	s.Steps = []structs.Step{{}, {After: []int{0}}}
	h.step(&RunJob{Reply: 1, Submission: s, MaxWait: 10 * time.Second})
	granted := h.takeGrants()
	h.Equal(len(granted), 1)
	h.reportOutcome(1, granted[0], structs.Succeeded)
	granted = h.takeGrants()
	h.Equal(granted[0].Name, "second")
	h.reportOutcome(1, granted[0], structs.Succeeded)
	h.Equal(lastEffect[*Answered](h).Answer.State, structs.JobComplete)
}

func TestJobIsAcceptedWithoutWorkersDuringWarmUp(t *testing.T) {
	h := newTimedHarness(t)
	h.runJob("a", 1, 1000)
	h.True(lastEffect[*Refused](h) == nil)
	h.advance(50 * time.Millisecond)
	h.connectDividedWorker(1, 1, 40)
	h.Equal(len(h.takeGrants()), 1)
	h.advance(warmUpPeriod)
	h.step(&LinkClosed{Link: 1})
	h.advance(time.Second)
	h.runJob("b", 1, 1000)
	h.Equal(lastEffect[*Refused](h).Failure.Run, failure.NotRun)
}

func TestJobThatCannotEndInTimeIsShedAndNeverRuns(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 10)
	h.runJob("a", 1, 1000)
	h.Equal(len(h.takeGrants()), 1)
	h.core.tuning.QueueDepth = 0 // nothing waits at the agent
	h.runJob("b", 1, 1000)
	h.advance(3 * 250 * time.Millisecond)
	answer := lastEffect[*Answered](h).Answer
	h.Equal(answer.Failure.Run, failure.NotRun)
	h.True(answer.Failure.RetryAfter > 0)
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	h.Equal(len(h.takeGrants()), 0)
}

func TestJobAvoidsWorkersTooSlowForItsObjective(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 10)
	h.connectDividedWorker(2, 2, 10)
	h.core.sessions["w2"].logSlowness = 1 // 272 ms for 250 ms allowed
	h.core.pool("p").sortBySpeed()
	h.core.tuning.QueueDepth = 0
	h.runJob("a", 2, 1000)
	h.Equal(len(h.takeGrants()), 1)
	h.advance(160 * time.Millisecond) // too late for the fast worker, too
	h.Equal(len(h.takeGrants()), 1)
}

func TestGrantsAreDelayedAfterPause(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	reply := h.runJob("a", 1, 1000)
	h.takeGrants()
	h.now = h.now.Add(2 * time.Second) // the process was paused
	h.step(&LinkClosed{Link: 1})
	h.connectDividedWorker(101, 1, 40) // the agent no longer holds the grant
	h.Equal(len(h.takeGrants()), 0)
	h.step(&AbandonReply{Reply: reply}) // the caller has disconnected in the meantime
	h.advance(time.Second)
	h.Equal(len(h.takeGrants()), 0)
}

func TestOverrunsOfUnresponsiveWorkerAreRepeatedElsewhere(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	for _, name := range []string{"a", "b", "c"} {
		h.runJob(name, 1, 1000)
	}
	h.Equal(len(h.takeGrants()), 3)
	h.connectDividedWorker(2, 2, 40)
	h.advance(500 * time.Millisecond) // estimated at 100 ms each
	cancels := 0
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok {
			cancels += len(send.Message.Cancels)
			for _, id := range send.Message.Cancels {
				h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Results: []structs.Result{{Grant: id, Outcome: structs.Stopped}}}})
			}
		}
	}
	h.Equal(cancels, 3)
	h.Equal(len(h.takeGrants()), 3) // on the other worker
}

func TestSingleOverrunIsNotCancelled(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.runJob("a", 1, 1000)
	h.takeGrants()
	h.advance(500 * time.Millisecond)
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok {
			h.Equal(len(send.Message.Cancels), 0)
		}
	}
}

func TestDrainingEntryAcceptsJobsThatEndInTime(t *testing.T) {
	h := newTimedHarness(t)
	h.core.tuning.DrainAcceptPeriod = time.Second
	h.core.tuning.DrainFinishPeriod = 2 * time.Second
	h.connectDividedWorker(1, 1, 40)
	h.step(&Stop{})
	h.runJob("a", 1, 1000)
	granted := h.takeGrants()
	h.Equal(len(granted), 1)
	h.reportOutcome(1, granted[0], structs.Succeeded)
	h.advance(500 * time.Millisecond)
	h.True(lastEffect[*Drained](h) == nil) // new jobs are still accepted
	h.advance(600 * time.Millisecond)
	h.True(lastEffect[*Drained](h) != nil)
	h.runJob("b", 1, 1000)
	h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Draining)
}

func TestNoGrantIsQueuedAtAgentSoonAfterItRefusedOne(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Revoked: structs.Credits{Any: 40}}}) // the endpoint is down
	h.runJob("a", 1, 1000)
	granted := h.takeGrants()
	h.Equal(len(granted), 1)
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{
		Refusals: []structs.Refusal{{Grant: granted[0].ID, Reason: structs.EndpointDown}},
	}})
	h.advance(queueRetryDelay / 2)
	h.Equal(len(h.takeGrants()), 0)
	h.advance(queueRetryDelay)
	h.Equal(len(h.takeGrants()), 1)
}

func TestQueuedGrantGoesToAgentWithMostReachableSlots(t *testing.T) {
	h := newTimedHarness(t)
	for link := LinkID(1); link <= 3; link++ {
		h.connectDividedWorker(link, structs.Incarnation(link), 40)
		h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Revoked: structs.Credits{Any: 38}}})
	}
	h.step(&AgentMessage{Link: 2, Message: &structs.FromAgent{Idle: 20}})
	h.step(&AgentMessage{Link: 3, Message: &structs.FromAgent{Idle: 30}})
	h.runJob("a", 2, 1000)
	granted := h.takeGrants()
	h.Equal(len(granted), 2)
	for i, link := range []LinkID{3, 2} { // only one grant may be queued at an agent
		h.Equal(granted[i].Queued, true)
		h.True(h.core.links[link].granted[granted[i].ID] != nil)
	}
}

func TestStartedJobIsNotShedAfterItsObjective(t *testing.T) {
	h := newTimedHarness(t)
	h.core.tuning.QueueDepth = 0
	h.connectDividedWorker(1, 1, 10)
	h.runJob("a", 2, 1000)
	granted := h.takeGrants()
	h.Equal(len(granted), 1)
	h.advance(time.Second) // three times the job's objective
	h.Equal(lastEffect[*Answered](h), (*Answered)(nil))
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{
		Results: []structs.Result{{Grant: granted[0].ID, Outcome: structs.Succeeded}}, Offered: structs.Credits{Any: 10},
	}})
	h.Equal(len(h.takeGrants()), 1) // the second task is still granted, since the caller waits ten seconds
}

func TestStartedJobEndsAtOnceWhenItsDeadlineIsUnreachable(t *testing.T) {
	h := newTimedHarness(t)
	h.core.tuning.QueueDepth = 0
	h.connectDividedWorker(1, 1, 10)
	h.runJob("a", 2, 1000)
	h.Equal(len(h.takeGrants()), 1) // its run does not end, and the other task waits
	startedAt := h.now
	for lastEffect[*Answered](h) == nil {
		h.advance(10 * time.Millisecond)
	}
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Run, failure.Unknown)
	h.True(h.now.Sub(startedAt) < 10*time.Second-100*time.Millisecond) // before the caller's deadline
}

// TestJobQueuedOnlyAtAgentsIsShedAfterTheyReturnIt checks that a job whose granted
// tasks are only queued at agents is shed as not run, but not before the agents have
// returned them: until then one of them may start.
func TestJobQueuedOnlyAtAgentsIsShedAfterTheyReturnIt(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 10)
	h.runJob("busy", 1, 1000)
	h.Equal(len(h.takeGrants()), 1)
	reply := h.runJob("a", 2, 1000)
	queued := h.takeGrants()
	h.Equal(len(queued), 1) // queued at the agent; the other task waits at the entry
	h.True(queued[0].Queued)
	h.advance(time.Second)                  // three times the job's objective
	h.True(lastEffect[*Answered](h) == nil) // the queued task may start until it is returned
	h.Equal(h.takeCancels(), []structs.GrantID{queued[0].ID})
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Offered: structs.Credits{Any: 10}}})
	h.Equal(len(h.takeGrants()), 0) // the task that waited at the entry is not granted any more
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{
		Refusals: []structs.Refusal{{Grant: queued[0].ID, Reason: structs.QueueFull}},
	}})
	h.Equal(lastEffect[*Answered](h).Reply, reply)
	h.Equal(lastEffect[*Answered](h).Answer.Failure.Run, failure.NotRun)
	h.True(lastEffect[*Answered](h).Answer.Failure.RetryAfter > 0)
	h.Equal(len(h.takeGrants()), 0)
	h.Equal(h.core.openJobs, 1)
	h.Equal(h.core.waitingBytes, 0)
}

// TestTaskStartDuringWithdrawalIsNotReportedAsNotRun guards against a wrong "not
// run" when the report of a queued task's start and its cancellation cross.
func TestTaskStartDuringWithdrawalIsNotReportedAsNotRun(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 10)
	h.runJob("busy", 1, 1000)
	h.takeGrants()
	h.runJob("a", 1, 1000)
	queued := h.takeGrants()
	h.advance(time.Second)
	h.step(&AgentMessage{Link: 1, Message: &structs.FromAgent{Started: []structs.GrantID{queued[0].ID}}})
	h.True(lastEffect[*Answered](h).Answer.Failure.Run != failure.NotRun)
}

// takeCancels returns the grants that were cancelled since the last call.
func (h *harness) takeCancels() []structs.GrantID {
	var ids []structs.GrantID
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok {
			ids = append(ids, send.Message.Cancels...)
			send.Message.Cancels = nil
		}
	}
	return ids
}

// TestGrantsAreDelayedAfterSuspension checks that after a suspension of the machine
// messages that arrived in the meantime are handled before anything is granted, and so are
// those of an entry that is behind.
func TestGrantsAreDelayedAfterSuspension(t *testing.T) {
	for _, m := range []Message{&Suspended{}, &Behind{}} {
		h := newTimedHarness(t)
		h.connectDividedWorker(1, 1, 40)
		h.step(m)
		h.runJob("a", 1, 1000)
		h.Equal(len(h.takeGrants()), 0)
		h.advance(2 * grantDelayAfterPause)
		h.Equal(len(h.takeGrants()), 1)
	}
}

func TestStepsWithInvalidDependenciesAreRefused(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	for _, after := range []int{-1, 0, 7} {
		s := structs.Submission{Name: "a", Team: "a", Service: "s", Tasks: []structs.Task{{Kind: "k"}}}
		s.Steps = []structs.Step{{After: []int{after}}}
		h.lastReply++
		h.step(&RunJob{Reply: h.lastReply, Submission: s, MaxWait: 10 * time.Second})
		h.Equal(lastEffect[*Refused](h).Reply, h.lastReply)
		h.Equal(lastEffect[*Refused](h).Failure.Kind, failure.Invalid)
	}
}

// The caller does not wait longer because its request has waited at a busy entry.
func TestTimeInTheInboxCountsAsTheCallersWait(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	submit := func(name string, waited time.Duration) {
		h.lastReply++
		s := structs.Submission{Name: name, Team: "a", Service: "s", Tasks: []structs.Task{{Kind: "k", Declared: 100 * time.Millisecond, Name: name}}}
		h.step(&RunJob{Reply: h.lastReply, Submission: s, MaxWait: time.Second, ReceivedAt: h.now.Add(-waited)})
	}
	submit("late", time.Second)
	h.Equal(len(h.takeGrants()), 0) // the caller may have sent it elsewhere
	submit("j", 400*time.Millisecond)
	granted := h.takeGrants()
	h.Equal(len(granted), 1)
	h.advance(590 * time.Millisecond)
	h.Equal(h.core.sessions["w1"].granted[granted[0].ID].state, taskStates.Granted)
	h.advance(10 * time.Millisecond)
	h.Equal(h.core.sessions["w1"].granted[granted[0].ID].state, taskStates.Stopping)
}

// helloWithTenure sends a hello of an agent of the first worker, and offers its slots.
func (h *harness) helloWithTenure(link LinkID, incarnation structs.Incarnation, t structs.Tenure) {
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: "w1", Incarnation: incarnation, Tenure: t, Connection: uint64(link), Session: 1,
		Pool: "p", Slots: 40, Capacity: structs.Needs{Millicores: 4000, MemoryMB: 1000}, Divided: true,
	}}})
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Offered: structs.Credits{Any: 40}}})
}

// The hello was held up on its way, and the entry hears of its agent only after the next one
// has taken the worker over.
func TestLateHelloOfAnAgentNeverHeardOfDoesNotEndTheLivingOnesGrants(t *testing.T) {
	h := newTimedHarness(t)
	h.helloWithTenure(1, 2, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_000_500})
	h.connectDividedWorker(2, 2, 40) // another worker for what is repeated
	h.runJob("a", 6, 1000)
	granted := len(h.core.sessions["w1"].granted)
	h.True(granted > 0)
	h.helloWithTenure(3, 1, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_000_000})
	s := h.core.sessions["w1"]
	h.Equal(s.incarnation, structs.Incarnation(2))
	h.Equal(len(s.granted), granted)
	h.Equal(lastEffect[*CloseLink](h).Link, LinkID(3))

	h.helloWithTenure(4, 3, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_001_000})
	h.Equal(h.core.sessions["w1"].incarnation, structs.Incarnation(3))
}

// The clocks of two workers have nothing in common, so neither have the tokens that are derived
// from them.
func TestAgentOfALaterWorkerIsAcceptedWhateverItsToken(t *testing.T) {
	h := newTimedHarness(t)
	h.helloWithTenure(1, 1, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_900_000})
	h.helloWithTenure(2, 2, structs.Tenure{Born: 1_700_000_010_000, Token: 1_700_000_020_000})
	h.Equal(h.core.sessions["w1"].incarnation, structs.Incarnation(2))
	h.helloWithTenure(3, 3, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_950_000}) // held up
	h.Equal(h.core.sessions["w1"].incarnation, structs.Incarnation(2))
}

// A tenure is earlier than its predecessor's if the worker's time of day went back between two
// lives.
func TestAgentWithAnEarlierTenureIsAcceptedOnceTheOtherIsGivenUp(t *testing.T) {
	h := newTimedHarness(t)
	h.helloWithTenure(1, 1, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_002_000})
	h.helloWithTenure(2, 2, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_000_000})
	h.Equal(h.core.sessions["w1"].incarnation, structs.Incarnation(1))
	h.step(&LinkClosed{Link: 1})
	h.helloWithTenure(3, 2, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_000_000})
	h.Equal(h.core.sessions["w1"].incarnation, structs.Incarnation(1)) // its runs may go on
	h.advance(600 * time.Millisecond)
	h.helloWithTenure(4, 2, structs.Tenure{Born: 1_700_000_000_000, Token: 1_700_000_000_000})
	h.Equal(h.core.sessions["w1"].incarnation, structs.Incarnation(2))
}

// The hello was held up on its way, until the entry had given its agent up and the next one
// had taken the worker over.
func TestLateHelloOfAnAgentThatWasGivenUpDoesNotEndTheLivingOnesGrants(t *testing.T) {
	h := newTimedHarness(t)
	h.connectDividedWorker(1, 1, 40)
	h.step(&LinkClosed{Link: 1})
	h.advance(600 * time.Millisecond)
	h.Equal(h.core.sessions["w1"], nil)
	h.connectDividedWorker(2, 2, 40) // another worker for what is repeated
	h.connectDividedWorker(201, 3, 40)
	h.runJob("a", 4, 1000)
	granted := len(h.core.sessions["w1"].granted)
	h.hello(1, 1)
	s := h.core.sessions["w1"]
	h.Equal(s.incarnation, structs.Incarnation(3))
	h.Equal(len(s.granted), granted)
}
