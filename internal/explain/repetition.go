package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// clockFormat is the format of times of day.
const clockFormat = "15:04:05.000"

// leaseLength is how long a run can outlive the last line of an agent that was
// killed: an agent's default lease with its margins.
const leaseLength = 800 * time.Millisecond

// Run is one run of a task, as the lines of its agent show it.
type Run struct {
	Task  string
	Grant string
	// Node is the machine of the agent and its worker.
	Node       string
	Start, End time.Time
	// EndLine reports the end, nil if no line does. End is then the latest time at
	// which the run can have ended as far as the logs show.
	EndLine *Line
	// LeaseLeft is how long after End the run may have gone on, because the agent
	// gave it up before its lease was over. It is negative if the agent found out
	// after the lease that the run was over.
	LeaseLeft time.Duration
}

// Repetition is a pair of consecutive runs of a task.
type Repetition struct {
	First, Second Run
	// Requeue is the line that returned the first run's grant to the queue, nil if
	// there is none: the runs are of grants of different jobs, or the line is
	// missing.
	Requeue *Line
	// FirstJob and SecondJob are the lines of the jobs of the two runs.
	FirstJob, SecondJob jobLines
}

// jobLines are the lines of the entry that accepted a job: of its admission and of its
// end. Each is nil if it is not in the logs.
type jobLines struct{ accepted, ended *Line }

// Gap returns the time from the end of the first run, as its agent reported it, to
// the start of the second. It is negative if the runs overlapped.
func (r *Repetition) Gap() time.Duration { return r.Second.Start.Sub(r.First.End) }

// MayOverlap reports whether the runs overlapped, or whether the first may have gone
// on until the second had started.
func (r *Repetition) MayOverlap() bool { return r.verdict() != apart }

// leastGap returns the gap if the first run went on as long as its lease allowed.
func (r *Repetition) leastGap() time.Duration { return r.Gap() - r.First.LeaseLeft }

// Repetitions returns the repeated tasks of all logs: those of which two runs
// overlapped, those of which two may have, and then the others; in each group the
// smallest gap comes first. A run that was given up counts until its lease was over.
func Repetitions(lines []Line) []Repetition {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	byTask := map[string][]Run{}
	for _, run := range collectRuns(lines) {
		byTask[run.Task] = append(byTask[run.Task], run)
	}
	requeues := collectRequeues(lines)
	jobs := collectJobs(lines)
	var repetitions []Repetition
	for _, runs := range byTask {
		slices.SortStableFunc(runs, func(a, b Run) int { return a.Start.Compare(b.Start) })
		first := 0
		for second := 1; second < len(runs); second++ {
			repetitions = append(repetitions, Repetition{
				First: runs[first], Second: runs[second], Requeue: requeues[attemptOf(&runs[first])],
				FirstJob: jobs[jobOfGrant(runs[first].Grant)], SecondJob: jobs[jobOfGrant(runs[second].Grant)],
			})
			// A long run may overlap more than the next one.
			if runs[second].lastsUntil().After(runs[first].lastsUntil()) {
				first = second
			}
		}
	}
	slices.SortFunc(repetitions, func(a, b Repetition) int {
		return cmp.Or(cmp.Compare(a.verdict(), b.verdict()), cmp.Compare(a.leastGap(), b.leastGap()), strings.Compare(a.First.Task, b.First.Task), a.Second.Start.Compare(b.Second.Start))
	})
	return repetitions
}

func (r *Run) lastsUntil() time.Time { return r.End.Add(r.LeaseLeft) }

// collectRuns returns the runs that the lines of the agents show, in no particular
// order. The lines must be in order of time.
func collectRuns(lines []Line) []Run {
	type grant struct{ node, task, id string }
	requested := map[grant]*Line{}
	ended := map[grant]bool{}
	var runs []Run
	for i := range lines {
		l := &lines[i]
		key := grant{node: l.Node, task: l.Task, id: l.Grant}
		switch l.Event {
		case event.RunRequested:
			requested[key] = l
		case event.RunEnded, event.RunFailed:
			// A line may be in several of the files.
			if run, ok := endedRun(requested[key], l); ok && !ended[key] {
				runs = append(runs, run)
			}
			ended[key] = true
		}
	}
	for key, l := range requested {
		if ended[key] {
			continue
		}
		runs = append(runs, Run{Task: l.Task, Grant: l.Grant, Node: l.Node, Start: l.Time, End: latestEnd(lines, l)})
	}
	return runs
}

// endedRun returns the run that the line end reports. requested is the line of its
// request, nil in logs without one. It returns false if the run did not start.
func endedRun(requested, end *Line) (Run, bool) {
	if end.text("outcome") == structs.NotSent.String() {
		return Run{}, false
	}
	run := Run{Task: end.Task, Grant: end.Grant, Node: end.Node, Start: end.Time.Add(-millis(end, "run_ms")), End: end.Time, EndLine: end}
	if requested != nil {
		run.Start = requested.Time
	}
	if run.lost() {
		run.LeaseLeft = millis(end, "lease_left_ms")
		if !goesOn[end.text("concluded_from")] {
			run.LeaseLeft = min(0, run.LeaseLeft)
		}
	}
	return run, true
}

// lost reports whether the agent gave the run up. The run itself may have ended before.
func (r *Run) lost() bool {
	return r.EndLine != nil && r.EndLine.text("outcome") == structs.Lost.String()
}

// goesOn holds the conclusions from which agents of earlier builds gave a run up while
// it might go on at the worker.
var goesOn = map[string]bool{"connection_refused": true, "token_rejected": true}

