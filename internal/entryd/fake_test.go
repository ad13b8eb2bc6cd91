package entryd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

const (
	callerToken   = "caller-token"
	otherToken    = "other-token"
	operatorToken = "operator-token"
	testService   = "recession"
)

// fakeCore is a Core that passes each message to step, which returns the effects.
type fakeCore struct {
	step    func(m dispatch.Message) []dispatch.Effect
	effects []dispatch.Effect
}

func (f *fakeCore) Tick(time.Time)  {}
func (f *fakeCore) Flush(time.Time) {}

func (f *fakeCore) Step(_ time.Time, m dispatch.Message) {
	f.effects = append(f.effects, f.step(m)...)
}

func (f *fakeCore) Effects() []dispatch.Effect {
	effects := f.effects
	f.effects = nil
	return effects
}

// startWithCore starts an entry whose dispatcher is a fakeCore.
func startWithCore(t *testing.T, step func(m dispatch.Message) []dispatch.Effect) *Daemon {
	t.Helper()
	config := testConfig()
	config.NewCore = func(structs.Peer, uint64) Core { return &fakeCore{step: step} }
	return startEntry(t, config)
}

// refuseAll returns a step for fakeCore that refuses every request with f.
func refuseAll(f *failure.Failure) func(m dispatch.Message) []dispatch.Effect {
	return func(m dispatch.Message) []dispatch.Effect {
		reply := replyIDOf(m)
		if reply == 0 {
			return nil
		}
		return []dispatch.Effect{&dispatch.Refused{Reply: reply, Failure: f}}
	}
}

// replyIDOf returns the id of the reply to a message, or 0 if it has none.
func replyIDOf(m dispatch.Message) dispatch.ReplyID {
	switch m := m.(type) {
	case *dispatch.CreateJobs:
		return m.Reply
	case *dispatch.SubmitJob:
		return m.Reply
	case *dispatch.AwaitJob:
		return m.Reply
	case *dispatch.CancelJob:
		return m.Reply
	case *dispatch.Inspect:
		return m.Reply
	case *dispatch.Account:
		return m.Reply
	}
	return 0
}

// testConfig returns a configuration that listens on free loopback ports and in
// which links send no heartbeats within the duration of a test.
func testConfig() Config {
	return Config{
		HTTPAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Document: &structs.Document{
			Revision: 1,
			Services: map[string]structs.Service{testService: {
				Pool: "coast", StartObjective: 60_000, Lifetime: 60_000, TaskLimit: 60_000, MaxTasks: 10, MaxTaskBytes: 100,
			}},
			Teams: map[string]structs.Team{
				"rivage": {Quotas: map[string]float64{testService: 1}},
				"other":  {Quotas: map[string]float64{testService: 1}},
			},
		},
		Limits:    settings.Limits{MaxBody: 1 << 20, MaxConnections: 100, HeaderTimeout: time.Minute},
		Callers:   []settings.Caller{{Team: "rivage", Token: settings.NewSecret(callerToken)}, {Team: "other", Token: settings.NewSecret(otherToken)}},
		Operators: []settings.Operator{{Name: "op", Token: settings.NewSecret(operatorToken)}},
		Heartbeat: time.Hour,
	}
}

// startEntry starts an entry that is stopped at the end of the test.
func startEntry(t testing.TB, config Config) *Daemon {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	d, err := Start(ctx, config)
	is.NoErr(err)
	t.Cleanup(func() {
		cancel()
		d.Wait()
	})
	return d
}

// reply is an HTTP response with its complete body.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (r *reply) job(is *is.I) *api.JobAnswer {
	is.Helper()
	is.Equal(r.status, http.StatusOK)
	answer, err := api.DecodeAnswer(r.body)
	is.NoErr(err)
	return answer
}

func (r *reply) failure(is *is.I) *api.FailureJSON {
	is.Helper()
	var answer api.FailureAnswer
	is.NoErr(json.Unmarshal(r.body, &answer))
	is.True(answer.Failure != nil)
	return answer.Failure
}

// sendRequest makes one HTTP request on a new connection.
func sendRequest(d *Daemon, method, path, token, body string) (*reply, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return sendWith(client, d, method, path, token, body)
}

// sendOnClient makes one HTTP request as a caller, on the connections of a client.
func sendOnClient(client *http.Client, d *Daemon, method, path, body string) (*reply, error) {
	return sendWith(client, d, method, path, callerToken, body)
}

