package faults

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/httpclient"
	"cactuspost.example/test/cluster"
)

const (
	// testTimeout fails a test that hangs. It is far longer than a test takes,
	// so that no result depends on it otherwise.
	testTimeout = 2 * time.Minute
	// pollInterval is the polling interval for conditions that have no event.
	pollInterval    = 20 * time.Millisecond
	operatorTimeout = 15 * time.Second
	// jobLifetime is the lifetime of the load's jobs. It bounds how long callers
	// wait for an owner that never comes back.
	jobLifetime = 8 * time.Second
	// longService has a lifetime longer than any test waits, so that its jobs do
	// not expire.
	longService     = "booking"
	longJobLifetime = time.Minute
	// maxParallelSystems bounds the number of systems that run at the same time.
	maxParallelSystems = 4
)

// testBed is one running system under load, with what a test records about it.
type testBed struct {
	*cluster.Cluster
	t       *testing.T
	is      *is.I
	ctx     context.Context
	http    *httpclient.Client
	ledger  *actor.Inbox[ledgerMessage]
	stop    chan struct{}
	callers sync.WaitGroup
	nextID  int
	// baselineRate is the rate before the first fault, in tasks per window.
	baselineRate int
	// report is sent to the totals when the load has ended.
	report report
	// faults counts the injected faults by name. Only the test's goroutine uses
	// it.
	faults map[string]int
}

// systemSize is the size of the system under test.
type systemSize struct {
	entries, agents, slots int
	// testTimeout replaces the default timeout if it is longer.
	testTimeout time.Duration
}

var smallSystem = systemSize{entries: 2, agents: 3, slots: 4}

// systemSemaphore is a semaphore that bounds the systems that run at the same
// time.
var systemSemaphore = make(chan bool, maxParallelSystems)

// startTestBed starts a system with its services and waits until it is ready.
// Before that it waits for its turn among the parallel tests.
func startTestBed(t *testing.T, s systemSize) *testBed {
	t.Helper()
	t.Parallel()
	systemSemaphore <- true
	t.Cleanup(func() { <-systemSemaphore })
	folder := t.TempDir()
	ctx, cancel := context.WithTimeout(context.Background(), max(testTimeout, s.testTimeout))
	c, err := cluster.Start(cluster.Options{
		Binaries: binaries, Folder: folder, Entries: s.entries, Agents: s.agents, Slots: s.slots,
	})
	b := &testBed{
		Cluster: c, t: t, is: is.New(t), ctx: ctx, http: httpclient.New(nil),
		ledger: startLedger(ctx), stop: make(chan struct{}), faults: map[string]int{},
	}
	t.Cleanup(func() {
		cancel()
		b.callers.Wait()
		b.ctx = context.Background()
		b.printLogs(folder)
		b.http.Close()
		c.Close()
	})
	b.is.NoErr(err)
	b.publish(0, b.firstNote(jobLifetime))
	for i := range b.Entries {
		b.awaitEntry(i)
		b.awaitListed(i)
	}
	return b
}

func (b *testBed) firstNote(lifetime time.Duration) string {
	return fmt.Sprintf(`{"id": "first", "author": "tester", "summary": "Open the service.", "base": 0, "added": {
  "services": {%s},
  "teams": {%q: {"quotas": {%q: 1, %q: 1}}, %q: {"quotas": {%q: 1, %q: 1}}}}}`,
		strings.Join([]string{serviceOf(service, lifetime), serviceOf(longService, longJobLifetime)}, ", "),
		cluster.Team, service, longService, cluster.OtherTeam, service, longService)
}

// serviceOf returns a service definition as a member of a release note.
func serviceOf(name string, lifetime time.Duration) string {
	return fmt.Sprintf(`%q: {"pool": %q, "start_objective_ms": 600000, "target": 0.9, "lifetime_ms": %d, "task_limit_ms": %d}`,
		name, cluster.Pool, lifetime.Milliseconds(), lifetime.Milliseconds())
}

// until polls until the condition holds. The test fails after its timeout.
func (b *testBed) until(what string, holds func() bool) {
	b.t.Helper()
	for !holds() {
		if b.ctx.Err() != nil {
			b.t.Fatalf("watchdog: %s", what)
		}
		sleepOrDone(b.ctx, pollInterval)
	}
}

// operatorRequest sends a request with the operator's token.
func (b *testBed) operatorRequest(method, url string, body string) (int, []byte, error) {
	response, err := b.http.Exchange(b.ctx, httpclient.Request{
		Method: method, URL: url, Token: cluster.OperatorToken, Accept: api.JSONType,
		ContentType: api.JSONType, Body: []byte(body), Timeout: operatorTimeout,
	})
	if err != nil {
		return 0, nil, err
	}
	return response.Status, response.Body, nil
}

// publish sends a release note until it is accepted. It repeats requests without
// an answer and server errors; any other refusal fails the test.
func (b *testBed) publish(entry int, note string) {
	b.t.Helper()
	b.until("publish a note", func() bool {
		status, body, err := b.operatorRequest(http.MethodPost, b.Entries[entry].URL()+api.NotesPath, note)
		if err == nil && status < http.StatusInternalServerError && status != http.StatusOK {
			b.t.Fatalf("status %d: %s", status, body)
		}
		return err == nil && status == http.StatusOK
	})
}

