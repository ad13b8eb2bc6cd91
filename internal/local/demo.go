package local

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/internal/standin"
)

const (
	// demoJobs is how many jobs are submitted, one after the other, and demoTasks
	// the number of tasks in each.
	demoJobs  = 20
	demoTasks = 100
	// minRun and maxRun bound the run time of a task on the fastest worker.
	minRun = 5 * time.Millisecond
	maxRun = 50 * time.Millisecond
	// roundTrip is the network delay that the ideal response time includes.
	roundTrip = time.Millisecond
	// demoSeed is the seed for the run times, fixed so that runs are comparable.
	demoSeed = 20261204
	// requestTimeout is the timeout of a request to an entry.
	requestTimeout = 5 * time.Second
	// readyPollInterval is the interval between checks whether all workers are
	// ready.
	readyPollInterval = 20 * time.Millisecond
	// readyPollLimit is the maximum number of these checks.
	readyPollLimit = 500
	// ratioScale converts ratios to the integers that the histogram records.
	ratioScale = 1000
)

// Report holds the results of the demo.
type Report struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks"`
	// P50 and P99 are quantiles of the response time of a job divided by its ideal
	// response time (see idealResponseTime).
	P50 float64 `json:"response_over_ideal_p50"`
	P99 float64 `json:"response_over_ideal_p99"`
	// MessagesPerTask is the number of frames between entries and agents per task,
	// and WastedPerTask the number of those that led to no start.
	MessagesPerTask float64 `json:"messages_per_task"`
	WastedPerTask   float64 `json:"wasted_per_task"`
}

// Demo submits jobs to a running site, one after the other, and checks their
// answers. It returns a failure unless every job is answered with the right
// result for each of its tasks.
func Demo(ctx context.Context, s *Site) (*Report, error) {
	if err := s.awaitWorkers(ctx); err != nil {
		return nil, err
	}
	client, err := cactuspost.New(cactuspost.Config{Entries: s.urls(), Token: s.CallerToken()})
	if err != nil {
		return nil, err
	}
	defer client.Close()
	before, err := s.stats(ctx)
	if err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(demoSeed, 0))
	ratios := hdrhistogram.New(1, 1000*ratioScale, 3)
	for range demoJobs {
		if err := runJob(ctx, client, rng, ratios); err != nil {
			return nil, err
		}
	}
	after, err := s.stats(ctx)
	if err != nil {
		return nil, err
	}
	return newReport(ratios, before, after), nil
}

func (s *Site) urls() []string {
	var urls []string
	for _, p := range s.Entries() {
		urls = append(urls, "http://"+p.HTTPAddress)
	}
	return urls
}

func runJob(ctx context.Context, client *cactuspost.Client, rng *rand.Rand, ratios *hdrhistogram.Histogram) error {
	job, runs, err := demoJob(rng)
	if err != nil {
		return err
	}
	begin := time.Now()
	tickets, err := client.NewTickets(ctx, job.Service, 1)
	if err != nil {
		return err
	}
	answer, err := client.Submit(ctx, tickets[0], job)
	if err != nil {
		return err
	}
	response := time.Since(begin)
	if err := checkAnswer(answer); err != nil {
		return err
	}
	ratio := float64(response) / float64(idealResponseTime(runs))
	return wrapRecordError(ratios.RecordValue(int64(ratio * ratioScale)))
}

// wrapRecordError wraps an error of the histogram in a failure.
func wrapRecordError(err error) error {
	if err == nil {
		return nil
	}
	return failure.Wrap(err, failure.Internal, failure.Ran, "record a ratio")
}

func demoJob(rng *rand.Rand) (cactuspost.Job, []time.Duration, error) {
	job := cactuspost.Job{Service: "recession"}
	var runs []time.Duration
	for i := range demoTasks {
		run := minRun + time.Duration(rng.Int64N(int64(maxRun-minRun)))
		payload, err := json.Marshal(standin.EndpointPayload{SleepMicros: run.Microseconds(), Echo: taskName(i)})
		if err != nil {
			return job, nil, failure.Wrap(err, failure.Internal, failure.NotRun, "encode a task")
		}
		runs = append(runs, run)
		job.Tasks = append(job.Tasks, cactuspost.Task{Kind: "profile-check", Payload: payload})
	}
	return job, runs, nil
}