func sendWith(client *http.Client, d *Daemon, method, path, token, body string) (*reply, error) {
	request, err := http.NewRequest(method, "http://"+d.Self().HTTPAddress+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	if token != "" {
		request.Header.Set("Authorization", api.AuthorizationHeader(token))
	}
	return doRequest(client, request)
}

func doRequest(client *http.Client, request *http.Request) (*reply, error) {
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return &reply{status: response.StatusCode, header: response.Header, body: raw}, err
}

func mustSendRequest(is *is.I, d *Daemon, method, path, token, body string) *reply {
	is.Helper()
	r, err := sendRequest(d, method, path, token, body)
	is.NoErr(err)
	return r
}

// fakeAgent is a connection from an agent that the test controls.
type fakeAgent struct {
	net.Conn
	is *is.I
}

func dial(t testing.TB, d *Daemon) *fakeAgent {
	t.Helper()
	a := &fakeAgent{is: is.NewRelaxed(t)} // relaxed, because FailNow may only be called from the test's goroutine
	conn, err := net.Dial("tcp", d.Self().LinkAddress)
	a.is.NoErr(err)
	a.Conn = conn
	t.Cleanup(func() { _ = conn.Close() })
	return a
}

// lastConnection is the connection number of the last hello, as counted by agents.
var lastConnection atomic.Uint64

func newHello() *structs.FromAgent {
	return &structs.FromAgent{Hello: &structs.Hello{
		Endpoint: "w1", Incarnation: 5, Connection: lastConnection.Add(1), Session: 1, Pool: "coast", Slots: 8, Capacity: structs.Needs{Cores: 16, MemoryMB: 1024},
	}}
}

// connectAgent opens a link and offers eight slots.
func connectAgent(t testing.TB, d *Daemon) *fakeAgent {
	t.Helper()
	a := dial(t, d)
	a.send(newHello())
	a.is.True(a.receive().Welcome != nil)
	a.send(&structs.FromAgent{Offered: structs.Credits{Any: 8}, Revision: 1})
	return a
}

func (a *fakeAgent) send(m *structs.FromAgent) {
	a.is.Helper()
	a.is.NoErr(a.write(m))
}

// write sends one message. It may be called from multiple goroutines.
func (a *fakeAgent) write(m *structs.FromAgent) error {
	frame, err := wire.AppendFromAgent(nil, m)
	if err != nil {
		return err
	}
	_, err = a.Write(frame)
	return err
}

func (a *fakeAgent) receive() *structs.FromEntry {
	a.is.Helper()
	m, err := a.readMessage()
	a.is.NoErr(err)
	return m
}

// readMessage reads one message. It returns an error when the link is closed.
func (a *fakeAgent) readMessage() (*structs.FromEntry, error) {
	header := make([]byte, wire.HeaderBytes)
	if _, err := io.ReadFull(a, header); err != nil {
		return nil, err
	}
	size, err := wire.FrameLength(header)
	if err != nil {
		return nil, err
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(a, body); err != nil {
		return nil, err
	}
	return wire.DecodeFromEntry(body)
}

// awaitClose waits until the entry has closed the connection.
func (a *fakeAgent) awaitClose() {
	a.is.Helper()
	_, err := io.Copy(io.Discard, a)
	if err != nil {
		_, isNet := err.(net.Error)
		a.is.True(isNet) // a reset closes the connection too
	}
}

// awaitGrant returns the first grant of the next message that has grants.
func (a *fakeAgent) awaitGrant() structs.Grant {
	a.is.Helper()
	for {
		if m := a.receive(); len(m.Grants) > 0 {
			return m.Grants[0]
		}
	}
}

// sendResult reports a task's result.
func (a *fakeAgent) sendResult(g structs.Grant, result string) {
	a.is.Helper()
	a.send(&structs.FromAgent{Results: []structs.Result{{Grant: g.ID, Payload: []byte(result)}}})
}

// echoGrants answers every grant but held with its own payload and offers the slot
// again, until the link is closed.
func (a *fakeAgent) echoGrants(held structs.GrantID) {
	for {
		m, err := a.readMessage()
		if err != nil {
			return
		}
		answer := &structs.FromAgent{Revision: 1}
		for _, g := range m.Grants {
			if g.ID != held {
				answer.Results = append(answer.Results, structs.Result{Grant: g.ID, Payload: g.Payload})
				answer.Offered.Any++
			}
		}
		if len(answer.Results) > 0 && a.write(answer) != nil {
			return
		}
	}
}

// eventRecorder is the output of a log that collects the numbers of its events.
type eventRecorder struct{ ids chan event.ID }

func recordEvents() (*eventRecorder, *logging.Logger) {
	r := &eventRecorder{ids: make(chan event.ID, 1024)}
	return r, logging.New(r, event.Info)
}

// Write records the event of one log line.
func (r *eventRecorder) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("errorVerbose")) {
		panic("the log line contains a stack trace")
	}
	var form struct{ Event event.ID }
	if err := json.Unmarshal(line, &form); err != nil {
		return 0, err
	}
	r.ids <- form.Event
	return len(line), nil
}

// awaitEvent waits for an event and discards those that precede it.
func (r *eventRecorder) awaitEvent(id event.ID) {
	for got := range r.ids {
		if got == id {
			return
		}
	}
}
