package leased

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactuspost.example/internal/structs"
)

// harness drives one Core and collects its effects. The test sends the answers of
// its worker.
type harness struct {
	*is.I
	core *Core
	now  time.Time

	workerClock time.Duration
	serial      uint64
	effects     []Effect
}

func newHarness(t *testing.T) *harness {
	return &harness{I: is.New(t), core: New(Timing{}, 0), now: time.UnixMilli(1_000_000), workerClock: 100 * time.Second}
}

// newHeldHarness returns a harness whose core holds the lease on the worker.
func newHeldHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.tick(0)
	h.answerPoll(Fenced, Report{})
	h.answerPoll(Done, Report{})
	h.Equal(lastEffect[*AvailabilityChanged](h).Up, true)
	return h
}

func (h *harness) step(m Message) {
	h.core.Step(h.now, m)
	h.effects = append(h.effects, h.core.Effects()...)
}

func (h *harness) tick(d time.Duration) {
	h.now = h.now.Add(d)
	h.workerClock += d
	h.core.Tick(h.now)
	h.effects = append(h.effects, h.core.Effects()...)
}

// answerPoll answers a poll that was sent at the current time.
func (h *harness) answerPoll(result CallResult, r Report) {
	r.Clock = h.workerClock
	h.step(&PollAnswered{Result: result, SentAt: h.now, Token: lastEffect[*SendPoll](h).Token, Report: r})
}

// refusePollsUntil lets time pass on a worker that refuses connections.
func (h *harness) refusePollsUntil(end time.Time) {
	for h.now.Before(end) {
		h.tick(min(10*time.Millisecond, end.Sub(h.now)))
		for h.core.pollsInFlight > 0 {
			h.step(&PollAnswered{Result: ConnectionRefused, SentAt: h.now})
		}
	}
}

func (h *harness) newEnd(run RunID, reason EndReason) End {
	h.serial++
	return End{Serial: h.serial, Run: run, Reason: reason}
}

func (h *harness) requestStart(n uint64) RunID {
	h.step(&Start{Grant: grant(n)})
	return lastEffect[*SendStart](h).Run
}

func grant(n uint64) structs.Grant {
	return structs.Grant{ID: structs.GrantID{Owner: 1, Job: n, Attempt: 1}, Name: "job.0.0." + string(rune('a'+n)), Payload: []byte("x")}
}

// lastEffect returns the last effect of type E, or its zero value.
func lastEffect[E Effect](h *harness) E {
	var found E
	for _, e := range h.effects {
		if e, ok := e.(E); ok {
			found = e
		}
	}
	return found
}

func countEffects[E Effect](h *harness) int {
	n := 0
	for _, e := range h.effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

func TestTokenIsHigherThanThePredecessors(t *testing.T) {
	h := newHarness(t)
	h.tick(0)
	h.Equal(lastEffect[*SendPoll](h).Token, uint64(0))
	h.answerPoll(Fenced, Report{}) // the previous agent had a token
	first := lastEffect[*SendPoll](h).Token
	h.Equal(first, uint64(100_000))
	successor := &harness{I: h.I, core: New(Timing{}, 0), now: h.now, workerClock: h.workerClock + time.Millisecond}
	successor.tick(0)
	successor.answerPoll(Fenced, Report{})
	h.True(lastEffect[*SendPoll](successor).Token > first)
}

func TestRunsOfAPredecessorAreStoppedFirst(t *testing.T) {
	h := newHarness(t)
	h.tick(0)
	h.answerPoll(Done, Report{})
	foreign := RunID{Task: "old.0.0.0", Number: 3}
	h.answerPoll(Done, Report{Running: []RunID{foreign}})
	h.Equal(lastEffect[*SendStop](h).Run, foreign)
	h.Equal(countEffects[*AvailabilityChanged](h), 0) // no slot is offered yet
	h.tick(30 * time.Millisecond)
	h.answerPoll(Done, Report{})
	h.Equal(lastEffect[*AvailabilityChanged](h).Up, true)
}

func TestEndIsReportedOnce(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Done})
	end := h.newEnd(run, Completed)
	h.answerPoll(Done, Report{Ended: []End{end}})
	h.answerPoll(Done, Report{Ended: []End{end}}) // the answer of an overlapping poll
	h.Equal(countEffects[*Exited](h), 1)
	h.Equal(lastEffect[*Exited](h).Outcome, structs.Succeeded)
	h.Equal(lastEffect[*SendPoll](h).LastSeen, end.Serial)
}

