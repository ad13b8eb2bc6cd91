//go:build long

// Package cost measures the CPU time and memory of the real daemons, per task and
// when idle, at several sizes. Its tables are the source of docs/CAPACITY.md; no
// measured cost makes a test fail.
//
//	go test -tags long -run TestCost -v -timeout 20m ./test/cost
package cost

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/internal/standin"
	"cactuspost.example/test/cluster"
)

const (
	service      = "recession"
	tasksPerJob  = 100
	callers      = 16
	idleTime     = 15 * time.Second
	pollInterval = 100 * time.Millisecond
	timeout      = 10 * time.Second
)

var binaries cluster.Binaries

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "cactuspost-cost")
	if err == nil {
		binaries, err = cluster.Build(folder)
	}
	if err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// testCluster is a running system.
type testCluster struct {
	*cluster.Cluster
	*is.I
	t    *testing.T
	http *httpclient.Client
}

func start(t *testing.T, entries, agents, slots int) *testCluster {
	t.Helper()
	c, err := cluster.Start(cluster.Options{Binaries: binaries, Folder: t.TempDir(), Entries: entries, Agents: agents, Slots: slots})
	s := &testCluster{Cluster: c, I: is.New(t), t: t, http: httpclient.New(nil)}
	t.Cleanup(func() { s.http.Close(); c.Close() })
	s.NoErr(err)
	s.publish()
	for _, e := range s.Entries {
		for s.countLines(e.URL(), "/v1/endpoints", func(line string) bool { return strings.Count(line, `"endpoint"`) >= agents*entries }) == 0 {
			time.Sleep(pollInterval)
		}
	}
	return s
}

func (s *testCluster) publish() {
	note := fmt.Sprintf(`{"id": "first", "author": "cost", "summary": "Open the service.", "base": 0, "added": {
  "services": {%q: {"pool": %q, "start_objective_ms": 600000, "target": 0.9, "lifetime_ms": 60000, "task_limit_ms": 60000}},
  "teams": {%q: {"quotas": {%q: 1}}}}}`, service, cluster.Pool, cluster.Team, service)
	for {
		r, err := s.http.Exchange(context.Background(), httpclient.Request{
			Method: http.MethodPost, URL: s.Entries[0].URL() + api.NotesPath, Token: cluster.OperatorToken, Body: []byte(note), Timeout: timeout,
		})
		if err == nil && r.Status == http.StatusOK {
			return
		}
		time.Sleep(pollInterval)
	}
}

// countLines requests an operator's page and returns the number of lines that
// match.
func (s *testCluster) countLines(url, path string, matches func(string) bool) int {
	r, err := s.http.Exchange(context.Background(), httpclient.Request{Method: http.MethodGet, URL: url + path, Token: cluster.OperatorToken, Timeout: timeout})
	if err != nil {
		return 0
	}
	n := 0
	lines := bufio.NewScanner(strings.NewReader(string(r.Body)))
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		if matches(lines.Text()) {
			n++
		}
	}
	return n
}

// metric reads one metric of a daemon.
func (s *testCluster) metric(url, name string) float64 {
	value := 0.0
	s.countLines(url, "/metrics", func(line string) bool {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			value, _ = strconv.ParseFloat(rest, 64)
		}
		return false
	})
	return value
}

// usage holds the CPU seconds used by all daemons of one role, and the largest
// resident memory of one of them in bytes.
type usage struct{ cpu, rss float64 }

func (s *testCluster) usage(urls []string) usage {
	var u usage
	for _, url := range urls {
		u.cpu += s.metric(url, "process_cpu_seconds_total")
		u.rss = max(u.rss, s.metric(url, "process_resident_memory_bytes"))
	}
	return u
}

func (s *testCluster) entryURLs() []string {
	var urls []string
	for _, e := range s.Entries {
		urls = append(urls, e.URL())
	}
	return urls
}

func (s *testCluster) agentURLs() []string {
	var urls []string
	for _, a := range s.Agents {
		urls = append(urls, a.URL())
	}
	return urls
}

// load submits jobs whose tasks take no time and returns the elapsed time.
func (s *testCluster) load(jobs int) time.Duration {
	work := make(chan int, jobs)
	for i := range jobs {
		work <- i
	}
	close(work)
	var group sync.WaitGroup
	begin := time.Now()
	for i := range callers {
		group.Add(1)
		go func() {
			defer group.Done()
			s.submitJobs(i, work)
		}()
	}
	group.Wait()
	return time.Since(begin)
}

func (s *testCluster) submitJobs(index int, work <-chan int) {
	urls := s.URLs(index % len(s.Entries))
	client, err := cactuspost.New(cactuspost.Config{Entries: urls, Token: cluster.CallerToken})
	s.NoErr(err)
	defer client.Close()
	job := cactuspost.Job{Service: service}
	for range tasksPerJob {
		job.Tasks = append(job.Tasks, cactuspost.Task{Kind: "profile-check", Payload: make([]byte, 200)})
	}
	for range work {
		tickets, err := client.NewTickets(context.Background(), service, 1)
		s.NoErr(err)
		_, err = client.Submit(context.Background(), tickets[0], job)
		s.NoErr(err)
	}
}

