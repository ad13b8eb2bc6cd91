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

// Timing and limits of a link.
const (
	// defaultHeartbeatPeriod is the default interval at which each side sends a
	// heartbeat if it has sent nothing else.
	defaultHeartbeatPeriod = time.Second
	// defaultSilentPeriods is the default number of heartbeat periods without a
	// frame after which a link is closed. Periods are counted instead of
	// measuring the elapsed time, so that a pause of this process counts as one
	// period only and does not close every link.
	defaultSilentPeriods = 5
	// idleSendPeriods is the number of idle periods after which an entry sends a
	// heartbeat on an idle link. It needs fewer than the agent sends: the agent's
	// messages tell the entry where there is room, and their stamps how old a grant is.
	idleSendPeriods = 3
	// maxHelloBytes is the maximum size of the first frame of a link.
	maxHelloBytes = 1 << 20
	// maxOutboundBytes is the maximum number of unsent bytes of a link: two
	// frames of the maximum size.
	maxOutboundBytes = 2 * wire.MaxFrameBytes
)

// link is a connection from an agent. Only the connection's event loop accesses
// its fields, except for id, conn, inbox, log, server, queuedBytes, stamps and busy.
type link struct {
	id    dispatch.LinkID
	conn  gnet.Conn
	inbox *actor.Inbox[coreMessage]
	log   *logging.Logger
	// queuedBytes is the number of bytes that were passed to the event loop and
	// that it has not written yet.
	queuedBytes atomic.Int64
	// stamps are those that have been read. Only the event loop replaces them.
	stamps atomic.Pointer[readStamps]
	// busy is set while grants may be open on the link. The core actor sets it.
	busy atomic.Bool

	state chart.State
	// registered is set once the core actor knows the link.
	registered bool
	// received is the message of the event that is being handled.
	received *structs.FromAgent
	// frameErr says why the last frame could not be decoded.
	frameErr error
	// forwardedIdle, forwardedWaiting and forwardedRevision are the values of the last
	// message that was forwarded to the dispatcher.
	forwardedIdle     uint32
	forwardedWaiting  uint32
	forwardedRevision uint64
	// forwardNext is set if the next message is forwarded although nothing has changed.
	forwardNext bool
	// silentPeriods is the number of heartbeat periods since the last frame that shows
	// life.
	silentPeriods int
	// receivedAt and aliveAt are when the last frame and the last one that shows life
	// arrived, or the link was opened. They are only logged.
	receivedAt, aliveAt time.Time
	// endpoint is that of the hello, and end what ended the link. Both are only logged.
	endpoint string
	end      dispatch.LinkEnd
	// unsentPeriods is the number of heartbeat periods, the present one included, in
	// which no frame was sent.
	unsentPeriods int
	// paced is set if the agent sends fewer heartbeats while it is not busy.
	paced bool
	// confirmNext is set if the agent's next frame is to be confirmed at once.
	confirmNext bool
	// fastPeriod is set if the present heartbeat period is one of the faster pace.
	fastPeriod bool
	// heartbeatTimer fires at the end of each heartbeat period.
	heartbeatTimer *time.Timer
	server         *linkServer
}

// inboundChart is compiled in init because its actions refer to it: a direct
// initialisation would be a cycle.
var inboundChart *chart.Machine[*link]

var inboundBindings = chart.Bindings[*link]{
	Guards: map[string]func(*link) bool{
		"silent": func(l *link) bool {
			return l.silentPeriods >= l.maxSilentPeriods()-1
		},
		"slowed_down":   func(l *link) bool { return l.fastPeriod && !l.busy.Load() },
		"sent_recently": (*link).sentRecently,
		"unchanged": func(l *link) bool {
			return !l.forwardNext && l.received.Idle == l.forwardedIdle && l.received.Waiting == l.forwardedWaiting && l.received.Revision == l.forwardedRevision
		},
		"registered": func(l *link) bool { return l.registered },
	},
	Actions: map[string]func(*link){
		"register":           (*link).register,
		"forward":            (*link).forward,
		"forward_close":      (*link).forwardClose,
		"count_heartbeat":    func(l *link) { l.server.unchangedHeartbeats.Add(1) },
		"restart_silence":    func(l *link) { l.silentPeriods = 0 },
		"begin_period":       (*link).beginPeriod,
		"send_heartbeat":     (*link).sendHeartbeat,
		"stop_timer":         (*link).stopHeartbeatTimer,
		"close_socket":       (*link).closeSocket,
		"report_bad_frame":   func(l *link) { l.reportEnd(event.BadFrameFromAgent, dispatch.EndedByBadFrame) },
		"report_bad_message": func(l *link) { l.reportEnd(event.BadMessageFromAgent, dispatch.EndedByBadMessage) },
		"report_silence":     (*link).reportSilence,
		"report_overflow":    func(l *link) { l.reportEnd(event.AgentLinkOverflow, dispatch.EndedByOverflow) },
	},
}