func TestStartWithoutAnAnswerIsRevoked(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Unanswered})
	h.Equal(lastEffect[*SendStop](h).Run, run)
	h.Equal(countEffects[*Exited](h), 0) // the run may have started
	h.tick(time.Millisecond)
	h.step(&StopAnswered{Run: run, Result: Done})
	h.Equal(lastEffect[*SendPoll](h).Wait, time.Duration(0))
	h.tick(time.Millisecond)
	h.answerPoll(Done, Report{})
	h.Equal(lastEffect[*Exited](h).Outcome, structs.NotSent)
}

func TestRevokedStartThatRanIsNotReportedAsNotSent(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Unanswered})
	h.step(&StopAnswered{Run: run, Result: Done})
	h.tick(time.Millisecond)
	h.answerPoll(Done, Report{Ended: []End{h.newEnd(run, Stopped)}})
	h.Equal(lastEffect[*Exited](h).Outcome, structs.Stopped)
}

func TestStopWithoutAnAnswerIsRepeatedUntilTheStartHasExpired(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Unanswered})
	h.step(&StopAnswered{Run: run, Result: Unanswered})
	h.tick(retryInterval)
	h.Equal(countEffects[*SendStop](h), 2)
	h.tick(2 * defaultLease) // the worker would now reject the start request as late
	h.Equal(lastEffect[*Exited](h).Outcome, structs.Lost)
}

// A start that got no answer may have been executed although all stops were lost.
func TestRunWhoseStopsGotNoAnswerIsStoppedWhenItIsListed(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Unanswered})
	startExpiresAt := h.core.runsByTask[run.Task].leaseUntil
	for h.workerClock <= startExpiresAt+retryInterval {
		h.step(&StopAnswered{Run: run, Result: Unanswered})
		h.tick(retryInterval)
		h.answerPoll(Done, Report{Running: []RunID{run}})
	}
	h.step(&StopAnswered{Run: run, Result: Unanswered})
	stops := countEffects[*SendStop](h)
	h.tick(time.Millisecond)
	h.answerPoll(Done, Report{Running: []RunID{run}})
	h.tick(retryInterval)
	h.True(countEffects[*SendStop](h) > stops)
}

func TestUnresponsiveWorkerLosesItsRunsWhenTheLeaseExpires(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Done})
	h.tick(defaultUnresponsiveAfter + time.Millisecond)
	h.answerPoll(Unanswered, Report{})
	h.Equal(lastEffect[*AvailabilityChanged](h).Up, false)
	h.Equal(countEffects[*Exited](h), 0) // the run may still be active
	h.tick(defaultLease)
	h.answerPoll(Unanswered, Report{})
	h.tick(2 * defaultLease)
	h.Equal(lastEffect[*Exited](h).Outcome, structs.Lost)
}

// A refused connection says nothing about the runs, which go on until the lease
// expires; repeated before that, a task runs twice.
func TestRefusedConnectionDoesNotEndTheRuns(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Done})
	h.step(&PollAnswered{Result: ConnectionRefused, SentAt: h.now})
	h.Equal(lastEffect[*AvailabilityChanged](h).Up, false)
	h.Equal(countEffects[*Exited](h), 0)
	h.refusePollsUntil(h.core.leaseExpiresAt)
	h.Equal(countEffects[*Exited](h), 0)
	h.refusePollsUntil(h.core.leaseExpiresAt.Add(2 * refusedRetryInterval))
	h.Equal(lastEffect[*Exited](h).Outcome, structs.Lost)
}

// Only a process that is gone tells a crash from a worker that is cut off or suspended.
func TestLostRunTellsWhetherTheWorkersProcessEnded(t *testing.T) {
	for _, c := range []struct {
		start, poll CallResult
		crashed     bool
	}{{Done, ConnectionRefused, true}, {Done, Unanswered, false}, {Unanswered, ConnectionRefused, false}} {
		h := newHeldHarness(t)
		h.step(&StartAnswered{Run: h.requestStart(1), Result: c.start})
		for end := h.core.leaseExpiresAt.Add(2 * refusedRetryInterval); h.now.Before(end); {
			h.tick(10 * time.Millisecond)
			if h.core.pollsInFlight > 0 {
				h.step(&PollAnswered{Result: c.poll, SentAt: h.now})
			}
		}
		lost := lastEffect[*Exited](h)
		h.Equal(lost.Outcome, structs.Lost)
		h.Equal(lost.Crashed, c.crashed)
	}
}

