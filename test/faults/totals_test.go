package faults

import (
	"fmt"
	"time"
)

// report holds what one test contributes to the totals.
type report struct {
	figures *figures
	faults  map[string]int
	// planned is set if planned stops were the only faults.
	planned bool
	// late counts the tasks that started at an endpoint which had been draining
	// for leaveTime. accepted counts the accepted notes, and slowest is the longest
	// time until one was in force everywhere.
	late     uint64
	accepted int
	slowest  time.Duration
}

// reports receives the reports of all tests. sum adds them up and sends the totals
// on summed when reports is closed.
var (
	reports = make(chan *report)
	summed  = make(chan string, 1)
)

func sum() {
	var all figures
	var runs, plannedRuns, faults, stops, cutOff, accepted int
	var late uint64
	var slowest time.Duration
	for r := range reports {
		runs++
		accepted += r.accepted
		slowest = max(slowest, r.slowest)
		late += r.late
		all.merge(r.figures)
		for _, count := range r.faults {
			faults += count
			if r.planned {
				stops += count
			}
		}
		if r.planned {
			plannedRuns++
			cutOff += r.figures.CutOff
		}
	}
	summed <- fmt.Sprintf("totals: runs=%d faults=%d %v\n"+
		"planned stops: runs=%d stops=%d cut_off=%d started_late=%d\n"+
		"configuration: accepted=%d slowest=%v",
		runs, faults, &all, plannedRuns, stops, cutOff, late, accepted, slowest)
}

// merge adds the counts of another run.
func (f *figures) merge(o *figures) {
	f.Jobs += o.Jobs
	f.Complete += o.Complete
	f.Failed += o.Failed
	f.NotRun += o.NotRun
	f.Submitted += o.Submitted
	f.Started += o.Started
	f.StartedTwice += o.StartedTwice
	f.Partial += o.Partial
	f.Crossed += o.Crossed
	f.UntrueNotRun += o.UntrueNotRun
	f.Unended += o.Unended
	f.CutOff += o.CutOff
}
