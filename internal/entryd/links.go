package entryd

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
)

// linkOptions configures a linkServer.
type linkOptions struct {
	// address is the host and port to listen on.
	address string
	// maxLinks is the maximum number of connections.
	maxLinks int
	// eventLoops is the number of event loops.
	eventLoops int
	// heartbeatPeriod is the interval of heartbeats on an idle link.
	heartbeatPeriod time.Duration
	// silentPeriods is the number of heartbeat periods without a frame after
	// which a link is closed; zero means defaultSilentPeriods.
	silentPeriods int
	// idlePeriod is the heartbeat period of links without open grants; zero means
	// heartbeatPeriod.
	idlePeriod time.Duration
}

// linkServer accepts the connections of agents. Its event loops only decode
// frames and forward the messages to the core actor; each link belongs to one
// loop.
type linkServer struct {
	gnet.BuiltinEventEngine
	options    linkOptions
	inbox      *actor.Inbox[coreMessage]
	progress   *progress
	log        *logging.Logger
	engine     gnet.Engine
	lastLinkID atomic.Uint64
	// unchangedHeartbeats is the number of heartbeats that were not forwarded
	// because they contained no change.
	unchangedHeartbeats atomic.Uint64
	booted              chan struct{}
	ended               chan error
}

// startLinks starts a server for agents and returns once it accepts connections.
// It returns a failure of kind Internal if it can't listen on the address.
func startLinks(options linkOptions, inbox *actor.Inbox[coreMessage], progress *progress, log *logging.Logger) (*linkServer, error) {
	s := &linkServer{
		options:  options,
		inbox:    inbox,
		progress: progress,
		log:      log,
		booted:   make(chan struct{}),
		ended:    make(chan error, 1),
	}
	go s.run()
	select {
	case <-s.booted:
		return s, nil
	case err := <-s.ended:
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "listen for agents on "+options.address)
	}
}

func (s *linkServer) run() {
	err := gnet.Run(s, "tcp://"+s.options.address,
		// Connections of a previous process may be in the state TIME_WAIT, which
		// must not prevent a restarted entry from listening on the same address.
		gnet.WithReuseAddr(true),
		gnet.WithNumEventLoop(s.options.eventLoops),
		gnet.WithLoadBalancing(gnet.LeastConnections),
		gnet.WithLogger(discardLogger{}),
	)
	if err != nil {
		s.log.Event(event.ActorFailed, zap.String("part", "links"), errorField(err))
	}
	s.ended <- err
}

// address returns the address that the server listens on.
func (s *linkServer) address() (net.Addr, error) {
	fd, err := s.engine.Dup()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "get the address of the server for agents")
	}
	file := os.NewFile(uintptr(fd), "links")
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "get the address of the server for agents")
	}
	defer listener.Close()
	return listener.Addr(), nil
}

// stop closes every link after its queued frames have been sent. It returns when
// the event loops have ended or the context is done.
func (s *linkServer) stop(ctx context.Context) error {
	go func() { _ = s.engine.Stop(ctx) }()
	select {
	case err := <-s.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// OnBoot is called once the server is listening.
func (s *linkServer) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnOpen is called for each new connection.
func (s *linkServer) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if s.engine.CountConnections() > s.options.maxLinks {
		s.log.Event(event.LinkLimitReached, zap.Stringer("address", conn.RemoteAddr()), zap.Int("limit", s.options.maxLinks))
		return nil, gnet.Close
	}
	id := dispatch.LinkID(s.lastLinkID.Add(1))
	conn.SetContext(newLink(id, conn, s))
	return nil, gnet.None
}

// OnTraffic is called when data has arrived on a connection. A panic closes only that
// connection, whose state is not used again.
func (s *linkServer) OnTraffic(conn gnet.Conn) (action gnet.Action) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.log.Event(event.AgentLinkPanicked, zap.Stringer("address", conn.RemoteAddr()), zap.Any("fault", recovered), zap.Stack("stack"))
			action = gnet.Close
		}
	}()
	if l, ok := conn.Context().(*link); ok {
		l.readFrames()
	}
	return gnet.None
}

// OnClose is called when a connection has closed.
func (s *linkServer) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if l, ok := conn.Context().(*link); ok {
		l.fire(inboundEvents.SocketClosed)
	}
	return gnet.None
}

// discardLogger discards the log lines of libraries. Everything that operators
// need is logged as a numbered event.
type discardLogger struct{}

func (discardLogger) Debugf(string, ...any) {}
func (discardLogger) Infof(string, ...any)  {}
func (discardLogger) Warnf(string, ...any)  {}
func (discardLogger) Errorf(string, ...any) {}
func (discardLogger) Fatalf(string, ...any) {}
func (discardLogger) Printf(string, ...any) {}
