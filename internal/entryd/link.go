package entryd

import (
	"cmp"
	"context"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"cactuspost.example/charts"
	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

// Limits of one link.
const (
	// heartbeatPeriod is how often each side sends when it has nothing to say.
	heartbeatPeriod = time.Second
	// silentBeats is the number of heartbeat periods without a frame after
	// which a link is closed. Periods are counted, not clock time: a process
	// that was paused sees only one of them pass.
	silentBeats = 5
	// maxHelloBytes bounds the first frame of a link.
	maxHelloBytes = 1 << 20
	// maxOutboundBytes bounds the bytes that wait to be sent on one link: two
	// frames of the largest size.
	maxOutboundBytes = 2 * wire.MaxFrameBytes
)

// link is one connection from an agent. All fields but id, conn, inbox, log and
// queued belong to the event loop of the connection.
type link struct {
	id    dispatch.LinkID
	conn  gnet.Conn
	inbox *actor.Inbox[coreMessage]
	log   *logging.Logger
	// queued counts the bytes handed to the event loop and not yet taken by it.
	queued atomic.Int64

	state      chart.State
	introduced bool
	// received is the message that an event brings, and fault its failure.
	received *structs.FromAgent
	fault    error
	// lastIdle and lastRevision are what the dispatcher was told last.
	lastIdle     uint32
	lastRevision uint64
	// quietBeats counts the periods since the last frame.
	quietBeats int
	sentLately bool
	beats      *time.Timer
	server     *linkServer
}

// connectionChart is compiled in init: its actions fire events at it.
var connectionChart *chart.Machine[*link]

var connectionBindings = chart.Bindings[*link]{
	Guards: map[string]func(*link) bool{
		"silent":      func(l *link) bool { return l.quietBeats >= cmp.Or(l.server.options.silent, silentBeats)-1 },
		"sent_lately": func(l *link) bool { return l.sentLately },
		"nothing_new": func(l *link) bool { return l.received.Idle == l.lastIdle && l.received.Revision == l.lastRevision },
		"introduced":  func(l *link) bool { return l.introduced },
	},
	Actions: map[string]func(*link){
		"introduce":       (*link).introduce,
		"forward":         (*link).forward,
		"forward_end":     (*link).forwardEnd,
		"count_heartbeat": func(l *link) { l.server.heartbeats.Add(1) },
		"count_beat":      (*link).countBeat,
		"send_heartbeat":  (*link).sendHeartbeat,
		"stop_beats":      (*link).stopBeats,
		"close_socket":    (*link).closeSocket,
		"report_frame":    func(l *link) { l.report(event.BadFrameFromAgent) },
		"report_message":  func(l *link) { l.report(event.BadMessageFromAgent) },
		"report_silence":  func(l *link) { l.report(event.AgentLinkSilent) },
		"report_overflow": func(l *link) { l.report(event.AgentLinkOverflow) },
	},
}

var connectionEvents struct {
	Hello     chart.Event `chart:"hello"`
	Message   chart.Event `chart:"message"`
	Heartbeat chart.Event `chart:"heartbeat"`
	BadFrame  chart.Event `chart:"bad_frame"`
	Beat      chart.Event `chart:"beat"`
	Overflow  chart.Event `chart:"overflow"`
	Dismissed chart.Event `chart:"dismissed"`
	Ended     chart.Event `chart:"ended"`
}

var connectionStates struct {
	Opened  chart.State `chart:"opened"`
	Greeted chart.State `chart:"greeted"`
	Closing chart.State `chart:"closing"`
	Closed  chart.State `chart:"closed"`
}

func init() {
	connectionChart = chart.MustCompile(charts.Files, "inbound", connectionBindings)
	connectionChart.MustBindNames(&connectionEvents)
	connectionChart.MustBindNames(&connectionStates)
}

func newLink(id dispatch.LinkID, conn gnet.Conn, server *linkServer) *link {
	l := &link{id: id, conn: conn, server: server, inbox: server.inbox, log: server.log, state: connectionChart.Initial()}
	l.beats = time.AfterFunc(l.untilBeat(time.Now()), func() { l.run(l.beat) })
	return l
}

// beatPhases is the number of moments in a period at which links beat. Links
// that share one wake their event loop once, and the others are not delayed by
// the heartbeats of all at a time.
const beatPhases = 16

// untilBeat returns the time to the link's next moment, half a period to one
// and a half.
func (l *link) untilBeat(now time.Time) time.Duration {
	period := l.server.options.period
	phase := period * time.Duration(l.id%beatPhases) / beatPhases
	wait := period - (time.Duration(now.UnixNano())-phase)%period
	if wait < period/2 {
		wait += period
	}
	return wait
}

func (l *link) fire(e chart.Event) { connectionChart.Fire(&l.state, e, l) }

// run has the event loop of the link call f. After the end of the loop it does
// nothing: the loop has closed the link by then.
func (l *link) run(f func()) {
	task := gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	})
	_ = l.conn.EventLoop().Execute(context.Background(), task)
}

