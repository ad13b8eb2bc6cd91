package leased

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactuspost.example/internal/structs"
)

// fixture drives a Core; the test takes the role of the worker.
type fixture struct {
	*is.I
	core *Core
	now  time.Time

	workerClock time.Duration
	serial      uint64
	effects     []Effect
}

func newFixture(t *testing.T) *fixture {
	return &fixture{I: is.New(t), core: New(Timing{}, 0), now: time.UnixMilli(1_000_000), workerClock: 100 * time.Second}
}

// newHeldFixture returns a fixture whose core holds the lease on the worker.
func newHeldFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.tick(0)
	f.answerPoll(Fenced, Report{})
	f.answerPoll(Done, Report{})
	f.Equal(last[*AvailabilityChanged](f).Up, true)
	return f
}

func (f *fixture) step(m Message) {
	f.core.Step(f.now, m)
	f.effects = append(f.effects, f.core.Effects()...)
}

func (f *fixture) tick(d time.Duration) {
	f.now = f.now.Add(d)
	f.workerClock += d
	f.core.Tick(f.now)
	f.effects = append(f.effects, f.core.Effects()...)
}

// answerPoll answers a poll that was sent at the current time.
func (f *fixture) answerPoll(result CallResult, r Report) {
	r.Clock = f.workerClock
	f.step(&PollAnswered{Result: result, SentAt: f.now, Report: r})
}

func (f *fixture) newEnd(run RunID, reason EndReason) End {
	f.serial++
	return End{Serial: f.serial, Run: run, Reason: reason}
}

func (f *fixture) requestStart(n uint64) RunID {
	f.step(&Start{Grant: grant(n)})
	return last[*SendStart](f).Run
}

func grant(n uint64) structs.Grant {
	return structs.Grant{ID: structs.GrantID{Owner: 1, Job: n, Attempt: 1}, Name: "job.0.0." + string(rune('a'+n)), Payload: []byte("x")}
}

// last returns the last effect of type E, or its zero value.
func last[E Effect](f *fixture) E {
	var found E
	for _, e := range f.effects {
		if e, ok := e.(E); ok {
			found = e
		}
	}
	return found
}

func count[E Effect](f *fixture) int {
	n := 0
	for _, e := range f.effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

func TestTokenIsHigherThanThePredecessors(t *testing.T) {
	f := newFixture(t)
	f.tick(0)
	f.Equal(last[*SendPoll](f).Token, uint64(0))
	f.answerPoll(Fenced, Report{}) // the previous agent had a token
	first := last[*SendPoll](f).Token
	f.Equal(first, uint64(100_000))
	successor := &fixture{I: f.I, core: New(Timing{}, 0), now: f.now, workerClock: f.workerClock + time.Millisecond}
	successor.tick(0)
	successor.answerPoll(Fenced, Report{})
	f.True(last[*SendPoll](successor).Token > first)
}

func TestRunsOfAPredecessorAreStoppedFirst(t *testing.T) {
	f := newFixture(t)
	f.tick(0)
	f.answerPoll(Done, Report{})
	foreign := RunID{Task: "old.0.0.0", Number: 3}
	f.answerPoll(Done, Report{Running: []RunID{foreign}})
	f.Equal(last[*SendStop](f).Run, foreign)
	f.Equal(count[*AvailabilityChanged](f), 0) // no slot is offered yet
	f.tick(30 * time.Millisecond)
	f.answerPoll(Done, Report{})
	f.Equal(last[*AvailabilityChanged](f).Up, true)
}

func TestEndIsReportedOnce(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Done})
	end := f.newEnd(run, Completed)
	f.answerPoll(Done, Report{Ended: []End{end}})
	f.answerPoll(Done, Report{Ended: []End{end}}) // the answer of an overlapping poll
	f.Equal(count[*Exited](f), 1)
	f.Equal(last[*Exited](f).Outcome, structs.Succeeded)
	f.Equal(last[*SendPoll](f).LastSeen, end.Serial)
}

func TestStartWithoutAnAnswerIsRevoked(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Unanswered})
	f.Equal(last[*SendStop](f).Run, run)
	f.Equal(count[*Exited](f), 0) // the run may have started
	f.tick(time.Millisecond)
	f.step(&StopAnswered{Run: run, Result: Done})
	f.Equal(last[*SendPoll](f).Wait, time.Duration(0))
	f.tick(time.Millisecond)
	f.answerPoll(Done, Report{})
	f.Equal(last[*Exited](f).Outcome, structs.NotSent)
}

