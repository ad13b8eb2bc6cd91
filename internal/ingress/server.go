// Package ingress is an HTTP/1.1 server, built on gnet, for requests whose answers
// take long: it tells the handler at once when the client has disconnected.
//
// One event loop owns all connections. Each request is handled in a goroutine of
// its own, which owns the request and passes the answer back to the event loop.
// The next request of a connection is read after the answer has been written.
package ingress

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
)

// Limits are the size limits of a request and the timeouts of a connection. Zero
// means no limit, except that HeaderBytes then has a default.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout limits the time from the first byte of a request to its last.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request stays open.
	IdleTimeout time.Duration
}

// Handler answers one request. When clientGone is closed, the client has
// disconnected and the answer will not be sent; its one value is the time when that
// was noticed. Handlers are called from many goroutines.
type Handler func(request *fasthttp.Request, response *fasthttp.Response, clientGone <-chan time.Time)

// Options configures a Server.
type Options struct {
	// Addresses are the addresses to listen on, each of the form IP:port.
	Addresses []string
	Handler   Handler
	// Limits returns the limits in force.
	Limits func() Limits
	Log    *logging.Logger
}

// leavingIdleTimeout is how long a server that is leaving keeps connections
// without a request. By then the load balancer has stopped sending new requests.
const leavingIdleTimeout = 2 * time.Second

// timeoutCheckInterval is the interval between checks of the timeouts, and so their
// resolution.
const timeoutCheckInterval = 250 * time.Millisecond

// Server is a running HTTP server.
type Server struct {
	gnet.BuiltinEventEngine
	options Options
	engine  gnet.Engine
	// leaving makes connections close after their next answer. leavingSince is
	// when the event loop first saw it set; only the event loop may use it.
	leaving      atomic.Bool
	leavingSince time.Time
	// inProgress is the number of requests being handled.
	inProgress atomic.Int64
	listening  chan struct{}
	// stopped is closed when the server has stopped; err is then the reason.
	stopped chan struct{}
	err     error
	// loop is the event loop; it is nil until the first connection is opened.
	loop atomic.Pointer[gnet.EventLoop]
	// connections may be used by the event loop only.
	connections map[*connection]bool
}

// Start starts a server. It returns a failure of kind Internal when it can't
// listen on one of the addresses.
func Start(o Options) (*Server, error) {
	s := &Server{options: o, listening: make(chan struct{}), stopped: make(chan struct{}), connections: map[*connection]bool{}}
	go s.run()
	select {
	case <-s.listening:
		return s, nil
	case <-s.stopped:
		return nil, failure.Wrap(s.err, failure.Internal, failure.NotRun, "listen for clients")
	}
}

func (s *Server) run() {
	addresses := make([]string, len(s.options.Addresses))
	for i, address := range s.options.Addresses {
		addresses[i] = "tcp://" + address
	}
	// One event loop is enough: it owns every connection, and the handlers do
	// the work in goroutines of their own.
	err := gnet.Rotate(s, addresses, gnet.WithReuseAddr(true), gnet.WithNumEventLoop(1), gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(logging.Network(s.options.Log)))
	if err != nil {
		s.options.Log.Event(event.ActorFailed, zap.String("part", "ingress"), zap.String("error", err.Error()))
	}
	s.err = err
	close(s.stopped)
}

// Leave makes the server close each connection after its next answer, and after
// leavingIdleTimeout those that have no request, so that clients send no further
// requests on them.
func (s *Server) Leave() { s.leaving.Store(true) }

// shutdownPollInterval is the interval between checks whether requests are in
// progress.
const shutdownPollInterval = 20 * time.Millisecond

// Shutdown waits until every request in progress has been answered or the context
// ends, and then stops the server.
func (s *Server) Shutdown(ctx context.Context) error {
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for s.inProgress.Load() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	go func() { _ = s.engine.Stop(context.Background()) }()
	<-s.stopped
	return s.err
}

// OnBoot is called by gnet when the server has started to listen.
func (s *Server) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.listening)
	return gnet.None
}

// OnOpen is called by gnet for each new connection.
func (s *Server) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	c := newConnection(s, conn)
	conn.SetContext(c)
	s.connections[c] = true
	if s.loop.Load() == nil {
		loop := conn.EventLoop()
		s.loop.Store(&loop)
	}
	return nil, gnet.None
}

// OnTraffic is called by gnet when bytes have arrived.
func (s *Server) OnTraffic(conn gnet.Conn) gnet.Action {
	return conn.Context().(*connection).readRequest()
}

// OnClose is called by gnet when a connection has ended.
func (s *Server) OnClose(conn gnet.Conn, _ error) gnet.Action {
	c, ok := conn.Context().(*connection)
	if !ok {
		return gnet.None
	}
	delete(s.connections, c)
	c.fire(connectionEvents.Disconnected)
	return gnet.None
}

// OnTick is called by gnet in a goroutine of its own. It has the event loop check
// the timeouts.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if loop := s.loop.Load(); loop != nil {
		// An error means that the event loop, and so the server, has stopped.
		_ = (*loop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			s.checkTimeouts()
			return nil
		}))
	}
	return timeoutCheckInterval, gnet.None
}

// checkTimeouts checks the timeouts of every connection. It runs on the event
// loop.
func (s *Server) checkTimeouts() {
	limits := s.options.Limits()
	now := time.Now()
	if s.leaving.Load() && s.leavingSince.IsZero() {
		s.leavingSince = now
	}
	if !s.leavingSince.IsZero() && now.Sub(s.leavingSince) > leavingIdleTimeout {
		limits.IdleTimeout = timeoutCheckInterval
	}
	for c := range s.connections {
		c.checkTimeouts(now, limits)
	}
}
