package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cactuspost.example/internal/actor"
	"cactuspost.example/platform/standin"
	"cactuspost.example/test/cluster"
)

const (
	// drainBound is how long after an agent's acknowledgement a worker that leaves
	// may be given tasks.
	drainBound = 2 * time.Second
	// ledgerInboxSize and ledgerPeriod are those of an actor that only notes.
	ledgerInboxSize = 4096
	ledgerPeriod    = time.Minute
)

// try is one attempt of a caller to hand its job in.
type try struct {
	front *cluster.EntryNode
	// sentAt and endedAt bound it; reply is empty without a whole answer.
	sentAt, endedAt time.Time
	reply           standin.Reply
	answered        bool
}

// rejected reports whether the answer says that the job never runs.
func (t *try) rejected() bool {
	return t.answered && t.reply.Status >= 400 && t.reply.Status < 500 || t.reply.Status == 503
}

// caseFile is one job with everything that became of it.
type caseFile struct {
	job   standin.Job
	tries []try
	// left says that the caller gave up before its deadline.
	left bool
}

// ledgerInput is a run's event, a job that has ended for its caller, or a
// question.
type ledgerInput struct {
	run *standin.RunEvent
	job *caseFile
	ask chan<- *ledger
}

// ledger notes what callers and workers saw.
type ledger struct {
	runs []standin.RunEvent
	jobs []*caseFile
}

func startLedger(ctx context.Context) *actor.Inbox[ledgerInput] {
	inbox := actor.NewInbox[ledgerInput](ledgerInboxSize)
	go actor.Run(ctx, inbox, ledgerPeriod, &ledger{})
	return inbox
}

// Handle implements actor.Handler.
func (l *ledger) Handle(_ time.Time, in ledgerInput) bool {
	switch {
	case in.run != nil:
		l.runs = append(l.runs, *in.run)
	case in.job != nil:
		l.jobs = append(l.jobs, in.job)
	default:
		in.ask <- &ledger{runs: slices.Clone(l.runs), jobs: slices.Clone(l.jobs)}
	}
	return true
}

// Tick implements actor.Handler.
func (l *ledger) Tick(time.Time) bool { return true }

// Flush implements actor.Handler.
func (l *ledger) Flush(time.Time) {}

// judge returns the promises that were broken, by what workers and callers saw.
func (l *ledger) judge() []string {
	slices.SortStableFunc(l.runs, func(a, b standin.RunEvent) int { return a.At.Compare(b.At) })
	jobs := map[string]*caseFile{}
	for _, j := range l.jobs {
		jobs[j.job.ID] = j
	}
	broken := l.judgeRuns(jobs)
	done, started := l.counts()
	for _, j := range l.jobs {
		broken = append(broken, j.judge(done[j.job.ID], started[j.job.ID])...)
	}
	return broken
}

// judgeRuns checks the workers' side: no two runs of a task at once, none that
// nobody asked for, none on a worker that has left.
func (l *ledger) judgeRuns(jobs map[string]*caseFile) (broken []string) {
	type key struct{ worker, task string }
	running := map[string]string{} // task to worker
	numbers := map[key]uint64{}
	for _, r := range l.runs {
		if r.Reason != "" {
			if running[r.Task] == r.Worker && numbers[key{r.Worker, r.Task}] == r.Run {
				delete(running, r.Task)
			}
			continue
		}
		if other, ok := running[r.Task]; ok {
			broken = append(broken, fmt.Sprintf("two runs at once: task %s at %s and %s, %s", r.Task, other, r.Worker, clock(r.At)))
		}
		running[r.Task] = r.Worker
		numbers[key{r.Worker, r.Task}] = r.Run
		id, _, index, ok := standin.ParseTaskName(r.Task)
		if j := jobs[id]; !ok || j == nil || j.job.Spec != r.Spec || index >= j.job.Tasks {
			broken = append(broken, fmt.Sprintf("a run that nobody asked for: task %s at %s, %s", r.Task, r.Worker, clock(r.At)))
		}
		if !r.DrainAckedAt.IsZero() && r.At.Sub(r.DrainAckedAt) > drainBound {
			broken = append(broken, fmt.Sprintf("a start %v after the worker said that it leaves: task %s at %s", r.At.Sub(r.DrainAckedAt), r.Task, r.Worker))
		}
	}
	return broken
}

// counts returns how many tasks of each job have ended well, and how many runs
// have started.
func (l *ledger) counts() (done, started map[string]int) {
	done, started = map[string]int{}, map[string]int{}
	seen := map[string]bool{}
	for _, r := range l.runs {
		id, _, _, _ := standin.ParseTaskName(r.Task)
		if r.Reason == "" {
			started[id]++
		}
		if r.Reason == "done" && !seen[r.Task] {
			seen[r.Task] = true
			done[id]++
		}
	}
	return done, started
}

// judge checks a caller's side: whole answers, true refusals.
func (c *caseFile) judge(done, started int) (broken []string) {
	rejected := len(c.tries) > 0 && !c.left
	for i := range c.tries {
		t := &c.tries[i]
		rejected = rejected && t.rejected()
		if t.answered && t.reply.State == "completed" && done < c.job.Tasks {
			broken = append(broken, fmt.Sprintf("job %s complete with %d of %d tasks done", c.job.ID, done, c.job.Tasks))
		}
		if t.answered && t.reply.Status == 503 && !t.reply.RetryAfter {
			broken = append(broken, fmt.Sprintf("job %s refused without a time to come back", c.job.ID))
		}
	}
	if rejected && started > 0 {
		broken = append(broken, fmt.Sprintf("job %s has run though every request was refused", c.job.ID))
	}
	return broken
}

// served reports whether the job was answered with success.
func (c *caseFile) served() bool {
	return slices.ContainsFunc(c.tries, func(t try) bool { return t.reply.State == "completed" })
}

func clock(t time.Time) string { return t.Format("15:04:05.000") }

// fails reports whether the job's tasks end with an error of their own.
func (c *caseFile) fails() bool { return strings.HasSuffix(c.job.Spec, " fail") }