// A higher fencing token at the worker ends no run, either.
func TestRejectedTokenDoesNotEndTheRuns(t *testing.T) {
	for _, reject := range []func(*harness){
		func(h *harness) { h.answerPoll(Fenced, Report{}) },
		func(h *harness) { h.step(&StartAnswered{Run: h.requestStart(2), Result: Fenced}) },
	} {
		h := newHeldHarness(t)
		run := h.requestStart(1)
		h.step(&StartAnswered{Run: run, Result: Done})
		reject(h)
		h.Equal(lastEffect[*AvailabilityChanged](h).Up, false)
		exitsOfRun := func() int {
			n := 0
			for _, e := range h.effects {
				if e, ok := e.(*Exited); ok && e.Task == run.Task {
					n++
				}
			}
			return n
		}
		expiresAt := h.core.leaseExpiresAt
		for h.now.Before(expiresAt) {
			h.Equal(exitsOfRun(), 0)
			h.Equal(countEffects[*WorkerLost](h), 0)
			h.tick(10 * time.Millisecond)
		}
		h.tick(10 * time.Millisecond)
		h.Equal(exitsOfRun(), 1)
		h.Equal(lastEffect[*WorkerLost](h).Cause, Fenced)
	}
}

// The caller with the higher token may have extended the lease of all runs on the worker.
func TestRunsOfAnOvertakenAgentAreNotLostBeforeTheLongestLeaseHasExpired(t *testing.T) {
	h := newHeldHarness(t)
	for range 10 { // until the lease that began before has expired
		h.tick(200 * time.Millisecond)
		h.answerPoll(Done, Report{})
	}
	h.step(&StartAnswered{Run: h.requestStart(1), Result: Done})
	h.answerPoll(Fenced, Report{})
	for end := h.now.Add(defaultMaxLease); h.now.Before(end); h.tick(10 * time.Millisecond) {
		h.Equal(countEffects[*Exited](h), 0)
	}
	h.tick(100 * time.Millisecond)
	h.Equal(lastEffect[*Exited](h).Outcome, structs.Lost)
	h.Equal(countEffects[*WorkerLost](h), 1)
}

func TestLateCallOfAnEarlierIncarnationDoesNotFenceTheAgent(t *testing.T) {
	h := newHarness(t)
	h.tick(0)
	h.answerPoll(Done, Report{Born: 1_000_000})
	tokenOfEarlier := lastEffect[*SendPoll](h).Token
	// The worker starts again 200 s later, and its clock with it.
	successor := &harness{I: h.I, core: New(Timing{}, 1_200_000), now: h.now, workerClock: 10 * time.Millisecond}
	successor.tick(0)
	successor.answerPoll(Done, Report{Born: 1_200_000})
	h.True(lastEffect[*SendPoll](successor).Token > tokenOfEarlier)
}

// A start may have reached the next incarnation, with or without an answer. Its task
// must not be repeated before the next agent has stopped what runs there.
func TestRunsAreNotReportedWhenTheWorkerIsReplaced(t *testing.T) {
	for _, result := range []CallResult{Done, Unanswered} {
		h := newHeldHarness(t)
		h.answerPoll(Done, Report{Born: 5})
		h.step(&StartAnswered{Run: h.requestStart(1), Result: result})
		h.answerPoll(Done, Report{Born: 6})
		h.Equal(lastEffect[*AvailabilityChanged](h).Up, false)
		h.tick(time.Millisecond)
		h.answerPoll(Done, Report{Born: 6})
		h.Equal(lastEffect[*WorkerLost](h).Cause, Replaced)
		h.tick(2 * defaultLease)
		h.Equal(countEffects[*Exited](h), 0)
	}
}

