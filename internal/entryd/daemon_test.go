package entryd

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

const oneTask = `{"service":"recession","tasks":[{"kind":"profile-check","declared_ms":80,"payload":"aGk="}]}`

// asyncReply is the result of an HTTP request that ran in its own goroutine.
type asyncReply struct {
	reply *reply
	err   error
}

// sendAsync makes one HTTP request in its own goroutine.
func sendAsync(d *Daemon, method, path, token, body string) <-chan asyncReply {
	done := make(chan asyncReply, 1)
	go func() {
		r, err := sendRequest(d, method, path, token, body)
		done <- asyncReply{r, err}
	}()
	return done
}

func (s asyncReply) job(is *is.I) *api.JobAnswer {
	is.Helper()
	is.NoErr(s.err)
	return s.reply.job(is)
}

func TestSubmittedTaskIsRunByAnAgent(t *testing.T) {
	is := is.New(t)
	d := startEntry(t, testConfig())
	agent := connectAgent(t, d)
	done := sendAsync(d, "POST", "/v1/submit?wait_ms=60000", callerToken, oneTask)
	g := agent.awaitGrant()
	is.Equal(string(g.Payload), "hi")
	agent.sendResult(g, "receding")
	answer := (<-done).job(is)
	is.True(answer.Complete())
	is.Equal(answer.Results, [][]byte{[]byte("receding")})
	again := mustSendRequest(is, d, "GET", "/v1/jobs/"+answer.ID, callerToken, "").job(is)
	is.Equal(again.Results, answer.Results)
}

func TestPutIsIdempotent(t *testing.T) {
	is := is.New(t)
	d := startEntry(t, testConfig())
	agent := connectAgent(t, d)
	var created api.CreateAnswer
	r := mustSendRequest(is, d, "POST", "/v1/jobs", callerToken, `{"service":"recession"}`)
	is.Equal(r.status, http.StatusCreated)
	is.NoErr(api.DecodeLenient(r.body, &created))
	path := "/v1/jobs/" + created.IDs[0]
	is.Equal(mustSendRequest(is, d, "PUT", path, callerToken, oneTask).job(is).State, "open")
	first := sendAsync(d, "PUT", path+"?wait_ms=60000", callerToken, oneTask)
	second := sendAsync(d, "PUT", path+"?wait_ms=60000", callerToken, oneTask)
	g := agent.awaitGrant()
	agent.sendResult(g, "once")
	is.Equal((<-first).job(is).Results, [][]byte{[]byte("once")})
	is.Equal((<-second).job(is).Results, [][]byte{[]byte("once")})
	is.Equal(g.ID.Attempt, uint32(1))
}

func TestPlannedStopAnswersRequestsInProgress(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	d := startEntry(t, config)
	agent := connectAgent(t, d)
	done := sendAsync(d, "POST", "/v1/submit?wait_ms=60000", callerToken, oneTask)
	g := agent.awaitGrant()
	d.Stop()
	d.Stop() // has no effect
	for !agent.receive().Leaving {
	}
	d.shutdown.inbox.Send(shutdownEvents.Reminder)
	events.awaitEvent(event.DrainInProgress)
	r := mustSendRequest(is, d, "GET", "/readyz", "", "")
	is.Equal(r.status, http.StatusServiceUnavailable)
	r = mustSendRequest(is, d, "POST", "/v1/submit", callerToken, oneTask)
	is.Equal(r.failure(is).Kind, failure.Draining)
	is.Equal(r.failure(is).Run, failure.NotRun)
	is.True(r.header.Get(api.RetryAfterHeader) != "")
	agent.sendResult(g, "in time")
	is.Equal((<-done).job(is).Results, [][]byte{[]byte("in time")})
	agent.awaitClose()
	d.Wait()
	events.awaitEvent(event.DaemonStopped)
	_, err := sendRequest(d, "GET", "/healthz", "", "")
	is.True(err != nil) // the listener is closed
}

func TestDrainTimeoutEndsThePlannedStop(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	config.DrainTimeout = 1 // one nanosecond: it passes immediately
	d := startEntry(t, config)
	agent := connectAgent(t, d)
	is.Equal(mustSendRequest(is, d, "POST", "/v1/submit", callerToken, oneTask).job(is).State, "open")
	agent.awaitGrant()
	d.Stop()
	d.Wait()
	events.awaitEvent(event.DrainTimedOut)
	events.awaitEvent(event.DaemonStopped)
}

