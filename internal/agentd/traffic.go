package agentd

import (
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/wire"
)

// heardInterval bounds how often an event loop reports that a link is alive.
const heardInterval = 100 * time.Millisecond

// session is what an event loop knows of one connection. Only the loop touches
// it once the connection is enrolled.
type session struct {
	link   agent.LinkID
	opened bool
	// heardAt is when the loop last reported that the link is alive.
	heardAt time.Time
}

// traffic runs on the event loop of the connections. It takes frames apart and
// passes the messages on. It waits when an inbox is full, so that the entries'
// bytes stay in the sockets; neither the core nor the owner of the connections
// ever waits for the loop.
type traffic struct {
	gnet.BuiltinEventEngine
	core     *actor.Inbox[coreInput]
	links    *actor.Inbox[linksInput]
	log      *logging.Logger
	counters *counters
}

// OnOpen reports a connection, to its owner first: the core may answer at once.
func (t *traffic) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	s := conn.Context().(*session)
	s.opened = true
	t.links.Send(&linkOpened{link: s.link, conn: conn})
	t.core.Send(coreInput{message: &agent.LinkOpened{Link: s.link}})
	return nil, gnet.None
}

// OnClose reports the end of a connection.
func (t *traffic) OnClose(conn gnet.Conn, _ error) gnet.Action {
	s := conn.Context().(*session)
	t.links.Send(&linkEnded{link: s.link})
	t.core.Send(coreInput{message: &agent.LinkClosed{Link: s.link}})
	return gnet.None
}

// OnTraffic passes on every whole frame. A frame that is broken or too large
// closes its own connection only.
func (t *traffic) OnTraffic(conn gnet.Conn) gnet.Action {
	s := conn.Context().(*session)
	t.reportHeard(s)
	for {
		more, err := t.next(conn, s)
		if err != nil {
			t.counters.badFrames.Inc()
			t.log.Event(event.BadFrameFromEntry, zap.Stringer("entry", conn.RemoteAddr()), zap.String("error", err.Error()))
			return gnet.Close
		}
		if !more {
			return gnet.None
		}
	}
}

// next passes on one frame. It reports false when no whole frame has arrived,
// and the failure of package wire for bytes that are not a frame.
func (t *traffic) next(conn gnet.Conn, s *session) (bool, error) {
	header, err := conn.Peek(wire.HeaderBytes)
	if err != nil {
		return false, nil
	}
	size, err := wire.FrameLength(header)
	if err != nil {
		return false, err
	}
	frame, err := conn.Peek(wire.HeaderBytes + size)
	if err != nil {
		return false, nil
	}
	message, err := wire.DecodeFromEntry(frame[wire.HeaderBytes:])
	if err != nil {
		return false, err
	}
	_, _ = conn.Discard(len(frame))
	t.counters.framesReceived.Inc()
	t.core.Send(coreInput{message: &agent.EntryMessage{Link: s.link, Message: message}})
	return true, nil
}

// reportHeard tells the owner that the link is alive. A report that finds no
// room is made good by the next one.
func (t *traffic) reportHeard(s *session) {
	now := time.Now()
	if now.Sub(s.heardAt) < heardInterval {
		return
	}
	if t.links.TrySend(&linkHeard{link: s.link, at: now}) {
		s.heardAt = now
	}
}