var inboundEvents struct {
	Hello          chart.Event `chart:"hello"`
	Message        chart.Event `chart:"message"`
	Heartbeat      chart.Event `chart:"heartbeat"`
	BadFrame       chart.Event `chart:"bad_frame"`
	PeriodElapsed  chart.Event `chart:"period_elapsed"`
	Overflow       chart.Event `chart:"overflow"`
	CloseRequested chart.Event `chart:"close_requested"`
	SocketClosed   chart.Event `chart:"socket_closed"`
}

var inboundStates struct {
	Opened      chart.State `chart:"opened"`
	Established chart.State `chart:"established"`
	Closing     chart.State `chart:"closing"`
	Closed      chart.State `chart:"closed"`
}

func init() {
	inboundChart = chart.MustCompile(charts.Files, "inbound", inboundBindings)
	inboundChart.MustBindNames(&inboundEvents)
	inboundChart.MustBindNames(&inboundStates)
}

func newLink(id dispatch.LinkID, conn gnet.Conn, server *linkServer) *link {
	l := &link{id: id, conn: conn, server: server, inbox: server.inbox, log: server.log, state: inboundChart.Initial(), unsentPeriods: 1}
	l.busy.Store(true)
	l.stamps.Store(&readStamps{})
	l.fastPeriod = true
	l.receivedAt = time.Now()
	l.aliveAt = l.receivedAt
	l.heartbeatTimer = time.AfterFunc(l.untilHeartbeat(time.Now()), func() { l.runInLoop(l.periodElapsed) })
	return l
}

// heartbeatPhases is the number of points in a heartbeat period at which
// heartbeat timers fire. Links of the same phase share one wake-up of their
// event loop, and the phases spread the heartbeats so that they don't delay
// other traffic all at once.
const heartbeatPhases = 16

// untilHeartbeat returns the time to the next point of the link's phase that is
// at least half a period away, and so less than one and a half periods.
func (l *link) untilHeartbeat(now time.Time) time.Duration {
	period := l.period()
	phase := period * time.Duration(l.id%heartbeatPhases) / heartbeatPhases
	wait := period - (time.Duration(now.UnixNano())-phase)%period
	if wait < period/2 {
		wait += period
	}
	return wait
}

func (l *link) maxSilentPeriods() int {
	return cmp.Or(l.server.options.silentPeriods, defaultSilentPeriods)
}

// period returns the heartbeat period that applies at present.
func (l *link) period() time.Duration {
	if l.busy.Load() {
		return l.server.options.heartbeatPeriod
	}
	return l.server.options.idlePeriod
}

// relax lets the link go over to the slower pace at the end of the present period. The
// agent has kept to that pace since its last result, so its silence is counted anew from
// there. Only the core actor calls it.
func (l *link) relax() {
	if l.server.options.idlePeriod > 0 {
		l.busy.Store(false)
	}
}

// hasten starts the faster pace, from the first grant on a link without open ones. The
// agent's newest confirmed message may be old by then, so its next one is confirmed at
// once. Until then the agent needs the time that it had before.
func (l *link) hasten() {
	l.silentPeriods = 0
	l.confirmNext = true
	l.startPeriod()
}

// startPeriod starts the timer of the next heartbeat period, at the pace that applies now.
func (l *link) startPeriod() {
	if l.state != inboundStates.Opened && l.state != inboundStates.Established {
		return
	}
	l.fastPeriod = l.busy.Load()
	l.heartbeatTimer.Reset(l.untilHeartbeat(time.Now()))
}

// sentRecently reports whether no heartbeat is due at the end of a period.
func (l *link) sentRecently() bool {
	if l.busy.Load() {
		return l.unsentPeriods == 0
	}
	return l.unsentPeriods < idleSendPeriods-1
}

func (l *link) fire(e chart.Event) { inboundChart.Fire(&l.state, e, l) }

