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
	// keeperInboxSize bounds the announcements that wait.
	keeperInboxSize = 64
	// keeperPeriod is the time between two wake-ups without an announcement.
	keeperPeriod = 10 * time.Second
)

// Announcement is what a worker says of itself.
type Announcement struct {
	Worker string
	// Born tells the lives of a worker apart; it rises.
	Born int64
	// Sequence rises with each announcement of a life, from 1; zero means that a
	// predecessor of this process remembered it.
	Sequence uint64
	Pool     string
	Capacity structs.Needs
	// Draining says that the worker takes no more work.
	Draining bool
}

// keeperInput is a message for the keeper: an announcement, the end of an agent,
// or the planned stop if both are nil.
type keeperInput struct {
	announcement *Announcement
	ended        *Daemon
}

// Keeper runs an agent for each life of the worker beside it. It owns the
// agent; the worker's announcements arrive as messages.
type Keeper struct {
	inbox *actor.Inbox[keeperInput]
	// build returns the configuration of an agent for a worker.
	build func(Announcement) Config
	// remember keeps the newest announcement for a successor of this process.
	remember func(Announcement)
	log      *logging.Logger

	ctx   context.Context
	state chart.State
	// latest is the newest announcement.
	latest Announcement
	agent  *Daemon
	end    context.CancelFunc
}

var keeperChart = chart.MustCompile(charts.Files, "keeper", chart.Bindings[*Keeper]{
	Actions: map[string]func(*Keeper){
		"start_agent": (*Keeper).startAgent,
		"stop_agent":  (*Keeper).stopAgent,
		"end_agent":   func(k *Keeper) { k.end() },
	},
})

var keeperEvents struct {
	Ready      chart.Event `chart:"ready"`
	Draining   chart.Event `chart:"draining"`
	Reborn     chart.Event `chart:"reborn"`
	AgentEnded chart.Event `chart:"agent_ended"`
	Stop       chart.Event `chart:"stop"`
}

func init() { keeperChart.MustBindNames(&keeperEvents) }

// NewKeeper returns a keeper that knows no worker yet.
// Remember gets each announcement that a successor of this process should know.
func NewKeeper(build func(Announcement) Config, remember func(Announcement), log *logging.Logger) *Keeper {
	return &Keeper{
		inbox: actor.NewInbox[keeperInput](keeperInboxSize), build: build, remember: remember, log: log,
		state: keeperChart.Initial(),
	}
}

// Run serves the workers that announce themselves until Stop. Cancelling the
// context ends the agent at once.
func (k *Keeper) Run(ctx context.Context) {
	k.ctx = ctx
	actor.Run(ctx, k.inbox, keeperPeriod, k)
}

// Announce passes an announcement on. It reports false if the keeper has ended.
func (k *Keeper) Announce(a Announcement) bool {
	return k.inbox.Send(keeperInput{announcement: &a})
}

// Stop begins the planned stop and returns at once.
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

// Tick does nothing: the keeper acts on messages alone.
func (k *Keeper) Tick(time.Time) bool { return true }

// Flush does nothing: messages are handled as they come.
func (k *Keeper) Flush(time.Time) {}

func (k *Keeper) fire(e chart.Event) { keeperChart.Fire(&k.state, e, k) }

// announced handles an announcement unless it is older than the newest one: it
// may have been held up on its way, also past the end of its sender's life.
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

func (a Announcement) follows(b Announcement) bool {
	if a.sameLife(b) {
		return a.Sequence > b.Sequence
	}
	// What a predecessor remembered is used only while nothing else is known.
	return a.Born >= b.Born && (a.Sequence > 0 || b.Worker == "")
}

func (k *Keeper) ended(d *Daemon) {
	if d == k.agent {
		k.end()
		k.fire(keeperEvents.AgentEnded)
	}
}

// stopAgent begins the agent's planned stop. One that could not be started has
// nothing to stop; its end is on the way.
func (k *Keeper) stopAgent() {
	if k.agent.core != nil {
		k.agent.Stop()
	}
}

// startAgent runs an agent for the worker that announced itself last.
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
		// Its result is in the log; here only the end counts.
		_ = agent.Wait()
		k.inbox.Send(keeperInput{ended: agent})
	}()
}