// A worker that has started again under its id knows neither the stop of a start that was
// left unanswered nor a fencing token, and its clock starts anew.
func TestLateStartOfAnEarlierLifeIsFencedOff(t *testing.T) {
	h := newHarness(t)
	h.tick(0)
	h.answerPoll(Done, Report{Born: 1_000_000})
	h.answerPoll(Done, Report{Born: 1_000_000})
	run := h.requestStart(1)
	late := lastEffect[*SendStart](h)
	h.step(&StartAnswered{Run: run, Result: Unanswered})
	h.step(&StopAnswered{Run: run, Result: Done})
	h.tick(time.Millisecond)
	h.answerPoll(Done, Report{Born: 1_000_000})
	h.Equal(lastEffect[*Exited](h).Outcome, structs.NotSent) // the task runs elsewhere from here on

	inFlight, earlier := h.now, h.core.Token()
	h.tick(100 * time.Millisecond)
	h.workerClock = 5 * time.Millisecond
	h.answerPoll(Done, Report{Born: 1_200_000})
	fence := lastEffect[*SendPoll](h)
	h.True(fence.Token > late.Token)
	h.Equal(fence.Until, time.Duration(0)) // what may run there gets no time
	h.Equal(fence.LastSeen, uint64(0))

	h.tick(time.Millisecond)
	h.step(&PollAnswered{Result: Done, SentAt: inFlight, Token: earlier, Report: Report{Born: 1_200_000}})
	h.step(&PollAnswered{Result: Fenced, SentAt: inFlight, Token: earlier, Report: Report{Born: 1_200_000}})
	h.step(&PollAnswered{Result: Done, SentAt: h.now, Token: fence.Token, Report: Report{Born: 1_000_000}}) // overtaken
	h.Equal(countEffects[*WorkerLost](h), 0)
	h.answerPoll(Done, Report{Born: 1_200_000, Running: []RunID{run}})
	h.Equal(*lastEffect[*SendStop](h), SendStop{Run: run, Token: fence.Token})
	h.Equal(countEffects[*WorkerLost](h), 0)
	h.tick(60 * time.Millisecond)
	h.answerPoll(Done, Report{Born: 1_200_000})
	h.Equal(lastEffect[*WorkerLost](h).Cause, Replaced)
}

// Entries wait for the runs of the agent until it ends.
func TestAgentEndsIfTheNextLifeCannotBeFencedOff(t *testing.T) {
	h := newHeldHarness(t)
	h.answerPoll(Done, Report{Born: 5})
	h.step(&StartAnswered{Run: h.requestStart(1), Result: Done})
	h.answerPoll(Done, Report{Born: 6})
	for end := h.now.Add(defaultMaxLease + 200*time.Millisecond); h.now.Before(end); {
		h.tick(10 * time.Millisecond)
		for h.core.pollsInFlight > 0 {
			h.answerPoll(Unanswered, Report{})
		}
	}
	h.Equal(lastEffect[*WorkerLost](h).Cause, Replaced)
	h.Equal(countEffects[*Exited](h), 0)
}

// Where the clock of a worker begins nobody says.
func TestNextLifeIsFencedOffThoughItsClockBeginsLower(t *testing.T) {
	h := newHarness(t)
	h.tick(0)
	h.answerPoll(Done, Report{Born: 1_000_000})
	h.answerPoll(Done, Report{Born: 1_000_000})
	used := lastEffect[*SendPoll](h).Token
	h.tick(time.Second)
	h.workerClock = 0
	h.answerPoll(Done, Report{Born: 1_001_000})
	fence := lastEffect[*SendPoll](h).Token
	h.True(fence > used)

	next := newHarness(t)
	next.core.SetTokenFloor(h.core.Token())
	next.workerClock = 10 * time.Millisecond
	next.tick(0)
	next.answerPoll(Done, Report{Born: 1_001_000})
	h.True(lastEffect[*SendPoll](next).Token > fence)
}

// An agent of a killed process has left nothing behind but the token that the worker knows.
// The clock of the worker's present life began two hours lower than that of the life before.
func TestAgentIsNotRejectedAfterTheRestartOfItsWorkerAndThenOfItsProcess(t *testing.T) {
	const bornAt, rebornAt = 1_700_000_000_000, 1_700_000_003_000
	first := newHarness(t)
	first.workerClock = 2 * time.Hour
	first.tick(0)
	first.answerPoll(Done, Report{Born: bornAt})
	first.answerPoll(Done, Report{Born: bornAt})
	first.workerClock = 0
	first.answerPoll(Done, Report{Born: rebornAt}) // the agent fences the new life
	second := newHarness(t)
	second.workerClock = time.Second
	second.core.SetTokenFloor(first.core.Token())
	second.tick(0)
	second.answerPoll(Done, Report{Born: rebornAt})
	known := second.core.Token()

	next := newHarness(t)
	next.core = New(Timing{}, rebornAt)
	next.workerClock = 3 * time.Second
	next.tick(0)
	next.answerPoll(Fenced, Report{})
	next.True(lastEffect[*SendPoll](next).Token > known)
}

