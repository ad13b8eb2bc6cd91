package entryd

import (
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/pause"
	"cactuspost.example/internal/structs"
)

// Core is the dispatcher's decisions, as the core actor drives them.
// *dispatch.Core implements it.
type Core interface {
	Step(now time.Time, m dispatch.Message)
	Tick(now time.Time)
	Flush(now time.Time)
	Effects() []dispatch.Effect
}

// How often the core sees the time pass.
const (
	// busyPeriod holds while messages arrive or callers wait.
	busyPeriod = 10 * time.Millisecond
	// idlePeriod holds otherwise: an idle entry hardly wakes.
	idlePeriod = 100 * time.Millisecond
)

// coreInboxSize bounds the messages that wait for the core. At the bound a
// caller is refused, an event loop that reads from agents waits, and a control
// message waits. The core actor never waits for any of them, so that its inbox
// always empties.
const coreInboxSize = 8192

// coreMessage is an input of the core actor.
type coreMessage interface{ isCoreMessage() }

// call is a message whose one answer goes to a caller.
type call struct {
	reply   dispatch.ReplyID
	answer  chan<- dispatch.Effect
	message dispatch.Message
}

// input is a message without an answer.
type input struct{ message dispatch.Message }

// linkHello introduces a link and brings its first message.
type linkHello struct {
	link  *link
	hello *structs.FromAgent
}

// linkEnded says that an introduced link is closed.
type linkEnded struct{ id dispatch.LinkID }

// probe asks whether the entry is ready for the balancer.
type probe struct{ answer chan<- readiness }

// dropReadiness makes the entry not ready from now on.
type dropReadiness struct{}

// wake ends a busyPeriod.
type wake struct{}

// endCore ends the actor.
type endCore struct{}

func (*call) isCoreMessage()         {}
func (*input) isCoreMessage()        {}
func (*linkHello) isCoreMessage()    {}
func (*linkEnded) isCoreMessage()    {}
func (*probe) isCoreMessage()        {}
func (dropReadiness) isCoreMessage() {}
func (wake) isCoreMessage()          {}
func (endCore) isCoreMessage()       {}

// readiness is what the core actor says to a probe.
type readiness struct {
	// configured is set when a revision is in force.
	configured bool
	// serving is set while at least one worker is connected.
	serving bool
	// leaving is set from the start of the planned stop.
	leaving bool
}

// coreActor owns the dispatcher and carries out its effects. It waits for
// nothing but its inbox: answers go into buffered channels, and frames into the
// queues of the event loops.
type coreActor struct {
	core    Core
	inbox   *actor.Inbox[coreMessage]
	log     *logging.Logger
	callers map[dispatch.ReplyID]chan<- dispatch.Effect
	links   map[dispatch.LinkID]*link
	state   readiness
	drained chan<- struct{}
	// gateway is nil if nobody needs the document.
	gateway *Gateway
	suspend *pause.Detector
	// active is set when a message has come since the last wake, armed while a
	// wake is under way.
	active bool
	armed  bool
}

// newCoreActor returns an actor that reports the end of the planned stop on
// drained, which has room for one message.
func newCoreActor(core Core, inbox *actor.Inbox[coreMessage], log *logging.Logger, drained chan<- struct{}) *coreActor {
	return &coreActor{
		core:    core,
		inbox:   inbox,
		log:     log,
		callers: map[dispatch.ReplyID]chan<- dispatch.Effect{},
		links:   map[dispatch.LinkID]*link{},
		drained: drained,
		suspend: pause.NewDetector(pause.BootClock),
	}
}

// Handle processes one message.
func (a *coreActor) Handle(now time.Time, m coreMessage) bool {
	a.noteSuspension(now)
	switch m.(type) {
	case wake:
		a.active = false
		a.armed = false
		a.core.Tick(now)
	case endCore:
		return false
	default:
		a.active = true
		a.step(now, m)
	}
	return true
}

// noteSuspension tells the dispatcher that the machine stood still, before it sees
// anything that arrived meanwhile.
func (a *coreActor) noteSuspension(now time.Time) {
	if a.suspend.Suspended(now) {
		a.log.Event(event.MachineSuspended)
		a.core.Step(now, &dispatch.Suspended{})
	}
}

