package entryd

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/report"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
)

const urgentTask = `{"service":"urgent","tasks":[{"kind":"k"}]}`

// reportConfig adds a second service to the test configuration. It has a pool of
// its own and a start objective of 100 ms, so that a job that finds no free slot
// is shed soon after it was accepted.
func reportConfig(name string) Config {
	config := testConfig()
	config.Self.Name = name
	urgent := config.Document.Services[testService]
	urgent.Pool = "desk"
	urgent.Target = 0.5
	urgent.StartObjective = 100
	config.Document.Services["urgent"] = urgent
	config.Document.Teams["rivage"].Quotas["urgent"] = 1
	return config
}

func readReport(is *is.I, d *Daemon) *report.Report {
	is.Helper()
	r := mustSendRequest(is, d, "GET", api.ReportPath, operatorToken, "")
	is.Equal(r.status, http.StatusOK)
	var answer report.Report
	is.NoErr(json.Unmarshal(r.body, &answer))
	return &answer
}

// runJob submits a job, has the agent report the given outcome for its task, and
// returns the answer.
func runJob(is *is.I, d *Daemon, agent *fakeAgent, outcome structs.Outcome) *api.JobAnswer {
	is.Helper()
	path := createJob(is, d)
	done := sendAsync(d, "PUT", path+"?wait_ms=60000", callerToken, oneTask)
	result := structs.Result{Grant: agent.awaitGrant().ID, Outcome: outcome}
	agent.send(&structs.FromAgent{Results: []structs.Result{result}})
	answer := (<-done).job(is)
	again := mustSendRequest(is, d, "PUT", path, callerToken, oneTask).job(is) // a repeated PUT must not count again
	is.Equal(again.State, answer.State)
	return answer
}

func TestReportMergesCausesOfAllEntries(t *testing.T) {
	is := is.New(t)
	first, second := startEntry(t, reportConfig("entry-1")), startEntry(t, reportConfig("entry-2"))
	peers := []structs.Peer{first.Self(), second.Self()}
	first.SetPeers(peers)
	second.SetPeers(peers)

	refused := mustSendRequest(is, first, "POST", "/v1/submit", callerToken, oneTask).failure(is)
	is.Equal(refused.Kind, failure.Unavailable) // no worker yet
	agents := []*fakeAgent{connectAgent(t, first), connectAgent(t, second)}
	is.True(runJob(is, first, agents[0], structs.Succeeded).Complete())
	is.True(runJob(is, second, agents[1], structs.Succeeded).Complete())
	is.Equal(runJob(is, first, agents[0], structs.Errored).Failure.Kind, failure.TaskFailed)
	is.Equal(runJob(is, second, agents[1], structs.LimitExceeded).Failure.Kind, failure.TimeLimit)
	is.Equal(runJob(is, second, agents[1], structs.Lost).Failure.Kind, failure.EndpointLost)
	withdrawn := createJob(is, first)
	is.Equal(mustSendRequest(is, first, "DELETE", withdrawn, callerToken, "").job(is).Failure.Kind, failure.Cancelled) // does not count against the service
	busy := dial(t, second)                                                                                            // a worker without a free slot
	m := newHello()
	m.Hello.Endpoint, m.Hello.Pool = "w2", "desk"
	busy.send(m)
	is.True(busy.receive().Welcome != nil)
	shed := mustSendRequest(is, second, "POST", "/v1/submit?wait_ms=60000", callerToken, urgentTask).job(is)
	is.Equal(shed.Failure.Kind, failure.Overloaded)

	for _, d := range []*Daemon{first, second} {
		r := readReport(is, d)
		is.Equal(len(r.Missing()), 0)
		is.Equal(len(r.Entries), 2)
		is.Equal(len(r.Levels), 2)
		is.Equal(r.Levels[0].Service+"/"+r.Levels[0].Team, "recession/rivage")
		is.Equal(r.Levels[0].Long.ByCause, map[string]uint64{"met": 2, "refused": 1, "failed": 1, "straggler": 1, "endpoint gone": 1})
		is.Equal(r.Levels[1].Service, "urgent")
		is.Equal(r.Levels[1].Long.ByCause, map[string]uint64{"queue": 1})
		is.Equal(r.Levels[1].Long.BurnRate, 2.0)
		is.Equal(r.Messages.TasksGranted, uint64(5))
	}
}

func TestReportListsUnreachableEntries(t *testing.T) {
	is := is.New(t)
	d, successor := startEntry(t, reportConfig("entry-1")), startEntry(t, reportConfig("entry-2"))
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	replaced := successor.Self()
	replaced.Name, replaced.Incarnation = "replaced", 77
	d.SetPeers([]structs.Peer{
		d.Self(), replaced, {Name: "gone", DataCentre: "matane", Incarnation: 78, PeerAddress: closed.Addr().String()},
	})
	r := readReport(is, d)
	is.Equal(len(r.Entries), 3)
	missing := r.Missing()
	is.Equal(len(missing), 2)
	is.Equal(missing[0].Name, "replaced")
	is.Equal(missing[1].Name, "gone")
	is.Equal(missing[1].Failure.Kind, failure.Unavailable)

	text := getReport(is, d, api.TextType)
	is.True(strings.Contains(string(text.body), "gone (matane) DID NOT ANSWER"))
	is.Equal(text.header.Get("Content-Type"), api.TextType)
	page := getReport(is, d, "text/html,application/xhtml+xml;q=0.9")
	is.True(strings.Contains(string(page.body), "gone (matane) did not answer"))
	is.Equal(page.header.Get("Content-Type"), "text/html; charset=utf-8")
}

func TestReportFailsWithoutDispatcher(t *testing.T) {
	is := is.New(t)
	refusal := failure.New(failure.Overloaded, failure.NotRun, "test detail")
	d := startWithCore(t, refuseAll(refusal))
	is.Equal(mustSendRequest(is, d, "GET", api.ReportPath, operatorToken, "").failure(is).Failure(), refusal)
	// An entry that asks this one for its accounts must get none instead of
	// empty ones, and report it as missing.
	asking := startEntry(t, testConfig())
	asking.SetPeers([]structs.Peer{d.Self()})
	is.Equal(len(readReport(is, asking).Missing()), 1)
}

// getReport requests the report with the given Accept header.
func getReport(is *is.I, d *Daemon, accept string) *reply {
	is.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+d.Self().HTTPAddress+api.ReportPath, nil)
	is.NoErr(err)
	request.Header.Set("Authorization", api.AuthorizationHeader(operatorToken))
	request.Header.Set("Accept", accept)
	r, err := doRequest(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, request)
	is.NoErr(err)
	is.Equal(r.status, http.StatusOK)
	return r
}

func TestReportIncludesAllAccountPages(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.Document = nil // without a configuration each team's request is refused, which creates an account
	config.Callers = nil
	const teams = 40
	for i := range teams {
		name := fmt.Sprintf("team-%02d", i)
		config.Callers = append(config.Callers, settings.Caller{Team: name, Token: settings.NewSecret(name)})
	}
	d := startEntry(t, config)
	for _, c := range config.Callers {
		refused := mustSendRequest(is, d, "POST", api.JobsPath, c.Team, `{"service":"recession"}`).failure(is)
		is.Equal(refused.Kind, failure.NoConfiguration)
	}
	is.Equal(len(readReport(is, d).Levels), teams)
}
