package agentd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cactuspost.example/charts"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// The request that runs a task: POST to RunPath with the payload as its body.
const (
	// RunPath is the path of the request.
	RunPath = "/run"
	// HealthPath is the path of the health check; it answers status 200 while the
	// endpoint is healthy.
	HealthPath = "/healthz"
	// GrantHeader holds the grant's ID, which is unique to one attempt of one task.
	GrantHeader = "Cactuspost-Grant"
	// ServiceHeader holds the name of the service.
	ServiceHeader = "Cactuspost-Service"
	// KindHeader holds the kind of the task.
	KindHeader = "Cactuspost-Kind"
)

const (
	// maxResponseBytes bounds the body of a response, which is the task's result.
	maxResponseBytes = 1 << 20
	// endpointDialTimeout is the timeout for opening a connection to the endpoint.
	endpointDialTimeout = time.Second
)

// exchange runs one task at the endpoint: it sends one request on one connection
// and never retries. Its goroutine owns the connection. It follows the state
// chart exchange.
type exchange struct {
	state      chart.State
	grant      structs.Grant
	endpoint   string
	connection *endpointConnection
	// reusable says that the connection can carry another request.
	reusable  bool
	request   fasthttp.Request
	response  fasthttp.Response
	startedAt time.Time
	outcome   structs.Outcome
	payload   []byte
	// err is the cause of the last event, if it is an error.
	err error
}

var exchangeChart = chart.MustCompile(charts.Files, "exchange", chart.Bindings[*exchange]{
	Guards: map[string]func(*exchange) bool{
		"status_ok": func(e *exchange) bool { return e.response.StatusCode() == fasthttp.StatusOK },
	},
	Actions: map[string]func(*exchange){
		"keep_connection":    (*exchange).keepConnection,
		"drop_connection":    (*exchange).dropConnection,
		"report_result":      (*exchange).reportResult,
		"report_error":       (*exchange).reportError,
		"report_lost":        (*exchange).reportLost,
		"report_oversized":   (*exchange).reportOversized,
		"report_stopped":     (*exchange).reportStopped,
		"report_unframed":    (*exchange).reportUnframed,
		"report_unreachable": (*exchange).reportUnreachable,
	},
})

var exchangeEvents struct {
	Connected   chart.Event `chart:"connected"`
	Unreachable chart.Event `chart:"unreachable"`
	Answered    chart.Event `chart:"answered"`
	Oversized   chart.Event `chart:"oversized"`
	Unframed    chart.Event `chart:"unframed"`
	Broken      chart.Event `chart:"broken"`
	Stopped     chart.Event `chart:"stopped"`
}

var exchangeStates struct {
	Connecting chart.State `chart:"connecting"`
	Awaiting   chart.State `chart:"awaiting"`
	Ended      chart.State `chart:"ended"`
}

func init() {
	exchangeChart.MustBindNames(&exchangeEvents)
	exchangeChart.MustBindNames(&exchangeStates)
}

// newExchange returns an exchange for a grant. If connection is nil, or stale
// when the exchange runs, the exchange opens another one.
func newExchange(grant structs.Grant, endpoint string, connection *endpointConnection) *exchange {
	return &exchange{state: exchangeChart.Initial(), grant: grant, endpoint: endpoint, connection: connection}
}

// run sends the request and returns the outcome. When ctx ends, the connection is
// closed and the task counts as stopped.
func (e *exchange) run(ctx context.Context) *exchangeEnded {
	e.startedAt = time.Now()
	exchangeChart.Fire(&e.state, e.connect(ctx), e)
	if e.state == exchangeStates.Awaiting {
		exchangeChart.Fire(&e.state, e.roundTrip(ctx), e)
	}
	ended := &exchangeEnded{exited: &agent.TaskExited{
		Grant: e.grant.ID, Outcome: e.outcome, Payload: e.payload, RunTime: time.Since(e.startedAt),
	}}
	if e.reusable {
		ended.connection = e.connection
	}
	return ended
}

