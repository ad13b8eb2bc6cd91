package leased

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cactuspost.example/internal/structs"
)

// bench drives one core; the test plays the worker.
type bench struct {
	*is.I
	core *Core
	now  time.Time
	// clock is the worker's clock.
	clock   time.Duration
	serial  uint64
	effects []Effect
}

func newBench(t *testing.T) *bench {
	return &bench{I: is.New(t), core: New(Tuning{}, 0), now: time.UnixMilli(1_000_000), clock: 100 * time.Second}
}

// heldBench has taken the worker over.
func heldBench(t *testing.T) *bench {
	b := newBench(t)
	b.tick(0)
	b.look(Fenced, Report{})
	b.look(Done, Report{})
	b.Equal(last[*Available](b).Up, true)
	return b
}

func (b *bench) step(m Message) {
	b.core.Step(b.now, m)
	b.effects = append(b.effects, b.core.Effects()...)
}

func (b *bench) tick(d time.Duration) {
	b.now = b.now.Add(d)
	b.clock += d
	b.core.Tick(b.now)
	b.effects = append(b.effects, b.core.Effects()...)
}

// look answers a look that was sent now.
func (b *bench) look(v Verdict, r Report) {
	r.Clock = b.clock
	b.step(&Looked{Verdict: v, Began: b.now, Report: r})
}

func (b *bench) end(run RunID, how How) End {
	b.serial++
	return End{Serial: b.serial, Run: run, How: how}
}

func (b *bench) start(n uint64) RunID {
	b.step(&Start{Grant: grant(n)})
	return last[*SendStart](b).Run
}

func grant(n uint64) structs.Grant {
	return structs.Grant{ID: structs.GrantID{Owner: 1, Job: n, Attempt: 1}, Name: "job.0.0." + string(rune('a'+n)), Payload: []byte("x")}
}

// last returns the last effect of the type, or its zero value.
func last[E Effect](b *bench) E {
	var found E
	for _, e := range b.effects {
		if e, ok := e.(E); ok {
			found = e
		}
	}
	return found
}

func count[E Effect](b *bench) int {
	n := 0
	for _, e := range b.effects {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}

func TestTokenIsHigherThanThePredecessors(t *testing.T) {
	b := newBench(t)
	b.tick(0)
	b.Equal(last[*Look](b).Token, uint64(0))
	b.look(Fenced, Report{}) // the predecessor had a token
	first := last[*Look](b).Token
	b.Equal(first, uint64(100_000))
	successor := &bench{I: b.I, core: New(Tuning{}, 0), now: b.now, clock: b.clock + time.Millisecond}
	successor.tick(0)
	successor.look(Fenced, Report{})
	b.True(last[*Look](successor).Token > first)
}

func TestRunsOfAPredecessorAreStoppedFirst(t *testing.T) {
	b := newBench(t)
	b.tick(0)
	b.look(Done, Report{})
	stranger := RunID{Task: "old.0.0.0", Number: 3}
	b.look(Done, Report{Running: []RunID{stranger}})
	b.Equal(last[*SendStop](b).Run, stranger)
	b.Equal(count[*Available](b), 0) // nothing is offered yet
	b.tick(30 * time.Millisecond)
	b.look(Done, Report{})
	b.Equal(last[*Available](b).Up, true)
}

func TestEndIsReportedOnce(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Done})
	end := b.end(run, Completed)
	b.look(Done, Report{Ended: []End{end}})
	b.look(Done, Report{Ended: []End{end}}) // two looks overlap
	b.Equal(count[*Exited](b), 1)
	b.Equal(last[*Exited](b).Outcome, structs.Succeeded)
	b.Equal(last[*Look](b).LastSeen, end.Serial)
}

func TestStartWithoutAnAnswerIsRevoked(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Unanswered})
	b.Equal(last[*SendStop](b).Run, run)
	b.Equal(count[*Exited](b), 0) // it may run now
	b.tick(time.Millisecond)
	b.step(&StopAnswered{Run: run, Verdict: Done})
	b.Equal(last[*Look](b).Wait, time.Duration(0))
	b.tick(time.Millisecond)
	b.look(Done, Report{})
	b.Equal(last[*Exited](b).Outcome, structs.NotSent)
}