// latestEnd returns the latest time at which a run without an end line can have
// ended: the first line of its machine that is later than the lease after the last
// line of the agent that requested it, or the end of that lease if there is none.
func latestEnd(lines []Line, requested *Line) time.Time {
	last := requested.Time
	replaced := false
	for i := range lines {
		l := &lines[i]
		if l.Node != requested.Node || l.Time.Before(requested.Time) {
			continue
		}
		replaced = replaced || l.Event == event.DaemonStarted
		if !replaced {
			last = l.Time
			continue
		}
		if !l.Time.Before(last.Add(leaseLength)) {
			return l.Time
		}
	}
	return last.Add(leaseLength)
}

// attempt identifies a grant in the lines of both agents and entries.
type attempt struct{ task, job, number string }

func attemptOf(r *Run) attempt {
	return attempt{task: r.Task, job: jobOfGrant(r.Grant), number: r.Grant[strings.LastIndexByte(r.Grant, '-')+1:]}
}

// collectRequeues returns the lines that returned grants to the queue.
func collectRequeues(lines []Line) map[attempt]*Line {
	requeues := map[attempt]*Line{}
	for i := range lines {
		l := &lines[i]
		if l.Event != event.TaskRequeued {
			continue
		}
		number, _ := l.Fields["attempt"].(float64)
		requeues[attempt{task: l.Task, job: grantPrefix(l.Job), number: strconv.Itoa(int(number))}] = l
	}
	return requeues
}

// collectJobs returns the lines of each job. The key is what the id of a job and the ids
// of its grants have in common.
func collectJobs(lines []Line) map[string]jobLines {
	jobs := map[string]jobLines{}
	for i := range lines {
		l := &lines[i]
		key := grantPrefix(l.Job)
		job := jobs[key]
		switch l.Event {
		case event.JobAccepted:
			job.accepted = l
		case event.JobComplete, event.JobFailed:
			job.ended = l
		default:
			continue
		}
		jobs[key] = job
	}
	return jobs
}

func millis(l *Line, key string) time.Duration {
	value, _ := l.Fields[key].(float64)
	return time.Duration(value * float64(time.Millisecond))
}

func (l *Line) text(key string) string {
	value, _ := l.Fields[key].(string)
	return value
}

// String describes the repetition in one line.
func (r *Repetition) String() string {
	return fmt.Sprintf("%s gap_ms=%d%s: first %s; then %s; %s", r.First.Task, r.Gap().Milliseconds(), r.verdict(), &r.First, &r.Second, r.reason())
}

// verdict says how sure it is that the runs overlapped.
type verdict uint8

const (
	overlapped verdict = iota
	mayOverlap
	apart
)

// String returns the text that follows the gap.
func (v verdict) String() string { return [...]string{" OVERLAP", " MAY OVERLAP", ""}[v] }

func (r *Repetition) verdict() verdict {
	switch {
	case r.leastGap() >= 0:
		return apart
	case r.Gap() < 0 && r.First.EndLine != nil && !r.First.lost():
		return overlapped
	default:
		return mayOverlap
	}
}

// reason says why the task was given out again.
func (r *Repetition) reason() string {
	requeued := ""
	if r.Requeue != nil {
		requeued = fmt.Sprintf("requeued by %s%s: %s", r.Requeue.Node, formatFields(r.Requeue, "follows"), r.Requeue.Detail)
	}
	switch {
	case jobOfGrant(r.First.Grant) != jobOfGrant(r.Second.Grant):
		text := "the second run is of another job: the caller sent it again" + r.resubmission()
		if requeued != "" {
			text += "; before that " + requeued
		}
		return text
	case requeued != "":
		return requeued
	default:
		return "no line of a requeue"
	}
}

// resubmission says which entries accepted the two jobs and when the first one ended, as
// far as the lines show.
func (r *Repetition) resubmission() string {
	text := ""
	if l := r.FirstJob.accepted; l != nil {
		text += "; the first job was accepted by " + l.Node + " at " + l.Time.Format(clockFormat)
	}
	if l := r.SecondJob.accepted; l != nil {
		text += "; the second by " + l.Node + " at " + l.Time.Format(clockFormat)
	}
	if l := r.FirstJob.ended; l != nil {
		text += fmt.Sprintf("; the first ended at %s: %d %s%s", l.Time.Format(clockFormat), l.Event, l.Name, formatFields(l, "detail", "caller_left_ms_ago"))
	} else {
		text += "; no line of the end of the first"
	}
	return text
}

// String describes the run and what its end was concluded from.
func (r *Run) String() string {
	text := fmt.Sprintf("grant %s at %s from %s to %s", r.Grant, r.Node, r.Start.Format(clockFormat), r.End.Format(clockFormat))
	if r.EndLine == nil {
		return text + " at the latest, no line of its end"
	}
	text += formatFields(r.EndLine, "outcome", "concluded_from", "lease_left_ms")
	if r.LeaseLeft > 0 {
		text += " and perhaps " + strconv.FormatInt(r.LeaseLeft.Milliseconds(), 10) + " ms more"
	}
	return text
}

// WriteRepetitions prints one line for each repetition, and then the totals and the
// number of truncated lines, which may hide repetitions.
func WriteRepetitions(w io.Writer, repetitions []Repetition, truncated int) error {
	var out strings.Builder
	count := map[verdict]int{}
	for i := range repetitions {
		out.WriteString(repetitions[i].String() + "\n")
		count[repetitions[i].verdict()]++
	}
	fmt.Fprintf(&out, "%d repeated, %d overlapped, %d may have overlapped\n", len(repetitions), count[overlapped], count[mayOverlap])
	if truncated > 0 {
		fmt.Fprintf(&out, "missing: %d truncated lines\n", truncated)
	}
	_, err := io.WriteString(w, out.String())
	return err
}
