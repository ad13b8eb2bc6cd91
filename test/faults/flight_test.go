package faults

import (
	"fmt"
	"time"

	"cactuspost.example/cactuspost"
	"cactuspost.example/test/cluster"
)

// flight is a single job that a test submits and tracks itself.
type flight struct {
	b      *bench
	s      *submission
	job    cactuspost.Job
	ticket cactuspost.Ticket
	done   chan *ending
}

// newClient returns a client that uses one entry only.
func (b *bench) newClient(entry int) *cactuspost.Client {
	b.t.Helper()
	client, err := cactuspost.New(cactuspost.Config{Entries: []string{b.Entries[entry].URL()}, Token: cluster.CallerToken})
	b.is.NoErr(err)
	b.t.Cleanup(client.Close)
	return client
}

// prepare creates a job's id without submitting the job. The echoes of its tasks
// begin with the name.
func (b *bench) prepare(client *cactuspost.Client, name string, tasks int, sleep time.Duration) *flight {
	b.t.Helper()
	tickets, err := client.NewTickets(b.ctx, service, 1)
	b.is.NoErr(err)
	f := &flight{b: b, s: &submission{id: tickets[0].ID, shared: true}, ticket: tickets[0], done: make(chan *ending, 1)}
	f.job.Service = service
	for i := range tasks {
		echo := fmt.Sprintf("%s-task-%d", name, i)
		f.s.echoes = append(f.s.echoes, echo)
		f.job.Tasks = append(f.job.Tasks, newTask(echo, sleep))
	}
	b.ledger.Send(jobBegun{})
	return f
}

// submit submits the job and waits for its outcome in the background.
func (f *flight) submit(client *cactuspost.Client) {
	go func() { f.done <- untilEnd(f.b.ctx, client, f.s, f.job, &f.ticket) }()
}

// resubmit sends the job again and waits for its outcome.
func (f *flight) resubmit(client *cactuspost.Client) *ending {
	return untilEnd(f.b.ctx, client, f.s, f.job, nil)
}

// end waits for the outcome of the submitted job, records and returns it.
func (f *flight) end() *ending {
	f.b.t.Helper()
	select {
	case e := <-f.done:
		f.note(e)
		return e
	case <-f.b.ctx.Done():
		f.b.t.Fatal("watchdog: a job did not end")
		return nil
	}
}

// note records an outcome in the ledger.
func (f *flight) note(e *ending) {
	if e == nil {
		f.b.t.Fatal("watchdog: a job did not end")
	}
	f.b.ledger.Send(&jobEnded{ending: *e})
}

// awaitWaiting waits until the job was accepted and tasks of it are queued.
func (f *flight) awaitWaiting(client *cactuspost.Client) {
	f.b.t.Helper()
	f.b.until("tasks wait", func() bool {
		status, err := client.Status(f.b.ctx, f.s.id)
		return err == nil && status.State == cactuspost.Open && status.Waiting > 0
	})
}
