package ingress

import (
	"bufio"
	"bytes"
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
)

// connection is the connection of one client. Only the event loop may use its
// fields.
type connection struct {
	server *Server
	conn   gnet.Conn
	state  chart.State
	// requestStarted is when the first byte of the request being read arrived,
	// idleSince when the last answer was written.
	requestStarted time.Time
	idleSince      time.Time
	// request is the complete request of the event "complete", status the HTTP
	// status of the event "malformed".
	request *fasthttp.Request
	status  int
	// answer is the encoded answer of the event "answered".
	answer []byte
	// closeAfterAnswer is set when the connection is closed after the answer.
	closeAfterAnswer bool
	// clientGone yields the time and is closed when the client disconnects before the
	// answer. Its buffer has room for the time.
	clientGone chan time.Time
	// continueSent is set when the client was sent 100 Continue.
	continueSent bool
}

var requestChart *chart.Machine[*connection]

var connectionEvents struct {
	Bytes        chart.Event `chart:"bytes"`
	Complete     chart.Event `chart:"complete"`
	Malformed    chart.Event `chart:"malformed"`
	Answered     chart.Event `chart:"answered"`
	Timeout      chart.Event `chart:"timeout"`
	Disconnected chart.Event `chart:"disconnected"`
}

var connectionStates struct {
	Idle     chart.State `chart:"idle"`
	Reading  chart.State `chart:"reading"`
	Handling chart.State `chart:"handling"`
	Closing  chart.State `chart:"closing"`
	Closed   chart.State `chart:"closed"`
}

func init() {
	requestChart = chart.MustCompile(charts.Files, "request", chart.Bindings[*connection]{
		Guards: map[string]func(*connection) bool{
			"close_after_answer": func(c *connection) bool { return c.closeAfterAnswer },
			"client_left":        (*connection).clientLeft,
		},
		Actions: map[string]func(*connection){
			"record_start":       func(c *connection) { c.requestStarted = time.Now() },
			"handle":             (*connection).handle,
			"write":              (*connection).write,
			"close":              (*connection).close,
			"refuse":             (*connection).refuse,
			"refuse_timeout":     (*connection).refuseTimeout,
			"signal_client_gone": (*connection).signalClientGone,
		},
	})
	requestChart.MustBindNames(&connectionEvents)
	requestChart.MustBindNames(&connectionStates)
}

func newConnection(s *Server, conn gnet.Conn) *connection {
	return &connection{server: s, conn: conn, state: requestChart.Initial(), idleSince: time.Now()}
}

func (c *connection) fire(e chart.Event) { requestChart.Fire(&c.state, e, c) }

// readRequest takes the next request from the connection's buffer if it has
// arrived completely.
func (c *connection) readRequest() gnet.Action {
	if c.state == connectionStates.Closing {
		_, _ = c.conn.Discard(c.conn.InboundBuffered())
		return gnet.None
	}
	if c.state != connectionStates.Idle && c.state != connectionStates.Reading {
		return gnet.None
	}
	buffered, err := c.conn.Peek(c.conn.InboundBuffered())
	if err != nil || len(buffered) == 0 {
		return gnet.None
	}
	size, request, status := parseRequest(buffered, c.server.options.Limits())
	switch {
	case status != 0:
		c.status = status
		c.fire(connectionEvents.Malformed)
	case request == nil:
		c.fire(connectionEvents.Bytes)
		c.sendContinue(buffered)
	default:
		_, _ = c.conn.Discard(size)
		c.continueSent = false
		c.request = request
		c.fire(connectionEvents.Complete)
	}
	return gnet.None
}

