package agentd

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/panjf2000/gnet/v2"

	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

func startDefaultLinks(t *testing.T) (*links, <-chan coreInput) {
	t.Helper()
	return startTimedLinks(t, Timing{})
}

func startTimedLinks(t *testing.T, timing Timing) (*links, <-chan coreInput) {
	t.Helper()
	core, seen := collect[coreInput](t)
	l, err := newLinks(newLinksInbox(), core, timing, structs.NewClock(time.Now()), logging.Discard(), newCounters())
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() { cancel(); <-l.inbox.Done() })
	go l.run(ctx)
	return l, seen
}

func TestInvalidFrameClosesOnlyItsOwnLink(t *testing.T) {
	for name, bytes := range map[string][]byte{
		"oversized":    {0xff, 0xff, 0xff, 0xff},
		"not protobuf": {0, 0, 0, 2, 0xff, 0xff},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l, seen := startDefaultLinks(t)
			listener := listen(t)
			l.inbox.Send(&dialLink{link: 1, address: listener.Addr().String()})
			bad := accept(t, listener)
			is.Equal((<-seen).message, &agent.LinkOpened{Link: 1})
			l.inbox.Send(&dialLink{link: 2, address: listener.Addr().String()})
			good := accept(t, listener)
			is.Equal((<-seen).message, &agent.LinkOpened{Link: 2})

			_, err := bad.conn.Write(bytes)
			is.NoErr(err)
			is.Equal((<-seen).message, &agent.LinkClosed{Link: 1})
			is.Equal(bad.receive(), nil)

			good.send(&structs.FromEntry{Heartbeat: true})
			m := (<-seen).message.(*agent.EntryMessage)
			is.Equal(m.Link, agent.LinkID(2))
			l.inbox.Send(&sendMessage{link: 2, message: &structs.FromAgent{Revision: 7}})
			is.Equal(good.receive().Revision, uint64(7))
		})
	}
}

func TestHeartbeatsRepeatTheLastIdleCountAndRevision(t *testing.T) {
	is := is.New(t)
	l, seen := startTimedLinks(t, Timing{HeartbeatInterval: 50 * time.Millisecond})
	listener := listen(t)
	l.inbox.Send(&dialLink{link: 1, address: listener.Addr().String()})
	e := accept(t, listener)
	is.Equal((<-seen).message, &agent.LinkOpened{Link: 1})
	l.inbox.Send(&sendMessage{link: 1, message: &structs.FromAgent{Revision: 7, Idle: 5}})
	message := e.receive()
	is.Equal(message.Idle, uint32(5))
	heartbeat := e.receiveAny()
	is.True(heartbeat.Heartbeat)
	is.True(message.Sent > 0)
	is.True(heartbeat.Sent >= message.Sent+50) // stamped when it was sent, a heartbeat interval later
	is.Equal(heartbeat.Idle, uint32(5))        // without it the entry would take all slots for busy
	is.Equal(heartbeat.Revision, uint64(7))
}

func TestEveryDialHasOneOutcome(t *testing.T) {
	is := is.New(t)
	l, seen := startDefaultLinks(t)
	listener := listen(t)
	l.inbox.Send(&dialLink{link: 1, address: listener.Addr().String()})
	first := accept(t, listener)
	is.Equal((<-seen).message, &agent.LinkOpened{Link: 1})
	is.NoErr(first.conn.Close()) // closed by the entry
	is.Equal((<-seen).message, &agent.LinkClosed{Link: 1})
	l.inbox.Send(&closeLink{link: 1}) // after the end

	l.inbox.Send(&dialLink{link: 2, address: listener.Addr().String()})
	second := accept(t, listener)
	is.Equal((<-seen).message, &agent.LinkOpened{Link: 2})
	l.inbox.Send(&closeLink{link: 2}) // closed by the agent
	l.inbox.Send(&closeLink{link: 2})
	is.Equal((<-seen).message, &agent.LinkClosed{Link: 2})
	is.Equal(second.receive(), nil)

	is.NoErr(listener.Close())
	l.inbox.Send(&dialLink{link: 3, address: listener.Addr().String()})
	is.Equal((<-seen).message, &agent.LinkClosed{Link: 3})
	is.Equal(len(seen), 0)
}

