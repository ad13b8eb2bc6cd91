package entryd

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
)

// jobPath returns the path of a job whose id the entry could have issued.
func jobPath(d *Daemon) string {
	id := structs.JobID{Owner: d.Self().Incarnation, Seq: 1, Expiry: time.Now().Add(time.Hour).UnixMilli()}
	return "/v1/jobs/" + id.String()
}

func TestEveryFailureKindReachesTheCaller(t *testing.T) {
	for kind := failure.Internal; kind <= failure.Expired; kind++ {
		t.Run(kind.String(), func(t *testing.T) {
			is := is.New(t)
			refusal := failure.New(kind, failure.Ran, "test detail").WithRetry(1500 * time.Millisecond)
			d := startWithCore(t, refuseAll(refusal))
			requests := []struct{ method, path, body string }{
				{"POST", "/v1/jobs", `{"service":"recession"}`}, {"POST", "/v1/submit", oneTask},
				{"PUT", jobPath(d), oneTask}, {"GET", jobPath(d), ""}, {"DELETE", jobPath(d), ""},
			}
			for _, request := range requests {
				r := mustSendRequest(is, d, request.method, request.path, callerToken, request.body)
				is.Equal(r.status, api.Status(kind))
				is.Equal(r.header.Get(api.RetryAfterHeader), "2")
				is.Equal(r.failure(is).Failure(), refusal)
			}
		})
	}
}

func TestRequestsRefusedBeforeDispatch(t *testing.T) {
	d := startWithCore(t, func(m dispatch.Message) []dispatch.Effect {
		if replyIDOf(m) != 0 {
			panic("a request reached the dispatcher")
		}
		return nil
	})
	huge := strings.Repeat("x", testConfig().Limits.MaxBody+1)
	own := jobPath(d)
	cases := map[string]struct {
		method, path, token, body string
		kind                      failure.Kind
		run                       failure.Run
	}{
		"no token":              {"POST", "/v1/submit", "", oneTask, failure.Unauthorized, failure.NotRun},
		"wrong token":           {"POST", "/v1/submit", "wrong", oneTask, failure.Unauthorized, failure.NotRun},
		"operator submits":      {"POST", "/v1/submit", operatorToken, oneTask, failure.Forbidden, failure.NotRun},
		"caller sees endpoints": {"GET", "/v1/endpoints", callerToken, "", failure.Forbidden, failure.NotRun},
		"no such path":          {"GET", "/v1/none", callerToken, "", failure.Invalid, failure.NotRun},
		"no such method":        {"PATCH", "/v1/submit", callerToken, oneTask, failure.Invalid, failure.NotRun},
		"profiles not enabled":  {"GET", "/debug/pprof/", operatorToken, "", failure.Invalid, failure.NotRun},
		"not JSON":              {"POST", "/v1/submit", callerToken, "{", failure.Invalid, failure.NotRun},
		"not a wait":            {"POST", "/v1/submit?wait_ms=soon", callerToken, oneTask, failure.Invalid, failure.NotRun},
		"not an id":             {"PUT", "/v1/jobs/abc", callerToken, oneTask, failure.UnknownJob, failure.NotRun},
		"an id and more":        {"GET", own + "/x", callerToken, "", failure.UnknownJob, failure.NotRun},
		"an id never issued":    {"GET", "/v1/jobs/0000000000000000-1-18bcfe56800", callerToken, "", failure.UnknownJob, failure.NotRun},
		"body too large":        {"POST", "/v1/submit", callerToken, huge, failure.TooLarge, failure.NotRun},
		"no handler":            {"GET", "/v1/notes", operatorToken, "", failure.Unavailable, failure.NotRun},
		// These requests name a job by id, which may have run because of an
		// earlier request, so the outcome is unknown.
		"job, wrong token":    {"PUT", own, "wrong", oneTask, failure.Unauthorized, failure.Unknown},
		"job, operator":       {"DELETE", own, operatorToken, "", failure.Forbidden, failure.Unknown},
		"job, not JSON":       {"PUT", own, callerToken, "{", failure.Invalid, failure.Unknown},
		"job, not a wait":     {"GET", own + "?wait_ms=soon", callerToken, "", failure.Invalid, failure.Unknown},
		"job, no such method": {"POST", own, callerToken, oneTask, failure.Invalid, failure.Unknown},
		"job, body too large": {"PUT", own, callerToken, huge, failure.TooLarge, failure.Unknown},
		"headers too large":   {"GET", "/v1/jobs/" + huge[:maxHeaderBytes], callerToken, "", failure.TooLarge, failure.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := mustSendRequest(is, d, c.method, c.path, c.token, c.body)
			is.Equal(r.status, api.Status(c.kind))
			is.Equal(r.failure(is).Kind, c.kind)
			is.Equal(r.failure(is).Run, c.run)
		})
	}
}

