package faults

import (
	"fmt"
	"time"
)

// report is what one test adds to the totals.
type report struct {
	figures *figures
	faults  map[string]int
	// planned says that planned stops were the only faults.
	planned bool
	// late counts the tasks that began at an endpoint which had been leaving for
	// leaveTime, accepted the notes, and slowest the time to be in force.
	late     uint64
	accepted int
	slowest  time.Duration
}

// reports takes the reports of all tests. sum owns the totals and hands them
// over when reports is closed.
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
