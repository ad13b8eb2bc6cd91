package local

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/release"
	"cactuspost.example/internal/report"
	"cactuspost.example/internal/standin"
)

// limitedNote adds a service with a task time limit of 20 ms.
const limitedNote = `{
  "id": "limited", "author": "test", "summary": "A service with a short limit.", "base": 1,
  "added": {"services": {"limited": {
    "pool": "recession-workers", "start_objective_ms": 30000, "target": 0.9, "lifetime_ms": 60000,
    "task_limit_ms": 20, "max_tasks": 10, "max_task_bytes": 1000, "short_reserve": 0,
  }}},
  "changed": {"teams": {"rivage": {"quotas": {"recession": 2, "limited": 1}}}},
}`

// longSleep is the payload of a task that outlasts the test: it ends by its time
// limit or with its endpoint.
var longSleep = standin.EndpointPayload{SleepMicros: time.Hour.Microseconds()}

// reportSite accesses a site over HTTP. Its assertions do not stop the test,
// because some run in other goroutines, where FailNow must not be called.
type reportSite struct {
	*is.I
	site   *Site
	client *httpclient.Client
}

func startReportSite(t *testing.T) *reportSite {
	s := &reportSite{I: is.NewRelaxed(t), client: httpclient.New(nil)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(s.client.Close)
	var err error
	s.site, err = Start(ctx, Options{Log: logging.Discard()})
	s.NoErr(err)
	s.NoErr(s.site.awaitWorkers(ctx))
	note, err := release.Parse([]byte(limitedNote))
	s.NoErr(err)
	_, err = release.Publish(ctx, s.site.store, note, false, time.Now)
	s.NoErr(err)
	s.awaitRevision(2)
	return s
}

// awaitRevision waits until every entry sees both entries with at least the given
// revision.
func (s *reportSite) awaitRevision(revision uint64) {
	for entry := range s.site.entries {
		for !reached(s.report(entry), revision) {
			time.Sleep(readyPollInterval)
		}
	}
}

func reached(r *report.Report, revision uint64) bool {
	for _, entry := range r.Entries {
		if entry.Revision < revision {
			return false
		}
	}
	return len(r.Entries) == 2 && len(r.Missing()) == 0
}

// send sends a request to an entry and returns the body of the response.
func (s *reportSite) send(entry int, r httpclient.Request) ([]byte, error) {
	r.URL = s.site.urls()[entry] + r.URL
	r.Timeout = time.Minute
	response, err := s.client.Exchange(context.Background(), r)
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// run submits a job with one task, waits for it, and returns its failure or nil.
func (s *reportSite) run(entry int, service string, payload standin.EndpointPayload) *failure.Failure {
	raw, err := json.Marshal(payload)
	s.NoErr(err)
	body, err := json.Marshal(api.JobRequest{Service: service, Tasks: []api.TaskRequest{{Kind: "k", Payload: raw}}})
	s.NoErr(err)
	raw, err = s.send(entry, httpclient.Request{
		Method: http.MethodPost, URL: api.SubmitPath + "?wait_ms=60000", Token: s.site.CallerToken(), Body: body,
	})
	s.NoErr(err)
	answer, err := api.DecodeAnswer(raw)
	s.NoErr(err)
	if answer.Complete() {
		return nil
	}
	return answer.Failure.Failure()
}

func (s *reportSite) report(entry int) *report.Report {
	raw, err := s.send(entry, httpclient.Request{Method: http.MethodGet, URL: api.ReportPath, Token: s.site.OperatorToken()})
	s.NoErr(err)
	var r report.Report
	s.NoErr(json.Unmarshal(raw, &r))
	return &r
}

// nextStart returns a channel that receives the endpoint that starts the next
// task.
func (s *reportSite) nextStart() <-chan *standin.Endpoint {
	started := make(chan *standin.Endpoint, agentCount)
	for _, endpoint := range s.site.endpoints {
		next := endpoint.Totals().Started + 1
		go func() {
			endpoint.AwaitStarts(next)
			started <- endpoint
		}()
	}
	return started
}

func TestReportShowsWhyJobsFailedAtTwoEntries(t *testing.T) {
	s := startReportSite(t)
	for entry := range 2 {
		s.Equal(s.run(entry, "recession", standin.EndpointPayload{SleepMicros: 1000}), nil)
		s.Equal(s.run(entry, "recession", standin.EndpointPayload{Fail: true}).Kind, failure.TaskFailed)
	}
	s.Equal(s.run(1, "limited", longSleep).Kind, failure.TimeLimit)
	started := s.nextStart()
	lost := make(chan *failure.Failure, 1)
	go func() { lost <- s.run(0, "recession", longSleep) }()
	(<-started).Kill()
	s.Equal((<-lost).Kind, failure.EndpointLost)

	for entry := range 2 {
		r := s.report(entry)
		s.Equal(len(r.Entries), 2)
		s.Equal(len(r.Missing()), 0)
		s.Equal(len(r.Levels), 2)
		s.Equal(r.Levels[0].Service, "limited")
		s.Equal(r.Levels[0].Long.ByCause, map[string]uint64{"straggler": 1})
		s.Equal(r.Levels[1].Service, "recession")
		s.Equal(r.Levels[1].Long.ByCause, map[string]uint64{"met": 2, "failed": 2, "endpoint gone": 1})
		s.Equal(r.Messages.TasksGranted, uint64(6))
		s.True(r.Levels[1].RatioP50 > 0) // measured in real time, so the value depends on the machine
		s.True(r.Levels[1].RatioP99 >= r.Levels[1].RatioP50)
	}
}
