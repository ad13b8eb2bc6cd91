package entryd

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/charts"
	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
)

// shutdownInboxSize is larger than the number of events of the chart shutdown, so
// that senders don't wait.
const shutdownInboxSize = 16

// shutdownTickInterval is the interval at which a planned stop logs what it
// waits for.
const shutdownTickInterval = 5 * time.Second

// shutdown is the actor that performs the planned stop, following the chart
// shutdown. Each step that blocks runs in its own goroutine, which sends an event
// when it is done.
type shutdown struct {
	components   *components
	log          *logging.Logger
	inbox        *actor.Inbox[chart.Event]
	settle       time.Duration
	drainTimeout time.Duration
	state        chart.State
	// ctx is cancelled when the drain timeout has passed, so that the steps that
	// follow don't wait for requests in progress, and when the stop is complete.
	ctx    context.Context
	cancel context.CancelFunc
}

var shutdownChart = chart.MustCompile(charts.Files, "shutdown", chart.Bindings[*shutdown]{
	Actions: map[string]func(*shutdown){
		"drop_readiness": (*shutdown).dropReadiness,
		"start_settling": (*shutdown).startSettling,
		"start_draining": (*shutdown).startDraining,
		"report_drained": (*shutdown).reportDrained,
		"report_waiting": (*shutdown).reportWaiting,
		"report_overdue": (*shutdown).reportOverdue,
		"close_callers":  (*shutdown).closeCallers,
		"deregister":     (*shutdown).deregister,
		"close_peers":    (*shutdown).closePeers,
		"close_links":    (*shutdown).closeLinks,
		"end":            (*shutdown).finish,
	},
})

var shutdownEvents struct {
	Stop         chart.Event `chart:"stop"`
	Settled      chart.Event `chart:"settled"`
	Drained      chart.Event `chart:"drained"`
	Reminder     chart.Event `chart:"reminder"`
	Overdue      chart.Event `chart:"overdue"`
	CallersDone  chart.Event `chart:"callers_done"`
	Deregistered chart.Event `chart:"deregistered"`
	PeersDone    chart.Event `chart:"peers_done"`
	LinksDone    chart.Event `chart:"links_done"`
}

func init() { shutdownChart.MustBindNames(&shutdownEvents) }

func newShutdown(ctx context.Context, components *components, config *Config) *shutdown {
	s := &shutdown{
		components:   components,
		log:          config.Log,
		inbox:        actor.NewInbox[chart.Event](shutdownInboxSize),
		settle:       config.Settle,
		drainTimeout: config.DrainTimeout,
		state:        shutdownChart.Initial(),
	}
	s.ctx, s.cancel = context.WithCancel(ctx)
	return s
}

// Handle fires one event of the chart. The actor ends in the final state.
func (s *shutdown) Handle(_ time.Time, e chart.Event) bool {
	shutdownChart.Fire(&s.state, e, s)
	return !shutdownChart.Final(s.state)
}

// Tick fires the event that logs what the planned stop waits for.
func (s *shutdown) Tick(now time.Time) bool { return s.Handle(now, shutdownEvents.Reminder) }

// Flush has nothing to do.
func (s *shutdown) Flush(time.Time) {}

func (s *shutdown) dropReadiness() {
	s.log.Event(event.StopRequested)
	s.components.core.Send(dropReadiness{})
	s.components.frontend.leave()
	if s.components.ingress != nil {
		s.components.ingress.Leave()
	}
}

func (s *shutdown) startSettling() {
	if s.settle == 0 {
		s.inbox.TrySend(shutdownEvents.Settled)
		return
	}
	time.AfterFunc(s.settle, func() { s.inbox.Send(shutdownEvents.Settled) })
}

func (s *shutdown) startDraining() {
	s.components.core.Send(&notification{message: &dispatch.Stop{}})
	if s.drainTimeout > 0 {
		time.AfterFunc(s.drainTimeout, func() {
			s.inbox.Send(shutdownEvents.Overdue)
		})
	}
	go s.awaitDrained()
}

// awaitDrained runs in its own goroutine until the dispatcher has drained or the
// actor has ended.
func (s *shutdown) awaitDrained() {
	select {
	case <-s.components.drained:
		s.inbox.Send(shutdownEvents.Drained)
	case <-s.inbox.Done():
	}
}

func (s *shutdown) reportDrained() { s.log.Event(event.Drained) }

func (s *shutdown) reportWaiting() {
	view, refusal := s.components.frontend.core.inspect()
	if refusal != nil {
		return
	}
	s.log.Event(event.DrainInProgress, zap.Int("open_jobs", view.OpenJobs), zap.Int("tasks_waiting", view.Waiting), zap.Int("tasks_running", view.Running))
}

func (s *shutdown) reportOverdue() {
	s.log.Event(event.DrainTimedOut)
	s.cancel()
}

func (s *shutdown) closeCallers() {
	s.runAsync(shutdownEvents.CallersDone, func() error {
		if s.components.ingress != nil {
			if err := s.components.ingress.Shutdown(s.ctx); err != nil {
				s.log.Event(event.ActorFailed, zap.String("part", "ingress"), errorField(err))
			}
		}
		return s.components.frontend.shutdown(s.ctx)
	})
}

func (s *shutdown) deregister() {
	if s.components.platform == nil {
		s.inbox.TrySend(shutdownEvents.Deregistered)
		return
	}
	s.runAsync(shutdownEvents.Deregistered, func() error {
		s.components.platform.deregister()
		return nil
	})
}

func (s *shutdown) closePeers() {
	s.runAsync(shutdownEvents.PeersDone, func() error { return s.components.peerServer.Shutdown(s.ctx) })
}

// closeLinks needs no time limit because an agent can't delay it.
func (s *shutdown) closeLinks() {
	s.runAsync(shutdownEvents.LinksDone, func() error { return s.components.linkServer.stop(context.Background()) })
}

// runAsync runs f in its own goroutine and then fires done. An error of f is
// logged and does not keep the planned stop from continuing.
func (s *shutdown) runAsync(done chart.Event, f func() error) {
	go func() {
		if err := f(); err != nil {
			s.log.Event(event.ActorFailed, zap.String("part", "shutdown"), errorField(err))
		}
		s.inbox.Send(done)
	}()
}

func (s *shutdown) finish() {
	s.cancel()
	s.components.core.Send(stopCore{})
	s.components.peers.Send(stopPeers{})
	s.log.Event(event.DaemonStopped)
}
