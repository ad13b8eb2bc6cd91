package entryd

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/pause"
	"cactuspost.example/internal/structs"
)

// Core is the decision logic of the dispatcher, driven by coreActor. Its
// implementation is *dispatch.Core.
type Core interface {
	Step(now time.Time, m dispatch.Message)
	Tick(now time.Time)
	Flush(now time.Time)
	Effects() []dispatch.Effect
}

// Intervals between calls of Core.Tick.
const (
	// busyTickInterval applies while messages arrive or callers wait for answers.
	busyTickInterval = 10 * time.Millisecond
	// idleTickInterval applies otherwise. It is longer so that an idle entry uses
	// little CPU.
	idleTickInterval = 100 * time.Millisecond
)

// maxGrantLag is how far the core actor may be behind its inbox and still grant tasks. A
// caller may send its job elsewhere 1,300 ms after it has disconnected, and what was granted
// after that must have been stopped by then.
const maxGrantLag = 300 * time.Millisecond

// coreInboxSize is the capacity of the core actor's inbox. When it is full,
// requests of callers are refused, while event loops that read from agents and
// senders of control messages block. The core actor never blocks on any of them,
// so it always makes progress and there is no deadlock.
const coreInboxSize = 8192

// coreMessage is a message to the core actor.
type coreMessage interface{ isCoreMessage() }

// call passes a message to the dispatcher whose single answer goes to a caller.
type call struct {
	reply   dispatch.ReplyID
	answer  chan<- dispatch.Effect
	message dispatch.Message
}

// notification passes a message to the dispatcher that has no answer.
type notification struct{ message dispatch.Message }

// linkHello registers a link and carries its first message.
type linkHello struct {
	link       *link
	hello      *structs.FromAgent
	receivedAt time.Time
}

// agentFrame carries a later message of a link. What was sent to the core actor before
// receivedAt has been handled when it is.
type agentFrame struct {
	link       dispatch.LinkID
	message    *structs.FromAgent
	receivedAt time.Time
}

// linkClosed reports that a registered link has closed.
type linkClosed struct {
	id  dispatch.LinkID
	end dispatch.LinkEnd
}

// readinessProbe requests the readiness of the entry, for the load balancer.
type readinessProbe struct{ answer chan<- readinessState }

// dropReadiness makes the entry report itself as not ready from now on.
type dropReadiness struct{}

// busyTick is sent busyTickInterval after it was scheduled. It triggers a tick of
// the dispatcher, and its wait is a sample of that of all messages: what was sent to the
// core actor before it has been handled by then.
type busyTick struct{ sentAt time.Time }

// stopCore stops the actor.
type stopCore struct{}

func (*call) isCoreMessage()           {}
func (*notification) isCoreMessage()   {}
func (*linkHello) isCoreMessage()      {}
func (*agentFrame) isCoreMessage()     {}
func (*linkClosed) isCoreMessage()     {}
func (*readinessProbe) isCoreMessage() {}
func (dropReadiness) isCoreMessage()   {}
func (busyTick) isCoreMessage()        {}
func (stopCore) isCoreMessage()        {}

// readinessState is the core actor's answer to a readinessProbe.
type readinessState struct {
	// configured is set once a configuration is in force.
	configured bool
	// agentConnected is set while at least one agent is connected.
	agentConnected bool
	// stopping is set when the planned stop begins.
	stopping bool
}

// coreActor owns the dispatcher and executes its effects. It blocks on nothing
// but its inbox: answers go into buffered channels, and frames into the queues
// of the event loops.
type coreActor struct {
	core      Core
	inbox     *actor.Inbox[coreMessage]
	log       *logging.Logger
	callers   map[dispatch.ReplyID]chan<- dispatch.Effect
	links     map[dispatch.LinkID]*link
	readiness readinessState
	// drained receives a value when the dispatcher has drained.
	drained chan<- struct{}
	// gateway receives each document that is adopted; nil if it is not needed.
	gateway         *Gateway
	suspendDetector *pause.Detector
	waits           *coreWaits
	waitAlarm       actor.WaitAlarm
	// active is set if a message has arrived since the last busyTick.
	active bool
	// tickScheduled is set while a timer is running that will send a busyTick.
	tickScheduled bool
	// progress is told until when messages have been handled, which is handledUntil at the
	// next Flush.
	progress     *progress
	handledUntil time.Duration
}

