package leased

import (
	"time"

	"pgregory.net/rapid"

	"cactuspost.example/internal/structs"
)

// simulation is a worker with a lease behind a network that loses answers and
// delivers requests late.
type simulation struct {
	t           *rapid.T
	core        *Core
	now         time.Time
	leaseUntil  time.Duration
	workerClock time.Duration
	// running holds the number of the active run, and highestRun the highest number
	// that was stopped or ended, by task.
	running    map[string]uint64
	highestRun map[string]uint64
	ended      []End
	serial     uint64
	// delayed holds requests and answers that are delivered later.
	delayed []func()
	// reported holds the runs whose end was reported, activeGrants the grants whose
	// end was not.
	reported     map[RunID]bool
	activeGrants map[structs.GrantID]bool
	nextGrant    uint64
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t: t, core: New(Timing{}, 0), now: time.UnixMilli(1_000_000), workerClock: time.Minute,
		running: map[string]uint64{}, highestRun: map[string]uint64{}, reported: map[RunID]bool{}, activeGrants: map[structs.GrantID]bool{},
	}
	s.advance(0)
	return s
}

// randomAction performs one random action.
func (s *simulation) randomAction() {
	switch rapid.IntRange(0, 9).Draw(s.t, "action") {
	case 0, 1, 2:
		s.advance(time.Duration(rapid.IntRange(1, 60).Draw(s.t, "ms")) * time.Millisecond)
	case 3, 4, 5:
		s.nextGrant++
		g := grant(s.nextGrant % 4)
		g.ID.Job = s.nextGrant
		s.activeGrants[g.ID] = true
		s.step(&Start{Grant: g})
	case 6:
		for id := range s.activeGrants {
			s.step(&Stop{Grant: id})
			break
		}
	case 7:
		for task, number := range s.running {
			s.endRun(task, number, Completed)
			break
		}
	case 8:
		if len(s.delayed) > 0 {
			deliver := s.delayed[0]
			s.delayed = s.delayed[1:]
			deliver()
		}
	case 9:
		s.advance(time.Duration(rapid.IntRange(500, 3000).Draw(s.t, "pause")) * time.Millisecond)
	}
}

func (s *simulation) advance(d time.Duration) {
	s.now = s.now.Add(d)
	s.workerClock += d
	s.expireLease()
	s.core.Tick(s.now)
	s.performEffects()
}

func (s *simulation) step(m Message) {
	s.core.Step(s.now, m)
	s.performEffects()
}

// expireLease ends all runs once the lease has expired.
func (s *simulation) expireLease() {
	if s.workerClock <= s.leaseUntil {
		return
	}
	for task, number := range s.running {
		s.endRun(task, number, LeaseExpired)
	}
}

func (s *simulation) endRun(task string, number uint64, reason EndReason) {
	delete(s.running, task)
	s.highestRun[task] = max(s.highestRun[task], number)
	s.serial++
	s.ended = append(s.ended, End{Serial: s.serial, Run: RunID{Task: task, Number: number}, Reason: reason})
}

// performEffects performs the effects of the core; some calls get no answer.
func (s *simulation) performEffects() {
	for _, effect := range s.core.Effects() {
		switch e := effect.(type) {
		case *SendStart:
			s.deliver(func() CallResult { return s.startRun(e) }, func(result CallResult) Message { return &StartAnswered{Run: e.Run, Result: result} })
		case *SendStop:
			s.deliver(func() CallResult { return s.stopRun(e) }, func(result CallResult) Message { return &StopAnswered{Run: e.Run, Result: result} })
		case *SendPoll:
			s.answerPoll(e)
		case *Exited:
			s.checkExited(e)
		}
	}
}

// deliver executes a request now or later, with or without an answer.
func (s *simulation) deliver(perform func() CallResult, answer func(CallResult) Message) {
	switch rapid.IntRange(0, 5).Draw(s.t, "delivery") {
	case 0: // executed late, no answer
		s.delayed = append(s.delayed, func() { perform() })
		s.step(answer(Unanswered))
	case 1: // answer lost
		perform()
		s.step(answer(Unanswered))
	default:
		s.step(answer(perform()))
	}
}

func (s *simulation) startRun(e *SendStart) CallResult {
	s.expireLease()
	switch {
	case e.Until <= s.workerClock:
		return Late
	case s.running[e.Run.Task] == e.Run.Number:
		return Done
	case s.highestRun[e.Run.Task] >= e.Run.Number || s.running[e.Run.Task] > 0:
		return Outdated
	}
	if s.reported[e.Run] {
		s.t.Fatalf("run %v starts after its end was reported", e.Run)
	}
	s.leaseUntil = max(s.leaseUntil, e.Until)
	s.running[e.Run.Task] = e.Run.Number
	return Done
}

func (s *simulation) stopRun(e *SendStop) CallResult {
	s.expireLease()
	s.highestRun[e.Run.Task] = max(s.highestRun[e.Run.Task], e.Run.Number)
	if s.running[e.Run.Task] == e.Run.Number {
		s.endRun(e.Run.Task, e.Run.Number, Stopped)
	}
	return Done
}

// answerPoll loses the poll, or answers it at once or, if it may wait, in a later
// step.
func (s *simulation) answerPoll(e *SendPoll) {
	if rapid.IntRange(0, 4).Draw(s.t, "poll") == 0 {
		s.step(&PollAnswered{Result: Unanswered, SentAt: s.now})
		return
	}
	s.expireLease()
	s.leaseUntil = max(s.leaseUntil, e.Until)
	report := Report{Clock: s.workerClock, Born: 1}
	for task, number := range s.running {
		report.Running = append(report.Running, RunID{Task: task, Number: number})
	}
	for _, end := range s.ended {
		if end.Serial > e.LastSeen {
			report.Ended = append(report.Ended, end)
		}
	}
	sentAt := s.now
	s.now = s.now.Add(time.Millisecond)
	s.workerClock += time.Millisecond
	if e.Wait > 0 {
		// A poll that may wait is answered in a later step; answering it here would
		// trigger the next poll, and so on without end.
		s.delayed = append(s.delayed, func() { s.step(&PollAnswered{Result: Done, SentAt: sentAt, Report: report}) })
		return
	}
	s.step(&PollAnswered{Result: Done, SentAt: sentAt, Report: report})
}

// checkExited checks that a run whose end is reported no longer runs.
func (s *simulation) checkExited(e *Exited) {
	delete(s.activeGrants, e.Grant)
	number, wasRunning := s.running[e.Task]
	s.expireLease()
	if _, stillRunning := s.running[e.Task]; wasRunning && stillRunning && !e.Full {
		s.t.Fatalf("run %d of %s was reported as %v and still runs", number, e.Task, e.Outcome)
	}
}
