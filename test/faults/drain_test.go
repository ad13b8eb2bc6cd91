package faults

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/test/cluster"
)

// drainStartBound is the time after which a draining endpoint must receive no
// new task.
const drainStartBound = 2 * time.Second

// longTaskTime is a run time longer than drainStartBound.
const longTaskTime = 3 * time.Second

// TestDrainedEndpoints stops each agent with SIGTERM under load, while long
// tasks run at its endpoint. Every job must complete, and no task may start
// there once it has been draining for two seconds.
func TestDrainedEndpoints(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	client := b.newClient(0)
	slowest, late := time.Duration(0), uint64(0)
	for i, a := range b.Agents {
		b.startLongJob(client, fmt.Sprintf("drain-%d", i), smallSystem.slots)
		a.Terminate()
		b.countFaults("agent stopped", 1)
		sleepOrDone(b.ctx, drainStartBound)
		before := a.Endpoint.Totals().Started
		b.awaitExit(a.Ended())
		late += a.Endpoint.Totals().Started - before
		b.is.NoErr(a.Start())
		slowest = max(slowest, b.awaitFullRate())
	}
	b.report.plannedOnly, b.report.startedLate = true, late
	counts := b.finishAndCheck()
	t.Logf("started late=%d slowest recovery %v", late, slowest)
	b.is.Equal(late, uint64(0))
	b.is.Equal(counts.Failed, 0)
}

// startLongJob submits a job of long tasks, waits until all of them run, and
// records the job's outcome later.
func (b *testBed) startLongJob(client *cactuspost.Client, name string, tasks int) {
	b.t.Helper()
	job := b.newTrackedJob(client, name, tasks, longTaskTime)
	job.submit(client)
	b.until("the long tasks run", func() bool {
		starts := b.Starts()
		for _, echo := range job.submission.echoes {
			if starts[echo] == 0 {
				return false
			}
		}
		return true
	})
	b.callers.Go(func() {
		if o := <-job.done; o != nil {
			job.record(o)
		}
	})
}

func (b *testBed) awaitExit(ended <-chan struct{}) {
	b.t.Helper()
	select {
	case <-ended:
	case <-b.ctx.Done():
		b.t.Fatal("watchdog: a planned stop did not end")
	}
}

// TestDrainedEntries stops each entry with SIGTERM under load, while long tasks
// of its jobs run. No job that has started may fail, and each request sent
// while the entry was ready must get a complete answer or a refusal as not run.
func TestDrainedEntries(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	requests := b.startRequests()
	slowest := time.Duration(0)
	for i, e := range b.Entries {
		b.startLongJob(b.newClient(i), fmt.Sprintf("stop-%d", i), smallSystem.slots)
		e.Terminate()
		b.countFaults("entry stopped", 1)
		b.awaitExit(e.Ended())
		b.is.NoErr(e.Start())
		slowest = max(slowest, b.awaitFullRate())
		b.awaitEntry(i)
	}
	b.report.plannedOnly = true
	counts := b.finishAndCheck()
	sent, cut := 0, 0
	for range b.Entries {
		r := <-requests
		sent += r.sent
		cut += r.cut
	}
	t.Logf("requests=%d cut=%d", sent, cut)
	b.is.True(sent > 0)
	b.is.Equal(cut, 0)
	t.Logf("cut off=%d slowest recovery %v %q", counts.CutOff, slowest, counts.Cuts)
	b.is.Equal(counts.CutOff, 0)
}

// TestStoppedEntryWithoutWaitingCallers stops an entry whose jobs wait and run
// while no request for them is in progress. The entry must not exit before each
// caller has fetched its answer.
func TestStoppedEntryWithoutWaitingCallers(t *testing.T) {
	b := startTestBed(t, oneSlotSystem)
	client := b.newClient(0)
	tickets, err := client.NewTickets(b.ctx, longService, 8)
	b.is.NoErr(err)
	var jobs []*submission
	for i, ticket := range tickets {
		job := &submission{id: ticket.ID, echoes: []string{fmt.Sprintf("left-alone-%d", i)}}
		jobs = append(jobs, job)
		b.ledger.Send(jobSubmitted{})
		b.submitOnly(job, stageTaskTime)
	}
	b.Entries[0].Terminate()
	b.countFaults("entry stopped", 1)
	for _, job := range jobs {
		b.pollUntilEnded(job)
	}
	b.awaitExit(b.Entries[0].Ended())
	b.report.plannedOnly = true
	counts := b.finishAndCheck()
	b.is.Equal(counts.Failed, 0)
}

// pollUntilEnded polls a job's state until it has ended, with requests that do
// not wait at the entry, and records the outcome.
func (b *testBed) pollUntilEnded(job *submission) {
	b.t.Helper()
	var answer *api.JobAnswer
	b.until("the job ends", func() bool {
		response, err := b.http.Exchange(b.ctx, httpclient.Request{
			Method: http.MethodGet, URL: b.Entries[0].URL() + api.JobPathPrefix + job.id, Token: cluster.CallerToken,
			Accept: api.JSONType, Timeout: operatorTimeout,
		})
		if err != nil || response.Status != http.StatusOK {
			return false
		}
		answer, err = api.DecodeAnswer(response.Body)
		return err == nil && answer.Ended()
	})
	o := outcome{job: job, results: answer.Results}
	if answer.Failure != nil {
		o.failure = answer.Failure.Failure()
	}
	b.ledger.Send(&jobEnded{outcome: o})
}
