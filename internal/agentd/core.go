package agentd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/pause"
	"cactuspost.example/internal/structs"
)

const (
	// coreInboxSize is the capacity of the core's inbox. Senders block while it is
	// full; the core never blocks on them.
	coreInboxSize = 4096
	// coreTickInterval is the interval between calls of Tick.
	coreTickInterval = 25 * time.Millisecond
)

// decisions is the interface of *agent.Core that the core uses; tests replace it
// by fakes.
type decisions interface {
	Step(now time.Time, m agent.Message)
	Tick(now time.Time)
	Flush(now time.Time)
	Effects() []agent.Effect
}

// coreInput is one message for the core: an input of the decisions, or a request
// for the status if status is set.
type coreInput struct {
	message agent.Message
	status  chan<- Status
	// receivedAt is when the event loop was told that the message of an entry has
	// arrived, zero for other messages.
	receivedAt time.Time
}

// Status is the state of a daemon as operators see it.
type Status struct {
	agent.View
	// EndpointUp says whether the endpoint answers health checks.
	EndpointUp bool `json:"endpoint_up"`
}

// Ready reports whether grants can arrive: the endpoint is up, the agent is not
// leaving, and at least one entry has welcomed it.
func (s Status) Ready() bool {
	if s.Leaving || !s.EndpointUp {
		return false
	}
	for _, link := range s.Links {
		if link.State == linkStateUp {
			return true
		}
	}
	return false
}

// linkStateUp is the state of chart link in which a link carries grants.
const linkStateUp = "up"

// core is the actor that owns the decisions and executes their effects. It never
// blocks: dial, send, start and stop say what happens when an inbox is full.
type core struct {
	inbox     *actor.Inbox[coreInput]
	decisions decisions
	links     *actor.Inbox[linksInput]
	runner    *actor.Inbox[runnerInput]
	log       *logging.Logger

	endpointUp bool
	drained    bool
	// replies maps the ID of each outstanding status request to its reply channel.
	replies     map[uint64]chan<- Status
	lastReplyID uint64
	// linksToClose holds the links on which a message was dropped because the inbox
	// of links was full. They are closed as soon as it has room; nothing else is
	// sent on them.
	linksToClose map[agent.LinkID]bool
	// droppedStops lists the stop requests to retry because the inbox of the runner
	// was full.
	droppedStops []stopTask
	// droppedBound is the bound of the runs to pass on for the same reason, or nil.
	droppedBound    *boundRuns
	suspendDetector *pause.Detector
	// findRegistered returns the registered entries; it may be nil. It runs under
	// ctx.
	findRegistered func(context.Context) ([]structs.Peer, error)
	ctx            context.Context
	// longestWait is the longest wait of a message of an entry since the last tick, zero
	// if none was handled.
	longestWait time.Duration
	waitAlarm   actor.WaitAlarm
	counters    *counters
	// deferredInputs holds inputs caused by effects; the next tick handles them.
	deferredInputs []agent.Message
}

func newCore(inbox *actor.Inbox[coreInput], d decisions, links *actor.Inbox[linksInput], runner *actor.Inbox[runnerInput], log *logging.Logger, counters *counters) *core {
	return &core{
		inbox: inbox, decisions: d, links: links, runner: runner, log: log, counters: counters,
		replies:         map[uint64]chan<- Status{},
		suspendDetector: pause.NewDetector(pause.BootClock),
		linksToClose:    map[agent.LinkID]bool{},
	}
}

// run dials the entries, and then handles messages until the context ends or the
// planned stop is complete.
func (c *core) run(ctx context.Context) {
	c.ctx = ctx
	now := time.Now()
	c.Tick(now)
	c.Flush(now)
	actor.Run(ctx, c.inbox, coreTickInterval, c)
}

// Handle passes one message to the decisions.
func (c *core) Handle(now time.Time, in coreInput) bool {
	c.detectSuspension(now)
	if !in.receivedAt.IsZero() {
		c.longestWait = max(c.longestWait, now.Sub(in.receivedAt))
	}
	if in.status != nil {
		c.requestStatus(now, in.status)
		return true
	}
	if m, ok := in.message.(*agent.EndpointChanged); ok {
		c.endpointUp = m.Up
	}
	c.decisions.Step(now, in.message)
	return true
}

// detectSuspension tells the decisions if the machine was suspended, before anything else
// is decided.
func (c *core) detectSuspension(now time.Time) {
	if c.suspendDetector.Suspended(now) {
		c.log.Event(event.MachineSuspended)
		c.decisions.Step(now, &agent.Suspended{})
	}
}

// Tick retries what an inbox had no room for and passes the time to the
// decisions. It ends the actor when the planned stop is complete.
func (c *core) Tick(now time.Time) bool {
	if c.drained {
		return false
	}
	c.detectSuspension(now)
	c.recordWait(now)
	c.retryDropped()
	inputs := c.deferredInputs
	c.deferredInputs = nil
	for _, m := range inputs {
		c.decisions.Step(now, m)
	}
	c.decisions.Tick(now)
	return true
}

