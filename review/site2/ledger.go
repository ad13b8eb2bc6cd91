package main

import (
	"fmt"
	"sync"
	"time"
)

// taskRun is one run of a task on a worker.
type taskRun struct {
	worker, task string
	number       uint64
	from         time.Time
	to           time.Time // zero while it runs
	how          string
}

// ledger knows all runs on all workers.
type ledger struct {
	rec  *record
	mu   sync.Mutex
	runs []*taskRun
	// overlaps lists the pairs of runs of one task that were at work at one time.
	overlaps []string
}

func newLedger(rec *record) *ledger { return &ledger{rec: rec} }

// begin notes a start and looks for other runs of the task that have not ended.
func (l *ledger) begin(worker, task string, number uint64) *taskRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &taskRun{worker: worker, task: task, number: number, from: time.Now()}
	l.rec.add("%s starts %s run %d", worker, task, number)
	for _, other := range l.runs {
		if other.task == task && other.to.IsZero() {
			line := fmt.Sprintf("%s run %d starts on %s while run %d is at work on %s", task, number, worker, other.number, other.worker)
			l.overlaps = append(l.overlaps, line)
			l.rec.add("TWICE: %s", line)
		}
	}
	l.runs = append(l.runs, r)
	return r
}

func (l *ledger) end(r *taskRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.to.IsZero() {
		r.to, r.how = time.Now(), how
		l.rec.add("%s ends %s run %d: %s", r.worker, r.task, r.number, how)
	}
}

func (l *ledger) overlapCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.overlaps)
}
