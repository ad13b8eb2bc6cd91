package faults

import (
	"fmt"
	"time"
)

// report holds what one test contributes to the totals.
type report struct {
	counts *outcomeCounts
	faults map[string]int
	// plannedOnly is set if planned stops were the only faults.
	plannedOnly bool
	// startedLate counts the tasks that started at an endpoint which had been
	// draining for drainStartBound. accepted counts the accepted notes, and
	// slowest is the longest time until one was in force everywhere.
	startedLate uint64
	accepted    int
	slowest     time.Duration
}

// reports receives the reports of all tests. sumReports adds them up and sends
// the totals on summed when reports is closed.
var (
	reports = make(chan *report)
	summed  = make(chan string, 1)
)

func sumReports() {
	var all outcomeCounts
	var runs, plannedRuns, faults, stops, cutOff, accepted int
	var late uint64
	var slowest time.Duration
	for r := range reports {
		runs++
		accepted += r.accepted
		slowest = max(slowest, r.slowest)
		late += r.startedLate
		all.merge(r.counts)
		for _, count := range r.faults {
			faults += count
			if r.plannedOnly {
				stops += count
			}
		}
		if r.plannedOnly {
			plannedRuns++
			cutOff += r.counts.CutOff
		}
	}
	summed <- fmt.Sprintf("totals: runs=%d faults=%d %v\n"+
		"planned stops: runs=%d stops=%d cut_off=%d started_late=%d\n"+
		"configuration: accepted=%d slowest=%v",
		runs, faults, &all, plannedRuns, stops, cutOff, late, accepted, slowest)
}

// merge adds the counts of another run.
func (c *outcomeCounts) merge(o *outcomeCounts) {
	c.Jobs += o.Jobs
	c.Complete += o.Complete
	c.Failed += o.Failed
	c.NotRun += o.NotRun
	c.Submitted += o.Submitted
	c.Started += o.Started
	c.StartedTwice += o.StartedTwice
	c.Partial += o.Partial
	c.Crossed += o.Crossed
	c.UntrueNotRun += o.UntrueNotRun
	c.Unended += o.Unended
	c.CutOff += o.CutOff
}