// TestCostPerTask measures throughput, CPU time per task and memory under load.
func TestCostPerTask(t *testing.T) {
	t.Log("entries agents | tasks/s | entry µs/task | agent µs/task | entry RSS MB | agent RSS MB")
	for _, size := range []struct{ entries, agents int }{{1, 2}, {1, 4}, {1, 8}, {1, 16}, {2, 8}, {4, 8}} {
		t.Run(fmt.Sprintf("%dx%d", size.entries, size.agents), func(t *testing.T) {
			s := start(t, size.entries, size.agents, 16)
			s.load(50) // warm-up: run-time estimates, connections and code
			entries, agents := s.usage(s.entryURLs()), s.usage(s.agentURLs())
			const jobs = 400
			took := s.load(jobs)
			entriesAfter, agentsAfter := s.usage(s.entryURLs()), s.usage(s.agentURLs())
			tasks := float64(jobs * tasksPerJob)
			t.Logf("%d %d | %.0f | %.1f | %.1f | %.0f | %.0f", size.entries, size.agents, tasks/took.Seconds(),
				1e6*(entriesAfter.cpu-entries.cpu)/tasks, 1e6*(agentsAfter.cpu-agents.cpu)/tasks,
				entriesAfter.rss/1e6, agentsAfter.rss/1e6)
		})
	}
}

// TestCostAtRest measures the CPU time and memory of idle daemons.
func TestCostAtRest(t *testing.T) {
	t.Log("entries agents | entry % of a core | agent % of a core | entry RSS MB | agent RSS MB")
	for _, size := range []struct{ entries, agents int }{{1, 2}, {1, 10}, {1, 20}, {1, 40}, {2, 10}, {4, 10}, {8, 10}} {
		t.Run(fmt.Sprintf("%dx%d", size.entries, size.agents), func(t *testing.T) {
			s := start(t, size.entries, size.agents, 8)
			entries, agents := s.usage(s.entryURLs()), s.usage(s.agentURLs())
			time.Sleep(idleTime)
			entriesAfter, agentsAfter := s.usage(s.entryURLs()), s.usage(s.agentURLs())
			t.Logf("%d %d | %.2f | %.2f | %.0f | %.0f", size.entries, size.agents,
				100*(entriesAfter.cpu-entries.cpu)/idleTime.Seconds()/float64(size.entries),
				100*(agentsAfter.cpu-agents.cpu)/idleTime.Seconds()/float64(size.agents),
				entriesAfter.rss/1e6, agentsAfter.rss/1e6)
		})
	}
}

// TestConfigurationAtSixtyAgents publishes notes in a system with 60 agents and
// measures the time until each is in force everywhere. Then every daemon is
// stopped and restarted in turn while the table is down; all must return to the
// last revision.
func TestConfigurationAtSixtyAgents(t *testing.T) {
	const agents, notes = 60, 10
	s := start(t, 2, agents, 2)
	slowest := time.Duration(0)
	for n := 1; n <= notes; n++ {
		begin := time.Now()
		s.publishChange(n)
		s.awaitRevision(agents, n+1)
		slowest = max(slowest, time.Since(begin))
	}
	t.Logf("%d notes at %d agents: slowest in force everywhere %s", notes, agents, slowest)
	s.True(slowest <= 5*time.Second) // the target at the present size of 60 agents
	s.Table.SetFaults(standin.Faults{Down: true})
	for _, e := range s.Entries {
		e.Terminate()
		<-e.Ended()
		s.NoErr(e.Start())
		s.awaitRevision(agents, notes+1)
	}
	for _, a := range s.Agents {
		a.Terminate()
		<-a.Ended()
		s.NoErr(a.Start())
	}
	s.awaitRevision(agents, notes+1)
	s.Table.SetFaults(standin.Faults{})
	s.publishChange(notes + 1)
	s.awaitRevision(agents, notes+2)
}

func (s *testCluster) publishChange(base int) {
	note := fmt.Sprintf(`{"id": "change-%d", "author": "cost", "summary": "Another weight.", "base": %d,
  "changed": {"teams": {%q: {"quotas": {%q: %d}}}}}`, base, base, cluster.Team, service, base+1)
	r, err := s.http.Exchange(context.Background(), httpclient.Request{
		Method: http.MethodPost, URL: s.Entries[0].URL() + api.NotesPath, Token: cluster.OperatorToken, Body: []byte(note), Timeout: timeout,
	})
	s.NoErr(err)
	s.Equal(r.Status, http.StatusOK)
}

// awaitRevision waits until the own view of each entry has every agent at the
// revision.
func (s *testCluster) awaitRevision(agents, revision int) {
	for _, e := range s.Entries {
		for !s.atRevision(e, agents, uint64(revision)) {
			time.Sleep(pollInterval)
		}
	}
}

// atRevision reports whether an entry and every agent are at the revision. It
// uses the entry's own view only, because entries that started during an outage
// of the table do not list each other.
func (s *testCluster) atRevision(e *cluster.Entry, agents int, revision uint64) bool {
	r, err := s.http.Exchange(context.Background(), httpclient.Request{Method: http.MethodGet, URL: e.URL() + api.EndpointsPath, Token: cluster.OperatorToken, Timeout: timeout})
	if err != nil {
		return false
	}
	var answer operator.EndpointsAnswer
	s.NoErr(json.Unmarshal(r.Body, &answer))
	for _, view := range answer.Entries {
		if view.Entry.Name != e.Name {
			continue
		}
		if view.Failure != nil || len(view.Endpoints) < agents || view.Revision != revision {
			return false
		}
		for _, endpoint := range view.Endpoints {
			if endpoint.Revision != revision || endpoint.Session != "up" {
				return false
			}
		}
	}
	return true
}
