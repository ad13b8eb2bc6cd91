package faults

import (
	"fmt"
	"time"

	"cactuspost.example/cactuspost"
	"cactuspost.example/test/cluster"
)

// trackedJob is a single job that a test submits and tracks itself.
type trackedJob struct {
	b      *testBed
	s      *submission
	job    cactuspost.Job
	ticket cactuspost.Ticket
	done   chan *outcome
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
	f := &trackedJob{b: b, s: &submission{id: tickets[0].ID, sentTwice: true}, ticket: tickets[0], done: make(chan *outcome, 1)}
	f.job.Service = service
	for i := range tasks {
		echo := fmt.Sprintf("%s-task-%d", name, i)
		f.s.echoes = append(f.s.echoes, echo)
		f.job.Tasks = append(f.job.Tasks, newTask(echo, sleep))
	}
	b.ledger.Send(jobSubmitted{})
	return f
}

// submit submits the job and waits for its outcome in the background.
func (f *trackedJob) submit(client *cactuspost.Client) {
	go func() { f.done <- submitUntilEnded(f.b.ctx, client, f.s, f.job, &f.ticket) }()
}

// resubmit sends the job again and waits for its outcome.
func (f *trackedJob) resubmit(client *cactuspost.Client) *outcome {
	return submitUntilEnded(f.b.ctx, client, f.s, f.job, nil)
}

// awaitOutcome waits for the outcome of the submitted job, records and returns
// it.
func (f *trackedJob) awaitOutcome() *outcome {
	f.b.t.Helper()
	select {
	case e := <-f.done:
		f.record(e)
		return e
	case <-f.b.ctx.Done():
		f.b.t.Fatal("watchdog: a job did not end")
		return nil
	}
}

// record records an outcome in the ledger.
func (f *trackedJob) record(e *outcome) {
	if e == nil {
		f.b.t.Fatal("watchdog: a job did not end")
	}
	f.b.ledger.Send(&jobEnded{outcome: *e})
}

// awaitWaiting waits until the job was accepted and tasks of it are queued.
func (f *trackedJob) awaitWaiting(client *cactuspost.Client) {
	f.b.t.Helper()
	f.b.until("tasks wait", func() bool {
		status, err := client.Status(f.b.ctx, f.s.id)
		return err == nil && status.State == cactuspost.Open && status.Waiting > 0
	})
}
