package measure

import (
	"time"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

const (
	faultLoad  = 0.5
	faultStart = 30 * time.Second
	faultEnd   = 90 * time.Second
	// failureRunTime is the run time of a task on the failing worker.
	failureRunTime = 5 * time.Millisecond
	slowFactor     = 10
)

// fault is a fault that is injected into a run of the product's policy.
type fault struct {
	name   string
	inject func(f *faultRun)
}

// faultRun is one run with an injected fault.
type faultRun struct {
	*system
	// lostBefore and lostAfter count the starts on a failing worker before and
	// after all entries had put it on probation.
	lostBefore, lostAfter int
	// startsAfterLeave counts starts on workers that had announced that they leave.
	startsAfterLeave int
	cancelled        int
}

func faults() []fault {
	return []fault{
		{"none", func(*faultRun) {}},
		{"fastest worker fails every task", (*faultRun).failWorker},
		{"fastest worker turns 10 x slower", (*faultRun).slowWorker},
		{"entry killed", (*faultRun).killEntry},
		{"half of the pool leaves", (*faultRun).leaveHalf},
		{"every second open job cancelled", (*faultRun).cancelHalf},
	}
}

func (f *faultRun) failWorker() {
	f.alterRun = func(worker int, run time.Duration) (time.Duration, structs.Outcome) {
		if worker != 0 {
			return run, structs.Succeeded
		}
		if f.eventCounts[event.WorkerOnProbation] < f.deployment.Entries {
			f.lostBefore++
		} else {
			f.lostAfter++
		}
		return failureRunTime, structs.Errored
	}
}

func (f *faultRun) slowWorker() {
	f.alterRun = func(worker int, run time.Duration) (time.Duration, structs.Outcome) {
		if worker == 0 {
			run *= slowFactor
		}
		return run, structs.Succeeded
	}
}

func (f *faultRun) killEntry() {
	e := f.entries[0]
	e.killed = true
	for _, a := range f.agents {
		if c := a.connectionTo(peerOf(e.index).Incarnation); c != nil {
			f.disconnect(c)
		}
	}
}

func (f *faultRun) leaveHalf() {
	left := map[int]bool{}
	for i := 0; i < len(f.agents); i += 2 {
		left[i] = true
		f.agents[i].step(&agent.Stop{})
	}
	f.alterRun = func(worker int, run time.Duration) (time.Duration, structs.Outcome) {
		if left[worker] {
			f.startsAfterLeave++
		}
		return run, structs.Succeeded
	}
}

func (f *faultRun) cancelHalf() {
	for _, e := range f.entries {
		for seq := uint64(1); seq <= uint64(len(e.jobsBySeq)); seq++ {
			j := e.jobsBySeq[seq]
			if j == nil || j.answered != 0 || seq%2 == 0 {
				continue
			}
			f.cancelled++
			e.cancel(j)
		}
		e.flush()
	}
}

func (e *entryNode) cancel(j *job) {
	e.core.Step(e.system.clock(), &dispatch.CancelJob{Reply: e.newReply(j), ID: j.id, Team: j.team})
}

// faultMetrics holds the metrics of one row.
type faultMetrics struct {
	p99, failed, unanswered, startedTwice, lostBefore, lostAfter, startsAfterLeave, cancelMessages metric
}

// Faults measures the product's policy with each of the injected faults.
func Faults(size Size) []*Table {
	t := &Table{
		Title: "Faults at 50 % load, 60 s from the fault on",
		Notes: []string{
			"p99: slowdown of the tasks that arrive after the fault",
			"failed %: failed or refused jobs, of those that arrive after the fault; unanswered %: jobs that got no answer, such as those of a killed entry, of all jobs",
			"twice: tasks that started twice; target 0",
			"lost before: starts on the failing worker before all entries had it on probation; lost after: starts there afterwards, in % of all starts; target <= 1 %",
			"leaving: starts on workers that had announced that they leave; target 0",
			"cancels: messages that carry cancellations but no grant, per cancelled job",
		},
		Columns: []string{"deployment", "fault", "p99", "failed %", "unanswered %", "twice", "lost before", "lost after %", "leaving", "cancels"},
	}
	for _, d := range []Deployment{Rivage(), Puthenveettil()} {
		for _, k := range faults() {
			f := &faultMetrics{}
			for _, seed := range size.Seeds {
				f.run(d, seed, k)
			}
			t.add(d.Name, k.name, f.p99.String(), f.failed.String(), f.unanswered.String(), f.startedTwice.String(),
				f.lostBefore.String(), f.lostAfter.String(), f.startsAfterLeave.String(), f.cancelMessages.String())
		}
	}
	return []*Table{t}
}

func (f *faultMetrics) run(d Deployment, seed uint64, k fault) {
	jobs := newGenerator(seed, &d, defaultKinds()).generate(&d, []string{"north"}, []phase{{faultEnd, faultLoad}})
	r := &faultRun{}
	cancelsBefore := 0
	t := runPolicy(namedPolicy{productName, productPolicy(defaultSetup("north"))}, d, seed, jobs, func(b *bench, p policy) {
		r.system = p.(*system)
		b.at(settleTime+faultStart, func() {
			cancelsBefore = b.messages.sent[cancelMessage]
			k.inject(r)
		})
	})
	after := func(j *job, _ *task) bool { return j.arrival >= settleTime+faultStart }
	f.p99 = append(f.p99, quantile(t.slowdowns(after), 99))
	f.recordJobs(t)
	f.lostBefore = append(f.lostBefore, float64(r.lostBefore))
	_, started, _ := t.taskCounts()
	f.lostAfter = append(f.lostAfter, 100*float64(r.lostAfter)/float64(started))
	f.startsAfterLeave = append(f.startsAfterLeave, float64(r.startsAfterLeave))
	if r.cancelled > 0 {
		f.cancelMessages = append(f.cancelMessages, float64(t.messages.sent[cancelMessage]-cancelsBefore)/float64(r.cancelled))
	}
}

func (f *faultMetrics) recordJobs(r *policyRun) {
	arrived, failed, unanswered, startedTwice := 0, 0, 0, 0
	for _, j := range r.jobs {
		if j.answered == 0 {
			unanswered++
		}
		for i := range j.tasks {
			if j.tasks[i].starts > 1 {
				startedTwice++
			}
		}
		if j.arrival >= settleTime+faultStart {
			arrived++
			if j.failure != nil {
				failed++
			}
		}
	}
	f.failed = append(f.failed, 100*float64(failed)/float64(arrived))
	f.unanswered = append(f.unanswered, 100*float64(unanswered)/float64(len(r.jobs)))
	f.startedTwice = append(f.startedTwice, float64(startedTwice))
}
