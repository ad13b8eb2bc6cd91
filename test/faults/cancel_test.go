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
	// waveJobs is the number of jobs that are cancelled, by waveCallers
	// concurrent requests.
	waveJobs    = 10_000
	waveCallers = 32
	waveSleep   = 20 * time.Millisecond
	// createAtOnce is the number of job ids requested at once.
	createAtOnce = 500
)

// TestWaveOfCancellations submits 10,000 jobs and cancels them all through a
// client that knows both entries, while another load is running.
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

// submitWave submits the jobs and returns them without waiting for their end.
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

// each calls work for every index, with waveCallers calls at a time.
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

// cancel cancels a job and records its outcome.
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

// put submits the single task of a job without waiting for its end.
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
