package cluster

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/chart"
)

const (
	forwarderInboxSize = 256
	// forwarderPeriod is the period of a tick that does nothing.
	forwarderPeriod = time.Minute
	// forwardTimeout bounds the opening of the second half of a connection.
	forwardTimeout = time.Second
)

// Forwarder passes connections on to a target until a test breaks them. Its
// actor owns the connections; each has two goroutines that only copy.
type Forwarder struct {
	inbox    *actor.Inbox[forwarderMessage]
	listener net.Listener
}

type forwarderMessage struct {
	event chart.Event
	// near is set for the event accepted.
	near net.Conn
	// ended is the near side of a connection one of whose directions has ended.
	ended net.Conn
	// failed says that the direction did not end in order.
	failed bool
	reply  chan<- int
}

// pair is the far side of a connection, its directions, and how many have ended.
type pair struct {
	far         net.Conn
	there, back *flow
	ended       int
	// muted says that nothing passes any more.
	muted bool
}

// directions is the number of directions of a connection.
const directions = 2

type forwarderActor struct {
	state    chart.State
	inbox    *actor.Inbox[forwarderMessage]
	listener net.Listener
	target   string
	// pairs holds each connection by its near side.
	pairs    map[net.Conn]*pair
	accepted net.Conn
	broken   int
	// there and back are the modes of the directions.
	there, back flowMode
}

var forwarderChart = chart.MustCompile(chartFiles, "forwarder", chart.Bindings[*forwarderActor]{
	Actions: map[string]func(*forwarderActor){
		"pass_on":        (*forwarderActor).passOn,
		"reject":         func(f *forwarderActor) { reset(f.accepted) },
		"break_all":      (*forwarderActor).breakAll,
		"mute_all":       (*forwarderActor).muteAll,
		"hold_both":      func(f *forwarderActor) { f.setModes(flowMode{held: true}, flowMode{held: true}) },
		"hold_answers":   func(f *forwarderActor) { f.setModes(flowMode{}, flowMode{held: true}) },
		"delay_both":     func(f *forwarderActor) { f.setModes(flowMode{delay: flowDelay}, flowMode{delay: flowDelay}) },
		"release_all":    func(f *forwarderActor) { f.setModes(flowMode{}, flowMode{}) },
		"stop_listening": func(f *forwarderActor) { _ = f.listener.Close() },
	},
})

var forwarderEvents struct {
	Accepted chart.Event `chart:"accepted"`
	Cut      chart.Event `chart:"cut"`
	Mute     chart.Event `chart:"mute"`
	Refuse   chart.Event `chart:"refuse"`
	Hold     chart.Event `chart:"hold"`
	HoldBack chart.Event `chart:"hold_back"`
	Delay    chart.Event `chart:"delay"`
	Resume   chart.Event `chart:"resume"`
	Close    chart.Event `chart:"close"`
}

func init() { forwarderChart.MustBindNames(&forwarderEvents) }

// forward listens on an address and passes connections on to the target.
func forward(address, target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	f := &Forwarder{inbox: actor.NewInbox[forwarderMessage](forwarderInboxSize), listener: listener}
	handler := &forwarderActor{
		state: forwarderChart.Initial(), inbox: f.inbox, listener: listener, target: target,
		pairs: map[net.Conn]*pair{},
	}
	go actor.Run(context.Background(), f.inbox, forwarderPeriod, handler)
	go f.accept()
	return f, nil
}

// Address is where the forwarder listens.
func (f *Forwarder) Address() string { return f.listener.Addr().String() }

// Cut breaks the present connections and returns their number.
func (f *Forwarder) Cut() int { return f.ask(forwarderEvents.Cut) }

// Refuse breaks the present connections and those to come, until Resume.
func (f *Forwarder) Refuse() int { return f.ask(forwarderEvents.Refuse) }

// Mute silences the present connections for good, without an end.
func (f *Forwarder) Mute() { f.ask(forwarderEvents.Mute) }

