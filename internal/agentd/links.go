package agentd

import (
	"context"
	"net"
	"time"

	"github.com/panjf2000/gnet/v2"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

const (
	// linksInboxSize is the capacity of the inbox of links. Event loops and dials
	// block while it is full; the core does not, see core.send.
	linksInboxSize = 4096
	// linksTickInterval is the interval between checks of heartbeats and writes.
	linksTickInterval = 100 * time.Millisecond
	// defaultHeartbeatInterval is the default of Timing.HeartbeatInterval.
	defaultHeartbeatInterval = time.Second
	// defaultSilenceTimeout is the default of Timing.SilenceTimeout.
	defaultSilenceTimeout = 5 * time.Second
	// defaultDialTimeout is the default of Timing.DialTimeout.
	defaultDialTimeout = 3 * time.Second
	// pauseThreshold is the time between two checks from which the process counts as
	// having been paused. A pause does not count towards the silence timeout.
	pauseThreshold = time.Second
)

// linksInput is a message for links.
type linksInput interface{ isLinksInput() }

// Messages from the core.
type (
	dialLink struct {
		link    agent.LinkID
		address string
	}
	sendMessage struct {
		link    agent.LinkID
		message *structs.FromAgent
	}
	closeLink struct{ link agent.LinkID }
	// finishLinks closes each connection after its queued bytes are written, and
	// then ends the actor.
	finishLinks struct{}
)

// Messages from event loops and dials.
type (
	linkOpened struct {
		link agent.LinkID
		conn gnet.Conn
	}
	linkEnded struct{ link agent.LinkID }
	// linkActivity reports when the event loop last received bytes on a link.
	linkActivity struct {
		link agent.LinkID
		at   time.Time
	}
	// linkWritten reports how many bytes of a write have not been passed to the
	// operating system yet.
	linkWritten struct {
		link      agent.LinkID
		number    uint64
		remaining int
	}
)

func (*dialLink) isLinksInput()     {}
func (*sendMessage) isLinksInput()  {}
func (*closeLink) isLinksInput()    {}
func (*finishLinks) isLinksInput()  {}
func (*linkOpened) isLinksInput()   {}
func (*linkEnded) isLinksInput()    {}
func (*linkActivity) isLinksInput() {}
func (*linkWritten) isLinksInput()  {}

// links is the actor that owns the connections to the entries: it dials, encodes
// and writes. The event loop passes received messages directly to the core.
type links struct {
	inbox       *actor.Inbox[linksInput]
	core        *actor.Inbox[coreInput]
	client      *gnet.Client
	timing      Timing
	log         *logging.Logger
	counters    *counters
	connections map[agent.LinkID]*connection
	finishing   bool
	lastTick    time.Time
	// clock is that of the core, which reads the stamps.
	clock structs.Clock
	// ctx cancels dials when the daemon ends.
	ctx context.Context
}

func newLinksInbox() *actor.Inbox[linksInput] {
	return actor.NewInbox[linksInput](linksInboxSize)
}

// newLinks starts the event loop of the connections. It returns a failure of kind
// Internal if the network library can't be started.
func newLinks(inbox *actor.Inbox[linksInput], core *actor.Inbox[coreInput], timing Timing, clock structs.Clock, log *logging.Logger, counters *counters) (*links, error) {
	l := &links{inbox: inbox, core: core, timing: timing.withDefaults(), clock: clock, log: log, counters: counters, connections: map[agent.LinkID]*connection{}}
	handler := &eventHandler{core: core, links: inbox, log: log, counters: counters}
	client, err := gnet.NewClient(handler, gnet.WithLogger(logging.Network(log)), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "create the network client for links")
	}
	if err := client.Start(); err != nil {
		return nil, failure.Wrap(err, failure.Internal, failure.NotRun, "start the network client for links")
	}
	l.client = client
	return l, nil
}

func (l *links) run(ctx context.Context) {
	l.ctx = ctx
	l.lastTick = time.Now()
	actor.Run(ctx, l.inbox, linksTickInterval, l)
	// The inbox has ended, so no event loop is blocked on it and Stop can return.
	_ = l.client.Stop()
}

// Handle passes a message to the connection it refers to.
func (l *links) Handle(now time.Time, in linksInput) bool {
	switch m := in.(type) {
	case *dialLink:
		l.dial(now, m)
	case *finishLinks:
		l.finish()
	case *sendMessage:
		l.send(now, m)
	case *closeLink:
		l.fire(m.link, connectionEvents.Close)
	case *linkOpened:
		l.opened(now, m)
	case *linkEnded:
		l.fire(m.link, connectionEvents.Ended)
	case *linkActivity:
		l.recordActivity(m)
	case *linkWritten:
		l.written(m)
	}
	return !l.finished()
}

// Tick sends heartbeats, closes silent connections and polls write progress.
func (l *links) Tick(now time.Time) bool {
	l.discountPause(now)
	for _, c := range l.connections {
		c.tick(now)
	}
	return !l.finished()
}

// Flush does nothing: messages are written as they arrive.
func (l *links) Flush(time.Time) {}

func (l *links) finished() bool { return l.finishing && len(l.connections) == 0 }

func (l *links) dial(now time.Time, m *dialLink) {
	ctx, cancel := context.WithTimeout(l.ctx, l.timing.DialTimeout)
	l.connections[m.link] = newConnection(m.link, m.address, l, cancel, now)
	go l.dialAndRegister(ctx, cancel, m.link, m.address)
}

// dialAndRegister dials in its own goroutine and registers the connection with
// the event loop. From then on the event loop reports its opening and its end;
// if there is no connection, dialAndRegister reports the end.
func (l *links) dialAndRegister(ctx context.Context, cancel context.CancelFunc, link agent.LinkID, address string) {
	defer cancel()
	linkCtx := &linkContext{link: link}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_, err = l.client.EnrollContext(conn, linkCtx)
	}
	// Registration can fail without an error. If it succeeded, the event loop has
	// set opened before EnrollContext returns.
	if err == nil && linkCtx.opened {
		return
	}
	l.inbox.Send(&linkEnded{link: link})
	l.core.Send(coreInput{message: &agent.LinkClosed{Link: link}})
}

func (l *links) finish() {
	l.finishing = true
	for _, c := range l.connections {
		c.fire(connectionEvents.Finish)
	}
}

func (l *links) send(now time.Time, m *sendMessage) {
	if c := l.connections[m.link]; c != nil {
		c.send(now, m.message)
	}
}

func (l *links) opened(now time.Time, m *linkOpened) {
	c := l.connections[m.link]
	c.conn = m.conn
	c.lastReceived = now
	c.lastSent = now
	c.fire(connectionEvents.Opened)
}

func (l *links) recordActivity(m *linkActivity) {
	if c := l.connections[m.link]; c != nil {
		c.lastReceived = m.at
	}
}

func (l *links) written(m *linkWritten) {
	if c := l.connections[m.link]; c != nil {
		c.written(m)
	}
}

func (l *links) fire(link agent.LinkID, e connectionEvent) {
	if c := l.connections[link]; c != nil {
		c.fire(e)
	}
}

// discountPause excludes a pause of this process from the silence of all
// connections.
func (l *links) discountPause(now time.Time) {
	pause := now.Sub(l.lastTick)
	l.lastTick = now
	if pause < pauseThreshold {
		return
	}
	for _, c := range l.connections {
		c.lastReceived = c.lastReceived.Add(pause)
	}
}