// The calls of a killed agent may be executed in the next life of its worker, whose clock
// begins lower: their token must not be higher than that of the agent there.
func TestLateCallsOfAKilledAgentAreRejectedInTheNextLife(t *testing.T) {
	for _, lower := range []time.Duration{time.Millisecond, 2 * time.Hour, 30 * 24 * time.Hour} {
		killed := newHarness(t)
		killed.workerClock = lower
		killed.tick(0)
		killed.answerPoll(Done, Report{Born: 1_700_000_000_000})
		next := newHarness(t)
		next.core = New(Timing{}, 1_700_000_003_000)
		next.workerClock = 0
		next.tick(0)
		next.answerPoll(Done, Report{Born: 1_700_000_003_000})
		next.True(next.core.Token() > killed.core.Token())
	}
}

// An agent that was told of an earlier life of the worker must not outrank those of the
// present one: the first agent of a process that is rejected ends.
func TestAgentWithAStaleAnnouncementDoesNotRaiseItsToken(t *testing.T) {
	h := newHarness(t)
	h.core = New(Timing{}, 1_700_000_000_000)
	h.tick(0)
	h.answerPoll(Fenced, Report{})
	derived := h.core.Token()
	h.answerPoll(Fenced, Report{})
	h.Equal(*lastEffect[*WorkerLost](h), WorkerLost{Cause: Fenced, Token: derived})
}

// newRejectedAgain returns an agent of a process whose agent before it was rejected by the
// same life of the worker. It has polled with its token.
func newRejectedAgain(t *testing.T) *harness {
	first := newHarness(t)
	first.core = New(Timing{}, 1_700_000_000_000)
	first.tick(0)
	first.answerPoll(Fenced, Report{})
	first.answerPoll(Fenced, Report{})
	h := newHarness(t)
	h.core = New(Timing{}, 1_700_000_000_000)
	h.core.SetTokenFloor(lastEffect[*WorkerLost](first).Token)
	h.tick(0)
	h.answerPoll(Fenced, Report{})
	return h
}

// The time of day may have gone back between two lives, and an agent of another process may
// have taken that into account: only the worker knows its token.
func TestAgentRaisesItsTokenUntilTheWorkerAcceptsIt(t *testing.T) {
	h := newRejectedAgain(t)
	known := h.core.Token() + 10_000*bornWeight
	polls := 0
	for h.core.Token() < known {
		h.tick(time.Millisecond)
		h.answerPoll(Fenced, Report{})
		h.Equal(countEffects[*WorkerLost](h), 0)
		polls++
	}
	h.True(polls < 20)
	h.True(h.core.Token() < known+20_000*bornWeight)
	h.answerPoll(Done, Report{Born: 1_700_000_000_000})
	h.Equal(lastEffect[*AvailabilityChanged](h).Up, true)
}

// Answers overtake each other, and a poll that was left unanswered may be answered late.
func TestRejectionOfAnEarlierTokenDoesNotRaiseThePresentOne(t *testing.T) {
	h := newRejectedAgain(t)
	derived := h.core.Token()
	h.answerPoll(Fenced, Report{})
	raised := h.core.Token()
	h.True(raised > derived)
	h.step(&PollAnswered{Result: Fenced, SentAt: h.now, Token: derived})
	h.Equal(h.core.Token(), raised)
}

// A worker that rejects every token is given up: the next agent begins anew.
func TestAgentEndsIfNoTokenIsAccepted(t *testing.T) {
	h := newRejectedAgain(t)
	for range 100 {
		h.answerPoll(Fenced, Report{})
		h.tick(time.Millisecond)
	}
	h.Equal(lastEffect[*WorkerLost](h).Cause, Fenced)
	h.True(h.core.Token() <= maxToken)
}

func TestNextIncarnationIsLookedForSoonerWhileAStartMayBeLate(t *testing.T) {
	polls := func(result CallResult) int {
		h := newHeldHarness(t)
		run := h.requestStart(1)
		h.step(&StartAnswered{Run: run, Result: result})
		h.step(&StopAnswered{Run: run, Result: Done})
		h.answerPoll(ConnectionRefused, Report{})
		before := countEffects[*SendPoll](h)
		h.refusePollsUntil(h.now.Add(300 * time.Millisecond))
		return countEffects[*SendPoll](h) - before
	}
	h := newHarness(t)
	h.True(polls(Done) <= 4)
	h.True(polls(Unanswered) >= 9)
}

