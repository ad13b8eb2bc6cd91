package ingress

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/logging"
)

// startServer starts a server on a free port and returns its address.
func startServer(t *testing.T, h Handler, limits Limits) (*Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := listener.Addr().String()
	_ = listener.Close()
	s, err := Start(Options{Addresses: []string{address}, Handler: h, Limits: func() Limits { return limits }, Log: logging.Discard()})
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return s, address
}

func echo(request *fasthttp.Request, response *fasthttp.Response, _ <-chan time.Time) {
	response.SetBody(request.Body())
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

func read(t *testing.T, r *bufio.Reader) *fasthttp.Response {
	t.Helper()
	var response fasthttp.Response
	is.New(t).NoErr(response.Read(r))
	return &response
}

func TestFragmentedAndPipelinedRequests(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, echo, Limits{})
	conn, r := dial(t, address)
	for _, piece := range []string{"POST /a HT", "TP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe", "llo"} {
		_, _ = conn.Write([]byte(piece))
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(string(read(t, r).Body()), "hello")
	_, _ = conn.Write([]byte(strings.Repeat("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab", 2)))
	is.Equal(string(read(t, r).Body()), "ab")
	is.Equal(string(read(t, r).Body()), "ab")
}

func TestChunkedBody(t *testing.T) {
	_, address := startServer(t, echo, Limits{})
	conn, r := dial(t, address)
	_, _ = conn.Write([]byte("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"))
	time.Sleep(20 * time.Millisecond)
	_, _ = conn.Write([]byte("0\r\n\r\n"))
	is.New(t).Equal(string(read(t, r).Body()), "abc")
}

func TestRequestsOverTheLimitsAreRefused(t *testing.T) {
	limits := Limits{HeaderBytes: 200, BodyBytes: 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Minute}
	for name, c := range map[string]struct {
		bytes  string
		status int
	}{
		"header":  {"GET /" + strings.Repeat("a", 300), fasthttp.StatusRequestHeaderFieldsTooLarge},
		"body":    {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n", fasthttp.StatusRequestEntityTooLarge},
		"garbage": {"\x00\x01\x02 nothing\r\n\r\n", fasthttp.StatusBadRequest},
		"slow":    {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab", fasthttp.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := startServer(t, echo, limits)
			conn, r := dial(t, address)
			_, _ = conn.Write([]byte(c.bytes))
			is.New(t).Equal(read(t, r).StatusCode(), c.status)
		})
	}
}

func TestIdleConnectionIsClosed(t *testing.T) {
	_, address := startServer(t, echo, Limits{IdleTimeout: 300 * time.Millisecond})
	_, r := dial(t, address)
	_, err := r.ReadByte()
	is.New(t).True(err != nil)
}

func TestHandlerIsToldOfClientDisconnect(t *testing.T) {
	notified := make(chan time.Time, 1)
	started := make(chan struct{})
	_, address := startServer(t, func(_ *fasthttp.Request, _ *fasthttp.Response, clientGone <-chan time.Time) {
		close(started)
		at := <-clientGone
		<-clientGone
		notified <- at
	}, Limits{})
	conn, _ := dial(t, address)
	_, _ = fmt.Fprint(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	closedAt := time.Now()
	_ = conn.Close()
	select {
	case at := <-notified:
		is.New(t).True(!at.Before(closedAt))
	case <-time.After(10 * time.Second):
		t.Fatal("the handler was not told that the client has disconnected")
	}
}

func TestShutdownFinishesRequestsInProgress(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	started := make(chan struct{})
	s, address := startServer(t, func(_ *fasthttp.Request, response *fasthttp.Response, _ <-chan time.Time) {
		close(started)
		<-release
		response.SetBodyString("whole")
	}, Limits{})
	conn, r := dial(t, address)
	_, _ = fmt.Fprint(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	s.Leave()
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(context.Background()) }()
	close(release)
	response := read(t, r)
	is.Equal(string(response.Body()), "whole")
	is.True(response.ConnectionClose())
	is.NoErr(<-done)
}

// A fault in the handling of one request must not end the process, and with it every
// other request of the entry.
func TestPanicOfAHandlerFailsOnlyItsRequest(t *testing.T) {
	is := is.New(t)
	_, address := startServer(t, func(request *fasthttp.Request, response *fasthttp.Response, gone <-chan time.Time) {
		if string(request.URI().Path()) == "/fault" {
			panic("fault")
		}
		echo(request, response, gone)
	}, Limits{})
	conn, r := dial(t, address)
	_, _ = conn.Write([]byte("POST /fault HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"))
	is.Equal(read(t, r).StatusCode(), fasthttp.StatusBadGateway)
	_, _ = conn.Write([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"))
	is.Equal(string(read(t, r).Body()), "ab")
}

// The server reads late, and the client has given up meanwhile and may have sent its request
// elsewhere.
func TestRequestOfAClientThatHasLeftIsNotHandled(t *testing.T) {
	is := is.New(t)
	const clients = 20
	handled := make(chan string, clients+2)
	handler := func(request *fasthttp.Request, _ *fasthttp.Response, _ <-chan time.Time) {
		handled <- string(request.URI().Path())
	}
	s, address := startServer(t, handler, Limits{})
	send := func(path string) (net.Conn, *bufio.Reader) {
		conn, r := dial(t, address)
		_, err := conn.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n"))
		is.NoErr(err)
		return conn, r
	}
	_, first := send("/first")
	read(t, first)
	busy := make(chan struct{})
	is.NoErr((*s.loop.Load()).Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
		<-busy
		return nil
	})))
	for range clients {
		conn, _ := send("/left")
		is.NoErr(conn.Close())
	}
	_, last := send("/stayed")
	close(busy)
	read(t, last)
	for open := clients; open > 2; { // the connections of those that have left are still open
		count := make(chan int, 1)
		is.NoErr((*s.loop.Load()).Execute(t.Context(), gnet.RunnableFunc(func(context.Context) error {
			count <- len(s.connections)
			return nil
		})))
		open = <-count
	}
	is.Equal(<-handled, "/first")
	is.Equal(<-handled, "/stayed")
	is.Equal(len(handled), 0)
}
