package standin

import (
	"context"
	"maps"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"cactuspost.example/internal/actor"
)

const (
	endpointInboxSize = 1024
	// endpointLedgerPeriod is the actor's tick period; its tick does nothing.
	endpointLedgerPeriod = time.Minute
)

// endpointLedger is the actor that owns the counts, the behaviour and the
// connections of one Endpoint.
type endpointLedger struct {
	behaviour   EndpointBehaviour
	counts      EndpointTotals
	startCounts map[string]int
	connections map[net.Conn]bool
	waiting     []endpointStartsAwaited
	killed      bool
}

// endpointMessage is a query, command or report to the actor. Reply channels have
// a buffer of one, so that the actor never blocks on them.
type endpointMessage interface{ handle(l *endpointLedger) }

type (
	endpointTaskBegun struct {
		name  string
		reply chan<- EndpointBehaviour
	}
	endpointTaskEnded    struct{ failed bool }
	endpointBehaviourSet struct{ behaviour EndpointBehaviour }
	endpointStartsAsked  struct{ reply chan<- map[string]int }
	endpointTotalsAsked  struct{ reply chan<- EndpointTotals }
	// endpointStartsAwaited is answered once count tasks were started.
	endpointStartsAwaited struct {
		count uint64
		reply chan<- bool
	}
	endpointConnOpened struct{ conn net.Conn }
	endpointConnClosed struct{ conn net.Conn }
	// endpointKilled closes all connections, including future ones.
	endpointKilled struct{ reply chan<- bool }
)

// startEndpointLedger starts the actor, which ends with ctx, and returns its
// inbox.
func startEndpointLedger(ctx context.Context, b EndpointBehaviour) *actor.Inbox[endpointMessage] {
	inbox := actor.NewInbox[endpointMessage](endpointInboxSize)
	l := &endpointLedger{behaviour: b, startCounts: map[string]int{}, connections: map[net.Conn]bool{}}
	go actor.Run(ctx, inbox, endpointLedgerPeriod, l)
	return inbox
}

// Handle implements actor.Handler.
func (l *endpointLedger) Handle(_ time.Time, m endpointMessage) bool {
	m.handle(l)
	return true
}

// Tick implements actor.Handler.
func (l *endpointLedger) Tick(time.Time) bool { return true }

// Flush implements actor.Handler.
func (l *endpointLedger) Flush(time.Time) {}

func (m *endpointTaskBegun) handle(l *endpointLedger) {
	l.startCounts[m.name]++
	l.counts.Started++
	l.counts.Running++
	l.counts.MaxRunning = max(l.counts.MaxRunning, l.counts.Running)
	m.reply <- l.behaviour
	l.answerWaiting()
}

func (m *endpointTaskEnded) handle(l *endpointLedger) {
	l.counts.Running--
	if m.failed {
		l.counts.Failed++
		return
	}
	l.counts.Succeeded++
}

func (m *endpointBehaviourSet) handle(l *endpointLedger) { l.behaviour = m.behaviour }

func (m *endpointStartsAsked) handle(l *endpointLedger) { m.reply <- maps.Clone(l.startCounts) }

func (m *endpointTotalsAsked) handle(l *endpointLedger) { m.reply <- l.counts }

func (m *endpointStartsAwaited) handle(l *endpointLedger) {
	l.waiting = append(l.waiting, *m)
	l.answerWaiting()
}

func (m *endpointConnOpened) handle(l *endpointLedger) {
	l.counts.Connections++
	if l.killed {
		_ = m.conn.Close()
		return
	}
	l.connections[m.conn] = true
}

func (m *endpointConnClosed) handle(l *endpointLedger) { delete(l.connections, m.conn) }

func (m *endpointKilled) handle(l *endpointLedger) {
	l.killed = true
	for conn := range l.connections {
		_ = conn.Close()
	}
	m.reply <- true
}

func (l *endpointLedger) answerWaiting() {
	var waiting []endpointStartsAwaited
	for _, w := range l.waiting {
		if w.count > l.counts.Started {
			waiting = append(waiting, w)
			continue
		}
		w.reply <- true
	}
	l.waiting = waiting
}

// endpointAsk sends a message to the actor and waits for the reply. It returns
// the zero value if the actor has ended.
func endpointAsk[R any](inbox *actor.Inbox[endpointMessage], question func(chan<- R) endpointMessage) R {
	reply := make(chan R, 1)
	var none R
	if !inbox.Send(question(reply)) {
		return none
	}
	select {
	case answer := <-reply:
		return answer
	case <-inbox.Done():
		return none
	}
}

// endpointConnReporter returns a ConnState hook that reports opened and closed
// connections to the actor.
func endpointConnReporter(inbox *actor.Inbox[endpointMessage]) func(net.Conn, fasthttp.ConnState) {
	return func(conn net.Conn, state fasthttp.ConnState) {
		switch state {
		case fasthttp.StateNew:
			inbox.Send(&endpointConnOpened{conn: conn})
		case fasthttp.StateClosed, fasthttp.StateHijacked:
			inbox.Send(&endpointConnClosed{conn: conn})
		}
	}
}