// recordWait records the longest wait of a message of an entry since the last tick,
// and logs a long one.
func (c *core) recordWait(now time.Time) {
	wait := c.longestWait
	if wait == 0 {
		return
	}
	c.longestWait = 0
	c.counters.coreWait.Update(wait.Seconds())
	if c.waitAlarm.Due(now, wait) {
		c.log.Event(event.InboxBehind, zap.String("part", "core"), zap.Int64("wait_ms", wait.Milliseconds()),
			zap.Int64("limit_ms", actor.WaitLimit.Milliseconds()), zap.Int("queued", c.inbox.Len()))
	}
}

// Flush executes the effects of a batch of messages.
func (c *core) Flush(now time.Time) {
	c.decisions.Flush(now)
	for _, effect := range c.decisions.Effects() {
		c.execute(effect)
	}
}

func (c *core) requestStatus(now time.Time, reply chan<- Status) {
	c.lastReplyID++
	c.replies[c.lastReplyID] = reply
	c.decisions.Step(now, &agent.Inspect{Reply: c.lastReplyID})
}

func (c *core) execute(effect agent.Effect) {
	switch e := effect.(type) {
	case *agent.Dial:
		c.dial(e)
	case *agent.CloseLink:
		c.send(e.Link, &closeLink{link: e.Link})
	case *agent.Send:
		c.send(e.Link, &sendMessage{link: e.Link, message: e.Message})
	case *agent.StartTask:
		c.start(e)
	case *agent.StopTask:
		c.stop(stopTask{grant: e.Grant})
	case *agent.BoundRuns:
		c.bound(boundRuns{at: e.At})
	case *agent.FindEntries:
		c.findEntries()
	case *agent.LogEvent:
		logAgentEvent(c.log, e)
	case *agent.Inspected:
		c.replyStatus(e)
	case *agent.Drained:
		c.drained = true
	}
}

// dial requests a connection. If the inbox of links is full, the attempt counts
// as failed.
func (c *core) dial(e *agent.Dial) {
	if c.links.TrySend(&dialLink{link: e.Link, address: e.Address}) {
		return
	}
	c.log.Event(event.LinkInboxFull)
	c.deferredInputs = append(c.deferredInputs, &agent.LinkClosed{Link: e.Link})
}

// send passes a message for a link to links. If the inbox is full, the message is
// lost, and the link is closed so that the entry never sees a gap.
func (c *core) send(link agent.LinkID, m linksInput) {
	if c.linksToClose[link] || c.links.TrySend(m) {
		return
	}
	c.log.Event(event.LinkInboxFull)
	c.linksToClose[link] = true
}

// start passes a task to the runner. Its inbox is sized for the messages of all
// slots; if it is full nevertheless, the task is reported as not sent.
func (c *core) start(e *agent.StartTask) {
	if c.runner.TrySend(&startTask{grant: e.Grant}) {
		return
	}
	c.log.Event(event.RunnerInboxFull)
	exited := notSent(e.Grant.ID, failure.New(failure.Overloaded, failure.NotRun, "the inbox of the runner is full"))
	c.deferredInputs = append(c.deferredInputs, exited)
}

// bound passes the bound of the runs to the runner, or keeps it for the next tick if the
// inbox is full.
func (c *core) bound(m boundRuns) {
	c.droppedBound = nil
	if !c.runner.TrySend(&m) {
		c.droppedBound = &m
	}
}

// stop passes a stop request to the runner, or keeps it for the next tick if the
// inbox is full.
func (c *core) stop(m stopTask) {
	if !c.runner.TrySend(&m) {
		c.droppedStops = append(c.droppedStops, m)
	}
}

// findTimeout is the timeout of one look-up of the entries.
const findTimeout = 2 * time.Second

// findEntries looks up the entries in a separate goroutine, because
// findRegistered blocks.
func (c *core) findEntries() {
	if c.findRegistered == nil {
		return
	}
	c.log.Event(event.EntryLookupStarted)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, findTimeout)
		defer cancel()
		peers, err := c.findRegistered(ctx)
		if err != nil {
			c.log.Event(event.EntryLookupFailed, zap.String("error", err.Error()))
			return
		}
		c.inbox.Send(coreInput{message: &agent.EntriesFound{Peers: peers}})
	}()
}

func (c *core) replyStatus(e *agent.Inspected) {
	reply := c.replies[e.Reply]
	delete(c.replies, e.Reply)
	if reply == nil {
		return
	}
	// The channel is buffered, so this never blocks.
	reply <- Status{View: e.View, EndpointUp: c.endpointUp}
}

// retryDropped repeats the close and stop requests for which an inbox had no
// room.
func (c *core) retryDropped() {
	for link := range c.linksToClose {
		if c.links.TrySend(&closeLink{link: link}) {
			delete(c.linksToClose, link)
		}
	}
	if c.droppedBound != nil {
		c.bound(*c.droppedBound)
	}
	dropped := c.droppedStops
	c.droppedStops = nil
	for _, m := range dropped {
		c.stop(m)
	}
}