func TestReadinessFollowsTheConfiguration(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	document := config.Document
	config.Document = nil
	d := startEntry(t, config)
	is.Equal(mustSendRequest(is, d, "GET", "/readyz", "", "").failure(is).Kind, failure.NoConfiguration)
	is.Equal(mustSendRequest(is, d, "GET", "/healthz", "", "").status, http.StatusOK)
	d.Configure(document)
	is.Equal(mustSendRequest(is, d, "GET", "/readyz", "", "").status, http.StatusOK)
}

func TestAddressInUseIsAnInternalFailure(t *testing.T) {
	is := is.New(t)
	d := startEntry(t, testConfig())
	for _, set := range []func(*Config){
		func(c *Config) { c.HTTPAddress = d.Self().HTTPAddress },
		func(c *Config) { c.PeerAddress = d.Self().PeerAddress },
		func(c *Config) { c.LinkAddress = d.Self().LinkAddress },
	} {
		config := testConfig()
		set(&config)
		_, err := Start(t.Context(), config)
		is.True(err != nil)
		is.Equal(failure.Of(err).Kind, failure.Internal)
	}
	is.True(d.Self().Incarnation != structs.Incarnation(0))
}

// A planned stop must not cut off requests that were sent while the entry was
// ready. The clients send only then, as a load balancer does. One job stays open
// until the last client has seen that the entry is not ready, so that no request
// races with the closing of the listener.
func TestPlannedStopUnderLoad(t *testing.T) {
	is := is.New(t)
	const clients = 20
	d := startEntry(t, testConfig())
	agent := connectAgent(t, d)
	lastReply := sendAsync(d, "POST", "/v1/submit?wait_ms=60000", callerToken, oneTask)
	held := agent.awaitGrant()
	go agent.echoGrants(held.ID)
	errs := make(chan error, clients)
	served := make(chan struct{}, 1<<16)
	for range clients {
		go func() { errs <- submitWhileReady(d, served) }()
	}
	for range 5 * clients {
		<-served
	}
	d.Stop()
	for range clients {
		is.NoErr(<-errs)
	}
	agent.sendResult(held, "last")
	is.Equal((<-lastReply).job(is).Results, [][]byte{[]byte("last")})
	d.Wait()
}

// submitWhileReady submits jobs on a keep-alive connection for as long as the
// entry is ready. It returns an error unless each job is completed or is refused
// because the entry is draining.
func submitWhileReady(d *Daemon, served chan<- struct{}) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	for {
		ready, err := sendOnClient(client, d, "GET", "/readyz", "")
		if err != nil || ready.status != http.StatusOK {
			return err
		}
		r, err := sendOnClient(client, d, "POST", "/v1/submit?wait_ms=60000", oneTask)
		if err != nil {
			return err
		}
		answer, err := api.DecodeAnswer(r.body)
		if r.status == http.StatusOK && (err != nil || !answer.Complete()) {
			return failure.Newf(failure.Internal, failure.Unknown, "answer %s", r.body)
		}
		if f := api.DecodeFailure(r.status, r.body, ""); r.status != http.StatusOK && f.Kind != failure.Draining {
			return f
		}
		served <- struct{}{}
	}
}

// BenchmarkSubmission measures jobs of one task from the HTTP submission to the
// answer, on keep-alive connections and with an agent that answers immediately.
func BenchmarkSubmission(b *testing.B) {
	d := startEntry(b, testConfig())
	go connectAgent(b, d).echoGrants(structs.GrantID{})
	b.RunParallel(func(pb *testing.PB) {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		for pb.Next() {
			r, err := sendOnClient(client, d, "POST", "/v1/submit?wait_ms=60000", oneTask)
			if err != nil || r.status != http.StatusOK {
				b.Error(err, r)
				return
			}
		}
	})
}

// An entry that stops closes the connections of its agents, which leaves them in
// the state TIME_WAIT. A restarted entry must be able to listen on the same
// addresses despite that.
func TestRestartReusesTheAddresses(t *testing.T) {
	is := is.New(t)
	config := testConfig()
	first := startEntry(t, config)
	agent := connectAgent(t, first)
	config.HTTPAddress = first.Self().HTTPAddress
	config.LinkAddress = first.Self().LinkAddress
	config.PeerAddress = first.Self().PeerAddress
	first.Stop()
	first.Wait()
	agent.awaitClose()
	second := startEntry(t, config)
	is.Equal(second.Self().LinkAddress, first.Self().LinkAddress)
	is.True(second.Self().Incarnation != first.Self().Incarnation)
}
