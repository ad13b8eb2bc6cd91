package entryd

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/gnet/v2"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

func encodeFrame(is *is.I, m *structs.FromAgent) []byte {
	is.Helper()
	frame, err := wire.AppendFromAgent(nil, m)
	is.NoErr(err)
	return frame
}

// Invalid data on a link must close that link only, and agents can still connect
// and run tasks.
func TestInvalidDataClosesOnlyItsLink(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	d := startEntry(t, config)
	first := connectAgent(t, d)
	helloFrame := encodeFrame(is, newHello())
	cases := []struct {
		name  string
		bytes []byte
		event event.ID
	}{
		{"garbage", []byte{0, 0, 0, 2, 0xff, 0xff}, event.BadFrameFromAgent},
		{"over the frame limit", []byte{0xff, 0, 0, 0}, event.BadFrameFromAgent},
		{"hello over its limit", []byte{0, 0x20, 0, 0}, event.BadFrameFromAgent},
		{"HTTP", []byte("GET / HTTP/1.1\r\n\r\n"), event.BadFrameFromAgent},
		{"no hello", encodeFrame(is, &structs.FromAgent{Heartbeat: true}), event.BadMessageFromAgent},
		{"empty frame", []byte{0, 0, 0, 0}, event.BadMessageFromAgent},
		{"second hello", append(helloFrame[:len(helloFrame):len(helloFrame)], helloFrame...), event.BadMessageFromAgent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			agent := dial(t, d)
			_, err := agent.Write(c.bytes)
			is.NoErr(err)
			events.awaitEvent(c.event)
			agent.awaitClose()
		})
	}
	// The first hello of the last case replaced the session of the endpoint, so the
	// first link is of no use any more and a new one is opened.
	is.NoErr(first.Close())
	agent := dial(t, d)
	for _, b := range encodeFrame(is, newHello()) { // the frame arrives byte by byte
		_, err := agent.Write([]byte{b})
		is.NoErr(err)
	}
	is.True(agent.receive().Welcome != nil)
	agent.send(&structs.FromAgent{Offered: structs.Credits{Any: 8}, Revision: 1})
	done := sendAsync(d, "POST", "/v1/submit?wait_ms=60000", callerToken, oneTask)
	agent.sendResult(agent.awaitGrant(), "valid")
	is.Equal((<-done).job(is).Results, [][]byte{[]byte("valid")})
}

func TestLinksBeyondTheLimitAreClosed(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	config.MaxLinks = 1
	d := startEntry(t, config)
	first := connectAgent(t, d)
	dial(t, d).awaitClose()
	events.awaitEvent(event.LinkLimitReached)
	is.NoErr(first.Close())
	events.awaitEvent(event.AgentLost)
	connectAgent(t, d)
}

func TestSilentLinkIsClosed(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	config.Heartbeat = time.Millisecond
	d := startEntry(t, config)
	agent := dial(t, d)
	agent.awaitClose() // a link is closed even before the hello
	events.awaitEvent(event.AgentLinkSilent)
	agent = dial(t, d)
	agent.send(newHello())
	agent.awaitClose()
	events.awaitEvent(event.AgentLinkSilent)
	is.Equal(len(d.components.drained), 0)
}

// stubConn is a connection whose event loop runs in the caller's goroutine. It
// counts the frames that are queued and, if blocked, never sends them.
type stubConn struct {
	gnet.Conn
	blocked bool
	frames  int
	// last is the last frame that was queued.
	last   []byte
	closed bool
}

func (c *stubConn) RemoteAddr() net.Addr      { return &net.TCPAddr{} }
func (c *stubConn) OutboundBuffered() int     { return 0 }
func (c *stubConn) EventLoop() gnet.EventLoop { return stubLoop{} }

func (c *stubConn) Close() error {
	c.closed = true
	return nil
}

type stubLoop struct{ gnet.EventLoop }

func (stubLoop) Execute(ctx context.Context, task gnet.Runnable) error { return task.Run(ctx) }

func (c *stubConn) AsyncWrite(frame []byte, done gnet.AsyncCallback) error {
	c.frames++
	c.last = frame
	if c.blocked {
		return nil
	}
	return done(c.Conn, nil)
}

func establishedLink(conn *stubConn, log *logging.Logger) *link {
	server := &linkServer{options: linkOptions{heartbeatPeriod: time.Hour}, inbox: actor.NewInbox[coreMessage](64), progress: newProgress(time.Now()), log: log}
	l := newLink(1, conn, server)
	l.received = newHello()
	l.fire(inboundEvents.Hello)
	return l
}

