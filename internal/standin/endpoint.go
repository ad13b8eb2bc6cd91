// Package standin provides small stand-ins for the services of the platform and
// for the endpoints of customers, for tests and for running the system on one
// machine. They keep everything in memory.
package standin

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/failure"
)

// The HTTP interface of Endpoint.
const (
	endpointRunPath     = "/run"
	endpointHealthPath  = "/healthz"
	endpointStartsPath  = "/starts"
	endpointTotalsPath  = "/totals"
	endpointGrantHeader = "Cactuspost-Grant"
)

// EndpointOptions configures an Endpoint.
type EndpointOptions struct {
	// Listen is the address to listen on, as host:port.
	Listen    string
	Behaviour EndpointBehaviour
}

// EndpointBehaviour configures how an Endpoint runs tasks.
type EndpointBehaviour struct {
	// RunTimeFactor multiplies run times: 2 simulates a worker of half the speed.
	// Zero means 1.
	RunTimeFactor float64
	// FailAll makes every task fail immediately.
	FailAll bool
}

// EndpointPayload is a task's payload that controls the endpoint. A payload that
// is not valid JSON of this form is returned as the result immediately.
type EndpointPayload struct {
	// SleepMicros is the run time in microseconds.
	SleepMicros int64 `json:"sleep_us"`
	// Fail makes the task fail after its run time.
	Fail bool `json:"fail"`
	// Echo is returned as the result. It also identifies the task in Starts.
	Echo string `json:"echo"`
}

// EndpointTotals holds counts over all tasks and connections.
type EndpointTotals struct {
	Started   uint64 `json:"started"`
	Succeeded uint64 `json:"succeeded"`
	Failed    uint64 `json:"failed"`
	Running   int    `json:"running"`
	// MaxRunning is the highest number of tasks that ran concurrently.
	MaxRunning int `json:"max_running"`
	// Connections is the number of connections accepted.
	Connections uint64 `json:"connections"`
}

// Endpoint is a sample of a customer's endpoint. It sleeps instead of working and
// counts how often each task was started.
type Endpoint struct {
	listener net.Listener
	server   *fasthttp.Server
	inbox    *actor.Inbox[endpointMessage]
	cancel   context.CancelFunc
}

// StartEndpoint starts an endpoint. It returns a failure of kind Unavailable if
// it cannot listen on the address.
func StartEndpoint(o EndpointOptions) (*Endpoint, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "listen for tasks")
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{listener: listener, inbox: startEndpointActor(ctx, o.Behaviour), cancel: cancel}
	e.server = &fasthttp.Server{
		Handler:         e.handle,
		ConnState:       endpointConnReporter(e.inbox),
		CloseOnShutdown: true,
	}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// Address returns the host and port that the endpoint listens on.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// SetBehaviour changes the behaviour for tasks that start from now on.
func (e *Endpoint) SetBehaviour(b EndpointBehaviour) {
	e.inbox.Send(&endpointSetBehaviour{behaviour: b})
}

// Starts returns how often each task was started. Keys are the tasks' Echo texts,
// or their grant ids if Echo is empty.
func (e *Endpoint) Starts() map[string]int {
	return queryEndpoint(e.inbox, func(reply chan<- map[string]int) endpointMessage {
		return &endpointStartsQuery{reply: reply}
	})
}

// Totals returns the current counts.
func (e *Endpoint) Totals() EndpointTotals {
	return queryEndpoint(e.inbox, func(reply chan<- EndpointTotals) endpointMessage {
		return &endpointTotalsQuery{reply: reply}
	})
}

// AwaitStarts blocks until at least count tasks were started in total.
func (e *Endpoint) AwaitStarts(count uint64) {
	queryEndpoint(e.inbox, func(reply chan<- bool) endpointMessage {
		return &endpointAwaitStarts{count: count, reply: reply}
	})
}

// Stop shuts the endpoint down after the requests in progress have ended.
func (e *Endpoint) Stop() {
	_ = e.server.Shutdown()
	e.cancel()
}

// Kill closes the listener and all connections immediately, as a crash would. The
// counts remain readable.
func (e *Endpoint) Kill() {
	_ = e.listener.Close()
	queryEndpoint(e.inbox, func(reply chan<- bool) endpointMessage {
		return &endpointKill{reply: reply}
	})
}

func (e *Endpoint) reportStart(name string) EndpointBehaviour {
	return queryEndpoint(e.inbox, func(reply chan<- EndpointBehaviour) endpointMessage {
		return &endpointTaskStarted{name: name, reply: reply}
	})
}

func (e *Endpoint) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case endpointRunPath:
		e.runTask(ctx)
	case endpointHealthPath:
		ctx.SetBodyString("ok\n")
	case endpointStartsPath:
		endpointWriteJSON(ctx, e.Starts())
	case endpointTotalsPath:
		endpointWriteJSON(ctx, e.Totals())
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Endpoint) runTask(ctx *fasthttp.RequestCtx) {
	payload, result := parseEndpointPayload(ctx.PostBody())
	name := payload.Echo
	if name == "" {
		name = string(ctx.Request.Header.Peek(endpointGrantHeader))
	}
	behaviour := e.reportStart(name)
	failed := payload.Fail || behaviour.FailAll
	if !behaviour.FailAll {
		time.Sleep(payload.runTime(behaviour.RunTimeFactor))
	}
	e.inbox.Send(&endpointTaskEnded{failed: failed})
	if failed {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		ctx.SetBodyString("the task failed as configured")
		return
	}
	ctx.SetBody(result)
}

// parseEndpointPayload returns the parsed payload and the result to answer with.
func parseEndpointPayload(body []byte) (EndpointPayload, []byte) {
	var payload EndpointPayload
	if err := json.Unmarshal(body, &payload); err != nil {
		return EndpointPayload{}, body
	}
	return payload, []byte(payload.Echo)
}

func (p EndpointPayload) runTime(factor float64) time.Duration {
	if factor == 0 {
		factor = 1
	}
	return time.Duration(float64(p.SleepMicros) * factor * float64(time.Microsecond))
}

func endpointWriteJSON(ctx *fasthttp.RequestCtx, body any) {
	ctx.SetContentType("application/json")
	if err := json.NewEncoder(ctx).Encode(body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