func TestTruncatedRequestIsNotDispatched(t *testing.T) {
	is := is.New(t)
	reached := make(chan dispatch.Message, 16)
	d := startWithCore(t, func(m dispatch.Message) []dispatch.Effect {
		if replyIDOf(m) != 0 {
			reached <- m
		}
		return refuseAll(failure.New(failure.Overloaded, failure.NotRun, ""))(m)
	})
	conn, err := net.Dial("tcp", d.Self().HTTPAddress)
	is.NoErr(err)
	head := "POST /v1/submit HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s"
	_, err = fmt.Fprintf(conn, head, callerToken, len(oneTask), oneTask[:len(oneTask)-1])
	is.NoErr(err)
	is.NoErr(conn.(*net.TCPConn).CloseWrite())
	raw, err := io.ReadAll(conn) // returns when the entry has closed the connection
	is.NoErr(err)
	is.True(!strings.Contains(string(raw), "200 OK"))
	is.Equal(len(reached), 0)
	mustSendRequest(is, d, "POST", "/v1/submit", callerToken, oneTask)
	is.Equal(len(reached), 1)
}

func TestTLSAndPanicInHandler(t *testing.T) {
	is := is.New(t)
	server := httptest.NewTLSServer(nil) // provides a certificate and a client that trusts it
	defer server.Close()
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	config.TLS = &tls.Config{Certificates: server.TLS.Certificates}
	config.Report = func(OperatorRequest) ([]byte, *failure.Failure) { panic("report") }
	d := startEntry(t, config)
	request := func(method, path, token, body string) *reply {
		r, err := http.NewRequest(method, "https://"+d.Self().HTTPAddress+path, strings.NewReader(body))
		is.NoErr(err)
		r.Header.Set("Authorization", api.AuthorizationHeader(token))
		answer, err := server.Client().Do(r)
		is.NoErr(err)
		defer answer.Body.Close()
		raw, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		return &reply{status: answer.StatusCode, body: raw}
	}
	huge := strings.Repeat("x", config.Limits.MaxBody+1)
	is.Equal(request("POST", "/v1/submit", callerToken, huge).failure(is).Kind, failure.TooLarge)
	is.Equal(request("GET", "/v1/report", operatorToken, "").failure(is).Kind, failure.Internal)
	events.awaitEvent(event.RequestHandlerPanicked)
	is.Equal(request("HEAD", "/readyz", callerToken, "").status, http.StatusOK)
}

func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	config.Limits.MaxConnections = 1
	d := startEntry(t, config)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	first, err := client.Get("http://" + d.Self().HTTPAddress + "/healthz")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, first.Body)
	is.NoErr(err)
	is.NoErr(first.Body.Close()) // the connection stays open
	r := mustSendRequest(is, d, "GET", "/healthz", "", "")
	is.Equal(r.failure(is).Kind, failure.TooLarge)
}

func TestWaitTimeoutReturnsCurrentState(t *testing.T) {
	is := is.New(t)
	d := startEntry(t, testConfig())
	agent := connectAgent(t, d)
	path := createJob(is, d)
	is.Equal(mustSendRequest(is, d, "PUT", path+"?wait_ms=1", callerToken, oneTask).job(is).State, "open")
	g := agent.awaitGrant()
	answer := mustSendRequest(is, d, "GET", path+"?wait_ms=1", callerToken, "").job(is)
	is.Equal(answer.State, "open")
	is.Equal(answer.Running, 1)
	agent.sendResult(g, "later")
	r := mustSendRequest(is, d, "GET", "/v1/jobs/"+answer.ID+"?wait_ms=60000", callerToken, "")
	is.Equal(r.job(is).Results, [][]byte{[]byte("later")})
	r = mustSendRequest(is, d, "GET", "/v1/jobs/"+answer.ID, otherToken, "")
	is.Equal(r.failure(is).Kind, failure.Forbidden)
}

