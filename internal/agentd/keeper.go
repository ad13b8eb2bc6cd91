package agentd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/charts"
	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

const (
	// keeperInboxSize is the capacity of the inbox.
	keeperInboxSize = 64
	// keeperPeriod is the interval between calls of Tick.
	keeperPeriod = 10 * time.Second
)

// Announcement describes a worker, as reported by its heartbeat. It is stored as
// JSON under the names of its fields.
type Announcement struct {
	Worker string
	// Born identifies the incarnation of the worker; a later one has a higher value.
	Born int64
	// Sequence numbers the announcements of an incarnation from 1. Zero means that
	// the announcement was stored by a predecessor of this process.
	Sequence uint64
	Pool     string
	Capacity structs.Needs
	// Draining says that the worker accepts no more work.
	Draining bool
}

// keeperInput is a message for the keeper: an announcement, the end of an agent,
// or a request for the planned stop if both are nil.
type keeperInput struct {
	announcement *Announcement
	ended        *Daemon
}

// Keeper is the actor that runs one agent for each incarnation of the worker on
// the same machine. It owns the agent and receives the worker's announcements as
// messages. It follows the state chart supervisor.
type Keeper struct {
	inbox *actor.Inbox[keeperInput]
	// build returns the configuration of the agent for a worker.
	build func(Announcement) Config
	// remember stores an announcement for a successor of this process.
	remember func(Announcement)
	log      *logging.Logger

	ctx   context.Context
	state chart.State
	// latest is the newest announcement.
	latest Announcement
	agent  *Daemon
	// end cancels the context of agent.
	end context.CancelFunc
}

var keeperChart = chart.MustCompile(charts.Files, "supervisor", chart.Bindings[*Keeper]{
	Actions: map[string]func(*Keeper){
		"start_agent":  (*Keeper).startAgent,
		"stop_agent":   (*Keeper).stopAgent,
		"cancel_agent": func(k *Keeper) { k.end() },
	},
})

var keeperEvents struct {
	Ready      chart.Event `chart:"ready"`
	Draining   chart.Event `chart:"draining"`
	Reborn     chart.Event `chart:"restarted"`
	AgentEnded chart.Event `chart:"agent_ended"`
	Stop       chart.Event `chart:"stop"`
}

func init() { keeperChart.MustBindNames(&keeperEvents) }

// NewKeeper returns a keeper without a worker. It passes to remember each
// announcement that a successor of this process needs; remember must not block.
func NewKeeper(build func(Announcement) Config, remember func(Announcement), log *logging.Logger) *Keeper {
	return &Keeper{
		inbox: actor.NewInbox[keeperInput](keeperInboxSize), build: build, remember: remember, log: log,
		state: keeperChart.Initial(),
	}
}

// Run runs agents for the announced workers until a planned stop is complete.
// Cancelling the context ends the agent immediately.
func (k *Keeper) Run(ctx context.Context) {
	k.ctx = ctx
	actor.Run(ctx, k.inbox, keeperPeriod, k)
}

// Announce passes an announcement to the keeper. It reports false if the keeper
// has ended.
func (k *Keeper) Announce(a Announcement) bool {
	return k.inbox.Send(keeperInput{announcement: &a})
}

// Stop begins the planned stop and returns immediately.
func (k *Keeper) Stop() { k.inbox.Send(keeperInput{}) }

// Handle processes one message.
func (k *Keeper) Handle(_ time.Time, in keeperInput) bool {
	switch {
	case in.announcement != nil:
		k.announced(*in.announcement)
	case in.ended != nil:
		k.ended(in.ended)
	default:
		k.fire(keeperEvents.Stop)
	}
	return !keeperChart.Final(k.state)
}

// Tick does nothing: the keeper acts only on messages.
func (k *Keeper) Tick(time.Time) bool { return true }

// Flush does nothing: messages are handled as they arrive.
func (k *Keeper) Flush(time.Time) {}

func (k *Keeper) fire(e chart.Event) { keeperChart.Fire(&k.state, e, k) }

// announced handles an announcement unless a newer one was handled before. A
// heartbeat can be delayed, even past the end of the worker's incarnation.
func (k *Keeper) announced(a Announcement) {
	before := k.latest
	if !a.follows(before) {
		k.log.Event(event.StaleAnnouncementIgnored, zap.String("worker", a.Worker), zap.Int64("born", a.Born), zap.Uint64("sequence", a.Sequence))
		return
	}
	k.latest = a
	if a.Draining != before.Draining || !a.sameLife(before) {
		k.log.Event(event.WorkerAnnounced, zap.String("worker", a.Worker), zap.Int64("born", a.Born),
			zap.Uint64("sequence", a.Sequence), zap.Bool("draining", a.Draining), zap.Bool("remembered", a.Sequence == 0))
		if a.Sequence > 0 {
			k.remember(a)
		}
	}
	switch {
	case a.Draining:
		k.fire(keeperEvents.Draining)
	case before.Worker != "" && !a.sameLife(before):
		k.fire(keeperEvents.Reborn)
	default:
		k.fire(keeperEvents.Ready)
	}
}

func (a Announcement) sameLife(b Announcement) bool { return a.Worker == b.Worker && a.Born == b.Born }

// follows reports whether a is newer than b.
func (a Announcement) follows(b Announcement) bool {
	if a.sameLife(b) {
		return a.Sequence > b.Sequence
	}
	// A stored announcement is used only while no other one is known.
	return a.Born >= b.Born && (a.Sequence > 0 || b.Worker == "")
}

// ended handles the end of an agent; the end of a replaced one is ignored.
func (k *Keeper) ended(d *Daemon) {
	if d == k.agent {
		k.end()
		k.fire(keeperEvents.AgentEnded)
	}
}

// stopAgent begins the agent's planned stop. An agent that could not be started
// has nothing to stop, and the message about its end is already being sent.
func (k *Keeper) stopAgent() {
	if k.agent.core != nil {
		k.agent.Stop()
	}
}

// startAgent starts an agent for the worker of the newest announcement.
func (k *Keeper) startAgent() {
	ctx, cancel := context.WithCancel(k.ctx)
	k.end = cancel
	agent, err := Start(ctx, k.build(k.latest))
	if err != nil {
		k.log.Event(event.AgentNotStarted, zap.String("error", err.Error()))
		cancel()
		k.agent = &Daemon{}
		go k.inbox.Send(keeperInput{ended: k.agent})
		return
	}
	k.agent = agent
	go func() {
		// The agent logs its own end; only the fact of its end matters here.
		_ = agent.Wait()
		k.inbox.Send(keeperInput{ended: agent})
	}()
}
