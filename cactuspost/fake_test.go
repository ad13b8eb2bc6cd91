package cactuspost

import (
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/apitest"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// exchange is a request that a fake entry received.
type exchange struct{ method, path, body, wait, token string }

// reply is a scripted answer of a fake entry.
type reply struct {
	status int
	body   string
	// refusal is sent in place of status and body if it is set.
	refusal *failure.Failure
	// cut closes the connection without an answer.
	cut bool
}

// fakeEntry is an HTTP server on a loopback address that answers from a script.
type fakeEntry struct {
	url    string
	mu     sync.Mutex
	script []reply
	seen   []exchange
}

func startFake(t testing.TB, script ...reply) *fakeEntry {
	t.Helper()
	f := &fakeEntry{script: script}
	url, stop := apitest.Serve(f.handle)
	t.Cleanup(stop)
	f.url = url
	return f
}

func (f *fakeEntry) handle(ctx *fasthttp.RequestCtx) {
	f.mu.Lock()
	defer f.mu.Unlock()
	token, _ := api.BearerToken(string(ctx.Request.Header.Peek("Authorization")))
	f.seen = append(f.seen, exchange{method: string(ctx.Method()), path: string(ctx.Path()), body: string(ctx.PostBody()),
		wait: string(ctx.QueryArgs().Peek(api.WaitParameter)), token: token})
	if len(f.script) == 0 {
		ctx.SetStatusCode(fasthttp.StatusTeapot)
		return
	}
	next := f.script[0]
	f.script = f.script[1:]
	switch {
	case next.cut:
		apitest.DropConnection(ctx)
	case next.refusal != nil:
		apitest.WriteFailure(ctx, next.refusal)
	default:
		ctx.SetStatusCode(next.status)
		ctx.SetBodyString(next.body)
	}
}

func (f *fakeEntry) requests() []exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]exchange(nil), f.seen...)
}

// fakeClock advances by each requested pause at once and records it.
type fakeClock struct {
	mu     sync.Mutex
	time   time.Time
	pauses []time.Duration
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.time
}

func (c *fakeClock) after(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pauses = append(c.pauses, d)
	c.time = c.time.Add(max(0, d))
	over := make(chan time.Time, 1)
	over <- c.time
	return over
}

// start is the time of the fake clock at the start of each test.
var start = time.UnixMilli(1_800_000_000_000)

func newTestClient(t testing.TB, entries ...*fakeEntry) (*Client, *fakeClock) {
	t.Helper()
	config := Config{Token: "token-of-rivage"}
	for _, e := range entries {
		config.Entries = append(config.Entries, e.url+"/")
	}
	c, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	fake := &fakeClock{time: start}
	c.clock = clock{now: fake.now, after: fake.after}
	return c, fake
}

// testID expires an hour after start.
var testID = structs.JobID{Owner: 7, Seq: 1, Expiry: start.Add(time.Hour).UnixMilli()}

func answered(t testing.TB, answer structs.Answer) reply {
	t.Helper()
	answer.ID = testID
	body, err := api.EncodeAnswer(answer)
	if err != nil {
		t.Fatal(err)
	}
	return reply{status: fasthttp.StatusOK, body: string(body)}
}
