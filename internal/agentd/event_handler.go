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

// activityReportInterval is the minimum time between two reports that bytes have
// arrived on a link.
const activityReportInterval = 100 * time.Millisecond

// linkContext is the state that the event loop keeps for one connection. Once the
// connection is registered, only the event loop uses it.
type linkContext struct {
	link   agent.LinkID
	opened bool
	// reportedAt is when the event loop last reported that bytes have arrived.
	reportedAt time.Time
}

// eventHandler handles the events of the connections to entries on gnet's event
// loop: it decodes frames and passes the messages to the core. It blocks while
// an inbox is full, which leaves received bytes in the sockets and so slows the
// entries down. Neither core nor links ever blocks on the event loop.
type eventHandler struct {
	gnet.BuiltinEventEngine
	core     *actor.Inbox[coreInput]
	links    *actor.Inbox[linksInput]
	log      *logging.Logger
	counters *counters
}

// OnOpen reports a new connection. It tells links first, because the core may
// send on the link immediately.
func (h *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	linkCtx := conn.Context().(*linkContext)
	linkCtx.opened = true
	h.links.Send(&linkOpened{link: linkCtx.link, conn: conn})
	h.core.Send(coreInput{message: &agent.LinkOpened{Link: linkCtx.link}})
	return nil, gnet.None
}

// OnClose reports the end of a connection.
func (h *eventHandler) OnClose(conn gnet.Conn, _ error) gnet.Action {
	linkCtx := conn.Context().(*linkContext)
	h.links.Send(&linkEnded{link: linkCtx.link})
	h.core.Send(coreInput{message: &agent.LinkClosed{Link: linkCtx.link}})
	return gnet.None
}

// OnTraffic handles every complete frame. An invalid or oversized frame closes
// only the connection on which it arrived, and so does a panic.
func (h *eventHandler) OnTraffic(conn gnet.Conn) (action gnet.Action) {
	defer func() {
		if recovered := recover(); recovered != nil {
			h.log.Event(event.LinkPanicked, zap.Stringer("entry", conn.RemoteAddr()), zap.Any("fault", recovered), zap.Stack("stack"))
			action = gnet.Close
		}
	}()
	linkCtx := conn.Context().(*linkContext)
	now := time.Now()
	h.reportActivity(linkCtx, now)
	for {
		more, err := h.forwardFrame(conn, linkCtx, now)
		if err != nil {
			h.counters.badFrames.Inc()
			h.log.Event(event.BadFrameFromEntry, zap.Stringer("entry", conn.RemoteAddr()), zap.String("error", err.Error()))
			return gnet.Close
		}
		if !more {
			return gnet.None
		}
	}
}

// forwardFrame decodes one frame and passes its message to the core. It reports
// false if no complete frame has arrived, and returns the failure of package
// wire for invalid bytes.
func (h *eventHandler) forwardFrame(conn gnet.Conn, linkCtx *linkContext, now time.Time) (bool, error) {
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
	h.counters.framesReceived.Inc()
	h.core.Send(coreInput{message: &agent.EntryMessage{Link: linkCtx.link, Message: message}, receivedAt: now})
	return true, nil
}

// reportActivity tells links that bytes have arrived. A report that is dropped
// because the inbox is full is repeated when more bytes arrive.
func (h *eventHandler) reportActivity(linkCtx *linkContext, now time.Time) {
	if now.Sub(linkCtx.reportedAt) < activityReportInterval {
		return
	}
	if h.links.TrySend(&linkActivity{link: linkCtx.link, at: now}) {
		linkCtx.reportedAt = now
	}
}
