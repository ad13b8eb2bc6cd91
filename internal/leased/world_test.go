package leased

import (
	"time"

	"pgregory.net/rapid"

	"cactuspost.example/internal/structs"
)

// world is a worker with a lease and a network that loses answers and delivers
// orders late.
type world struct {
	t     *rapid.T
	core  *Core
	now   time.Time
	until time.Duration
	clock time.Duration
	// running holds the runs at the worker, highest the last run that was stopped
	// or ended, by task.
	running map[string]uint64
	highest map[string]uint64
	ended   []End
	serial  uint64
	// late holds orders that are carried out later.
	late []func()
	// over holds the runs whose end was reported, grants those that are out.
	over   map[RunID]bool
	grants map[structs.GrantID]bool
	next   uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, core: New(Tuning{}, 0), now: time.UnixMilli(1_000_000), clock: time.Minute,
		running: map[string]uint64{}, highest: map[string]uint64{}, over: map[RunID]bool{}, grants: map[structs.GrantID]bool{},
	}
	w.pass(0)
	return w
}

// act does one thing that may happen.
func (w *world) act() {
	switch rapid.IntRange(0, 9).Draw(w.t, "act") {
	case 0, 1, 2:
		w.pass(time.Duration(rapid.IntRange(1, 60).Draw(w.t, "ms")) * time.Millisecond)
	case 3, 4, 5:
		w.next++
		g := grant(w.next % 4)
		g.ID.Job = w.next
		w.grants[g.ID] = true
		w.step(&Start{Grant: g})
	case 6:
		for id := range w.grants {
			w.step(&Stop{Grant: id})
			break
		}
	case 7:
		for task, number := range w.running {
			w.finish(task, number, Completed)
			break
		}
	case 8:
		if len(w.late) > 0 {
			order := w.late[0]
			w.late = w.late[1:]
			order()
		}
	case 9:
		w.pass(time.Duration(rapid.IntRange(500, 3000).Draw(w.t, "pause")) * time.Millisecond)
	}
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.clock += d
	w.lapse()
	w.core.Tick(w.now)
	w.carryOut()
}

func (w *world) step(m Message) {
	w.core.Step(w.now, m)
	w.carryOut()
}

// lapse ends everything once the lease is over.
func (w *world) lapse() {
	if w.clock <= w.until {
		return
	}
	for task, number := range w.running {
		w.finish(task, number, Lapsed)
	}
}

func (w *world) finish(task string, number uint64, how How) {
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], number)
	w.serial++
	w.ended = append(w.ended, End{Serial: w.serial, Run: RunID{Task: task, Number: number}, How: how})
}

// carryOut performs the effects of the core, with or without an answer.
func (w *world) carryOut() {
	for _, effect := range w.core.Effects() {
		switch e := effect.(type) {
		case *SendStart:
			w.order(func() Verdict { return w.begin(e) }, func(v Verdict) Message { return &StartAnswered{Run: e.Run, Verdict: v} })
		case *SendStop:
			w.order(func() Verdict { return w.halt(e) }, func(v Verdict) Message { return &StopAnswered{Run: e.Run, Verdict: v} })
		case *Look:
			w.answerLook(e)
		case *Exited:
			w.exited(e)
		}
	}
}

// order carries an order out now or later, and answers it or not.
func (w *world) order(perform func() Verdict, answer func(Verdict) Message) {
	switch rapid.IntRange(0, 5).Draw(w.t, "fate") {
	case 0: // late, no answer
		w.late = append(w.late, func() { perform() })
		w.step(answer(Unanswered))
	case 1: // answer lost
		perform()
		w.step(answer(Unanswered))
	default:
		w.step(answer(perform()))
	}
}

func (w *world) begin(e *SendStart) Verdict {
	w.lapse()
	switch {
	case e.Until <= w.clock:
		return Late
	case w.running[e.Run.Task] == e.Run.Number:
		return Done
	case w.highest[e.Run.Task] >= e.Run.Number || w.running[e.Run.Task] > 0:
		return Outdated
	}
	if w.over[e.Run] {
		w.t.Fatalf("run %v starts after its end was reported", e.Run)
	}
	w.until = max(w.until, e.Until)
	w.running[e.Run.Task] = e.Run.Number
	return Done
}

func (w *world) halt(e *SendStop) Verdict {
	w.lapse()
	w.highest[e.Run.Task] = max(w.highest[e.Run.Task], e.Run.Number)
	if w.running[e.Run.Task] == e.Run.Number {
		w.finish(e.Run.Task, e.Run.Number, Halted)
	}
	return Done
}

// answerLook answers at once or not at all.
func (w *world) answerLook(e *Look) {
	if rapid.IntRange(0, 4).Draw(w.t, "look") == 0 {
		w.step(&Looked{Verdict: Unanswered, Began: w.now})
		return
	}
	w.lapse()
	w.until = max(w.until, e.Until)
	report := Report{Clock: w.clock, Born: 1}
	for task, number := range w.running {
		report.Running = append(report.Running, RunID{Task: task, Number: number})
	}
	for _, end := range w.ended {
		if end.Serial > e.LastSeen {
			report.Ended = append(report.Ended, end)
		}
	}
	began := w.now
	w.now = w.now.Add(time.Millisecond)
	w.clock += time.Millisecond
	if e.Wait > 0 {
		// A look that waits is answered in a later step, so that looks don't follow
		// each other without end in one.
		w.late = append(w.late, func() { w.step(&Looked{Verdict: Done, Began: began, Report: report}) })
		return
	}
	w.step(&Looked{Verdict: Done, Began: began, Report: report})
}

// exited checks that what was reported as ended is not there.
func (w *world) exited(e *Exited) {
	delete(w.grants, e.Grant)
	number, there := w.running[e.Task]
	w.lapse()
	if _, still := w.running[e.Task]; there && still && !e.Full {
		w.t.Fatalf("run %d of %s was reported as %v and still runs", number, e.Task, e.Outcome)
	}
}
