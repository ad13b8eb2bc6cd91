package faults

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/test/cluster"
)

const (
	// cancelledJobs is the number of jobs that are cancelled, by
	// cancelConcurrency concurrent requests.
	cancelledJobs     = 10_000
	cancelConcurrency = 32
	cancelledTaskTime = 20 * time.Millisecond
	// idsPerRequest is the number of job ids requested at once.
	idsPerRequest = 500
)

// TestMassCancellation submits 10,000 jobs and cancels them all through a
// client that knows both entries, while another load is running.
func TestMassCancellation(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	client, err := cactuspost.New(cactuspost.Config{Entries: b.URLs(0), Token: cluster.CallerToken})
	b.is.NoErr(err)
	defer client.Close()
	jobs := b.submitJobsToCancel(client)
	b.countFaults("cancellation", len(jobs))
	from := time.Now()
	b.forEach(len(jobs), func(i int) { b.cancel(client, jobs[i]) })
	took := time.Since(from)
	recovery := b.awaitFullRate()
	b.finishAndCheck()
	t.Logf("cancellations took %v, recovery %v", took, recovery)
}

// submitJobsToCancel submits the jobs and returns them without waiting for
// their end.
func (b *testBed) submitJobsToCancel(client *cactuspost.Client) []*submission {
	b.t.Helper()
	var jobs []*submission
	for len(jobs) < cancelledJobs {
		tickets, err := client.NewTickets(b.ctx, longService, idsPerRequest)
		b.is.NoErr(err)
		for _, ticket := range tickets {
			echo := fmt.Sprintf("wave-%d", len(jobs))
			jobs = append(jobs, &submission{id: ticket.ID, echoes: []string{echo}})
			b.ledger.Send(jobSubmitted{})
		}
	}
	b.forEach(len(jobs), func(i int) { b.submitOnly(jobs[i], cancelledTaskTime) })
	return jobs
}

// forEach calls work for every index, with cancelConcurrency calls at a time.
func (b *testBed) forEach(count int, work func(i int)) {
	indexes := make(chan int, count)
	for i := range count {
		indexes <- i
	}
	close(indexes)
	done := make(chan bool, cancelConcurrency)
	for range cancelConcurrency {
		go func() {
			for i := range indexes {
				work(i)
			}
			done <- true
		}()
	}
	for range cancelConcurrency {
		<-done
	}
}

// cancel cancels a job and records its outcome.
func (b *testBed) cancel(client *cactuspost.Client, job *submission) {
	for b.ctx.Err() == nil {
		status, err := client.Cancel(b.ctx, job.id)
		if err != nil && failure.Of(err).Kind != cactuspost.Unavailable {
			b.ledger.Send(&jobEnded{outcome: outcome{job: job, failure: failure.Of(err)}})
			return
		}
		if err == nil {
			b.ledger.Send(&jobEnded{outcome: outcome{job: job, results: status.Results, failure: status.Failure}})
			return
		}
		sleepOrDone(b.ctx, retryInterval)
	}
}

// submitOnly submits the single task of a job without waiting for its end.
func (b *testBed) submitOnly(job *submission, sleep time.Duration) {
	body, err := json.Marshal(api.JobRequest{
		Service: longService,
		Tasks:   []api.TaskRequest{{Kind: kind, Payload: newTask(job.echoes[0], sleep).Payload}},
	})
	if err != nil {
		panic(err)
	}
	for b.ctx.Err() == nil {
		response, err := b.http.Exchange(b.ctx, httpclient.Request{
			Method: http.MethodPut, URL: b.Entries[0].URL() + api.JobPathPrefix + job.id, Token: cluster.CallerToken,
			ContentType: api.JSONType, Body: body, Timeout: operatorTimeout,
		})
		if err == nil && response.Status == http.StatusOK {
			return
		}
		sleepOrDone(b.ctx, retryInterval)
	}
}