// connect checks the given connection or opens another one. Nothing has been sent
// yet, so replacing a stale connection can't start the task twice.
func (e *exchange) connect(ctx context.Context) chart.Event {
	if ctx.Err() != nil {
		return exchangeEvents.Stopped
	}
	if e.connection != nil && e.connection.reusable() {
		return exchangeEvents.Connected
	}
	e.dropConnection()
	dialer := net.Dialer{Timeout: endpointDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", e.endpoint)
	if err == nil {
		e.connection = newEndpointConnection(conn)
		return exchangeEvents.Connected
	}
	e.err = err
	if ctx.Err() != nil {
		return exchangeEvents.Stopped
	}
	return exchangeEvents.Unreachable
}

// roundTrip sends the request and reads the response.
func (e *exchange) roundTrip(ctx context.Context) chart.Event {
	conn := e.connection.Conn
	stopWatching := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stopWatching()
	err := e.send()
	if err == nil {
		err = readResponse(&e.response, e.connection.reader)
	}
	e.err = err
	switch {
	case err == nil:
		return exchangeEvents.Answered
	case ctx.Err() != nil:
		return exchangeEvents.Stopped
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return exchangeEvents.Oversized
	case errors.Is(err, errUnframed):
		return exchangeEvents.Unframed
	default:
		return exchangeEvents.Broken
	}
}

func (e *exchange) send() error {
	e.request.Header.SetMethod(fasthttp.MethodPost)
	e.request.SetRequestURI(RunPath)
	e.request.Header.SetHost(e.endpoint)
	e.request.Header.Set(GrantHeader, formatGrantID(e.grant.ID))
	e.request.Header.Set(ServiceHeader, e.grant.Service)
	e.request.Header.Set(KindHeader, e.grant.Kind)
	e.request.Header.SetContentType("application/octet-stream")
	e.request.SetBodyRaw(e.grant.Payload)
	if err := e.request.Write(e.connection.writer); err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(e.connection.writer.Flush())
}

// errUnframed reports a response whose end can't be told from a broken
// connection.
var errUnframed = failure.New(failure.TaskFailed, failure.Ran, "the response has neither a Content-Length nor chunked encoding")

// identityLength is the value that fasthttp returns as the content length of a
// response that ends with its connection.
const identityLength = -2

// readResponse reads a response of bounded size. Response.Read of fasthttp can't
// be used: for a body without a length it takes a broken connection for the end.
func readResponse(response *fasthttp.Response, r *bufio.Reader) error {
	if err := readFinalHeader(response, r); err != nil {
		return err
	}
	switch response.Header.ContentLength() {
	case identityLength:
		return errUnframed
	case 0:
		return nil
	}
	if err := response.ReadBody(r, maxResponseBytes); err != nil {
		return errors.WithStack(err)
	}
	if response.Header.ContentLength() < 0 {
		return errors.WithStack(response.Header.ReadTrailer(r))
	}
	return nil
}

// maxInterimResponses bounds the interim responses, such as status 100, before
// the final one.
const maxInterimResponses = 8

// readFinalHeader reads headers until that of the final response.
func readFinalHeader(response *fasthttp.Response, r *bufio.Reader) error {
	for range maxInterimResponses {
		if err := response.Header.Read(r); err != nil {
			return errors.WithStack(err)
		}
		if response.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return errors.WithStack(failure.New(failure.TaskFailed, failure.Ran, "too many interim responses"))
}

// keepConnection marks the connection as reusable, or closes it if the response
// asks for that.
func (e *exchange) keepConnection() {
	e.reusable = !e.response.ConnectionClose()
	if !e.reusable {
		e.dropConnection()
	}
}

func (e *exchange) dropConnection() {
	if e.connection != nil {
		_ = e.connection.Close()
	}
	e.connection = nil
}

func (e *exchange) report(outcome structs.Outcome, payload []byte) {
	e.outcome = outcome
	e.payload = payload
}

func (e *exchange) reportFailure(outcome structs.Outcome, f *failure.Failure) {
	e.report(outcome, []byte(f.Error()))
}

func (e *exchange) reportResult() { e.report(structs.Succeeded, e.response.Body()) }

func (e *exchange) reportError() { e.report(structs.Errored, e.response.Body()) }

func (e *exchange) reportStopped() { e.report(structs.Stopped, nil) }

func (e *exchange) reportLost() {
	e.reportFailure(structs.Lost, failure.Wrap(e.err, failure.EndpointLost, failure.Unknown, "the connection to the endpoint broke before the response was complete"))
}

func (e *exchange) reportUnreachable() {
	e.reportFailure(structs.NotSent, failure.Wrap(e.err, failure.EndpointLost, failure.NotRun, "cannot connect to the endpoint"))
}

func (e *exchange) reportOversized() {
	e.reportFailure(structs.Errored, failure.Newf(failure.TooLarge, failure.Ran, "the response exceeds %d bytes", maxResponseBytes))
}

func (e *exchange) reportUnframed() { e.reportFailure(structs.Errored, errUnframed) }

// notSent returns the end of a task that was never sent to the endpoint.
func notSent(id structs.GrantID, f *failure.Failure) *agent.TaskExited {
	return &agent.TaskExited{Grant: id, Outcome: structs.NotSent, Payload: []byte(f.Error())}
}

// formatGrantID formats the ID of a grant for headers and logs.
func formatGrantID(id structs.GrantID) string {
	return fmt.Sprintf("%s-%x-%d-%d", id.Owner, id.Job, id.Task, id.Attempt)
}
