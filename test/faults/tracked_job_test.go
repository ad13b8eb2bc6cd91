package faults

import (
	"fmt"
	"time"

	"cactuspost.example/cactuspost"
	"cactuspost.example/test/cluster"
)

// trackedJob is a single job that a test submits and tracks itself.
type trackedJob struct {
	b          *testBed
	submission *submission
	job        cactuspost.Job
	ticket     cactuspost.Ticket
	done       chan *outcome
}

// newClient returns a client that uses one entry only.
func (b *testBed) newClient(entry int) *cactuspost.Client {
	b.t.Helper()
	client, err := cactuspost.New(cactuspost.Config{Entries: []string{b.Entries[entry].URL()}, Token: cluster.CallerToken})
	b.is.NoErr(err)
	b.t.Cleanup(client.Close)
	return client
}

// newTrackedJob creates a job's id without submitting the job. The echoes of
// its tasks begin with the name.
func (b *testBed) newTrackedJob(client *cactuspost.Client, name string, tasks int, sleep time.Duration) *trackedJob {
	b.t.Helper()
	tickets, err := client.NewTickets(b.ctx, service, 1)
	b.is.NoErr(err)
	j := &trackedJob{b: b, submission: &submission{id: tickets[0].ID, sentTwice: true}, ticket: tickets[0], done: make(chan *outcome, 1)}
	j.job.Service = service
	for i := range tasks {
		echo := fmt.Sprintf("%s-task-%d", name, i)
		j.submission.echoes = append(j.submission.echoes, echo)
		j.job.Tasks = append(j.job.Tasks, newTask(echo, sleep))
	}
	b.ledger.Send(jobSubmitted{})
	return j
}

// submit submits the job and waits for its outcome in the background.
func (j *trackedJob) submit(client *cactuspost.Client) {
	go func() { j.done <- submitUntilEnded(j.b.ctx, client, j.submission, j.job, &j.ticket) }()
}

// resubmit sends the job again and waits for its outcome.
func (j *trackedJob) resubmit(client *cactuspost.Client) *outcome {
	return submitUntilEnded(j.b.ctx, client, j.submission, j.job, nil)
}

// awaitOutcome waits for the outcome of the submitted job, records and returns
// it.
func (j *trackedJob) awaitOutcome() *outcome {
	j.b.t.Helper()
	select {
	case o := <-j.done:
		j.record(o)
		return o
	case <-j.b.ctx.Done():
		j.b.t.Fatal("watchdog: a job did not end")
		return nil
	}
}

// record records an outcome in the ledger.
func (j *trackedJob) record(o *outcome) {
	if o == nil {
		j.b.t.Fatal("watchdog: a job did not end")
	}
	j.b.ledger.Send(&jobEnded{outcome: *o})
}

// awaitWaiting waits until the job was accepted and tasks of it are queued.
func (j *trackedJob) awaitWaiting(client *cactuspost.Client) {
	j.b.t.Helper()
	j.b.until("tasks wait", func() bool {
		status, err := client.Status(j.b.ctx, j.submission.id)
		return err == nil && status.State == cactuspost.Open && status.Waiting > 0
	})
}