// views returns the view of an entry, followed by those of the other entries
// that it lists.
func (b *testBed) views(entry int) []operator.EntryView {
	status, body, err := b.operatorRequest(http.MethodGet, b.Entries[entry].URL()+api.EndpointsPath, "")
	var answer operator.EndpointsAnswer
	if err != nil || status != http.StatusOK || api.DecodeLenient(body, &answer) != nil {
		return nil
	}
	return answer.Entries
}

// view returns an entry's own view.
func (b *testBed) view(entry int) (operator.EntryView, bool) {
	views := b.views(entry)
	if len(views) == 0 {
		return operator.EntryView{}, false
	}
	return views[0], true
}

// awaitListed waits until an entry lists all entries.
func (b *testBed) awaitListed(entry int) {
	b.t.Helper()
	b.until(b.Entries[entry].Name+" lists the others", func() bool { return len(b.views(entry)) == len(b.Entries) })
}

// awaitEntry waits until an entry has a configuration and a session with every
// agent.
func (b *testBed) awaitEntry(entry int) {
	b.t.Helper()
	b.until(b.Entries[entry].Name+" ready", func() bool {
		view, ok := b.view(entry)
		if !ok || view.Revision == 0 {
			return false
		}
		up := 0
		for _, e := range view.Endpoints {
			if e.Session == "up" {
				up++
			}
		}
		return up == len(b.Agents)
	})
}

// load describes the jobs that concurrent callers submit.
type load struct {
	service  string
	callers  int
	maxTasks int
	sleep    time.Duration
}

var defaultLoad = load{service: service, callers: 12, maxTasks: 4, sleep: 20 * time.Millisecond}

// startLoad starts the callers, waits until the load is running and measures its
// rate.
func (b *testBed) startLoad(l load) {
	b.t.Helper()
	for range l.callers {
		token := cluster.CallerToken
		if b.nextID%2 == 1 {
			token = cluster.OtherToken
		}
		c, err := newCaller(b.nextID, token, b.URLs, b.ledger)
		b.is.NoErr(err)
		b.nextID++
		c.service = l.service
		c.maxTasks = l.maxTasks
		c.sleep = l.sleep
		b.callers.Go(func() { c.run(b.ctx, b.stop) })
	}
	b.awaitComplete(10 * l.callers)
	b.measureBaseline()
}

// baselineWindows is the number of windows measured for the full rate. The
// slowest one counts, because other work on the machine makes the rate vary.
const baselineWindows = 3

// measureBaseline records the current rate as the full rate.
func (b *testBed) measureBaseline() {
	b.t.Helper()
	b.baselineRate = math.MaxInt
	for range baselineWindows {
		sleepOrDone(b.ctx, rateWindow)
		b.baselineRate = min(b.baselineRate, ask(b.ledger, func(reply chan<- int) ledgerMessage { return &rateAsked{reply: reply} }))
	}
	b.is.True(b.baselineRate > 0)
}

// awaitComplete waits until the given number of further jobs are complete.
func (b *testBed) awaitComplete(jobs int) {
	b.t.Helper()
	b.await(&ledgerWait{complete: jobs})
}

// awaitFullRate waits until the load is back at full rate and returns the
// recovery time: the time from the call to the start of the first window at
// full rate.
func (b *testBed) awaitFullRate() time.Duration {
	b.t.Helper()
	from := time.Now()
	at := b.await(&ledgerWait{rate: int(recoveredShare * float64(b.baselineRate))})
	return at.Sub(from) - rateWindow
}

func (b *testBed) await(w *ledgerWait) time.Time {
	b.t.Helper()
	reply := make(chan time.Time, 1)
	w.reply = reply
	b.ledger.Send(w)
	select {
	case at := <-reply:
		return at
	case <-b.ctx.Done():
		b.t.Fatal("watchdog: the load made no progress")
		return time.Time{}
	}
}

// countFaults counts injected faults under their name.
func (b *testBed) countFaults(name string, count int) { b.faults[name] += count }

// finishAndCheck stops the load, waits for the end of every job and checks the
// outcomes.
func (b *testBed) finishAndCheck() *outcomeCounts {
	b.t.Helper()
	close(b.stop)
	b.callers.Wait()
	b.awaitIdle()
	outcomes := ask(b.ledger, func(reply chan<- []outcome) ledgerMessage { return &outcomesAsked{reply: reply} })
	openJobs := ask(b.ledger, func(reply chan<- int) ledgerMessage { return &openJobsAsked{reply: reply} })
	counts := checkOutcomes(outcomes, openJobs, b.Starts())
	b.t.Logf("faults=%v base=%d/s %v", b.faults, b.baselineRate, counts)
	b.report.counts = counts
	b.report.faults = b.faults
	reports <- &b.report
	if counts.violated() {
		b.t.Error("a delivery guarantee was violated; see the counts and examples above")
	}
	return counts
}

// awaitIdle waits until no endpoint runs a task, so that every start is counted.
func (b *testBed) awaitIdle() {
	b.t.Helper()
	b.until("no task runs", func() bool {
		for _, a := range b.Agents {
			if a.Endpoint.Totals().Running > 0 {
				return false
			}
		}
		return true
	})
}
