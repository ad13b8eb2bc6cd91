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
	// waveJobs are cancelled at once, by waveCallers at a time.
	waveJobs    = 10_000
	waveCallers = 32
	waveSleep   = 20 * time.Millisecond
	// createAtOnce is the number of ids that one request asks for.
	createAtOnce = 500
)

// TestWaveOfCancellations submits 10,000 jobs and cancels them all, through
// both entries, while another load goes on.
func TestWaveOfCancellations(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	client, err := cactuspost.New(cactuspost.Config{Entries: b.URLs(0), Token: cluster.CallerToken})
	b.is.NoErr(err)
	defer client.Close()
	jobs := b.submitWave(client)
	b.injected("cancellation", len(jobs))
	from := time.Now()
	b.each(len(jobs), func(i int) { b.cancel(client, jobs[i]) })
	took := time.Since(from)
	recovery := b.awaitRate()
	b.finish()
	t.Logf("wave took %v, recovery %v", took, recovery)
}

// submitWave returns the jobs, which wait or run.
func (b *bench) submitWave(client *cactuspost.Client) []*submission {
	b.t.Helper()
	var jobs []*submission
	for len(jobs) < waveJobs {
		tickets, err := client.NewTickets(b.ctx, longService, createAtOnce)
		b.is.NoErr(err)
		for _, ticket := range tickets {
			echo := fmt.Sprintf("wave-%d", len(jobs))
			jobs = append(jobs, &submission{id: ticket.ID, echoes: []string{echo}})
			b.ledger.Send(jobBegun{})
		}
	}
	b.each(len(jobs), func(i int) { b.put(jobs[i], waveSleep) })
	return jobs
}

// each calls work for every index, a bounded number at a time.
func (b *bench) each(count int, work func(i int)) {
	indexes := make(chan int, count)
	for i := range count {
		indexes <- i
	}
	close(indexes)
	done := make(chan bool, waveCallers)
	for range waveCallers {
		go func() {
			for i := range indexes {
				work(i)
			}
			done <- true
		}()
	}
	for range waveCallers {
		<-done
	}
}

// cancel withdraws a job and notes how it ended.
func (b *bench) cancel(client *cactuspost.Client, job *submission) {
	for b.ctx.Err() == nil {
		status, err := client.Cancel(b.ctx, job.id)
		if err != nil && failure.Of(err).Kind != cactuspost.Unavailable {
			b.ledger.Send(&jobEnded{ending: ending{job: job, failure: failure.Of(err)}})
			return
		}
		if err == nil {
			b.ledger.Send(&jobEnded{ending: ending{job: job, results: status.Results, failure: status.Failure}})
			return
		}
		pause(b.ctx, askAgain)
	}
}

// put brings the one task of a job and does not wait for its end.
func (b *bench) put(job *submission, sleep time.Duration) {
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
		pause(b.ctx, askAgain)
	}
}