// read takes every whole frame off the connection's buffer.
func (l *link) read() {
	for l.state == connectionStates.Opened || l.state == connectionStates.Greeted {
		body, ok := l.nextFrame()
		if !ok {
			return
		}
		l.quietBeats = 0
		l.handleFrame(body)
	}
	_, _ = l.conn.Discard(l.conn.InboundBuffered())
}

// nextFrame returns the body of the next frame, which is valid until the next
// read from the connection, and false when it has not arrived yet.
func (l *link) nextFrame() ([]byte, bool) {
	header, err := l.conn.Peek(wire.HeaderBytes)
	if err != nil {
		return nil, false
	}
	size, err := l.frameLength(header)
	if err != nil {
		l.fault = err
		l.fire(connectionEvents.BadFrame)
		return nil, false
	}
	if l.conn.InboundBuffered() < wire.HeaderBytes+size {
		return nil, false
	}
	frame, err := l.conn.Next(wire.HeaderBytes + size)
	if err != nil {
		return nil, false
	}
	return frame[wire.HeaderBytes:], true
}

func (l *link) frameLength(header []byte) (int, error) {
	size, err := wire.FrameLength(header)
	if err != nil {
		return 0, err
	}
	if l.state == connectionStates.Opened && size > maxHelloBytes {
		return 0, failure.Newf(failure.TooLarge, failure.NotRun, "first frame of %d bytes, at most %d are allowed", size, maxHelloBytes)
	}
	return size, nil
}

func (l *link) handleFrame(body []byte) {
	l.received, l.fault = wire.DecodeFromAgent(body)
	switch {
	case l.fault != nil:
		l.fire(connectionEvents.BadFrame)
	case l.received.Hello != nil:
		l.fire(connectionEvents.Hello)
	case isBare(l.received):
		l.fire(connectionEvents.Heartbeat)
	default:
		l.fire(connectionEvents.Message)
	}
	l.received = nil
}

// isBare reports whether a message has nothing but what every message has.
func isBare(m *structs.FromAgent) bool {
	return m.Heartbeat && !m.Leaving && m.Config == nil &&
		len(m.Results) == 0 && len(m.Refusals) == 0 && len(m.Started) == 0 &&
		m.Offered.Total() == 0 && m.Revoked.Total() == 0
}

// introduce makes the link known to the core actor. A full inbox makes the event
// loop wait, and so the agents that send too much.
func (l *link) introduce() {
	l.introduced = true
	l.remember()
	l.inbox.Send(&linkHello{link: l, hello: l.received})
}

func (l *link) forward() {
	l.remember()
	l.inbox.Send(&input{message: &dispatch.AgentMessage{Link: l.id, Message: l.received}})
}

func (l *link) remember() {
	l.lastIdle = l.received.Idle
	l.lastRevision = l.received.Revision
}

func (l *link) forwardEnd() { l.inbox.Send(&linkEnded{id: l.id}) }

// beat is called once every heartbeat period.
func (l *link) beat() {
	l.fire(connectionEvents.Beat)
	if l.state == connectionStates.Opened || l.state == connectionStates.Greeted {
		l.beats.Reset(l.untilBeat(time.Now()))
	}
}

// countBeat ends one period and begins the next.
func (l *link) countBeat() {
	l.quietBeats++
	l.sentLately = false
}

func (l *link) sendHeartbeat() { l.send(&structs.FromEntry{Heartbeat: true}) }

func (l *link) stopBeats() { l.beats.Stop() }

// closeSocket ends the connection after the frames that are queued.
func (l *link) closeSocket() { _ = l.conn.Close() }

func (l *link) report(id event.ID) {
	l.log.Event(id,
		zap.Uint64("link", uint64(l.id)),
		zap.Stringer("address", l.conn.RemoteAddr()),
		errorField(l.fault),
	)
}

// send queues a message. It may be called by any goroutine and never waits.
func (l *link) send(m *structs.FromEntry) {
	frame, err := wire.AppendFromEntry(nil, m)
	if err != nil {
		l.log.Event(event.AgentLinkEncodingFailed, zap.Uint64("link", uint64(l.id)), errorField(err))
		l.dismiss()
		return
	}
	size := int64(len(frame))
	if l.queued.Add(size) > maxOutboundBytes {
		l.run(l.overflow)
		return
	}
	_ = l.conn.AsyncWrite(frame, func(_ gnet.Conn, err error) error {
		l.written(size, err)
		return nil
	})
}

// written is called by the event loop when it has taken a frame.
func (l *link) written(size int64, err error) {
	l.queued.Add(-size)
	if err != nil {
		return
	}
	l.sentLately = true
	if l.conn.OutboundBuffered() > maxOutboundBytes {
		l.overflow()
	}
}

func (l *link) overflow() { l.fire(connectionEvents.Overflow) }

// dismiss ends the link. It may be called by any goroutine.
func (l *link) dismiss() {
	l.run(func() { l.fire(connectionEvents.Dismissed) })
}