func taskName(i int) string { return fmt.Sprintf("transect %d", i) }

func checkAnswer(answer *cactuspost.Answer) error {
	if len(answer.Results) != demoTasks {
		return failure.Newf(failure.Internal, failure.Ran, "%d results for %d tasks", len(answer.Results), demoTasks)
	}
	for i, result := range answer.Results {
		if string(result) != taskName(i) {
			return failure.Newf(failure.Internal, failure.Ran, "task %d has the result %q", i, result)
		}
	}
	return nil
}

// idealResponseTime returns the response time that a job would have if one queue
// knew the state of every slot without delay and started each task on the slot
// that is idle first.
func idealResponseTime(runs []time.Duration) time.Duration {
	var free [agentCount * slotsPerWorker]time.Duration
	end := time.Duration(0)
	for _, run := range runs {
		best := 0
		for slot := range free {
			if free[slot] < free[best] {
				best = slot
			}
		}
		free[best] += time.Duration(float64(run) * runTimeFactors[best/slotsPerWorker])
		end = max(end, free[best])
	}
	return end + roundTrip
}

// slotsPerWorker is the number of slots in the sample settings.
const slotsPerWorker = 8

func newReport(ratios *hdrhistogram.Histogram, before, after *dispatch.Stats) *Report {
	tasks := after.TasksDone - before.TasksDone
	m, n := after.Messages, before.Messages
	return &Report{
		Jobs: demoJobs, Tasks: int(tasks),
		P50:             float64(ratios.ValueAtQuantile(50)) / ratioScale,
		P99:             float64(ratios.ValueAtQuantile(99)) / ratioScale,
		MessagesPerTask: float64(m.Frames-n.Frames) / float64(tasks),
		WastedPerTask:   float64(m.Wasted()-n.Wasted()) / float64(tasks),
	}
}

// awaitWorkers waits until every entry has a configuration and all workers are
// ready. It returns a failure after readyPollLimit checks.
func (s *Site) awaitWorkers(ctx context.Context) error {
	for range readyPollLimit {
		views, err := s.views(ctx)
		if err != nil {
			return err
		}
		if len(views) == len(s.entries) && allReady(views) {
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.Wrap(ctx.Err(), failure.Unavailable, failure.NotRun, "wait for the workers")
		case <-time.After(readyPollInterval):
		}
	}
	return failure.New(failure.Unavailable, failure.NotRun, "the workers did not become ready in time")
}

// allReady reports whether every entry has a configuration and knows every
// worker, and every worker has offered slots to at least one entry.
func allReady(views []operator.EntryView) bool {
	credits := map[string]int{}
	for _, view := range views {
		if view.Failure != nil || view.Revision == 0 || len(view.Endpoints) < agentCount {
			return false
		}
		for _, endpoint := range view.Endpoints {
			credits[endpoint.Endpoint] += endpoint.Credits
		}
	}
	for _, offered := range credits {
		if offered == 0 {
			return false
		}
	}
	return true
}

// stats returns the sums over all entries of the counts that the demo uses.
func (s *Site) stats(ctx context.Context) (*dispatch.Stats, error) {
	views, err := s.views(ctx)
	if err != nil {
		return nil, err
	}
	sum := &dispatch.Stats{}
	for _, view := range views {
		sum.TasksDone += view.Stats.TasksDone
		sum.Messages.Add(&view.Stats.Messages)
	}
	return sum, nil
}

// views returns the views of all entries. It requests them from the first entry,
// which collects those of the others.
func (s *Site) views(ctx context.Context) ([]operator.EntryView, error) {
	client := httpclient.New(nil)
	defer client.Close()
	response, err := client.Exchange(ctx, httpclient.Request{
		Method: http.MethodGet, URL: s.urls()[0] + "/v1/endpoints", Token: s.OperatorToken(), Timeout: requestTimeout,
	})
	if err != nil {
		return nil, err
	}
	var answer operator.EndpointsAnswer
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "decode the entries' views")
	}
	return answer.Entries, nil
}