func TestLargeMessagesArriveWholeAndInOrder(t *testing.T) {
	is := is.New(t)
	l, seen := startDefaultLinks(t)
	listener := listen(t)
	l.inbox.Send(&dialLink{link: 1, address: listener.Addr().String()})
	e := accept(t, listener)
	is.Equal((<-seen).message, &agent.LinkOpened{Link: 1})
	const messages = 20
	payload := make([]byte, maxResponseBytes)
	for i := range uint64(messages) {
		l.inbox.Send(&sendMessage{link: 1, message: &structs.FromAgent{Revision: i + 1, Results: []structs.Result{{Payload: payload}}}})
	}
	l.inbox.Send(&finishLinks{}) // closes the link after the last byte
	for i := range uint64(messages) {
		m := e.receive()
		is.Equal(m.Revision, i+1)
		is.Equal(len(m.Results[0].Payload), len(payload))
	}
	is.Equal(e.receive(), nil)
	<-l.inbox.Done()
}

func TestLinkToAnEntryThatDoesNotReadIsClosed(t *testing.T) {
	is := is.New(t)
	l, seen := startDefaultLinks(t)
	listener := listen(t)
	l.inbox.Send(&dialLink{link: 1, address: listener.Addr().String()})
	accept(t, listener)
	is.Equal((<-seen).message, &agent.LinkOpened{Link: 1})
	payload := make([]byte, maxResponseBytes)
	for range 2 * maxOutboundBytes / maxResponseBytes {
		l.inbox.Send(&sendMessage{link: 1, message: &structs.FromAgent{Results: []structs.Result{{Payload: payload}}}})
	}
	is.Equal((<-seen).message, &agent.LinkClosed{Link: 1})
}

func TestManyLargeResultsAreSplit(t *testing.T) {
	is := is.New(t)
	l, seen := startDefaultLinks(t)
	listener := listen(t)
	l.inbox.Send(&dialLink{link: 1, address: listener.Addr().String()})
	e := accept(t, listener)
	is.Equal((<-seen).message, &agent.LinkOpened{Link: 1})
	m := &structs.FromAgent{Hello: &structs.Hello{Endpoint: "w1"}, Refusals: []structs.Refusal{{}}, Revision: 3}
	const results = 20
	for i := range uint32(results) {
		m.Results = append(m.Results, structs.Result{Grant: structs.GrantID{Task: i}, Payload: make([]byte, maxResponseBytes)})
	}
	l.inbox.Send(&sendMessage{link: 1, message: m})
	first := e.receive()
	is.Equal(first.Hello, m.Hello)
	is.True(first.Sent > 0)
	got := first.Results
	last := first
	for len(got) < results {
		is.Equal(len(last.Refusals), 0) // an entry handles refusals after the results
		last = e.receive()
		is.Equal(last.Hello, nil)
		got = append(got, last.Results...)
	}
	is.Equal(got, m.Results)
	is.Equal(last.Refusals, m.Refusals)
	is.Equal(last.Revision, m.Revision)
	is.Equal(last.Sent, first.Sent)
}

// A fault in the handling of bytes from one entry must not end the agent.
func TestPanicOnALinkClosesOnlyThatLink(t *testing.T) {
	is := is.New(t)
	h := &eventHandler{log: logging.Discard()}
	is.Equal(h.OnTraffic(&panickingConn{}), gnet.Close)
}

// panickingConn is a connection whose state has a fault.
type panickingConn struct{ gnet.Conn }

func (*panickingConn) Context() any         { return &linkContext{} }
func (*panickingConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