// Every poll renews the lease of all runs, so a run whose stop gets no answer would
// go on until its entry repeats the task.
func TestLeaseIsNotRenewedWhileAStopGetsNoAnswer(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Done})
	h.step(&Stop{Grant: grant(1).ID})
	stopRequestedAt := h.workerClock
	for h.workerClock-stopRequestedAt < 2*defaultLease {
		h.step(&StopAnswered{Run: run, Result: Unanswered})
		h.tick(retryInterval)
		leaseUntil := time.Duration(0)
		for _, e := range h.effects {
			if poll, ok := e.(*SendPoll); ok {
				leaseUntil = max(leaseUntil, poll.Until)
			}
		}
		if h.workerClock > leaseUntil {
			h.True(leaseUntil-stopRequestedAt <= maxStopTime)
			return
		}
		h.answerPoll(Done, Report{Running: []RunID{run}})
	}
	h.Fail() // the lease was renewed all the while
}

// The entry of a run may have ended, and its client sends the job again after a known
// time. By then the run must be gone, also if neither a poll nor a stop reaches the
// worker any more.
func TestLeaseEndsByTheBoundOfTheRuns(t *testing.T) {
	h := newHeldHarness(t)
	h.step(&StartAnswered{Run: h.requestStart(1), Result: Done})
	bound := h.now.Add(500 * time.Millisecond)
	h.step(&Bound{At: bound})
	h.core.leaseExpiresAt = h.now
	for range 100 {
		h.tick(10 * time.Millisecond)
		h.True(!h.core.leaseExpiresAt.After(bound))
		if h.core.pollsInFlight > 0 {
			h.answerPoll(Done, Report{Running: []RunID{{Task: grant(1).Name, Number: 1}}})
		}
	}
	h.Equal(lastEffect[*RunsLost](h).Runs, 1)
	h.step(&Start{Grant: grant(2)})
	h.Equal(lastEffect[*Exited](h).Outcome, structs.NotSent) // no lease is left to start it under
	h.step(&Bound{})
	h.tick(10 * time.Millisecond)
	h.answerPoll(Done, Report{})
	h.requestStart(3)
	h.True(h.core.leaseExpiresAt.Sub(h.now) > defaultLease)
}

func TestPollsOverlapWhileRunsAreActive(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Done})
	before := countEffects[*SendPoll](h)
	h.tick(overlapPollAfter + time.Millisecond)
	h.Equal(countEffects[*SendPoll](h), before+1)
	for range 10 {
		h.tick(overlapPollAfter + time.Millisecond)
	}
	h.True(h.core.pollsInFlight <= maxConcurrentPolls)
}

func TestBrokenConnectionsAreNotRetriedInALoop(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Unanswered})
	polls, stops := countEffects[*SendPoll](h), countEffects[*SendStop](h)
	const step = time.Millisecond
	for range retryInterval / step {
		for range maxConcurrentPolls {
			if h.core.pollsInFlight > 0 {
				h.answerPoll(Unanswered, Report{})
			}
		}
		h.step(&StopAnswered{Run: run, Result: Unanswered})
		h.tick(step)
	}
	h.True(countEffects[*SendPoll](h)-polls <= 2)
	h.True(countEffects[*SendStop](h)-stops <= 2)
}

func TestSecondRunOfATaskIsRejectedUntilTheFirstEnds(t *testing.T) {
	h := newHeldHarness(t)
	h.requestStart(1)
	again := grant(1)
	again.ID.Owner = 2 // the job was resubmitted to another entry
	h.step(&Start{Grant: again})
	h.Equal(countEffects[*SendStart](h), 1)
	h.Equal(lastEffect[*Exited](h).Outcome, structs.NotSent)
}

func TestRunNumbersIncrease(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Done})
	h.answerPoll(Done, Report{Ended: []End{h.newEnd(run, Failed)}})
	h.True(h.requestStart(1).Number > run.Number)
}

// TestTaskNeverRunsAfterItsEndIsReported simulates a worker that loses answers,
// executes requests late and ends runs. It guards against reporting a task as ended
// or not started while it still runs.
func TestTaskNeverRunsAfterItsEndIsReported(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		for range 300 {
			s.randomAction()
		}
	})
}