func TestRevokedStartThatHadRunIsNotCalledUnsent(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Unanswered})
	b.step(&StopAnswered{Run: run, Verdict: Done})
	b.tick(time.Millisecond)
	b.look(Done, Report{Ended: []End{b.end(run, Halted)}})
	b.Equal(last[*Exited](b).Outcome, structs.Stopped)
}

func TestStopWithoutAnAnswerIsRepeatedUntilTheStartHasExpired(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Unanswered})
	b.step(&StopAnswered{Run: run, Verdict: Unanswered})
	b.tick(retryPause)
	b.Equal(count[*SendStop](b), 2)
	b.tick(2 * defaultLease) // the start order would be refused as late now
	b.Equal(last[*Exited](b).Outcome, structs.Lost)
}

func TestSilentWorkerLosesItsRunsWhenTheLeaseIsOver(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Done})
	b.tick(defaultPatience + time.Millisecond)
	b.look(Unanswered, Report{})
	b.Equal(last[*Available](b).Up, false)
	b.Equal(count[*Exited](b), 0) // it may still run
	b.tick(defaultLease)
	b.look(Unanswered, Report{})
	b.tick(2 * defaultLease)
	b.Equal(last[*Exited](b).Outcome, structs.Lost)
}

func TestWorkerThatAcceptsNoConnectionIsGone(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Done})
	b.step(&Looked{Verdict: Unreached, Began: b.now})
	b.Equal(last[*Exited](b).Outcome, structs.Lost)
	b.Equal(last[*Available](b).Up, false)
}

func TestAnotherLifeOfTheWorkerEndsTheTenure(t *testing.T) {
	b := heldBench(t)
	b.look(Done, Report{Born: 5})
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Done})
	b.look(Done, Report{Born: 6})
	b.Equal(last[*Exited](b).Outcome, structs.Lost)
	b.Equal(last[*Over](b).Cause, Replaced)
}

func TestLookIsOvertakenWhileRunsAreOut(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Done})
	before := count[*Look](b)
	b.tick(overtakeAfter + time.Millisecond)
	b.Equal(count[*Look](b), before+1)
	for range 10 {
		b.tick(overtakeAfter + time.Millisecond)
	}
	b.True(b.core.looks <= maxLooks)
}

func TestWorkerThatBreaksConnectionsIsNotCalledInALoop(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Unanswered})
	looks, stops := count[*Look](b), count[*SendStop](b)
	const step = time.Millisecond
	for range retryPause / step {
		for range maxLooks {
			if b.core.looks > 0 {
				b.look(Unanswered, Report{})
			}
		}
		b.step(&StopAnswered{Run: run, Verdict: Unanswered})
		b.tick(step)
	}
	b.True(count[*Look](b)-looks <= 2)
	b.True(count[*SendStop](b)-stops <= 2)
}

func TestSecondRunOfATaskWaitsForTheEndOfTheFirst(t *testing.T) {
	b := heldBench(t)
	b.start(1)
	again := grant(1)
	again.ID.Owner = 2 // another entry got the job again
	b.step(&Start{Grant: again})
	b.Equal(count[*SendStart](b), 1)
	b.Equal(last[*Exited](b).Outcome, structs.NotSent)
}

func TestRunNumbersRise(t *testing.T) {
	b := heldBench(t)
	run := b.start(1)
	b.step(&StartAnswered{Run: run, Verdict: Done})
	b.look(Done, Report{Ended: []End{b.end(run, Failed)}})
	b.True(b.start(1).Number > run.Number)
}

// TestRandomOrdersNeverOverlap plays a worker that loses answers, carries orders
// out late and ends runs, and checks that a task that was reported as ended or
// not started never runs after that.
func TestRandomOrdersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt)
		for range 300 {
			w.act()
		}
	})
}
