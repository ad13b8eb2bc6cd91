package agentd

import (
	"context"
	"time"

	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"cactuspost.example/charts"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

// maxOutboundBytes bounds the unwritten bytes of one link. The link to an entry
// that reads too slowly is closed; no result is lost, because results are kept
// until they are acknowledged.
const maxOutboundBytes = 2 * wire.MaxFrameBytes

// connection is one TCP connection to an entry. It follows the state chart
// connection.
type connection struct {
	state   chart.State
	link    agent.LinkID
	address string
	owner   *links
	conn    gnet.Conn
	// cancelDial cancels the dial if it is still in progress.
	cancelDial   context.CancelFunc
	lastReceived time.Time
	lastSent     time.Time
	// silentFor and silenceLimit are the silence and its limit while the event silent is
	// handled.
	silentFor, silenceLimit time.Duration
	// idle, waiting, busy and revision were last sent to the entry; heartbeats repeat
	// them.
	idle, waiting uint32
	busy          bool
	revision      uint64
	// frames is the encoded message while the event send is handled.
	frames []byte
	// queued holds the bytes to write after the current write.
	queued []byte
	// writeNumber is the number of the current write; reports on earlier writes are
	// ignored.
	writeNumber uint64
	// unwritten is the number of bytes of the current write that are not written
	// yet.
	unwritten int
}

type connectionEvent = chart.Event

var connectionChart = chart.MustCompile(charts.Files, "connection", chart.Bindings[*connection]{
	Guards: map[string]func(*connection) bool{
		"has_room":    (*connection).hasRoom,
		"all_written": (*connection).allWritten,
	},
	Actions: map[string]func(*connection){
		"count_opened":    (*connection).countOpened,
		"cancel_dial":     func(c *connection) { c.cancelDial() },
		"queue":           (*connection).queue,
		"write":           (*connection).write,
		"close_socket":    (*connection).closeSocket,
		"remove":          (*connection).remove,
		"report_overflow": (*connection).reportOverflow,
		"report_silence":  (*connection).reportSilence,
	},
})

var connectionEvents struct {
	Opened  chart.Event `chart:"opened"`
	Ended   chart.Event `chart:"ended"`
	Send    chart.Event `chart:"send"`
	Written chart.Event `chart:"written"`
	Silent  chart.Event `chart:"silent"`
	Close   chart.Event `chart:"close"`
	Finish  chart.Event `chart:"finish"`
}

var connectionStates struct {
	Dialing   chart.State `chart:"dialing"`
	Abandoned chart.State `chart:"abandoned"`
	Open      chart.State `chart:"open"`
	Finishing chart.State `chart:"finishing"`
	Closing   chart.State `chart:"closing"`
	Closed    chart.State `chart:"closed"`
}

func init() {
	connectionChart.MustBindNames(&connectionEvents)
	connectionChart.MustBindNames(&connectionStates)
}

func newConnection(link agent.LinkID, address string, owner *links, cancelDial context.CancelFunc, now time.Time) *connection {
	return &connection{
		state: connectionChart.Initial(), link: link, address: address, owner: owner,
		cancelDial: cancelDial, lastReceived: now, lastSent: now, busy: true,
	}
}

func (c *connection) fire(e connectionEvent) { connectionChart.Fire(&c.state, e, c) }

// send stamps, encodes and writes a message. If it can't be encoded, the link is closed
// so that the entry never sees a gap.
func (c *connection) send(now time.Time, m *structs.FromAgent) {
	m.Sent = c.owner.clock.Stamp(now)
	frames, err := encode(m)
	if err != nil {
		c.owner.log.Event(event.LinkEncodingFailed, zap.String("entry", c.address), zap.String("error", err.Error()))
		c.fire(connectionEvents.Close)
		return
	}
	c.frames = frames
	c.lastSent = now
	c.idle = m.Idle
	c.waiting = m.Waiting
	c.busy = m.Busy
	c.revision = max(c.revision, m.Revision)
	c.fire(connectionEvents.Send)
	c.frames = nil
}

// written handles a report on the current write.
func (c *connection) written(m *linkWritten) {
	if m.number != c.writeNumber {
		return
	}
	c.unwritten = m.remaining
	if c.unwritten == 0 {
		c.fire(connectionEvents.Written)
	}
}

// tick closes a silent connection, sends a heartbeat if one is due and polls the
// progress of the current write.
func (c *connection) tick(now time.Time) {
	if c.state != connectionStates.Open && c.state != connectionStates.Finishing {
		return
	}
	heartbeat, silence := c.pace()
	if now.Sub(c.lastReceived) > silence {
		c.silentFor, c.silenceLimit = now.Sub(c.lastReceived), silence
		c.fire(connectionEvents.Silent)
		return
	}
	if now.Sub(c.lastSent) > heartbeat {
		c.send(now, &structs.FromAgent{Heartbeat: true, Idle: c.idle, Waiting: c.waiting, Busy: c.busy, Revision: c.revision})
	}
	c.pollProgress()
}

// pace returns the heartbeat interval and the silence timeout that apply at present.
func (c *connection) pace() (heartbeat, silence time.Duration) {
	t := &c.owner.timing
	if c.busy || t.IdleHeartbeat == 0 {
		return t.HeartbeatInterval, t.SilenceTimeout
	}
	return t.IdleHeartbeat, t.IdleSilenceTimeout
}

// pollProgress asks the event loop how much of the current write is left. The
// event loop reports this only in answer to a write, so an empty one is made.
func (c *connection) pollProgress() {
	if c.unwritten > 0 {
		c.asyncWrite(nil)
	}
}

func (c *connection) hasRoom() bool {
	return c.unwritten+len(c.queued)+len(c.frames) <= maxOutboundBytes
}

func (c *connection) allWritten() bool { return c.unwritten == 0 && len(c.queued) == 0 }

func (c *connection) countOpened() { c.owner.counters.linksOpened.Inc() }

func (c *connection) queue() { c.queued = append(c.queued, c.frames...) }

// write starts the next write unless one is in progress.
func (c *connection) write() {
	if c.unwritten > 0 || len(c.queued) == 0 {
		return
	}
	c.writeNumber++
	c.unwritten = len(c.queued)
	c.owner.counters.bytesSent.Add(len(c.queued))
	c.asyncWrite(c.queued)
	c.queued = nil
}

// asyncWrite passes bytes to the event loop, which owns them afterwards.
func (c *connection) asyncWrite(bytes []byte) {
	report := &linkWritten{link: c.link, number: c.writeNumber}
	inbox := c.owner.inbox
	err := c.conn.AsyncWrite(bytes, func(conn gnet.Conn, err error) error {
		// After an error the event loop closes the connection and calls OnClose.
		if err == nil {
			report.remaining = conn.OutboundBuffered()
			inbox.Send(report)
		}
		return nil
	})
	if err != nil {
		c.closeSocket()
	}
}

// closeSocket asks the event loop to close the connection; OnClose reports the
// end.
func (c *connection) closeSocket() { _ = c.conn.Close() }

func (c *connection) remove() { delete(c.owner.connections, c.link) }

func (c *connection) reportOverflow() {
	c.owner.log.Event(event.LinkOverflow, zap.String("entry", c.address))
}

func (c *connection) reportSilence() {
	c.owner.log.Event(event.LinkSilent, zap.String("entry", c.address),
		zap.Int64("received_ms_ago", c.silentFor.Milliseconds()), zap.Int64("limit_ms", c.silenceLimit.Milliseconds()), zap.Bool("busy", c.busy))
}
