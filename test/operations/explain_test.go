// Package operations checks with real processes what operators rely on: that the
// cause of a failed or late request can be found from the logs alone, and that
// agents find the entries without working seeds.
package operations

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/cli"
	"cactuspost.example/internal/event"
	"cactuspost.example/platform/standin"
	"cactuspost.example/test/cluster"
)

const (
	host   = "desk.example"
	prefix = "/jobs/"
	// readyTimeout bounds the time until a started site is ready, pollInterval
	// is the polling interval.
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	// workerCPU is the worker's capacity in thousandths of a core.
	workerCPU = 4000
)

// node is the path of the binary under test, which is built once.
var node string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(cluster.RunTests(m, func(folder string) (err error) {
		node, err = cluster.BuildNode(folder)
		return err
	}))
}

// testSite is a site with one entry and one worker.
type testSite struct {
	is     *is.I
	site   *cluster.Site
	folder string
	client *standin.Client
	// probes counts the jobs of awaitServed.
	probes int
}

func newTestSite(t *testing.T) *testSite {
	t.Helper()
	return newTestSiteWith(t, 1)
}

// newTestSiteWith returns a site with the given number of entries.
func newTestSiteWith(t *testing.T, entries int) *testSite {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &testSite{is: is, folder: t.TempDir()}
	site, err := cluster.StartSite(ctx, cluster.SiteOptions{
		Node: node, Folder: s.folder, NodeSettings: "../../deploy/node.jsonc", Entries: entries, Agents: 1, CPU: workerCPU, Seed: 1,
		Observe: func(standin.RunEvent) {},
	})
	t.Cleanup(site.Close)
	is.NoErr(err)
	s.site = site
	site.Store.Configure(1, []standin.Route{newRoute("jobs", prefix)})
	s.client = standin.NewClient(site.EntryNodes[0].Clients.Address())
	s.awaitServed() // a served job implies that the worker is connected
	return s
}

func newRoute(name, prefix string) standin.Route {
	return standin.Route{Name: name, Host: host, Prefix: prefix, Service: cluster.Service, TimeoutMS: 4000, ObjectiveMS: 400, Stretch: 2, MaxAttempts: 2}
}

// awaitServed submits jobs until one is served.
func (s *testSite) awaitServed() {
	s.is.Helper()
	until := time.Now().Add(readyTimeout)
	for {
		s.probes++
		reply, err := s.submit(fmt.Sprintf("%016x", s.probes), 1, 20*time.Millisecond, 20*time.Millisecond, 500, 2*time.Second)
		if err == nil && reply.Status == http.StatusOK {
			return
		}
		s.is.True(time.Now().Before(until)) // the site serves within readyTimeout
		time.Sleep(pollInterval)
	}
}

// submit sends a job whose tasks run for length and are declared to take
// estimate.
func (s *testSite) submit(id string, tasks int, length, estimate time.Duration, cpu uint32, deadline time.Duration) (standin.Reply, error) {
	return s.client.Submit(host, prefix, newJob(id, tasks, length, estimate, cpu, deadline))
}

func newJob(id string, tasks int, length, estimate time.Duration, cpu uint32, deadline time.Duration) *standin.Job {
	return &standin.Job{
		ID: id, RequestID: requestIDOf(id), Spec: standin.Spec(length, cpu, false), Tasks: tasks, CPU: cpu, MemMB: 64,
		Estimate: estimate, Deadline: deadline,
	}
}

// requestIDOf returns the caller's own id for the request, which it would quote
// to an operator.
func requestIDOf(id string) string { return "request-of-" + id }

// explain runs the command explain on the logs of all processes, without the
// lines of the given events, and returns the cause that it prints.
func (s *testSite) explain(id string, omitted ...event.ID) string {
	s.is.Helper()
	time.Sleep(2 * pollInterval) // lets the processes finish writing their logs
	logs, err := filepath.Glob(filepath.Join(s.folder, "*.log"))
	s.is.NoErr(err)
	args := []string{"cactuspost", "explain", id}
	for i, log := range logs {
		raw, err := os.ReadFile(log)
		s.is.NoErr(err)
		for _, omittedID := range omitted {
			raw = withoutLines(raw, omittedID)
		}
		file := filepath.Join(s.folder, fmt.Sprintf("copy-%d.txt", i))
		s.is.NoErr(os.WriteFile(file, raw, 0o600))
		args = append(args, file)
	}
	var out bytes.Buffer
	app := cli.App()
	app.Writer = &out
	s.is.NoErr(app.Run(context.Background(), args))
	_, cause, found := strings.Cut(out.String(), "cause: ")
	s.is.True(found)
	return strings.TrimSpace(cause)
}