func TestDisconnectedCallerIsReleased(t *testing.T) {
	is := is.New(t)
	waiting, abandoned := make(chan dispatch.ReplyID, 1), make(chan dispatch.ReplyID, 1)
	d := startWithCore(t, func(m dispatch.Message) []dispatch.Effect {
		switch m := m.(type) {
		case *dispatch.AwaitJob:
			waiting <- m.Reply
		case *dispatch.AbandonReply:
			abandoned <- m.Reply
			return []dispatch.Effect{&dispatch.Answered{Reply: m.Reply}}
		}
		return nil
	})
	conn, err := net.Dial("tcp", d.Self().HTTPAddress)
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "GET %s?wait_ms=50 HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", jobPath(d), callerToken)
	is.NoErr(err)
	reply := <-waiting
	is.NoErr(conn.Close())
	is.Equal(<-abandoned, reply)
	d.Stop()
	d.components.drained <- struct{}{}
	d.Wait() // returns only if the abandoned request was released
}

func TestFullInboxReportsRunState(t *testing.T) {
	is := is.New(t)
	inbox := actor.NewInbox[coreMessage](1)
	is.True(inbox.TrySend(stopCore{}))
	j := &jobRouter{self: 1, core: &coreClient{inbox: inbox}}
	_, refusal := j.create("rivage", testService, 1)
	is.Equal(refusal.Kind, failure.Overloaded)
	is.Equal(refusal.Run, failure.NotRun)
	is.True(refusal.RetryAfter > 0)
	// The job may have run after an earlier submission.
	_, refusal = j.submit(&structs.Submission{ID: structs.JobID{Owner: 1, Seq: 1}}, 0)
	is.Equal(refusal.Kind, failure.Overloaded)
	is.Equal(refusal.Run, failure.Unknown)
	_, ok := j.core.probeReadiness()
	is.True(!ok)
}

func TestStoppedCoreReportsUnknownOutcome(t *testing.T) {
	is := is.New(t)
	inbox := actor.NewInbox[coreMessage](8)
	is.True(inbox.TrySend(stopCore{}))
	core := &fakeCore{step: func(dispatch.Message) []dispatch.Effect { return nil }}
	actor.Run(t.Context(), inbox, time.Hour, newCoreActor(core, inbox, newProgress(time.Now()), nil, nil))
	j := &jobRouter{self: 1, core: &coreClient{inbox: inbox}}
	_, refusal := j.await(structs.JobID{Owner: 1, Seq: 1}, "rivage", time.Hour)
	is.Equal(refusal.Kind, failure.Unavailable)
	is.Equal(refusal.Run, failure.Unknown)
}

func TestOperatorPaths(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	config.Pprof = true
	config.Limits = settings.Limits{MaxBody: 1 << 10, MaxConnections: 10, HeaderTimeout: time.Minute}
	config.Notes = func(r OperatorRequest) ([]byte, *failure.Failure) {
		return []byte(r.Operator + r.Method + r.Query["revision"] + string(r.Body)), nil
	}
	config.Report = func(OperatorRequest) ([]byte, *failure.Failure) {
		return nil, failure.New(failure.Conflict, failure.NotRun, "")
	}
	d := startEntry(t, config)
	connectAgent(t, d)
	events.awaitEvent(event.AgentConnected)
	is.Equal(string(mustSendRequest(is, d, "POST", "/v1/notes?revision=7", operatorToken, "note").body), "opPOST7note")
	is.Equal(mustSendRequest(is, d, "GET", "/v1/report", operatorToken, "").failure(is).Kind, failure.Conflict)
	is.True(strings.Contains(string(mustSendRequest(is, d, "GET", "/v1/endpoints", operatorToken, "").body), `"endpoint":"w1"`))
	is.Equal(mustSendRequest(is, d, "GET", "/debug/pprof/cmdline", operatorToken, "").status, http.StatusOK)
	text := string(mustSendRequest(is, d, "GET", "/metrics", "", "").body)
	for _, line := range []string{
		`cactuspost_http_requests_total{route="post_notes",code="200"} 1`, "cactuspost_config_revision 1",
		"cactuspost_endpoints 1", `cactuspost_link_messages_total{cause="grant"} 0`, "process_cpu_seconds_total",
	} {
		is.True(strings.Contains(text, line))
	}
}
