package entryd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
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

// fakeCore grants each task of a job to the link that greeted last, and ends
// the job with the results that come back. Step may be replaced.
type fakeCore struct {
	self     structs.Peer
	seq      uint64
	link     dispatch.LinkID
	waiting  map[uint64]dispatch.ReplyID
	jobs     map[uint64]*structs.Answer
	pending  []structs.Grant
	stopping bool
	effects  []dispatch.Effect
	// step handles a message in place of the fake if it returns true.
	step func(f *fakeCore, m dispatch.Message) bool
	// seen gets every message but heartbeats, if set.
	seen chan dispatch.Message
}

func newFakeCore(self structs.Peer) *fakeCore {
	return &fakeCore{self: self, waiting: map[uint64]dispatch.ReplyID{}, jobs: map[uint64]*structs.Answer{}}
}

func (f *fakeCore) Tick(time.Time)  {}
func (f *fakeCore) Flush(time.Time) {}

func (f *fakeCore) Effects() []dispatch.Effect {
	effects := f.effects
	f.effects = nil
	return effects
}

func (f *fakeCore) emit(e dispatch.Effect) { f.effects = append(f.effects, e) }

func (f *fakeCore) Step(now time.Time, m dispatch.Message) {
	if f.seen != nil {
		f.seen <- m
	}
	if f.step != nil && f.step(f, m) {
		return
	}
	switch m := m.(type) {
	case *dispatch.CreateJobs:
		f.create(now, m)
	case *dispatch.SubmitJob:
		f.submit(m)
	case *dispatch.AwaitJob:
		f.await(m)
	case *dispatch.AbandonReply:
		f.abandon(m)
	case *dispatch.AgentMessage:
		f.agent(m)
	case *dispatch.Stop:
		f.stopping = true
		f.drain()
	case *dispatch.Inspect:
		f.emit(&dispatch.Inspected{Reply: m.Reply, View: dispatch.View{Entry: f.self, OpenJobs: len(f.jobs)}})
	}
}

func (f *fakeCore) create(now time.Time, m *dispatch.CreateJobs) {
	created := &dispatch.Created{Reply: m.Reply}
	for range m.Count {
		f.seq++
		created.IDs = append(created.IDs, structs.JobID{Owner: f.self.Incarnation, Seq: f.seq, Expiry: now.Add(time.Minute).UnixMilli()})
	}
	f.emit(created)
}

func (f *fakeCore) submit(m *dispatch.SubmitJob) {
	id := m.Submission.ID
	if _, known := f.jobs[id.Seq]; !known {
		f.jobs[id.Seq] = &structs.Answer{ID: id, State: structs.JobOpen, Running: len(m.Submission.Tasks)}
		for i, t := range m.Submission.Tasks {
			grant := structs.GrantID{Owner: f.self.Incarnation, Job: id.Seq, Task: uint32(i), Attempt: 1}
			f.pending = append(f.pending, structs.Grant{ID: grant, Service: m.Submission.Service, Kind: t.Kind, Payload: t.Payload})
		}
		f.grant()
	}
	f.await(&dispatch.AwaitJob{Reply: m.Reply, ID: id, Wait: m.Wait})
}

func (f *fakeCore) grant() {
	if f.link != 0 && len(f.pending) > 0 {
		f.emit(&dispatch.Send{Link: f.link, Message: &structs.FromEntry{Grants: f.pending}})
		f.pending = nil
	}
}

func (f *fakeCore) await(m *dispatch.AwaitJob) {
	answer, ok := f.jobs[m.ID.Seq]
	if !ok {
		answer = &structs.Answer{ID: m.ID, State: structs.JobCreated}
	}
	if m.Wait && answer.State == structs.JobOpen {
		f.waiting[m.ID.Seq] = m.Reply
		return
	}
	f.emit(&dispatch.Answered{Reply: m.Reply, Answer: *answer})
}

func (f *fakeCore) abandon(m *dispatch.AbandonReply) {
	for seq, reply := range f.waiting {
		if reply == m.Reply {
			delete(f.waiting, seq)
			f.emit(&dispatch.Answered{Reply: reply, Answer: *f.jobs[seq]})
		}
	}
}

func (f *fakeCore) agent(m *dispatch.AgentMessage) {
	if m.Message.Hello != nil {
		f.link = m.Link
		f.emit(&dispatch.Send{Link: m.Link, Message: &structs.FromEntry{Welcome: &structs.Welcome{Entry: f.self}}})
		f.grant()
	}
	for _, r := range m.Message.Results {
		answer := f.jobs[r.Grant.Job]
		answer.State = structs.JobComplete
		answer.Results = append(answer.Results, r.Payload)
		if reply, ok := f.waiting[r.Grant.Job]; ok {
			delete(f.waiting, r.Grant.Job)
			f.emit(&dispatch.Answered{Reply: reply, Answer: *answer})
		}
	}
	f.drain()
}

