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
	// supervisorInboxSize is the capacity of the inbox.
	supervisorInboxSize = 64
	// supervisorTickInterval is the interval between calls of Tick.
	supervisorTickInterval = 10 * time.Second
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

// supervisorInput is a message for the supervisor: an announcement, the end of
// an agent, or a request for the planned stop if both are nil.
type supervisorInput struct {
	announcement *Announcement
	ended        *Daemon
}

// Supervisor is the actor that runs one agent for each incarnation of the worker
// on the same machine. It owns the agent and receives the worker's announcements
// as messages. It follows the state chart supervisor.
type Supervisor struct {
	inbox *actor.Inbox[supervisorInput]
	// newConfig returns the configuration of the agent for a worker.
	newConfig func(Announcement) Config
	// save stores an announcement for a successor of this process.
	save func(Announcement)
	log  *logging.Logger

	ctx   context.Context
	state chart.State
	// latest is the newest announcement.
	latest Announcement
	agent  *Daemon
	// cancelAgent cancels the context of agent.
	cancelAgent context.CancelFunc
	// worker is the id of the worker of the latest agent, and tokenFloor the highest fencing
	// token of the agents there that have ended.
	worker     string
	tokenFloor uint64
}

var supervisorChart = chart.MustCompile(charts.Files, "supervisor", chart.Bindings[*Supervisor]{
	Actions: map[string]func(*Supervisor){
		"start_agent":  (*Supervisor).startAgent,
		"stop_agent":   (*Supervisor).stopAgent,
		"cancel_agent": func(s *Supervisor) { s.cancelAgent() },
	},
})

var supervisorEvents struct {
	Ready      chart.Event `chart:"ready"`
	Draining   chart.Event `chart:"draining"`
	Restarted  chart.Event `chart:"restarted"`
	AgentEnded chart.Event `chart:"agent_ended"`
	Stop       chart.Event `chart:"stop"`
}

func init() { supervisorChart.MustBindNames(&supervisorEvents) }

// NewSupervisor returns a supervisor without a worker. It passes to save each
// announcement that a successor of this process needs; save must not block.
func NewSupervisor(newConfig func(Announcement) Config, save func(Announcement), log *logging.Logger) *Supervisor {
	return &Supervisor{
		inbox: actor.NewInbox[supervisorInput](supervisorInboxSize), newConfig: newConfig, save: save, log: log,
		state: supervisorChart.Initial(),
	}
}

// Run runs agents for the announced workers until a planned stop is complete.
// Cancelling the context ends the agent immediately.
func (s *Supervisor) Run(ctx context.Context) {
	s.ctx = ctx
	actor.Run(ctx, s.inbox, supervisorTickInterval, s)
}

// Announce passes an announcement to the supervisor. It reports false if the
// supervisor has ended.
func (s *Supervisor) Announce(a Announcement) bool {
	return s.inbox.Send(supervisorInput{announcement: &a})
}

// Stop begins the planned stop and returns immediately.
func (s *Supervisor) Stop() { s.inbox.Send(supervisorInput{}) }

// Handle processes one message.
func (s *Supervisor) Handle(_ time.Time, in supervisorInput) bool {
	switch {
	case in.announcement != nil:
		s.handleAnnouncement(*in.announcement)
	case in.ended != nil:
		s.agentEnded(in.ended)
	default:
		s.fire(supervisorEvents.Stop)
	}
	return !supervisorChart.Final(s.state)
}

// Tick does nothing: the supervisor acts only on messages.
func (s *Supervisor) Tick(time.Time) bool { return true }

// Flush does nothing: messages are handled as they arrive.
func (s *Supervisor) Flush(time.Time) {}

func (s *Supervisor) fire(e chart.Event) { supervisorChart.Fire(&s.state, e, s) }

// handleAnnouncement handles an announcement unless a newer one was handled
// before. A heartbeat can be delayed, even past the end of the worker's
// incarnation.
func (s *Supervisor) handleAnnouncement(a Announcement) {
	previous := s.latest
	if !a.newerThan(previous) {
		s.log.Event(event.StaleAnnouncementIgnored, zap.String("worker", a.Worker), zap.Int64("born", a.Born), zap.Uint64("sequence", a.Sequence))
		return
	}
	s.latest = a
	if a.Draining != previous.Draining || !a.sameIncarnation(previous) {
		s.log.Event(event.WorkerAnnounced, zap.String("worker", a.Worker), zap.Int64("born", a.Born),
			zap.Uint64("sequence", a.Sequence), zap.Bool("draining", a.Draining), zap.Bool("remembered", a.Sequence == 0))
		if a.Sequence > 0 {
			s.save(a)
		}
	}
	if a.sameIncarnation(previous) && a.Capacity != previous.Capacity && s.agent != nil && s.agent.core != nil {
		s.agent.SetCapacity(a.Capacity)
	}
	switch {
	case a.Draining:
		s.fire(supervisorEvents.Draining)
	case previous.Worker != "" && !a.sameIncarnation(previous):
		s.fire(supervisorEvents.Restarted)
	default:
		s.fire(supervisorEvents.Ready)
	}
}

func (a Announcement) sameIncarnation(b Announcement) bool {
	return a.Worker == b.Worker && a.Born == b.Born
}

// newerThan reports whether a is newer than b.
func (a Announcement) newerThan(b Announcement) bool {
	if a.sameIncarnation(b) {
		return a.Sequence > b.Sequence
	}
	// A stored announcement is used only while no other one is known.
	return a.Born >= b.Born && (a.Sequence > 0 || b.Worker == "")
}

// agentEnded handles the end of the current agent.
func (s *Supervisor) agentEnded(d *Daemon) {
	if d == s.agent {
		s.cancelAgent()
		s.tokenFloor = max(s.tokenFloor, d.Token())
		s.fire(supervisorEvents.AgentEnded)
	}
}

// stopAgent begins the agent's planned stop. An agent that could not be started
// has nothing to stop, and the message about its end is already being sent.
func (s *Supervisor) stopAgent() {
	if s.agent.core != nil {
		s.agent.Stop()
	}
}

// startAgent starts an agent for the worker of the newest announcement.
func (s *Supervisor) startAgent() {
	ctx, cancel := context.WithCancel(s.ctx)
	s.cancelAgent = cancel
	if s.worker != s.latest.Worker {
		// Tokens at a worker of another id come from another clock.
		s.worker, s.tokenFloor = s.latest.Worker, 0
	}
	config := s.newConfig(s.latest)
	config.TokenFloor = s.tokenFloor
	agent, err := Start(ctx, config)
	if err != nil {
		s.log.Event(event.AgentNotStarted, zap.String("error", err.Error()))
		cancel()
		s.agent = &Daemon{}
		go s.inbox.Send(supervisorInput{ended: s.agent})
		return
	}
	s.agent = agent
	go func() {
		// The agent logs its own end; only the fact of its end matters here.
		_ = agent.Wait()
		s.inbox.Send(supervisorInput{ended: agent})
	}()
}