// TestAgentHoldsItsWorkerWhereverTheClocksOfItsLivesBegin guards against agents that a worker
// rejects for good, because an agent of an earlier process had a higher token, and against
// late calls of earlier agents that are executed beside the present one.
func TestAgentHoldsItsWorkerWhereverTheClocksOfItsLivesBegin(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		for range 100 {
			s.randomAction()
		}
		s.awaitTakeover()
	})
}

// startedRun starts a run that the worker accepts.
func (h *harness) startedRun() RunID {
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Done})
	return run
}

func TestEndSaysWhatItWasConcludedFrom(t *testing.T) {
	// takeoverLease is the lease that an agent assumes when it takes a worker over,
	// with its margins.
	const takeoverLease = defaultMaxLease + defaultMaxLease*3/100 + expiryMargin
	for name, c := range map[string]struct {
		end       func(*harness)
		concluded Conclusion
		leaseLeft time.Duration
	}{
		"end listed": {func(h *harness) {
			h.answerPoll(Done, Report{Ended: []End{h.newEnd(h.startedRun(), LeaseExpired)}})
		}, EndListed, takeoverLease},
		"start rejected": {func(h *harness) { h.step(&StartAnswered{Run: h.requestStart(1), Result: Full}) }, StartRejected, takeoverLease},
		"start revoked": {func(h *harness) {
			run := h.requestStart(1)
			h.step(&StartAnswered{Run: run, Result: Unanswered})
			h.step(&StopAnswered{Run: run, Result: Done})
			h.tick(time.Millisecond)
			h.answerPoll(Done, Report{})
		}, StartRevoked, takeoverLease - time.Millisecond},
		"start late": {func(h *harness) {
			run := h.requestStart(1)
			h.step(&StartAnswered{Run: run, Result: Unanswered})
			h.tick(defaultLease + retryInterval) // the worker would now reject the start request
			h.step(&StopAnswered{Run: run, Result: Unanswered})
			h.tick(time.Millisecond)
			h.answerPoll(Done, Report{})
		}, StartLate, takeoverLease - defaultLease - retryInterval - time.Millisecond},
		"missing": {func(h *harness) {
			h.startedRun()
			h.tick(time.Millisecond)
			h.answerPoll(Done, Report{})
		}, MissingFromList, takeoverLease - time.Millisecond},
		"lease expired": {func(h *harness) {
			h.startedRun()
			h.tick(2 * defaultLease)
		}, LeaseOver, takeoverLease - 2*defaultLease},
		"lease expired after a refused connection": {func(h *harness) {
			h.startedRun()
			h.answerPoll(ConnectionRefused, Report{})
			h.tick(2 * defaultLease)
		}, LeaseOver, takeoverLease - 2*defaultLease},
		"lease expired after the token was rejected": {func(h *harness) {
			h.startedRun()
			h.answerPoll(Fenced, Report{})
			h.tick(2 * defaultLease)
		}, LeaseOver, takeoverLease - 2*defaultLease},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHeldHarness(t)
			c.end(h)
			exited := lastEffect[*Exited](h)
			h.Equal(exited.Concluded, c.concluded)
			h.Equal(exited.Number, uint64(1))
			h.Equal(exited.LeaseLeft, c.leaseLeft)
		})
	}
}

func TestRunThatOutlivesItsStopsIsReportedOnce(t *testing.T) {
	h := newHeldHarness(t)
	run := h.requestStart(1)
	h.step(&StartAnswered{Run: run, Result: Unanswered})
	h.step(&StopAnswered{Run: run, Result: Unanswered})
	h.tick(time.Millisecond)
	h.answerPoll(Done, Report{Running: []RunID{run}}) // the next stop is scheduled
	h.tick(retryInterval)
	h.answerPoll(Done, Report{Running: []RunID{run}}) // the next stop is in flight
	h.Equal(countEffects[*SendStop](h), 2)
	h.Equal(countEffects[*StoppedRunListed](h), 0)
	h.tick(defaultLease)
	h.step(&StopAnswered{Run: run, Result: Unanswered}) // the worker would now reject the start request
	for range 2 {
		h.tick(time.Millisecond)
		h.answerPoll(Done, Report{Running: []RunID{run}})
	}
	h.Equal(countEffects[*StoppedRunListed](h), 1)
	listed := lastEffect[*StoppedRunListed](h)
	listed.LeaseLeft = 0
	h.Equal(*listed, StoppedRunListed{Grant: grant(1).ID, Run: run, State: "expired", Attempts: 2})
	h.Equal(countEffects[*SendStop](h), 3)
	h.Equal(countEffects[*Exited](h), 0)
}