// Hold holds the bytes of both directions back, until Resume.
func (f *Forwarder) Hold() { f.ask(forwarderEvents.Hold) }

// HoldBack holds only what the target sends back, until Resume.
func (f *Forwarder) HoldBack() { f.ask(forwarderEvents.HoldBack) }

// Delay delays the bytes of both directions, until Resume.
func (f *Forwarder) Delay() { f.ask(forwarderEvents.Delay) }

// Resume lets connections through again.
func (f *Forwarder) Resume() { f.ask(forwarderEvents.Resume) }

// Close ends the forwarder.
func (f *Forwarder) Close() { f.ask(forwarderEvents.Close) }

func (f *Forwarder) ask(e chart.Event) int {
	reply := make(chan int, 1)
	if !f.inbox.Send(forwarderMessage{event: e, reply: reply}) {
		return 0
	}
	select {
	case broken := <-reply:
		return broken
	case <-f.inbox.Done():
		return 0
	}
}

func (f *Forwarder) accept() {
	for {
		near, err := f.listener.Accept()
		if err != nil {
			return
		}
		if !f.inbox.Send(forwarderMessage{event: forwarderEvents.Accepted, near: near}) {
			_ = near.Close()
		}
	}
}

// Handle implements actor.Handler.
func (f *forwarderActor) Handle(_ time.Time, m forwarderMessage) bool {
	if m.ended != nil {
		f.copied(m)
		return true
	}
	f.broken = 0
	f.accepted = m.near
	forwarderChart.Fire(&f.state, m.event, f)
	if m.reply != nil {
		m.reply <- f.broken
	}
	return !forwarderChart.Final(f.state)
}

// Tick implements actor.Handler.
func (f *forwarderActor) Tick(time.Time) bool { return true }

// Flush implements actor.Handler.
func (f *forwarderActor) Flush(time.Time) {}

// passOn opens the far side; without it the near side is broken. The target is
// on this machine, so that it answers or refuses at once.
func (f *forwarderActor) passOn() {
	near := f.accepted
	far, err := net.DialTimeout("tcp", f.target, forwardTimeout)
	if err != nil {
		reset(near)
		return
	}
	p := &pair{far: far, there: newFlow(f.there), back: newFlow(f.back)}
	f.pairs[near] = p
	go f.copy(p.back, near, far, near)
	go f.copy(p.there, far, near, near)
}

// copy runs on its own goroutine and touches none of the actor's state. It
// passes the end of one direction on; the actor ends the connection when both
// directions have ended, or one has failed.
func (f *forwarderActor) copy(flow *flow, to, from, near net.Conn) {
	err := flow.copy(to, from)
	f.inbox.Send(forwarderMessage{ended: near, failed: err != nil})
}

// copied takes the end of one direction.
func (f *forwarderActor) copied(m forwarderMessage) {
	p := f.pairs[m.ended]
	if p == nil {
		return
	}
	p.ended++
	if m.failed || p.ended == directions {
		f.forget(m.ended)
	}
}

func (f *forwarderActor) forget(near net.Conn) {
	p := f.pairs[near]
	delete(f.pairs, near)
	close(p.there.ended)
	close(p.back.ended)
	reset(near)
	reset(p.far)
}

func (f *forwarderActor) breakAll() {
	f.broken = len(f.pairs)
	for near := range f.pairs {
		f.forget(near)
	}
}

// setModes has the present connections and those to come work in the modes.
func (f *forwarderActor) setModes(there, back flowMode) {
	f.there, f.back = there, back
	for _, p := range f.pairs {
		if !p.muted {
			p.there.set(there)
			p.back.set(back)
		}
	}
}

func (f *forwarderActor) muteAll() {
	for _, p := range f.pairs {
		p.muted = true
		p.there.set(flowMode{held: true})
		p.back.set(flowMode{held: true})
	}
}

// reset closes a connection without a farewell, as a failure of the network
// would end it.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}
