package entryd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/wire"
)

// handled returns the stamp that the last frame on the connection reports as handled.
func (c *stubConn) handled(is *is.I) structs.Stamp {
	is.Helper()
	m, err := wire.DecodeFromEntry(c.last[wire.HeaderBytes:])
	is.NoErr(err)
	return m.Handled
}

// The event loop reads on while the core actor is behind its inbox, where the news may wait
// that a caller has left.
func TestLinkReportsOnlyWhatTheCoreHasHandled(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	l := establishedLink(conn, logging.Discard())
	defer l.stopHeartbeatTimer()
	progress := l.server.progress
	handled := func() structs.Stamp {
		l.sendHeartbeat()
		return conn.handled(is)
	}
	l.handle(is, &structs.FromAgent{Heartbeat: true, Sent: 7})
	is.Equal(handled(), structs.Stamp(0))
	progress.publish(progress.at(time.Now()))
	is.Equal(handled(), structs.Stamp(7))
	l.handle(is, &structs.FromAgent{Heartbeat: true, Sent: 9})
	l.handle(is, &structs.FromAgent{Heartbeat: true, Sent: 11})
	is.Equal(handled(), structs.Stamp(7)) // the core has stopped after the first
	l.sendHandled(&structs.FromEntry{Heartbeat: true}, progress.at(time.Now()))
	is.Equal(conn.handled(is), structs.Stamp(11)) // the core sends this with what follows from the rest
	progress.publish(progress.at(time.Now()))
	is.Equal(handled(), structs.Stamp(11))
}

// An actor that is behind flushes with messages left in its inbox.
func TestCoreReportsProgressOnlyForWhatHasLeftItsInbox(t *testing.T) {
	is := is.New(t)
	inbox := actor.NewInbox[coreMessage](8)
	p := newProgress(time.Now())
	conn := &stubConn{}
	cancel := &dispatch.Send{Link: 1, Message: &structs.FromEntry{Cancels: []structs.GrantID{{}}}}
	core := &fakeCore{step: func(dispatch.Message) []dispatch.Effect { return []dispatch.Effect{cancel} }}
	a := newCoreActor(core, inbox, p, logging.Discard(), make(chan struct{}, 1))
	a.tickScheduled = true // no timer in this test
	l := establishedLink(conn, logging.Discard())
	defer l.stopHeartbeatTimer()
	l.server.progress = p
	a.links[1] = l
	l.handle(is, &structs.FromAgent{Heartbeat: true, Sent: 5})
	callerLeft := &notification{message: &dispatch.AbandonReply{}}
	tick := busyTick{sentAt: time.Now()}

	inbox.Send(callerLeft)
	a.Flush(time.Now())
	is.Equal(p.handledUntil(), time.Duration(0))
	a.Handle(time.Now(), callerLeft)
	a.Handle(time.Now(), tick)
	is.Equal(p.handledUntil(), time.Duration(0)) // the cancels are not queued yet
	a.Flush(time.Now())
	is.Equal(conn.handled(is), structs.Stamp(5)) // with the cancels
	is.Equal(p.handledUntil(), p.at(tick.sentAt))
}

func TestCoreThatIsNotBehindReportsProgressAtOnce(t *testing.T) {
	is := is.New(t)
	inbox := actor.NewInbox[coreMessage](8)
	p := newProgress(time.Now())
	core := &fakeCore{step: func(dispatch.Message) []dispatch.Effect { return nil }}
	a := newCoreActor(core, inbox, p, logging.Discard(), make(chan struct{}, 1))
	now := time.Now()
	a.Flush(now)
	is.Equal(p.handledUntil(), p.at(now))
}

// A new connection is trusted only for as long as its hello is old: a grant that is read late
// has a stamp that shows it.
func TestWelcomeConfirmsTheHello(t *testing.T) {
	is := is.New(t)
	d := startEntry(t, testConfig())
	agent := dial(t, d)
	hello := newHello()
	hello.Sent = 5
	agent.send(hello)
	m := agent.receive()
	is.True(m.Welcome != nil)
	is.Equal(m.Seen, structs.Stamp(5))
	is.Equal(m.Handled, structs.Stamp(5))
}
