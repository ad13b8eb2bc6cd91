package ingress

import (
	"bufio"
	"bytes"
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
)

// connection is one client's connection. Its fields belong to the event loop.
type connection struct {
	server *Server
	conn   gnet.Conn
	state  chart.State
	// requestStarted is when the request that is being read began to arrive, idleSince
	// when the last one was answered.
	requestStarted time.Time
	idleSince      time.Time
	// request is the whole request that an event brings, status the reason to
	// refuse bytes that are none.
	request *fasthttp.Request
	status  int
	// answer is the encoded answer that an event brings.
	answer []byte
	// closeAfterAnswer says that the connection closes after the answer.
	closeAfterAnswer bool
	// clientGone is closed when the client leaves before the answer.
	clientGone chan time.Time
	// continueSent says that the client was told to send the body.
	continueSent bool
}

var requestChart *chart.Machine[*connection]

var connectionEvents struct {
	Bytes     chart.Event `chart:"bytes"`
	Complete  chart.Event `chart:"complete"`
	Malformed chart.Event `chart:"malformed"`
	Answered  chart.Event `chart:"answered"`
	Late      chart.Event `chart:"late"`
	Ended     chart.Event `chart:"ended"`
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
			"last": func(c *connection) bool { return c.closeAfterAnswer },
		},
		Actions: map[string]func(*connection){
			"note_begin":  func(c *connection) { c.requestStarted = time.Now() },
			"handle":      (*connection).handle,
			"write":       (*connection).write,
			"close":       (*connection).close,
			"refuse":      (*connection).refuse,
			"refuse_late": (*connection).refuseTimeout,
			"tell_left":   func(c *connection) { close(c.clientGone) },
		},
	})
	requestChart.MustBindNames(&connectionEvents)
	requestChart.MustBindNames(&connectionStates)
}

func newConnection(s *Server, conn gnet.Conn) *connection {
	return &connection{server: s, conn: conn, state: requestChart.Initial(), idleSince: time.Now()}
}

func (c *connection) fire(e chart.Event) { requestChart.Fire(&c.state, e, c) }

// readRequest reads the next request off the connection's buffer, if it is whole.
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

// sendContinue lets a client that asks for it send its body.
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

// handle starts the handler on a goroutine of its own.
func (c *connection) handle() {
	c.clientGone = make(chan time.Time)
	c.closeAfterAnswer = c.request.ConnectionClose()
	request, clientGone := c.request, c.clientGone
	c.request = nil
	c.server.inProgress.Add(1)
	go c.serve(request, clientGone)
}

// serve runs on the request's goroutine and sends the answer to the event loop.
func (c *connection) serve(request *fasthttp.Request, clientGone chan time.Time) {
	var response fasthttp.Response
	c.server.options.Handler(request, &response, clientGone)
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
		// The loop has ended, and with it the connection.
		c.server.inProgress.Add(-1)
	}
}

func (c *connection) write() {
	c.idleSince = time.Now()
	_, _ = c.conn.Write(c.answer)
	c.answer = nil
}

// close ends the connection after the bytes that are queued.
func (c *connection) close() { _ = c.conn.Close() }

func (c *connection) refuse() { c.refuseWithStatus(c.status) }

func (c *connection) refuseTimeout() { c.refuseWithStatus(fasthttp.StatusRequestTimeout) }

// refuseWithStatus answers bytes that are no request and closes the connection.
func (c *connection) refuseWithStatus(status int) {
	var response fasthttp.Response
	response.SetStatusCode(status)
	response.SetConnectionClose()
	_, _ = c.conn.Discard(c.conn.InboundBuffered())
	_, _ = c.conn.Write(encodeResponse(&response))
	c.close()
}

// checkTimeouts looks at the timeouts of the connection.
func (c *connection) checkTimeouts(now time.Time, limits Limits) {
	switch c.state {
	case connectionStates.Idle:
		if limits.IdleTimeout > 0 && now.Sub(c.idleSince) > limits.IdleTimeout {
			c.fire(connectionEvents.Late)
		}
	case connectionStates.Reading:
		if limits.HeaderTimeout > 0 && now.Sub(c.requestStarted) > limits.HeaderTimeout {
			c.fire(connectionEvents.Late)
		}
	}
}

func encodeResponse(response *fasthttp.Response) []byte {
	var out bytes.Buffer
	w := bufio.NewWriter(&out)
	// Writing to memory doesn't fail.
	_ = response.Write(w)
	_ = w.Flush()
	return out.Bytes()
}
