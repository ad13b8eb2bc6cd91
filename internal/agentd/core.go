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
	// coreInboxSize bounds the messages that wait for the core. Senders wait for
	// room; the core never waits for any of them.
	coreInboxSize = 4096
	// corePeriod is the time between two calls of Tick.
	corePeriod = 25 * time.Millisecond
)

// decisions is the pure state machine behind the core; *agent.Core is the one
// that daemons use.
type decisions interface {
	Step(now time.Time, m agent.Message)
	Tick(now time.Time)
	Flush(now time.Time)
	Effects() []agent.Effect
}

// coreInput is one message for the core: an input of the decisions, or a
// question for the state if status is set.
type coreInput struct {
	message agent.Message
	status  chan<- Status
}

// Status is the state of a daemon for operators.
type Status struct {
	agent.View
	// EndpointUp says whether the endpoint answers health checks.
	EndpointUp bool `json:"endpoint_up"`
}

// Ready reports whether grants can arrive: the endpoint is up and not leaving,
// and at least one entry has welcomed the agent.
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

// linkStateUp is the name in chart link of a link that carries grants.
const linkStateUp = "up"

// core owns the decisions and carries out their effects. It never waits:
// messages to links and runner that find no room are dealt with as send and
// start describe.
type core struct {
	inbox     *actor.Inbox[coreInput]
	decisions decisions
	links     *actor.Inbox[linksInput]
	runner    *actor.Inbox[runnerInput]
	log       *logging.Logger

	endpointUp bool
	drained    bool
	// replies holds the askers whose answers are outstanding.
	replies   map[uint64]chan<- Status
	lastReply uint64
	// blocked lists links whose inbox had no room; they are closed as soon as
	// there is some, and nothing else is sent on them.
	blocked map[agent.LinkID]bool
	// unstopped lists stop requests that found no room; they are sent again.
	unstopped []stopTask
	suspend   *pause.Detector
	// find returns the entries that are registered; it may be nil. ctx bounds it.
	find func(context.Context) ([]structs.Peer, error)
	ctx  context.Context
	// returned are inputs that effects led to; they are handled at the next tick.
	returned []agent.Message
}

func newCore(inbox *actor.Inbox[coreInput], d decisions, links *actor.Inbox[linksInput], runner *actor.Inbox[runnerInput], log *logging.Logger) *core {
	return &core{
		inbox: inbox, decisions: d, links: links, runner: runner, log: log,
		replies: map[uint64]chan<- Status{},
		suspend: pause.NewDetector(pause.BootClock),
		blocked: map[agent.LinkID]bool{},
	}
}

// run dials the entries at once, and then serves until the context ends.
func (c *core) run(ctx context.Context) {
	c.ctx = ctx
	now := time.Now()
	c.Tick(now)
	c.Flush(now)
	actor.Run(ctx, c.inbox, corePeriod, c)
}

// Handle passes one message to the decisions.
func (c *core) Handle(now time.Time, in coreInput) bool {
	if c.suspend.Suspended(now) {
		c.log.Event(event.MachineSuspended)
		c.decisions.Step(now, &agent.Suspended{})
	}
	if in.status != nil {
		c.inspect(now, in.status)
		return true
	}
	if m, ok := in.message.(*agent.EndpointChanged); ok {
		c.endpointUp = m.Up
	}
	c.decisions.Step(now, in.message)
	return true
}

// Tick passes the time to the decisions. It ends the actor when the planned
// stop is done.
func (c *core) Tick(now time.Time) bool {
	if c.drained {
		return false
	}
	c.retry()
	returned := c.returned
	c.returned = nil
	for _, m := range returned {
		c.decisions.Step(now, m)
	}
	c.decisions.Tick(now)
	return true
}

// Flush carries out the effects of a batch.
func (c *core) Flush(now time.Time) {
	c.decisions.Flush(now)
	for _, effect := range c.decisions.Effects() {
		c.carryOut(effect)
	}
}

func (c *core) inspect(now time.Time, reply chan<- Status) {
	c.lastReply++
	c.replies[c.lastReply] = reply
	c.decisions.Step(now, &agent.Inspect{Reply: c.lastReply})
}

func (c *core) carryOut(effect agent.Effect) {
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
	case *agent.FindEntries:
		c.findEntries()
	case *agent.Happened:
		logDecided(c.log, e)
	case *agent.Inspected:
		c.answer(e)
	case *agent.Drained:
		c.drained = true
	}
}

// dial asks for a connection. Without room the attempt counts as failed.
func (c *core) dial(e *agent.Dial) {
	if c.links.TrySend(&dialLink{link: e.Link, address: e.Address}) {
		return
	}
	c.log.Event(event.LinkInboxFull)
	c.returned = append(c.returned, &agent.LinkClosed{Link: e.Link})
}

// send hands a message for a link over. Without room the link can't go on: a
// message would be missing on it, so it is closed.
func (c *core) send(link agent.LinkID, m linksInput) {
	if c.blocked[link] || c.links.TrySend(m) {
		return
	}
	c.log.Event(event.LinkInboxFull)
	c.blocked[link] = true
}

// start hands a task to the runner. Its inbox has room for the messages of all
// slots; if that should ever fail, nothing was sent to the endpoint.
func (c *core) start(e *agent.StartTask) {
	if c.runner.TrySend(&startTask{grant: e.Grant}) {
		return
	}
	c.log.Event(event.RunnerInboxFull)
	exited := notSent(e.Grant.ID, failure.New(failure.Overloaded, failure.NotRun, "too many messages wait for the runner"))
	c.returned = append(c.returned, exited)
}

func (c *core) stop(m stopTask) {
	if !c.runner.TrySend(&m) {
		c.unstopped = append(c.unstopped, m)
	}
}

// findTimeout bounds the search for entries.
const findTimeout = 2 * time.Second

// findEntries reads the list of entries on a goroutine of its own.
func (c *core) findEntries() {
	if c.find == nil {
		return
	}
	c.log.Event(event.EntryLookupStarted)
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, findTimeout)
		defer cancel()
		peers, err := c.find(ctx)
		if err != nil {
			c.log.Event(event.EntryLookupFailed, zap.String("error", err.Error()))
			return
		}
		c.inbox.Send(coreInput{message: &agent.EntriesFound{Peers: peers}})
	}()
}

func (c *core) answer(e *agent.Inspected) {
	reply := c.replies[e.Reply]
	delete(c.replies, e.Reply)
	if reply == nil {
		return
	}
	// Askers give a channel with room for the one answer.
	reply <- Status{View: e.View, EndpointUp: c.endpointUp}
}

// retry sends what found no room before.
func (c *core) retry() {
	for link := range c.blocked {
		if c.links.TrySend(&closeLink{link: link}) {
			delete(c.blocked, link)
		}
	}
	unstopped := c.unstopped
	c.unstopped = nil
	for _, m := range unstopped {
		c.stop(m)
	}
}