// step passes one message to the dispatcher.
func (a *coreActor) step(now time.Time, m coreMessage) {
	switch m := m.(type) {
	case *call:
		a.callers[m.reply] = m.answer
		a.core.Step(now, m.message)
	case *input:
		a.core.Step(now, m.message)
	case *linkHello:
		a.links[m.link.id] = m.link
		a.state.serving = true
		a.core.Step(now, &dispatch.AgentMessage{Link: m.link.id, Message: m.hello})
	case *linkEnded:
		delete(a.links, m.id)
		a.state.serving = len(a.links) > 0
		a.core.Step(now, &dispatch.LinkClosed{Link: m.id})
	case *probe:
		m.answer <- a.state
	case dropReadiness:
		a.state.leaving = true
	}
}

// adopted publishes the document in force.
func (a *coreActor) adopted(document *structs.Document) {
	a.state.configured = true
	if a.gateway != nil {
		a.gateway.document.Store(document)
	}
}

// Tick lets the dispatcher see the time.
func (a *coreActor) Tick(now time.Time) bool {
	a.core.Tick(now)
	return true
}

// Flush lets the dispatcher collect what it decided and carries it out.
func (a *coreActor) Flush(now time.Time) {
	a.core.Flush(now)
	for _, effect := range a.core.Effects() {
		a.carryOut(effect)
	}
	a.arm()
}

// arm has the dispatcher see the time soon if there is work in progress.
func (a *coreActor) arm() {
	if a.armed || (!a.active && len(a.callers) == 0) {
		return
	}
	a.armed = true
	time.AfterFunc(busyPeriod, func() { a.inbox.Send(wake{}) })
}

func (a *coreActor) carryOut(effect dispatch.Effect) {
	switch e := effect.(type) {
	case *dispatch.Created:
		a.answer(e.Reply, e)
	case *dispatch.Answered:
		a.answer(e.Reply, e)
	case *dispatch.Refused:
		a.answer(e.Reply, e)
	case *dispatch.Counted:
		a.answer(e.Reply, e)
	case *dispatch.Inspected:
		a.answer(e.Reply, e)
	case *dispatch.Accounted:
		a.answer(e.Reply, e)
	case *dispatch.Send:
		a.send(e)
	case *dispatch.CloseLink:
		a.closeLink(e.Link)
	case *dispatch.ConfigAdopted:
		a.adopted(e.Document)
	case *dispatch.LogEvent:
		a.report(e)
	case *dispatch.Drained:
		a.reportDrained()
	}
}

// answer hands an effect to its caller. The channel has room for the one answer
// of a call, so this never waits.
func (a *coreActor) answer(id dispatch.ReplyID, effect dispatch.Effect) {
	answer, ok := a.callers[id]
	if !ok {
		return
	}
	delete(a.callers, id)
	answer <- effect
}

// send drops messages to links that have ended: the dispatcher is about to hear
// of their end.
func (a *coreActor) send(e *dispatch.Send) {
	if l, ok := a.links[e.Link]; ok {
		l.send(e.Message)
	}
}

func (a *coreActor) closeLink(id dispatch.LinkID) {
	if l, ok := a.links[id]; ok {
		l.dismiss()
	}
}

func (a *coreActor) report(e *dispatch.LogEvent) {
	fields := []zap.Field{}
	if e.Endpoint != "" {
		fields = append(fields, zap.String("endpoint", e.Endpoint))
	}
	if e.Job != (structs.JobID{}) {
		fields = append(fields, zap.String("job", e.Job.String()))
	}
	if e.Request != "" {
		fields = append(fields, zap.String("request", e.Request))
	}
	if e.RequestID != "" {
		fields = append(fields, zap.String("request_id", e.RequestID))
	}
	if e.Task != "" {
		fields = append(fields, zap.String("task", e.Task))
	}
	if e.Detail != "" {
		fields = append(fields, zap.String("detail", e.Detail))
	}
	for _, fact := range e.Fields {
		fields = append(fields, zap.Int64(fact.Name, fact.Value))
	}
	a.log.Event(e.Event, fields...)
}

func (a *coreActor) reportDrained() {
	select {
	case a.drained <- struct{}{}:
	default:
	}
}