// Any frame shows that the entry is alive, so a heartbeat is sent only at the end
// of a period without one. A link is closed after defaultSilentPeriods periods
// without a frame from the agent.
func TestHeartbeatsAreSentOnlyOnIdleLinks(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := establishedLink(conn, logging.Discard())
	for range 3 * defaultSilentPeriods {
		before := conn.frames
		l.periodElapsed()
		is.Equal(conn.frames, before+1) // nothing else was sent
		l.send(&structs.FromEntry{Demand: &structs.Demand{Short: 1}})
		l.periodElapsed()
		is.Equal(conn.frames, before+2) // no heartbeat: the demand was sent in this period
		l.silentPeriods = 0             // a frame arrived
	}
	for range defaultSilentPeriods - 1 {
		l.periodElapsed()
		is.True(!conn.closed)
	}
	l.periodElapsed()
	is.True(conn.closed)
	l.stopHeartbeatTimer()
}

// Heartbeats that contain no change are only counted, to save the dispatcher the
// work. All other messages are forwarded.
func TestUnchangedHeartbeatsAreNotForwarded(t *testing.T) {
	is := is.New(t)
	l := establishedLink(&stubConn{}, logging.Discard())
	defer l.stopHeartbeatTimer()
	forwarded := func(m *structs.FromAgent) int {
		before := l.inbox.Len()
		l.handleFrame(encodeFrame(is, m)[wire.HeaderBytes:])
		return l.inbox.Len() - before
	}
	is.Equal(forwarded(&structs.FromAgent{Heartbeat: true}), 0)
	is.Equal(forwarded(&structs.FromAgent{Heartbeat: true, Sent: 9}), 0)
	is.Equal(forwarded(&structs.FromAgent{Heartbeat: true, Revision: 2}), 1)
	is.Equal(forwarded(&structs.FromAgent{Heartbeat: true, Revision: 2}), 0)
	is.Equal(forwarded(&structs.FromAgent{Heartbeat: true, Revision: 2, Idle: 1}), 1)
	is.Equal(forwarded(&structs.FromAgent{Heartbeat: true, Revision: 2, Idle: 1, Leaving: true}), 1)
	is.Equal(forwarded(&structs.FromAgent{Revision: 2, Idle: 1, Offered: structs.Credits{Any: 1}}), 1)
	is.Equal(l.server.unchangedHeartbeats.Load(), uint64(3))
}

// An agent judges by the highest stamp that the entry has read whether the entry
// still hears it, so every message and heartbeat to the agent has it.
func TestTheHighestStampReadIsConfirmed(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := establishedLink(conn, logging.Discard())
	defer l.stopHeartbeatTimer()
	confirmed := func() structs.Stamp {
		m, err := wire.DecodeFromEntry(conn.last[wire.HeaderBytes:])
		is.NoErr(err)
		return m.Seen
	}
	l.sendHeartbeat()
	is.Equal(confirmed(), structs.Stamp(0)) // an agent of an older release sends no stamps
	l.handleFrame(encodeFrame(is, &structs.FromAgent{Heartbeat: true, Sent: 7})[wire.HeaderBytes:])
	l.sendHeartbeat()
	is.Equal(confirmed(), structs.Stamp(7))
	l.handleFrame(encodeFrame(is, &structs.FromAgent{Revision: 1, Sent: 9})[wire.HeaderBytes:])
	l.handleFrame(encodeFrame(is, &structs.FromAgent{Heartbeat: true, Sent: 8})[wire.HeaderBytes:])
	l.send(&structs.FromEntry{Demand: &structs.Demand{Short: 1}})
	is.Equal(confirmed(), structs.Stamp(9))
}

// The unsent bytes of a link are limited, so that an agent that does not read its
// socket can't exhaust the entry's memory.
func TestLinkIsClosedIfTheAgentDoesNotRead(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	conn := &stubConn{blocked: true}
	l := establishedLink(conn, log)
	payload := make([]byte, maxOutboundBytes/4)
	message := &structs.FromEntry{Grants: []structs.Grant{{Payload: payload}}}
	for range 3 {
		l.send(message)
		is.True(!conn.closed)
	}
	l.send(message)
	events.awaitEvent(event.AgentLinkOverflow)
	is.True(conn.closed)
	is.Equal(conn.frames, 3)
	l.stopHeartbeatTimer()
}

func TestMessageThatCannotBeEncodedClosesTheLink(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	conn := &stubConn{}
	l := establishedLink(conn, log)
	l.send(&structs.FromEntry{Grants: []structs.Grant{{Payload: make([]byte, wire.MaxFrameBytes)}}})
	events.awaitEvent(event.AgentLinkEncodingFailed)
	is.True(conn.closed)
	l.stopHeartbeatTimer()
}

// A fault in the handling of bytes from one agent must not end the entry.
func TestPanicOnALinkClosesOnlyThatLink(t *testing.T) {
	is := is.New(t)
	events, log := recordEvents()
	server := &linkServer{log: log}
	conn := &panickingConn{}
	is.Equal(server.OnTraffic(conn), gnet.Close)
	events.awaitEvent(event.AgentLinkPanicked)
}

// panickingConn is a connection whose state has a fault.
type panickingConn struct{ stubConn }

func (*panickingConn) Context() any { return &link{} }