func withoutLines(raw []byte, omitted event.ID) []byte {
	var kept []byte
	for line := range bytes.Lines(raw) {
		if !bytes.Contains(line, fmt.Appendf(nil, `"event":%d,`, omitted)) && !bytes.Contains(line, fmt.Appendf(nil, `"event":%d}`, omitted)) {
			kept = append(kept, line...)
		}
	}
	return kept
}

func TestRefusedRequestIsExplained(t *testing.T) {
	s := newTestSite(t)
	const id = "00000000000000a1"
	reply, err := s.submit(id, 2, time.Second, time.Minute, 500, time.Second)
	s.is.NoErr(err)
	s.is.Equal(reply.Status, http.StatusServiceUnavailable)
	s.is.True(reply.RetryAfter)
	const cause = "refused by front-1: overloaded (not run): the job would end after its deadline"
	s.is.True(strings.Contains(s.explain(id), cause))
	s.is.True(strings.Contains(s.explain(id), "workers 1"))
	s.is.Equal(s.explain(requestIDOf(id)), s.explain(id))
	s.is.True(!strings.Contains(s.explain(id, event.JobRefused), cause))
}

func TestRejectedRequestIsExplained(t *testing.T) {
	s := newTestSite(t)
	const id = "00000000000000a5"
	reply, err := s.client.Submit(host, "/no-queue/", newJob(id, 1, time.Millisecond, time.Millisecond, 500, time.Second))
	s.is.NoErr(err)
	s.is.Equal(reply.Status, http.StatusNotFound)
	s.is.True(strings.Contains(s.explain(requestIDOf(id)), "rejected by front-1: unknown_service (not run): no queue in revision 1"))
	s.is.True(!strings.Contains(s.explain(requestIDOf(id), event.RequestRejected), "no queue"))
}

func TestRequestLostWithItsWorkerIsExplained(t *testing.T) {
	s := newTestSite(t)
	const id = "00000000000000a2"
	go func() {
		time.Sleep(300 * time.Millisecond)
		s.site.AgentNodes[0].Worker.Fire(standin.Events.Crash)
	}()
	reply, err := s.submit(id, 2, time.Second, time.Second, 500, 2500*time.Millisecond)
	s.is.NoErr(err)
	s.is.True(reply.Status == http.StatusBadGateway || reply.Status == http.StatusGatewayTimeout)
	const cause = "before that: run failed, task 00000000000000a2"
	s.is.True(strings.Contains(s.explain(id), cause))
	s.is.True(strings.Contains(s.explain(id), "at side-01 (outcome lost)"))
	s.is.Equal(s.explain(requestIDOf(id)), s.explain(id))
	s.is.True(!strings.Contains(s.explain(id, event.RunFailed), cause))
}

// awaitRun waits until the first worker runs a task.
func (s *testSite) awaitRun() {
	for until := time.Now().Add(10 * time.Second); s.site.AgentNodes[0].Worker.Running() == 0; {
		s.is.True(time.Now().Before(until)) // no run starts
		time.Sleep(5 * time.Millisecond)
	}
}

func TestLateRequestIsExplained(t *testing.T) {
	s := newTestSite(t)
	const long, id = "00000000000000a3", "00000000000000a4"
	other := standin.NewClient(s.site.EntryNodes[0].Clients.Address())
	go func() {
		_, _ = other.Submit(host, prefix, newJob(long, 1, time.Second, time.Second, workerCPU, 3*time.Second))
	}()
	s.awaitRun()
	reply, err := s.submit(id, 1, 50*time.Millisecond, 50*time.Millisecond, 500, 3*time.Second)
	s.is.NoErr(err)
	s.is.Equal(reply.State, "completed")
	cause := s.explain(id)
	s.is.True(strings.Contains(cause, "longest part: run started of task 00000000000000a4"))
	s.is.True(strings.Contains(cause, "queued_ms"))
	s.is.True(!strings.Contains(s.explain(id, event.RunStarted), "queued_ms"))
}
