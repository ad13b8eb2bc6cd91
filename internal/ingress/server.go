// Package ingress is an HTTP/1.1 server on gnet for requests that wait long for
// their answers: it notices at once that a client has left.
//
// The event loop owns the connections. Each request is handled on a goroutine of
// its own, which owns the request and sends the answer back to the loop; the
// next request of a connection is read when the answer was written.
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

// Limits bounds requests and the waits for them.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the arrival of a request once its first byte is there.
	HeaderTimeout time.Duration
	// IdleTimeout closes connections without a request.
	IdleTimeout time.Duration
}

// Handler answers one request. When left is closed, the client has gone and the
// answer is not sent. Handlers run on many goroutines.
type Handler func(request *fasthttp.Request, response *fasthttp.Response, left <-chan time.Time)

// Options configures a Server.
type Options struct {
	// Addresses are listened on, IP:port each.
	Addresses []string
	Handler   Handler
	// Limits returns the limits in force.
	Limits func() Limits
	Log    *logging.Logger
}

// leavingIdleTimeout is how long a server that is leaving keeps connections without
// a request: a balancer has stopped sending new ones by then.
const leavingIdleTimeout = 2 * time.Second

// timeoutCheckPeriod is the resolution of the timeouts.
const timeoutCheckPeriod = 250 * time.Millisecond

// Server is a running HTTP server.
type Server struct {
	gnet.BuiltinEventEngine
	options Options
	engine  gnet.Engine
	// leaving closes connections after their next answer; leavingSince is when
	// that began, and belongs to the event loop.
	leaving      atomic.Bool
	leavingSince time.Time
	// inProgress counts the requests in progress.
	inProgress atomic.Int64
	listening  chan struct{}
	// stopped is closed when the server has stopped, for the reason in fault.
	stopped chan struct{}
	err     error
	// loop is the event loop, once it has a connection.
	loop atomic.Pointer[gnet.EventLoop]
	// connections belong to the event loop.
	connections map[*connection]bool
}

// Start listens on the addresses. It returns a failure of kind Internal when one
// can't be had.
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
	// One event loop: it owns every connection, and handlers do the work.
	err := gnet.Rotate(s, addresses, gnet.WithReuseAddr(true), gnet.WithNumEventLoop(1), gnet.WithTicker(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(logging.Network(s.options.Log)))
	if err != nil {
		s.options.Log.Event(event.ActorFailed, zap.String("part", "ingress"), zap.String("error", err.Error()))
	}
	s.err = err
	close(s.stopped)
}

// Leave asks clients to open no more requests on their connections.
func (s *Server) Leave() { s.leaving.Store(true) }

// shutdownPollPeriod is the time between two looks at the requests in progress.
const shutdownPollPeriod = 20 * time.Millisecond

// Shutdown waits until every request in progress was answered, or the context
// ends, and closes the server.
func (s *Server) Shutdown(ctx context.Context) error {
	ticker := time.NewTicker(shutdownPollPeriod)
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

// OnBoot is called by gnet when the server listens.
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
	c.fire(connectionEvents.Ended)
	return gnet.None
}

// OnTick is called by gnet on a goroutine of its own. It has the event loop look
// at the timeouts.
func (s *Server) OnTick() (time.Duration, gnet.Action) {
	if loop := s.loop.Load(); loop != nil {
		// Without its loop the server has ended.
		_ = (*loop).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
			s.checkTimeouts()
			return nil
		}))
	}
	return timeoutCheckPeriod, gnet.None
}

// checkTimeouts looks at the timeouts of the connections.
func (s *Server) checkTimeouts() {
	limits := s.options.Limits()
	now := time.Now()
	if s.leaving.Load() && s.leavingSince.IsZero() {
		s.leavingSince = now
	}
	if !s.leavingSince.IsZero() && now.Sub(s.leavingSince) > leavingIdleTimeout {
		limits.IdleTimeout = timeoutCheckPeriod
	}
	for c := range s.connections {
		c.checkTimeouts(now, limits)
	}
}