func (f *fakeCore) drain() {
	for _, answer := range f.jobs {
		if answer.State == structs.JobOpen {
			return
		}
	}
	if f.stopping {
		f.emit(&dispatch.Drained{})
	}
}

// testConfig returns a configuration on free loopback ports.
func testConfig(core func(self structs.Peer, seed uint64) Core) Config {
	return Config{
		HTTPAddress: "127.0.0.1:0", LinkAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
		Document:  &structs.Document{Revision: 1},
		Limits:    settings.Limits{MaxBody: 1 << 20, MaxConnections: 100, HeaderTimeout: time.Minute},
		Callers:   []settings.Caller{{Team: "rivage", Token: settings.NewSecret(callerToken)}, {Team: "other", Token: settings.NewSecret(otherToken)}},
		Operators: []settings.Operator{{Name: "op", Token: settings.NewSecret(operatorToken)}},
		NewCore:   core,
		Heartbeat: time.Hour,
	}
}

// start runs an entry for one test.
func start(t *testing.T, config Config) *Daemon {
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

func startFake(t *testing.T) *Daemon {
	t.Helper()
	return start(t, testConfig(func(self structs.Peer, _ uint64) Core { return newFakeCore(self) }))
}

// reply is an HTTP answer that was read to its end.
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

func (r *reply) failure(is *is.I) *api.FailureForm {
	is.Helper()
	var answer api.FailureAnswer
	is.NoErr(json.Unmarshal(r.body, &answer))
	is.True(answer.Failure != nil)
	return answer.Failure
}

// send makes one HTTP request on a connection of its own.
func send(d *Daemon, method, path, token, body string) (*reply, error) {
	request, err := http.NewRequest(method, "http://"+d.Self().HTTPAddress+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, err
	}
	if token != "" {
		request.Header.Set("Authorization", api.Authorization(token))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	return &reply{status: response.StatusCode, header: response.Header, body: raw}, err
}

func mustSend(is *is.I, d *Daemon, method, path, token, body string) *reply {
	is.Helper()
	r, err := send(d, method, path, token, body)
	is.NoErr(err)
	return r
}

// rawAgent is an agent's connection in the hands of a test.
type rawAgent struct {
	net.Conn
	is *is.I
}

func dial(t *testing.T, d *Daemon) *rawAgent {
	t.Helper()
	a := &rawAgent{is: is.NewRelaxed(t)} // agents may run in goroutines of their own
	conn, err := net.Dial("tcp", d.Self().LinkAddress)
	a.is.NoErr(err)
	a.Conn = conn
	t.Cleanup(func() { _ = conn.Close() })
	return a
}

func greet(t *testing.T, d *Daemon) *rawAgent {
	t.Helper()
	a := dial(t, d)
	a.send(&structs.FromAgent{Hello: &structs.Hello{Endpoint: "w1", Incarnation: 5, Slots: 8}})
	a.is.True(a.receive().Welcome != nil)
	return a
}

func (a *rawAgent) send(m *structs.FromAgent) {
	a.is.Helper()
	frame, err := wire.AppendFromAgent(nil, m)
	a.is.NoErr(err)
	_, err = a.Write(frame)
	a.is.NoErr(err)
}

func (a *rawAgent) receive() *structs.FromEntry {
	a.is.Helper()
	header := make([]byte, wire.HeaderBytes)
	_, err := io.ReadFull(a, header)
	a.is.NoErr(err)
	size, err := wire.FrameLength(header)
	a.is.NoErr(err)
	body := make([]byte, size)
	_, err = io.ReadFull(a, body)
	a.is.NoErr(err)
	m, err := wire.DecodeFromEntry(body)
	a.is.NoErr(err)
	return m
}

// closed waits for the entry to end the connection.
func (a *rawAgent) closed() {
	a.is.Helper()
	_, err := io.Copy(io.Discard, a)
	if err != nil {
		_, isNet := err.(net.Error)
		a.is.True(isNet) // a reset is an end too
	}
}

// run echoes the payload of every grant of the next message.
func (a *rawAgent) run() {
	a.is.Helper()
	m := a.receive()
	for _, g := range m.Grants {
		a.send(&structs.FromAgent{Results: []structs.Result{{Grant: g.ID, Payload: g.Payload}}})
	}
}

// eventWatch collects the numbers of logged events.
type eventWatch struct{ ids chan event.ID }

func watchEvents() (*eventWatch, *logging.Logger) {
	w := &eventWatch{ids: make(chan event.ID, 1024)}
	return w, logging.New(w, event.Info)
}

// Write takes one line of the log.
func (w *eventWatch) Write(line []byte) (int, error) {
	var form struct{ Event event.ID }
	if err := json.Unmarshal(line, &form); err != nil {
		return 0, err
	}
	w.ids <- form.Event
	return len(line), nil
}

// await waits for an event, whatever comes before it.
func (w *eventWatch) await(id event.ID) {
	for got := range w.ids {
		if got == id {
			return
		}
	}
}
