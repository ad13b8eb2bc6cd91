package entryd

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
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

// A core actor that is behind by a constant time handles messages all the same. What links
// report follows, however often the agent sends, and what they keep for it is bounded.
func TestHandledStampFollowsACoreThatIsAConstantTimeBehind(t *testing.T) {
	is := is.New(t)
	for _, lag := range []time.Duration{0, 100, 500, 1000, 3000} {
		for _, interval := range []time.Duration{1, 20, 150, 600} {
			stamps, late := &readStamps{}, max(0, lag-maxSamples*sampleSpacing/time.Millisecond)
			for at := time.Duration(1); at < 10_000; at += interval {
				until := (at - lag) * time.Millisecond
				stamps = stamps.with(readStamp{stamp: structs.Stamp(at), readAt: at * time.Millisecond}, until)
				handled := stamps.handledBy(until)
				is.True(time.Duration(handled) <= max(0, at-lag)) // nothing that is not handled
				if late == 0 {
					is.True(at-lag-time.Duration(handled) <= interval+sampleSpacing/time.Millisecond)
				}
				is.Equal(stamps.newest(), structs.Stamp(at))
				is.True(len(stamps.samples) <= maxSamples)
			}
			is.True(stamps.handledBy(10*time.Second) > 9000) // once the core has caught up
		}
	}
}

// newBusyActor returns an actor with a link, whose inbox never becomes empty.
func newBusyActor(step func(dispatch.Message) []dispatch.Effect) (*coreActor, *progress) {
	inbox := actor.NewInbox[coreMessage](8)
	p := newProgress(time.Now())
	a := newCoreActor(&fakeCore{step: step}, inbox, p, logging.Discard(), make(chan struct{}, 1))
	a.tickScheduled = true
	inbox.Send(&notification{message: &dispatch.AbandonReply{}})
	return a, p
}

// The agent takes a link on which nothing is reported as handled for one to an entry of an
// earlier release, and trusts its confirmations.
func TestWelcomeOfABusyCoreReportsWhatIsHandled(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	welcome := &dispatch.Send{Link: 1, Message: &structs.FromEntry{Welcome: &structs.Welcome{}}}
	a, p := newBusyActor(func(dispatch.Message) []dispatch.Effect { return []dispatch.Effect{welcome} })
	server := &linkServer{options: linkOptions{heartbeatPeriod: time.Hour}, inbox: actor.NewInbox[coreMessage](8), progress: p, log: logging.Discard()}
	l := newLink(1, conn, server)
	defer l.stopHeartbeatTimer()
	hello := newHello()
	hello.Sent = 5
	l.handle(is, hello)
	a.Handle(time.Now(), &linkHello{link: l, hello: hello, receivedAt: l.receivedAt})
	a.Flush(time.Now())
	m, err := wire.DecodeFromEntry(conn.last[wire.HeaderBytes:])
	is.NoErr(err)
	is.True(m.Welcome != nil)
	is.Equal(m.Seen, structs.Stamp(5))
	is.Equal(m.Handled, structs.Stamp(5))
}

// A grant that follows from a refusal as unconfirmed carries the stamp of the refusal, or it is
// refused again.
func TestGrantAfterARefusalReportsTheRefusalAsHandled(t *testing.T) {
	is := is.New(t)
	conn := &stubConn{}
	grant := &dispatch.Send{Link: 1, Message: &structs.FromEntry{Grants: []structs.Grant{{}}}}
	a, p := newBusyActor(func(dispatch.Message) []dispatch.Effect { return []dispatch.Effect{grant} })
	l := establishedLink(conn, logging.Discard())
	defer l.stopHeartbeatTimer()
	l.server.progress = p
	a.links[1] = l
	l.handle(is, &structs.FromAgent{Heartbeat: true, Sent: 5})
	p.publish(p.at(l.receivedAt))
	a.handledUntil = p.handledUntil()
	refusal := &structs.FromAgent{Refusals: []structs.Refusal{{Reason: structs.Unconfirmed}}, Sent: 9}
	l.handle(is, refusal)
	a.Handle(time.Now(), &agentFrame{link: 1, message: refusal, receivedAt: l.receivedAt})
	a.Flush(time.Now())
	is.Equal(conn.handled(is), structs.Stamp(9))
}

// The dispatcher has counted down the room that an agent reported beside a refusal, and has to
// hear the agent's next report, though it is the same.
func TestHeartbeatAfterARefusalIsForwarded(t *testing.T) {
	is := is.New(t)
	l := establishedLink(&stubConn{}, logging.Discard())
	defer l.stopHeartbeatTimer()
	l.handle(is, &structs.FromAgent{Refusals: []structs.Refusal{{Reason: structs.NoRoom}}, Idle: 40})
	before := l.inbox.Len()
	l.handle(is, &structs.FromAgent{Heartbeat: true, Idle: 40})
	is.Equal(l.inbox.Len(), before+1)
}

// What waits in the inbox may be that the callers of the jobs to be granted have left.
func TestNothingIsGrantedWhileTheCoreIsFarBehind(t *testing.T) {
	is := is.New(t)
	behind := 0
	a, p := newBusyActor(func(m dispatch.Message) []dispatch.Effect {
		if _, ok := m.(*dispatch.Behind); ok {
			behind++
		}
		return nil
	})
	now := p.start.Add(time.Minute)
	a.recordHandled(now.Add(-maxGrantLag))
	a.Flush(now)
	is.Equal(behind, 0)
	a.Flush(now.Add(time.Millisecond))
	is.Equal(behind, 1)
}

func TestRequestOfACallerThatHasLeftIsNotSubmitted(t *testing.T) {
	is := is.New(t)
	inbox := actor.NewInbox[coreMessage](8)
	g := &Gateway{core: &coreClient{inbox: inbox}}
	left := make(chan time.Time)
	close(left)
	_, refusal := g.Run(structs.Submission{}, time.Second, left)
	is.Equal(refusal.Run, failure.NotRun)
	is.Equal(inbox.Len(), 0)
}

// The wait counts from when the request arrived, not from when the core takes it.
func TestSubmissionSaysWhenItsRequestArrived(t *testing.T) {
	is := is.New(t)
	inbox := actor.NewInbox[coreMessage](8)
	submitted := make(chan *dispatch.RunJob, 1)
	core := &fakeCore{step: func(m dispatch.Message) []dispatch.Effect {
		if run, ok := m.(*dispatch.RunJob); ok {
			submitted <- run
			return []dispatch.Effect{&dispatch.Refused{Reply: run.Reply, Failure: failure.New(failure.Overloaded, failure.NotRun, "")}}
		}
		return nil
	}}
	before := time.Now()
	done := make(chan bool)
	go func() {
		(&Gateway{core: &coreClient{inbox: inbox}}).Run(structs.Submission{}, time.Second, nil)
		close(done)
	}()
	go actor.Run(t.Context(), inbox, time.Hour, newCoreActor(core, inbox, newProgress(before), logging.Discard(), make(chan struct{}, 1)))
	<-done
	run := <-submitted
	is.True(!run.ReceivedAt.Before(before) && !run.ReceivedAt.After(time.Now()))
	is.Equal(run.MaxWait, time.Second)
}
