package agentd

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/settings"
)

// Paths of the operators' interface.
const (
	// ReadyPath answers status 200 while Status.Ready holds, else 503.
	ReadyPath = "/readyz"
	// MetricsPath serves the metrics in the Prometheus text format.
	MetricsPath = "/metrics"
	// StatePath serves Status as JSON.
	StatePath = "/v1/state"
	// DrainPath begins the planned stop on POST and answers immediately.
	DrainPath = "/v1/drain"
)

const (
	// statusTimeout bounds the wait for the core's reply.
	statusTimeout = time.Second
	// httpIdleTimeout closes unused connections. It also bounds the reading of a
	// request.
	httpIdleTimeout = 10 * time.Second
	// httpWriteTimeout bounds the writing of a response.
	httpWriteTimeout = 5 * time.Second
	// httpStopTimeout bounds the wait for requests in progress when the server
	// stops.
	httpStopTimeout = 2 * time.Second
	// maxRequestBytes bounds the body of a request.
	maxRequestBytes = 16 << 10
)

// httpServer serves the operators' interface of one daemon.
type httpServer struct {
	listener net.Listener
	server   *fasthttp.Server
	core     *actor.Inbox[coreInput]
	counters *counters
	// operators may request the planned stop; if there are none, anyone may.
	operators []settings.Operator
	endpoint  string
}

// newHTTPServer listens on the operators' address. It returns a failure of kind
// Unavailable if the address can't be opened.
func newHTTPServer(agent settings.Agent, core *actor.Inbox[coreInput], counters *counters) (*httpServer, error) {
	listener, err := net.Listen("tcp", agent.HTTPAddress)
	if err != nil {
		return nil, failure.Wrap(err, failure.Unavailable, failure.NotRun, "listen on the operators' address")
	}
	s := &httpServer{listener: listener, core: core, counters: counters, operators: agent.Operators, endpoint: agent.Endpoint}
	s.server = &fasthttp.Server{
		Handler:            s.handle,
		Name:               "cactuspost-agent",
		IdleTimeout:        httpIdleTimeout,
		ReadTimeout:        httpIdleTimeout,
		WriteTimeout:       httpWriteTimeout,
		MaxRequestBodySize: maxRequestBytes,
		CloseOnShutdown:    true,
	}
	return s, nil
}

func (s *httpServer) address() string { return s.listener.Addr().String() }

func (s *httpServer) start() { go func() { _ = s.server.Serve(s.listener) }() }

// stop closes the server after the requests in progress.
func (s *httpServer) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), httpStopTimeout)
	defer cancel()
	_ = s.server.ShutdownWithContext(ctx)
	_ = s.listener.Close()
}

func (s *httpServer) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case HealthPath:
		ctx.SetBodyString("ok\n")
	case ReadyPath:
		s.ready(ctx)
	case MetricsPath:
		s.metrics(ctx)
	case StatePath:
		s.state(ctx)
	case DrainPath:
		s.drain(ctx)
	default:
		writeFailure(ctx, fasthttp.StatusNotFound, failure.New(failure.Invalid, failure.NotRun, "the path does not exist"))
	}
}

func (s *httpServer) ready(ctx *fasthttp.RequestCtx) {
	status, f := s.fetchStatus()
	if f == nil && !status.Ready() {
		f = failure.New(failure.Unavailable, failure.NotRun, "no entry is connected, the endpoint is down, or the agent is leaving")
	}
	if f != nil {
		writeFailure(ctx, fasthttp.StatusServiceUnavailable, f)
		return
	}
	ctx.SetBodyString("ok\n")
}

func (s *httpServer) metrics(ctx *fasthttp.RequestCtx) {
	status, f := s.fetchStatus()
	if f != nil {
		writeFailure(ctx, fasthttp.StatusServiceUnavailable, f)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	s.counters.write(ctx, status)
}

func (s *httpServer) state(ctx *fasthttp.RequestCtx) {
	status, f := s.fetchStatus()
	if f != nil {
		writeFailure(ctx, fasthttp.StatusServiceUnavailable, f)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, status)
}

func (s *httpServer) drain(ctx *fasthttp.RequestCtx) {
	if !ctx.IsPost() {
		writeFailure(ctx, fasthttp.StatusMethodNotAllowed, failure.New(failure.Invalid, failure.NotRun, "only POST is allowed"))
		return
	}
	if f := s.authorise(ctx); f != nil {
		writeFailure(ctx, fasthttp.StatusUnauthorized, f)
		return
	}
	s.core.Send(coreInput{message: &agent.Stop{}})
	response := operator.DrainAnswer{Endpoint: s.endpoint, Leaving: true}
	// An idle agent may have ended already: then there is nothing left to finish.
	if status, f := s.fetchStatus(); f == nil {
		response.Busy = status.Busy
		response.Unacked = status.Unacked
	}
	writeJSON(ctx, fasthttp.StatusAccepted, response)
}

// authorise returns a failure of kind Unauthorized unless the request has the
// token of an operator. It compares every token, each in constant time, so that
// the response time reveals nothing about the tokens.
func (s *httpServer) authorise(ctx *fasthttp.RequestCtx) *failure.Failure {
	if len(s.operators) == 0 {
		return nil
	}
	token, err := api.BearerToken(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return failure.Of(err)
	}
	matched := false
	for _, o := range s.operators {
		matched = o.Token.Matches(token) || matched
	}
	if !matched {
		return failure.New(failure.Unauthorized, failure.NotRun, "the token is not an operator's")
	}
	return nil
}

// fetchStatus requests the status from the core. It returns a failure of kind
// Unavailable if the core is overloaded or does not reply in time, and one of
// kind Draining if it has stopped.
func (s *httpServer) fetchStatus() (Status, *failure.Failure) {
	reply := make(chan Status, 1)
	deadline := time.NewTimer(statusTimeout)
	defer deadline.Stop()
	if !s.core.TrySend(coreInput{status: reply}) {
		return Status{}, failure.New(failure.Unavailable, failure.NotRun, "the agent is overloaded")
	}
	select {
	case status := <-reply:
		return status, nil
	case <-s.core.Done():
		return Status{}, failure.New(failure.Draining, failure.NotRun, "the agent has stopped")
	case <-deadline.C:
		return Status{}, failure.New(failure.Unavailable, failure.NotRun, "the agent did not answer in time")
	}
}

// failureBody is the JSON body of an error response.
type failureBody struct {
	Kind   failure.Kind `json:"kind"`
	Run    failure.Run  `json:"run"`
	Detail string       `json:"detail"`
}

func writeFailure(ctx *fasthttp.RequestCtx, status int, f *failure.Failure) {
	writeJSON(ctx, status, failureBody{Kind: f.Kind, Run: f.Run, Detail: f.Detail})
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body any) {
	ctx.SetContentType("application/json")
	ctx.SetStatusCode(status)
	if err := json.NewEncoder(ctx).Encode(body); err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
	}
}
