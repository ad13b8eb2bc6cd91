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
	// endpointTickPeriod is the actor's tick period; its tick does nothing.
	endpointTickPeriod = time.Minute
)

// endpointActor is the actor that owns the counts, the behaviour and the
// connections of one Endpoint.
type endpointActor struct {
	behaviour   EndpointBehaviour
	counts      EndpointTotals
	startCounts map[string]int
	connections map[net.Conn]bool
	waiters     []endpointAwaitStarts
	killed      bool
}

// endpointMessage is a query, command or report to the actor. Reply channels have
// a buffer of one, so that the actor never blocks on them.
type endpointMessage interface{ handle(l *endpointActor) }

type (
	endpointTaskStarted struct {
		name  string
		reply chan<- EndpointBehaviour
	}
	endpointTaskEnded    struct{ failed bool }
	endpointSetBehaviour struct{ behaviour EndpointBehaviour }
	endpointStartsQuery  struct{ reply chan<- map[string]int }
	endpointTotalsQuery  struct{ reply chan<- EndpointTotals }
	// endpointAwaitStarts is answered once count tasks were started.
	endpointAwaitStarts struct {
		count uint64
		reply chan<- bool
	}
	endpointConnOpened struct{ conn net.Conn }
	endpointConnClosed struct{ conn net.Conn }
	// endpointKill closes all connections, including future ones.
	endpointKill struct{ reply chan<- bool }
)

// startEndpointActor starts the actor, which ends with ctx, and returns its
// inbox.
func startEndpointActor(ctx context.Context, b EndpointBehaviour) *actor.Inbox[endpointMessage] {
	inbox := actor.NewInbox[endpointMessage](endpointInboxSize)
	a := &endpointActor{behaviour: b, startCounts: map[string]int{}, connections: map[net.Conn]bool{}}
	go actor.Run(ctx, inbox, endpointTickPeriod, a)
	return inbox
}

// Handle implements actor.Handler.
func (a *endpointActor) Handle(_ time.Time, m endpointMessage) bool {
	m.handle(a)
	return true
}

// Tick implements actor.Handler.
func (a *endpointActor) Tick(time.Time) bool { return true }

// Flush implements actor.Handler.
func (a *endpointActor) Flush(time.Time) {}

func (m *endpointTaskStarted) handle(a *endpointActor) {
	a.startCounts[m.name]++
	a.counts.Started++
	a.counts.Running++
	a.counts.MaxRunning = max(a.counts.MaxRunning, a.counts.Running)
	m.reply <- a.behaviour
	a.notifyWaiters()
}

func (m *endpointTaskEnded) handle(a *endpointActor) {
	a.counts.Running--
	if m.failed {
		a.counts.Failed++
		return
	}
	a.counts.Succeeded++
}

func (m *endpointSetBehaviour) handle(a *endpointActor) { a.behaviour = m.behaviour }

func (m *endpointStartsQuery) handle(a *endpointActor) { m.reply <- maps.Clone(a.startCounts) }

func (m *endpointTotalsQuery) handle(a *endpointActor) { m.reply <- a.counts }

func (m *endpointAwaitStarts) handle(a *endpointActor) {
	a.waiters = append(a.waiters, *m)
	a.notifyWaiters()
}

func (m *endpointConnOpened) handle(a *endpointActor) {
	a.counts.Connections++
	if a.killed {
		_ = m.conn.Close()
		return
	}
	a.connections[m.conn] = true
}

func (m *endpointConnClosed) handle(a *endpointActor) { delete(a.connections, m.conn) }

func (m *endpointKill) handle(a *endpointActor) {
	a.killed = true
	for conn := range a.connections {
		_ = conn.Close()
	}
	m.reply <- true
}

func (a *endpointActor) notifyWaiters() {
	var remaining []endpointAwaitStarts
	for _, w := range a.waiters {
		if w.count > a.counts.Started {
			remaining = append(remaining, w)
			continue
		}
		w.reply <- true
	}
	a.waiters = remaining
}

// queryEndpoint sends a message to the actor and waits for the reply. It returns
// the zero value if the actor has ended.
func queryEndpoint[R any](inbox *actor.Inbox[endpointMessage], newMessage func(chan<- R) endpointMessage) R {
	reply := make(chan R, 1)
	var none R
	if !inbox.Send(newMessage(reply)) {
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