func TestRunsLostAreCountedOnce(t *testing.T) {
	h := newHeldHarness(t)
	h.startedRun()
	h.answerPoll(ConnectionRefused, Report{})
	h.Equal(countEffects[*RunsLost](h), 0)
	h.tick(2 * defaultLease)
	h.tick(2 * defaultLease) // no run is left
	h.Equal(countEffects[*RunsLost](h), 1)
	h.Equal(lastEffect[*RunsLost](h).Runs, 1)
	h.True(lastEffect[*RunsLost](h).LeaseLeft < 0)
	h.answerPoll(Fenced, Report{})
	h.tick(time.Millisecond)
	h.Equal(*lastEffect[*WorkerLost](h), WorkerLost{Cause: Fenced, Token: h.core.token})
}

func TestForeignRunIsReportedOnceAndStoppedEachTime(t *testing.T) {
	h := newHeldHarness(t)
	foreign := RunID{Task: "old.0.0.0", Number: 3}
	for range 3 {
		h.tick(time.Millisecond)
		h.answerPoll(Done, Report{Running: []RunID{foreign}})
	}
	h.Equal(countEffects[*SendStop](h), 3)
	h.Equal(countEffects[*ForeignRunListed](h), 1)
	h.Equal(*lastEffect[*ForeignRunListed](h), ForeignRunListed{Run: foreign, Token: h.core.token})
}

func TestForeignRunThatThisAgentRequestedIsMarked(t *testing.T) {
	h := newHeldHarness(t)
	run := h.startedRun()
	h.tick(2 * defaultLease) // the run is given up
	h.answerPoll(Done, Report{Running: []RunID{run}})
	h.Equal(*lastEffect[*ForeignRunListed](h), ForeignRunListed{Run: run, Requested: true, Token: h.core.token})
}

func TestStoppedRunIsReportedOnlyIfItGoesOn(t *testing.T) {
	h := newHeldHarness(t)
	run := h.startedRun()
	h.step(&Stop{Grant: grant(1).ID})
	h.step(&StopAnswered{Run: run, Result: Done})
	h.tick(stopOverdueAfter - time.Millisecond)
	h.answerPoll(Done, Report{Running: []RunID{run}}) // the run is about to end
	h.Equal(countEffects[*StoppedRunListed](h), 0)
	h.tick(time.Millisecond)
	h.answerPoll(Done, Report{Running: []RunID{run}})
	listed := lastEffect[*StoppedRunListed](h)
	h.Equal(listed.Run, run)
	h.Equal(listed.State, "stopping")
	h.Equal(listed.Executed, true)
}

func TestOverdueStopIsReportedOnce(t *testing.T) {
	h := newHeldHarness(t)
	run := h.startedRun()
	h.step(&Stop{Grant: grant(1).ID})
	h.step(&StopAnswered{Run: run, Result: Unanswered})
	h.tick(retryInterval)
	h.step(&StopAnswered{Run: run, Result: Done})
	h.Equal(countEffects[*StopOverdue](h), 0)
	h.tick(stopOverdueAfter - retryInterval)
	h.Equal(*lastEffect[*StopOverdue](h), StopOverdue{
		Grant: grant(1).ID, Run: run, State: "stopping", Attempts: 2, Executed: true,
		Elapsed: stopOverdueAfter, Limit: stopOverdueAfter, LeaseLeft: h.core.leaseExpiresAt.Sub(h.now),
	})
	h.tick(stopOverdueAfter)
	h.Equal(countEffects[*StopOverdue](h), 1)
}

func TestEndSaysHowLongTheStopTook(t *testing.T) {
	h := newHeldHarness(t)
	run := h.startedRun()
	h.step(&Stop{Grant: grant(1).ID})
	h.tick(retryInterval)
	h.step(&StopAnswered{Run: run, Result: Unanswered})
	h.tick(retryInterval)
	h.answerPoll(Done, Report{Ended: []End{h.newEnd(run, Stopped)}})
	h.Equal(lastEffect[*Exited](h).StopTime, 2*retryInterval)
}
