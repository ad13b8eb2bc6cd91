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
	// demoJobs is how often the main job is submitted, demoTasks its size.
	demoJobs  = 20
	demoTasks = 100
	// Run times of the demo's tasks on the fastest worker.
	minRun = 5 * time.Millisecond
	maxRun = 50 * time.Millisecond
	// roundTrip is the allowance of the ideal for one exchange.
	roundTrip = time.Millisecond
	// demoSeed fixes the run times.
	demoSeed = 20261204
	// askTimeout bounds a question to an entry.
	askTimeout = 5 * time.Second
	// readyPause separates the questions whether the workers have connected.
	readyPause = 20 * time.Millisecond
	// readyTries bounds these questions.
	readyTries = 500
	// ratioScale is the resolution of the ratios in the histogram.
	ratioScale = 1000
)

// Report is what the demo measured.
type Report struct {
	Jobs  int `json:"jobs"`
	Tasks int `json:"tasks"`
	// P50 and P99 are response times of whole jobs over the ideal: the same
	// tasks, in one queue, each on the fastest idle slot at once.
	P50 float64 `json:"response_over_ideal_p50"`
	P99 float64 `json:"response_over_ideal_p99"`
	// MessagesPerTask counts the frames between entries and agents, and
	// WastedPerTask those that led to no start.
	MessagesPerTask float64 `json:"messages_per_task"`
	WastedPerTask   float64 `json:"wasted_per_task"`
}

// Demo submits the main job to a running site, time after time, and checks
// each answer. It returns a failure unless every answer is whole.
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
	ratio := float64(response) / float64(ideal(runs))
	return typed(ratios.RecordValue(int64(ratio * ratioScale)))
}

// typed gives the histogram's error its type.
func typed(err error) error {
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

// ideal is the response time of one queue that knows every slot at once.
func ideal(runs []time.Duration) time.Duration {
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

// awaitWorkers waits until every entry knows the configuration and sees every
// worker ready.
func (s *Site) awaitWorkers(ctx context.Context) error {
	for range readyTries {
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
		case <-time.After(readyPause):
		}
	}
	return failure.New(failure.Unavailable, failure.NotRun, "the workers did not connect")
}

// allReady reports whether every entry knows the configuration and every
// worker, and every worker has offered its slots to some entry.
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

// stats adds up the counts of all entries that the demo reads.
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

// views asks the first entry, which asks the others.
func (s *Site) views(ctx context.Context) ([]operator.EntryView, error) {
	client := httpclient.New(nil)
	defer client.Close()
	response, err := client.Exchange(ctx, httpclient.Request{
		Method: http.MethodGet, URL: s.urls()[0] + "/v1/endpoints", Token: s.OperatorToken(), Timeout: askTimeout,
	})
	if err != nil {
		return nil, err
	}
	var answer operator.EndpointsAnswer
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.Unknown, "read the entries' views")
	}
	return answer.Entries, nil
}
