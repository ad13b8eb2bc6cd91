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

// linkOptions configures the server for agents.
type linkOptions struct {
	// address is where it listens, as host and port.
	address string
	// limit bounds the connections.
	limit int
	// loops is the number of event loops.
	loops int
	// period is the heartbeat period, silent the number of periods without a
	// frame after which a link is closed; zero means silentBeats.
	period time.Duration
	silent int
}

// linkServer accepts the agents' connections. Its event loops only cut the
// bytes into frames and forward the messages; each link belongs to one loop.
type linkServer struct {
	gnet.BuiltinEventEngine
	options linkOptions
	inbox   *actor.Inbox[coreMessage]
	log     *logging.Logger
	engine  gnet.Engine
	lastID  atomic.Uint64
	// heartbeats counts the frames that told nothing new.
	heartbeats atomic.Uint64
	booted     chan struct{}
	ended      chan error
}

// startLinks listens for agents and returns when connections are accepted.
// It returns a failure of kind Internal when the address can't be had.
func startLinks(options linkOptions, inbox *actor.Inbox[coreMessage], log *logging.Logger) (*linkServer, error) {
	s := &linkServer{
		options: options,
		inbox:   inbox,
		log:     log,
		booted:  make(chan struct{}),
		ended:   make(chan error, 1),
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
		// A killed entry leaves connections in the state TIME_WAIT; its next life
		// listens on the same address all the same.
		gnet.WithReuseAddr(true),
		gnet.WithNumEventLoop(s.options.loops),
		gnet.WithLoadBalancing(gnet.LeastConnections),
		gnet.WithLogger(silentLogger{}),
	)
	if err != nil {
		s.log.Event(event.ActorFailed, zap.String("part", "links"), errorField(err))
	}
	s.ended <- err
}

// address returns where the server listens.
func (s *linkServer) address() (net.Addr, error) {
	fd, err := s.engine.Dup()
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "address of the server for agents")
	}
	file := os.NewFile(uintptr(fd), "links")
	defer file.Close()
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "address of the server for agents")
	}
	defer listener.Close()
	return listener.Addr(), nil
}

// stop closes every link after what is queued for it, and returns when the
// event loops have ended or the context does.
func (s *linkServer) stop(ctx context.Context) error {
	go func() { _ = s.engine.Stop(ctx) }()
	select {
	case err := <-s.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// OnBoot is called when the server listens.
func (s *linkServer) OnBoot(engine gnet.Engine) gnet.Action {
	s.engine = engine
	close(s.booted)
	return gnet.None
}

// OnOpen is called for each new connection.
func (s *linkServer) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	if s.engine.CountConnections() > s.options.limit {
		s.log.Event(event.LinkLimitReached, zap.Stringer("address", conn.RemoteAddr()), zap.Int("limit", s.options.limit))
		return nil, gnet.Close
	}
	id := dispatch.LinkID(s.lastID.Add(1))
	conn.SetContext(newLink(id, conn, s))
	return nil, gnet.None
}

// OnTraffic is called when bytes have arrived.
func (s *linkServer) OnTraffic(conn gnet.Conn) gnet.Action {
	if l, ok := conn.Context().(*link); ok {
		l.read()
	}
	return gnet.None
}

// OnClose is called when a connection has ended.
func (s *linkServer) OnClose(conn gnet.Conn, _ error) gnet.Action {
	if l, ok := conn.Context().(*link); ok {
		l.fire(connectionEvents.Ended)
	}
	return gnet.None
}

// silentLogger drops the library's own lines: what matters to an operator is
// logged as numbered events.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
func (silentLogger) Printf(string, ...any) {}