func TestRevokedStartThatRanIsNotReportedAsNotSent(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Unanswered})
	f.step(&StopAnswered{Run: run, Result: Done})
	f.tick(time.Millisecond)
	f.answerPoll(Done, Report{Ended: []End{f.newEnd(run, Stopped)}})
	f.Equal(last[*Exited](f).Outcome, structs.Stopped)
}

func TestStopWithoutAnAnswerIsRepeatedUntilTheStartHasExpired(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Unanswered})
	f.step(&StopAnswered{Run: run, Result: Unanswered})
	f.tick(retryInterval)
	f.Equal(count[*SendStop](f), 2)
	f.tick(2 * defaultLease) // the worker would now reject the start request as late
	f.Equal(last[*Exited](f).Outcome, structs.Lost)
}

func TestUnresponsiveWorkerLosesItsRunsWhenTheLeaseExpires(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Done})
	f.tick(defaultUnresponsiveAfter + time.Millisecond)
	f.answerPoll(Unanswered, Report{})
	f.Equal(last[*AvailabilityChanged](f).Up, false)
	f.Equal(count[*Exited](f), 0) // the run may still be active
	f.tick(defaultLease)
	f.answerPoll(Unanswered, Report{})
	f.tick(2 * defaultLease)
	f.Equal(last[*Exited](f).Outcome, structs.Lost)
}

func TestRefusedConnectionLosesTheRuns(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Done})
	f.step(&PollAnswered{Result: ConnectionRefused, SentAt: f.now})
	f.Equal(last[*Exited](f).Outcome, structs.Lost)
	f.Equal(last[*AvailabilityChanged](f).Up, false)
}

func TestNewWorkerIncarnationEndsTheLease(t *testing.T) {
	f := newHeldFixture(t)
	f.answerPoll(Done, Report{Born: 5})
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Done})
	f.answerPoll(Done, Report{Born: 6})
	f.Equal(last[*Exited](f).Outcome, structs.Lost)
	f.Equal(last[*WorkerLost](f).Cause, Replaced)
}

func TestPollsOverlapWhileRunsAreActive(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Done})
	before := count[*SendPoll](f)
	f.tick(overlapPollAfter + time.Millisecond)
	f.Equal(count[*SendPoll](f), before+1)
	for range 10 {
		f.tick(overlapPollAfter + time.Millisecond)
	}
	f.True(f.core.pollsInFlight <= maxConcurrentPolls)
}

func TestBrokenConnectionsAreNotRetriedInALoop(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Unanswered})
	polls, stops := count[*SendPoll](f), count[*SendStop](f)
	const step = time.Millisecond
	for range retryInterval / step {
		for range maxConcurrentPolls {
			if f.core.pollsInFlight > 0 {
				f.answerPoll(Unanswered, Report{})
			}
		}
		f.step(&StopAnswered{Run: run, Result: Unanswered})
		f.tick(step)
	}
	f.True(count[*SendPoll](f)-polls <= 2)
	f.True(count[*SendStop](f)-stops <= 2)
}

func TestSecondRunOfATaskIsRejectedUntilTheFirstEnds(t *testing.T) {
	f := newHeldFixture(t)
	f.requestStart(1)
	again := grant(1)
	again.ID.Owner = 2 // the job was resubmitted to another entry
	f.step(&Start{Grant: again})
	f.Equal(count[*SendStart](f), 1)
	f.Equal(last[*Exited](f).Outcome, structs.NotSent)
}

func TestRunNumbersIncrease(t *testing.T) {
	f := newHeldFixture(t)
	run := f.requestStart(1)
	f.step(&StartAnswered{Run: run, Result: Done})
	f.answerPoll(Done, Report{Ended: []End{f.newEnd(run, Failed)}})
	f.True(f.requestStart(1).Number > run.Number)
}

// TestTaskNeverRunsAfterItsEndIsReported simulates a worker that loses answers,
// executes requests late and ends runs. It guards against reporting a task as ended
// or not started while it still runs.
func TestTaskNeverRunsAfterItsEndIsReported(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(rt)
		for range 300 {
			s.randomStep()
		}
	})
}
