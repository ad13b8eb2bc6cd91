// Package standin has small stand-ins for what the platform and the customers
// provide, for tests, trials and newcomers.
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
	endpointRunPath    = "/run"
	endpointHealthPath = "/healthz"
	endpointStartsPath = "/starts"
	endpointTotalsPath = "/totals"
	endpointGrant      = "Cactuspost-Grant"
)

// EndpointOptions sets up an Endpoint.
type EndpointOptions struct {
	// Listen is the address, as host:port.
	Listen    string
	Behaviour EndpointBehaviour
}

// EndpointBehaviour is how an Endpoint runs tasks.
type EndpointBehaviour struct {
	// RunTimeFactor multiplies run times: 2 makes a worker of half the speed.
	// Zero means 1.
	RunTimeFactor float64
	// FailAll makes every task fail at once.
	FailAll bool
}

// EndpointPayload is the payload of a task that tells the endpoint what to do.
// A payload of any other form is echoed at once.
type EndpointPayload struct {
	// SleepMicros is the run time in microseconds.
	SleepMicros int64 `json:"sleep_us"`
	// Fail makes the task fail after its run time.
	Fail bool `json:"fail"`
	// Echo is the result. It also identifies the task in Starts.
	Echo string `json:"echo"`
}

// EndpointTotals counts tasks.
type EndpointTotals struct {
	Started   uint64 `json:"started"`
	Succeeded uint64 `json:"succeeded"`
	Failed    uint64 `json:"failed"`
	Running   int    `json:"running"`
	// MaxRunning is the highest number that ran at the same time.
	MaxRunning int `json:"max_running"`
	// Connections counts the connections that were accepted.
	Connections uint64 `json:"connections"`
}

// Endpoint is a sample of a customer's endpoint: it sleeps instead of working,
// and it counts how often each task was started.
type Endpoint struct {
	listener net.Listener
	server   *fasthttp.Server
	ledger   *actor.Inbox[endpointMessage]
	cancel   context.CancelFunc
}

// StartEndpoint starts an endpoint. It returns a failure of kind Unavailable
// when the address can't be listened on.
func StartEndpoint(o EndpointOptions) (*Endpoint, error) {
	listener, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "listen for tasks")
	}
	ctx, cancel := context.WithCancel(context.Background())
	e := &Endpoint{listener: listener, ledger: startEndpointLedger(ctx, o.Behaviour), cancel: cancel}
	e.server = &fasthttp.Server{
		Handler:         e.handle,
		ConnState:       endpointConnReporter(e.ledger),
		CloseOnShutdown: true,
	}
	go func() { _ = e.server.Serve(listener) }()
	return e, nil
}

// Address returns host and port in use.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// SetBehaviour changes how tasks run that start from now on.
func (e *Endpoint) SetBehaviour(b EndpointBehaviour) {
	e.ledger.Send(&endpointBehaviourSet{behaviour: b})
}

// Starts returns how often each task was started, by its echo text, or by its
// grant if it has none.
func (e *Endpoint) Starts() map[string]int {
	return endpointAsk(e.ledger, func(reply chan<- map[string]int) endpointMessage {
		return &endpointStartsAsked{reply: reply}
	})
}

// Totals returns the counts over all tasks.
func (e *Endpoint) Totals() EndpointTotals {
	return endpointAsk(e.ledger, func(reply chan<- EndpointTotals) endpointMessage {
		return &endpointTotalsAsked{reply: reply}
	})
}

// AwaitStarts returns when the given number of tasks were started in all.
func (e *Endpoint) AwaitStarts(count uint64) {
	endpointAsk(e.ledger, func(reply chan<- bool) endpointMessage {
		return &endpointStartsAwaited{count: count, reply: reply}
	})
}

// Stop ends the endpoint after the requests in progress.
func (e *Endpoint) Stop() {
	_ = e.server.Shutdown()
	e.cancel()
}

// Kill closes the listener and every connection at once, as a crash would. The
// counts can still be read.
func (e *Endpoint) Kill() {
	_ = e.listener.Close()
	endpointAsk(e.ledger, func(reply chan<- bool) endpointMessage {
		return &endpointKilled{reply: reply}
	})
}

func (e *Endpoint) begin(name string) EndpointBehaviour {
	return endpointAsk(e.ledger, func(reply chan<- EndpointBehaviour) endpointMessage {
		return &endpointTaskBegun{name: name, reply: reply}
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
	payload, result := endpointParse(ctx.PostBody())
	name := payload.Echo
	if name == "" {
		name = string(ctx.Request.Header.Peek(endpointGrant))
	}
	behaviour := e.begin(name)
	failed := payload.Fail || behaviour.FailAll
	if !behaviour.FailAll {
		time.Sleep(payload.runTime(behaviour.RunTimeFactor))
	}
	e.ledger.Send(&endpointTaskEnded{failed: failed})
	if failed {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		ctx.SetBodyString("the task failed as it was told to")
		return
	}
	ctx.SetBody(result)
}

// endpointParse returns the instructions in a payload and the result.
func endpointParse(body []byte) (EndpointPayload, []byte) {
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