// clientLeft reports whether the client has closed the connection behind its request. The
// event loop would learn of it only with its next read, when the handler has begun.
func (c *connection) clientLeft() bool {
	var next [1]byte
	n, _, err := unix.Recvfrom(c.conn.Fd(), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return (err == nil && n == 0) || errors.Is(err, unix.ECONNRESET)
}

// sendContinue sends 100 Continue, once per request, to a client whose headers
// expect it before the body.
func (c *connection) sendContinue(buffered []byte) {
	end := bytes.Index(buffered, headerEnd)
	if end < 0 || c.continueSent {
		return
	}
	if bytes.Contains(bytes.ToLower(buffered[:end]), []byte("100-continue")) {
		c.continueSent = true
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
}

// handle starts the handler in a goroutine of its own.
func (c *connection) handle() {
	c.clientGone = make(chan time.Time, 1)
	c.closeAfterAnswer = c.request.ConnectionClose()
	request, clientGone := c.request, c.clientGone
	c.request = nil
	c.server.inProgress.Add(1)
	go c.serve(request, clientGone)
}

// serve runs the handler in the request's goroutine and passes the answer to the
// event loop.
func (c *connection) serve(request *fasthttp.Request, clientGone chan time.Time) {
	var response fasthttp.Response
	c.callHandler(request, &response, clientGone)
	leaving := c.server.leaving.Load()
	if leaving {
		response.SetConnectionClose()
	}
	answer := encodeResponse(&response)
	task := gnet.RunnableFunc(func(context.Context) error {
		c.server.inProgress.Add(-1)
		c.answer = answer
		c.closeAfterAnswer = c.closeAfterAnswer || leaving
		c.fire(connectionEvents.Answered)
		c.readRequest()
		return nil
	})
	if err := c.conn.EventLoop().Execute(context.Background(), task); err != nil {
		// The event loop has stopped, and the connection with it.
		c.server.inProgress.Add(-1)
	}
}

// callHandler calls the handler. If it panics, the answer says that the outcome is
// unknown: what the handler had begun goes on.
func (c *connection) callHandler(request *fasthttp.Request, response *fasthttp.Response, clientGone chan time.Time) {
	defer func() {
		if recovered := recover(); recovered != nil {
			c.server.options.Log.Event(event.RequestHandlerPanicked, zap.ByteString("path", request.URI().PathOriginal()), zap.Any("fault", recovered), zap.Stack("stack"))
			response.Reset()
			response.SetStatusCode(fasthttp.StatusBadGateway)
		}
	}()
	c.server.options.Handler(request, response, clientGone)
}

func (c *connection) signalClientGone() {
	c.clientGone <- time.Now()
	close(c.clientGone)
}

func (c *connection) write() {
	c.idleSince = time.Now()
	_, _ = c.conn.Write(c.answer)
	c.answer = nil
}

// close ends the connection after the queued bytes have been sent.
func (c *connection) close() { _ = c.conn.Close() }

func (c *connection) refuse() { c.refuseWithStatus(c.status) }

func (c *connection) refuseTimeout() { c.refuseWithStatus(fasthttp.StatusRequestTimeout) }

// refuseWithStatus answers with a status and no body, and closes the connection.
func (c *connection) refuseWithStatus(status int) {
	var response fasthttp.Response
	response.SetStatusCode(status)
	response.SetConnectionClose()
	_, _ = c.conn.Discard(c.conn.InboundBuffered())
	_, _ = c.conn.Write(encodeResponse(&response))
	c.close()
}

// checkTimeouts fires a timeout event if the idle timeout or the time limit of
// the request being read has passed.
func (c *connection) checkTimeouts(now time.Time, limits Limits) {
	switch c.state {
	case connectionStates.Idle:
		if limits.IdleTimeout > 0 && now.Sub(c.idleSince) > limits.IdleTimeout {
			c.fire(connectionEvents.Timeout)
		}
	case connectionStates.Reading:
		if limits.HeaderTimeout > 0 && now.Sub(c.requestStarted) > limits.HeaderTimeout {
			c.fire(connectionEvents.Timeout)
		}
	}
}

func encodeResponse(response *fasthttp.Response) []byte {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	// Writing to memory does not fail.
	_ = response.Write(w)
	_ = w.Flush()
	return out.Bytes()
}