// runInLoop calls f in the link's event loop. If the loop has ended, f is not
// called: the loop closed the link when it ended.
func (l *link) runInLoop(f func()) {
	task := gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	})
	_ = l.conn.EventLoop().Execute(context.Background(), task)
}

// readFrames handles every complete frame in the connection's buffer. Once the
// link is closing it discards what has arrived.
func (l *link) readFrames() {
	for l.state == inboundStates.Opened || l.state == inboundStates.Established {
		body, ok := l.nextFrame()
		if !ok {
			return
		}
		l.handleFrame(body)
	}
	_, _ = l.conn.Discard(l.conn.InboundBuffered())
}

// nextFrame returns the body of the next frame, which is valid until the next
// read from the connection. It reports false if the frame is invalid or has not
// arrived completely.
func (l *link) nextFrame() ([]byte, bool) {
	header, err := l.conn.Peek(wire.HeaderBytes)
	if err != nil {
		return nil, false
	}
	size, err := l.frameLength(header)
	if err != nil {
		l.frameErr = err
		l.fire(inboundEvents.BadFrame)
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

// frameLength returns the length of a frame's body. It returns a failure of kind
// TooLarge if it exceeds the limit, which is lower for the first frame.
func (l *link) frameLength(header []byte) (int, error) {
	size, err := wire.FrameLength(header)
	if err != nil {
		return 0, err
	}
	if l.state == inboundStates.Opened && size > maxHelloBytes {
		return 0, failure.Newf(failure.TooLarge, failure.NotRun, "first frame of %d bytes exceeds the limit of %d bytes", size, maxHelloBytes)
	}
	return size, nil
}

func (l *link) handleFrame(body []byte) {
	l.received, l.frameErr = wire.DecodeFromAgent(body)
	l.receivedAt = time.Now()
	if l.frameErr == nil {
		l.recordStamp(l.received.Sent)
		l.paced = l.paced || (l.received.Hello != nil && l.received.Hello.Paced)
		if l.showsLife(l.received) {
			l.silentPeriods = 0
			l.aliveAt = l.receivedAt
		}
	}
	switch {
	case l.frameErr != nil:
		l.fire(inboundEvents.BadFrame)
	case l.received.Hello != nil:
		l.fire(inboundEvents.Hello)
	case isBareHeartbeat(l.received):
		l.fire(inboundEvents.Heartbeat)
	default:
		l.fire(inboundEvents.Message)
	}
	l.received = nil
	if l.confirmNext && l.state == inboundStates.Established {
		l.confirmNext = false
		l.sendHeartbeat()
	}
}

// recordStamp records the stamp of a message that has been read.
func (l *link) recordStamp(sent structs.Stamp) {
	stamps, progress := l.stamps.Load(), l.server.progress
	if sent > stamps.newest() {
		l.stamps.Store(stamps.with(readStamp{stamp: sent, readAt: progress.at(l.receivedAt)}, progress.handledUntil()))
	}
}

// showsLife reports whether a message shows that the agent hears this entry. An agent
// that has got the grants open on the link is busy; one that is not, after several
// periods, hasn't heard of them.
func (l *link) showsLife(m *structs.FromAgent) bool {
	return m.Busy || !l.paced || !l.busy.Load() ||
		m.Hello != nil || len(m.Results) > 0 || len(m.Refusals) > 0 || len(m.Started) > 0
}

// isBareHeartbeat reports whether a message is a heartbeat with no content but
// the fields that every message has.
func isBareHeartbeat(m *structs.FromAgent) bool {
	return m.Heartbeat && !m.Leaving && m.Config == nil &&
		len(m.Results) == 0 && len(m.Refusals) == 0 && len(m.Started) == 0 &&
		m.Offered.Total() == 0 && m.Revoked.Total() == 0
}

// register registers the link with the core actor. If the inbox is full, the
// event loop blocks, which slows down the agents that it serves.
func (l *link) register() {
	l.registered = true
	l.endpoint = l.received.Hello.Endpoint
	l.recordForwarded()
	l.inbox.Send(&linkHello{link: l, hello: l.received, receivedAt: l.receivedAt})
}

func (l *link) forward() {
	l.recordForwarded()
	l.inbox.Send(&agentFrame{link: l.id, message: l.received, receivedAt: l.receivedAt})
}

// recordForwarded records the values with which the next heartbeat is compared. The
// dispatcher does not count on room that is reported beside a refusal, so it needs the next
// report, too.
func (l *link) recordForwarded() {
	l.forwardNext = len(l.received.Refusals) > 0
	l.forwardedIdle = l.received.Idle
	l.forwardedWaiting = l.received.Waiting
	l.forwardedRevision = l.received.Revision
}

func (l *link) forwardClose() { l.inbox.Send(&linkClosed{id: l.id, end: l.end}) }

// periodElapsed is called at the end of each heartbeat period.
func (l *link) periodElapsed() {
	l.fire(inboundEvents.PeriodElapsed)
	l.startPeriod()
}

// beginPeriod begins the next heartbeat period.
func (l *link) beginPeriod() {
	l.silentPeriods++
	l.unsentPeriods++
}

func (l *link) sendHeartbeat() { l.send(&structs.FromEntry{Heartbeat: true}) }

func (l *link) stopHeartbeatTimer() { l.heartbeatTimer.Stop() }

// closeSocket closes the connection after the queued frames have been sent.
func (l *link) closeSocket() { _ = l.conn.Close() }

// reportEnd logs why the link is closed.
func (l *link) reportEnd(id event.ID, end dispatch.LinkEnd, fields ...zap.Field) {
	l.end = end
	l.log.Event(id, append([]zap.Field{
		zap.Uint64("link", uint64(l.id)),
		zap.Stringer("address", l.conn.RemoteAddr()),
		l.endpointField(),
		errorField(l.frameErr),
	}, fields...)...)
}

func (l *link) endpointField() zap.Field {
	if l.endpoint == "" {
		return zap.Skip()
	}
	return zap.String("endpoint", l.endpoint)
}

// reportSilence logs the pace of the period that has just ended, and the limit at that
// pace, beside the age of what has arrived.
func (l *link) reportSilence() {
	pace, period := "slow", l.server.options.idlePeriod
	if l.fastPeriod {
		pace, period = "fast", l.server.options.heartbeatPeriod
	}
	now := time.Now()
	l.reportEnd(event.AgentLinkSilent, dispatch.EndedBySilence,
		zap.Int64("received_ms_ago", now.Sub(l.receivedAt).Milliseconds()),
		zap.Int64("alive_ms_ago", now.Sub(l.aliveAt).Milliseconds()),
		zap.String("pace", pace),
		zap.Int64("limit_ms", (time.Duration(l.maxSilentPeriods())*period).Milliseconds()),
		zap.Bool("busy", l.busy.Load()))
}

// send queues a message, with the highest stamps that have been read and are handled. It
// may be called from any goroutine and never blocks.
func (l *link) send(m *structs.FromEntry) { l.sendHandled(m, l.server.progress.handledUntil()) }

// sendHandled is send for the core actor, which has handled everything that was sent to it
// until the given time, and has queued what follows from it for this link.
func (l *link) sendHandled(m *structs.FromEntry, until time.Duration) {
	stamps := l.stamps.Load()
	m.Seen, m.Handled = stamps.newest(), stamps.handledBy(until)
	frame, err := wire.AppendFromEntry(nil, m)
	if err != nil {
		l.log.Event(event.AgentLinkEncodingFailed, zap.Uint64("link", uint64(l.id)), errorField(err))
		l.requestClose()
		return
	}
	if len(m.Grants) > 0 && !l.busy.Swap(true) {
		l.runInLoop(l.hasten)
	}
	size := int64(len(frame))
	if l.queuedBytes.Add(size) > maxOutboundBytes {
		l.runInLoop(l.signalOverflow)
		return
	}
	_ = l.conn.AsyncWrite(frame, func(_ gnet.Conn, err error) error {
		l.frameWritten(size, err)
		return nil
	})
}

// frameWritten is called by the event loop after it has written a frame to the
// socket or to the connection's outbound buffer.
func (l *link) frameWritten(size int64, err error) {
	l.queuedBytes.Add(-size)
	if err != nil {
		return
	}
	l.unsentPeriods = 0
	if l.conn.OutboundBuffered() > maxOutboundBytes {
		l.signalOverflow()
	}
}

// signalOverflow closes the link because of too many unsent bytes.
func (l *link) signalOverflow() { l.fire(inboundEvents.Overflow) }

// requestClose closes the link. It may be called from any goroutine.
func (l *link) requestClose() {
	l.runInLoop(func() {
		if l.state == inboundStates.Opened || l.state == inboundStates.Established {
			l.end = dispatch.EndedByEntry
		}
		l.fire(inboundEvents.CloseRequested)
	})
}