// newCoreActor returns an actor that sends on drained when the dispatcher has
// drained. The channel needs a buffer of one.
func newCoreActor(core Core, inbox *actor.Inbox[coreMessage], progress *progress, log *logging.Logger, drained chan<- struct{}) *coreActor {
	return &coreActor{
		core:            core,
		inbox:           inbox,
		progress:        progress,
		log:             log,
		callers:         map[dispatch.ReplyID]chan<- dispatch.Effect{},
		links:           map[dispatch.LinkID]*link{},
		drained:         drained,
		suspendDetector: pause.NewDetector(pause.BootClock),
		waits:           newCoreWaits(metrics.NewSet()),
	}
}

// Handle processes one message.
func (a *coreActor) Handle(now time.Time, m coreMessage) bool {
	a.detectSuspension(now)
	switch m := m.(type) {
	case busyTick:
		a.recordHandled(m.sentAt)
		a.recordWait(now, now.Sub(m.sentAt))
		a.active = false
		a.tickScheduled = false
		a.core.Tick(now)
	case stopCore:
		return false
	default:
		a.active = true
		a.step(now, m)
	}
	return true
}

// recordWait records how long a message waited in the inbox, and logs a long wait.
func (a *coreActor) recordWait(now time.Time, wait time.Duration) {
	a.waits.inbox.Update(wait.Seconds())
	if a.waitAlarm.Due(now, wait) {
		a.log.Event(event.InboxBehind, zap.String("part", "core"), zap.Int64("wait_ms", wait.Milliseconds()),
			zap.Int64("limit_ms", actor.WaitLimit.Milliseconds()), zap.Int("queued", a.inbox.Len()))
	}
}

// detectSuspension tells the dispatcher if the machine was suspended, before it
// processes any message that arrived in the meantime.
func (a *coreActor) detectSuspension(now time.Time) {
	if a.suspendDetector.Suspended(now) {
		a.log.Event(event.MachineSuspended)
		a.core.Step(now, &dispatch.Suspended{})
	}
}

// step handles every message but busyTick and stopCore.
func (a *coreActor) step(now time.Time, m coreMessage) {
	switch m := m.(type) {
	case *call:
		a.callers[m.reply] = m.answer
		a.core.Step(now, m.message)
	case *notification:
		if left, ok := m.message.(*dispatch.AbandonReply); ok {
			a.waits.abandoned.Update(now.Sub(left.At).Seconds())
		}
		a.core.Step(now, m.message)
	case *agentFrame:
		a.recordHandled(m.receivedAt)
		a.core.Step(now, &dispatch.AgentMessage{Link: m.link, Message: m.message})
	case *linkHello:
		a.recordHandled(m.receivedAt)
		a.links[m.link.id] = m.link
		a.readiness.agentConnected = true
		a.core.Step(now, &dispatch.AgentMessage{Link: m.link.id, Message: m.hello})
	case *linkClosed:
		delete(a.links, m.id)
		a.readiness.agentConnected = len(a.links) > 0
		a.core.Step(now, &dispatch.LinkClosed{Link: m.id, End: m.end})
	case *readinessProbe:
		m.answer <- a.readiness
	case dropReadiness:
		a.readiness.stopping = true
	}
}

