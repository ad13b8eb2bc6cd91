package entryd

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
)

// Limits of the HTTP server that are not configurable.
const (
	// maxHeaderBytes limits the request line and the headers together.
	maxHeaderBytes = 16 << 10
	// httpIdleTimeout closes keep-alive connections that have no request.
	httpIdleTimeout = 60 * time.Second
	// httpWriteTimeout limits the time to send one answer.
	httpWriteTimeout = 30 * time.Second
	// spareConnections is the number of connections accepted beyond the limit,
	// so that their clients get an answer that names the limit instead of a
	// dropped connection.
	spareConnections = 64
)

// OperatorRequest is a request to one of the operators' paths.
type OperatorRequest struct {
	Operator string
	Method   string
	Query    map[string]string
	Body     []byte
	// Text asks for a plain-text answer; the default is JSON.
	Text bool
	// HTML asks for an HTML page, which only the report has.
	HTML bool
}

// OperatorHandler serves an operators' path that another component of the daemon
// provides. It returns the body of a 200 answer.
type OperatorHandler func(OperatorRequest) ([]byte, *failure.Failure)

// frontendOptions configures the HTTP server.
type frontendOptions struct {
	limits      settings.Limits
	credentials *credentials
	tls         *tls.Config
	pprof       bool
	notes       OperatorHandler
	report      OperatorHandler
}

// frontend serves callers and operators over HTTP. Its handlers keep no state
// and get what they need from the actors by message.
type frontend struct {
	options    frontendOptions
	jobs       *jobRouter
	core       *coreClient
	cluster    *cluster
	linkServer *linkServer
	log        *logging.Logger
	routes     []route
	metrics    *metrics.Set
	server     *fasthttp.Server
	listener   net.Listener
	// leaving is closed when the planned stop begins. From then on each
	// connection is closed after its next answer.
	leaving chan struct{}
}

func newFrontend(options frontendOptions, listener net.Listener, jobs *jobRouter, cluster *cluster, links *linkServer, log *logging.Logger) *frontend {
	f := &frontend{
		options:    options,
		jobs:       jobs,
		core:       cluster.core,
		cluster:    cluster,
		linkServer: links,
		log:        log,
		metrics:    metrics.NewSet(),
		listener:   lingerListener{listener},
		leaving:    make(chan struct{}),
	}
	if options.tls != nil {
		f.listener = tls.NewListener(f.listener, options.tls)
	}
	f.routes = f.routeTable()
	f.server = &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 f.handleReadError,
		Concurrency:                  options.limits.MaxConnections + spareConnections,
		ReadBufferSize:               maxHeaderBytes,
		ReadTimeout:                  options.limits.HeaderTimeout,
		WriteTimeout:                 httpWriteTimeout,
		IdleTimeout:                  httpIdleTimeout,
		MaxRequestBodySize:           options.limits.MaxBody,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
	return f
}

// serve accepts connections until the server is shut down.
func (f *frontend) serve() {
	err := f.server.Serve(f.listener)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		f.log.Event(event.ActorFailed, zap.String("part", "http"), errorField(err))
	}
}

// leave makes the server close each connection after its next answer, so that
// clients send no further requests on it.
func (f *frontend) leave() { close(f.leaving) }

// shutdown stops accepting connections and returns when every request in
// progress has been answered or the context ends.
func (f *frontend) shutdown(ctx context.Context) error {
	err := f.server.ShutdownWithContext(ctx)
	// A server whose Serve has not run yet would otherwise still start to
	// accept connections.
	_ = f.listener.Close()
	return err
}

// handle answers one request and records its metrics.
func (f *frontend) handle(ctx *fasthttp.RequestCtx) {
	started := time.Now()
	name := f.serveWithRecovery(ctx)
	f.closeIfLeaving(ctx)
	f.recordRequest(name, ctx.Response.StatusCode(), time.Since(started))
}

// serveWithRecovery recovers from a panic in a handler, so that a fault in one
// request does not end the process and with it every job of the entry.
func (f *frontend) serveWithRecovery(ctx *fasthttp.RequestCtx) (name string) {
	defer func() {
		if recovered := recover(); recovered != nil {
			name = unmatchedRoute
			f.log.Event(event.RequestHandlerPanicked, zap.Any("fault", recovered), zap.Stack("stack"))
			f.refuse(ctx, failure.New(failure.Internal, failure.Unknown, "internal error of the entry"))
		}
	}()
	return f.serveRequest(ctx)
}

func (f *frontend) serveRequest(ctx *fasthttp.RequestCtx) string {
	if int(f.server.GetOpenConnectionsCount()) > f.options.limits.MaxConnections {
		f.log.Event(event.ConnectionLimitReached)
		ctx.SetConnectionClose()
		f.refuseBeforeDispatch(ctx, failure.New(failure.TooLarge, failure.NotRun, "too many connections").WithRetry(callRetryDelay))
		return unmatchedRoute
	}
	r, refusal := f.findRoute(ctx)
	if refusal != nil {
		f.refuseBeforeDispatch(ctx, refusal)
		return unmatchedRoute
	}
	sender, refusal := f.authorise(ctx, r.access)
	if refusal != nil {
		f.refuseBeforeDispatch(ctx, refusal)
		return r.name
	}
	r.handler(ctx, sender)
	return r.name
}

// authorise checks that the token of a request is valid and gives access to the
// route.
func (f *frontend) authorise(ctx *fasthttp.RequestCtx, access access) (principal, *failure.Failure) {
	if access == publicAccess {
		return principal{}, nil
	}
	token, err := api.BearerToken(string(ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)))
	if err != nil {
		return principal{}, failure.Of(err)
	}
	sender, refusal := f.options.credentials.find(token)
	if refusal != nil {
		f.log.Event(event.TokenRefused, zap.Stringer("address", ctx.RemoteAddr()))
		return principal{}, refusal
	}
	if (access == callerAccess) != (sender.team != "") {
		return principal{}, failure.New(failure.Forbidden, failure.NotRun, "the token does not give access to this path")
	}
	return sender, nil
}

// refuse writes a failure as the answer.
func (f *frontend) refuse(ctx *fasthttp.RequestCtx, refusal *failure.Failure) {
	status, body, retryAfter := api.EncodeFailure(refusal)
	if retryAfter != "" {
		ctx.Response.Header.Set(api.RetryAfterHeader, retryAfter)
	}
	f.writeJSON(ctx, status, body)
}

// refuseBeforeDispatch refuses a request that has not reached the dispatcher.
// The request itself started nothing, but a job that it names by id may have run
// because of an earlier request. For such a request "not run" is replaced by
// "unknown".
func (f *frontend) refuseBeforeDispatch(ctx *fasthttp.RequestCtx, refusal *failure.Failure) {
	if refusal.Run == failure.NotRun && mayNameJob(ctx) {
		refusal = failure.New(refusal.Kind, failure.Unknown, refusal.Detail).WithRetry(refusal.RetryAfter)
	}
	f.refuse(ctx, refusal)
}

// mayNameJob reports whether a request may name an existing job by its id. The
// server reports the path "/" for a request that it could not read.
func mayNameJob(ctx *fasthttp.RequestCtx) bool {
	path := string(ctx.Path())
	return path == "/" || strings.HasPrefix(path, api.JobPathPrefix)
}

func (f *frontend) writeJSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType(api.JSONType)
	ctx.SetBody(body)
}

// handleReadError answers a request that could not be read because it was cut
// off, too slow, too large or not HTTP. No handler has seen any part of it.
func (f *frontend) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	enableLinger(ctx.Conn())
	ctx.SetConnectionClose()
	f.refuseBeforeDispatch(ctx, readFailure(err))
	f.recordRequest(unmatchedRoute, ctx.Response.StatusCode(), 0)
}

func readFailure(err error) *failure.Failure {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return failure.New(failure.TooLarge, failure.NotRun, "the request body is too large")
	case errors.As(err, &small):
		return failure.New(failure.TooLarge, failure.NotRun, "the request headers are too large")
	default:
		return failure.New(failure.Invalid, failure.NotRun, "the request could not be read")
	}
}

func (f *frontend) closeIfLeaving(ctx *fasthttp.RequestCtx) {
	select {
	case <-f.leaving:
		ctx.SetConnectionClose()
	default:
	}
}