// publishDocument makes the document that is now in force available to the
// Gateway.
func (a *coreActor) publishDocument(e *dispatch.ConfigAdopted) {
	a.readiness.configured = true
	if a.gateway != nil {
		a.gateway.document.Store(e.Document)
	}
	a.log.Event(event.ConfigurationInForce, zap.Uint64("revision", e.Document.Revision), zap.Uint64("replaced", e.Replaced), zap.String("source", e.Source))
}

// Tick runs the dispatcher's periodic work.
func (a *coreActor) Tick(now time.Time) bool {
	a.detectSuspension(now)
	a.core.Tick(now)
	return true
}

// Flush executes the effects of the messages handled since the last call, and then
// publishes until when messages have been handled.
func (a *coreActor) Flush(now time.Time) {
	if a.inbox.Len() == 0 {
		a.recordHandled(now)
	}
	if a.progress.at(now)-a.handledUntil > maxGrantLag {
		a.core.Step(now, &dispatch.Behind{})
	}
	a.core.Flush(now)
	for _, effect := range a.core.Effects() {
		a.executeEffect(effect)
	}
	a.progress.publish(a.handledUntil)
	a.scheduleBusyTick()
}

// recordHandled records that the messages sent until the given time have been handled.
func (a *coreActor) recordHandled(until time.Time) {
	a.handledUntil = max(a.handledUntil, a.progress.at(until))
}

// scheduleBusyTick schedules a busyTick if messages have arrived or callers are
// waiting, unless one is already scheduled.
func (a *coreActor) scheduleBusyTick() {
	if a.tickScheduled || (!a.active && len(a.callers) == 0) {
		return
	}
	a.tickScheduled = true
	time.AfterFunc(busyTickInterval, func() { a.inbox.Send(busyTick{sentAt: time.Now()}) })
}

// executeEffect executes one effect of the dispatcher.
func (a *coreActor) executeEffect(effect dispatch.Effect) {
	switch e := effect.(type) {
	case *dispatch.Created:
		a.deliver(e.Reply, e)
	case *dispatch.Answered:
		a.deliver(e.Reply, e)
	case *dispatch.Refused:
		a.deliver(e.Reply, e)
	case *dispatch.Counted:
		a.deliver(e.Reply, e)
	case *dispatch.Inspected:
		a.deliver(e.Reply, e)
	case *dispatch.Accounted:
		a.deliver(e.Reply, e)
	case *dispatch.Send:
		a.send(e)
	case *dispatch.CloseLink:
		a.closeLink(e.Link)
	case *dispatch.RelaxLink:
		a.relaxLink(e.Link)
	case *dispatch.ConfigAdopted:
		a.publishDocument(e)
	case *dispatch.LogEvent:
		a.logEvent(e)
	case *dispatch.Drained:
		a.signalDrained()
	}
}

// deliver passes an effect to the caller that waits for it. It never blocks:
// the channel has a buffer for the single answer of a call.
func (a *coreActor) deliver(id dispatch.ReplyID, effect dispatch.Effect) {
	answer, ok := a.callers[id]
	if !ok {
		return
	}
	delete(a.callers, id)
	answer <- effect
}

// send queues a message to an agent. A message to a closed link is dropped: the
// dispatcher is notified of every link that closes.
func (a *coreActor) send(e *dispatch.Send) {
	if l, ok := a.links[e.Link]; ok {
		l.sendHandled(e.Message, a.handledUntil)
	}
}

func (a *coreActor) closeLink(id dispatch.LinkID) {
	if l, ok := a.links[id]; ok {
		l.requestClose()
	}
}

func (a *coreActor) relaxLink(id dispatch.LinkID) {
	if l, ok := a.links[id]; ok {
		l.relax()
	}
}

func (a *coreActor) logEvent(e *dispatch.LogEvent) {
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
	a.log.Event(e.Event, append(fields, logging.Fields(e.Fields)...)...)
}

// signalDrained never blocks: one buffered signal is enough for the receiver.
func (a *coreActor) signalDrained() {
	select {
	case a.drained <- struct{}{}:
	default:
	}
}
