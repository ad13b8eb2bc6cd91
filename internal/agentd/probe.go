package agentd

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"cactuspost.example/charts"
	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/agent"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
)

const (
	// probeConnections is the number of connections that the probe uses.
	probeConnections = 1
	// probeInboxSize is the capacity of the inbox. Senders drop reports while it is
	// full.
	probeInboxSize = 64
	// probeTickInterval is the interval between calls of Tick, and so the resolution of
	// probeInterval.
	probeTickInterval = 250 * time.Millisecond
	// probeInterval is the time between health checks of an idle endpoint.
	probeInterval = time.Second
	// probeTimeout is the timeout of one health check.
	probeTimeout = time.Second
)

// probeInput reports whether the endpoint responded to the request of a task.
type probeInput struct{ responded bool }

// probe is the actor that checks the endpoint's health and reports changes to the
// core. It follows the state chart probe. A health check blocks only the probe's
// own goroutine.
type probe struct {
	state    chart.State
	inbox    *actor.Inbox[probeInput]
	core     *actor.Inbox[coreInput]
	log      *logging.Logger
	endpoint string
	client   fasthttp.HostClient
	// nextCheck is the time at which the next health check is due.
	nextCheck time.Time
	// err is the result of the last health check.
	err error
}

var probeChart = chart.MustCompile(charts.Files, "probe", chart.Bindings[*probe]{
	Actions: map[string]func(*probe){
		"report_up":   (*probe).reportUp,
		"report_down": (*probe).reportDown,
		"check_soon":  (*probe).checkSoon,
	},
})

var probeEvents struct {
	Passed chart.Event `chart:"passed"`
	Failed chart.Event `chart:"failed"`
}

func init() { probeChart.MustBindNames(&probeEvents) }

func newProbe(inbox *actor.Inbox[probeInput], core *actor.Inbox[coreInput], endpoint string, log *logging.Logger) *probe {
	return &probe{
		state: probeChart.Initial(), inbox: inbox, core: core, endpoint: endpoint, log: log,
		client: fasthttp.HostClient{Addr: endpoint, MaxConns: probeConnections},
	}
}

func (p *probe) run(ctx context.Context) {
	p.check()
	actor.Run(ctx, p.inbox, probeTickInterval, p)
	p.client.CloseIdleConnections()
}

// Handle postpones the next health check if the endpoint has responded to a task,
// and makes it due immediately if the connection broke or could not be opened.
func (p *probe) Handle(now time.Time, in probeInput) bool {
	p.nextCheck = now
	if in.responded {
		p.nextCheck = now.Add(probeInterval)
	}
	return true
}

// Tick runs a health check if one is due.
func (p *probe) Tick(now time.Time) bool {
	if !now.Before(p.nextCheck) {
		p.check()
	}
	return true
}

// Flush does nothing: changes are reported as they are detected.
func (p *probe) Flush(time.Time) {}

func (p *probe) check() {
	result := probeEvents.Passed
	if p.err = p.sendHealthCheck(); p.err != nil {
		result = probeEvents.Failed
	}
	p.nextCheck = time.Now().Add(probeInterval)
	probeChart.Fire(&p.state, result, p)
}

// sendHealthCheck sends one health check on a new connection, so that the
// endpoint's listener is checked too.
func (p *probe) sendHealthCheck() error {
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://" + p.endpoint + HealthPath)
	request.SetConnectionClose()
	if err := p.client.DoTimeout(&request, &response, probeTimeout); err != nil {
		return errors.WithStack(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return failure.Newf(failure.EndpointLost, failure.NotRun, "the health check returned status %d", response.StatusCode())
	}
	return nil
}

func (p *probe) checkSoon() { p.nextCheck = time.Now() }

func (p *probe) reportUp() {
	p.log.Event(event.EndpointUp, zap.String("endpoint", p.endpoint))
	p.core.Send(coreInput{message: &agent.EndpointChanged{Up: true}})
}

func (p *probe) reportDown() {
	p.log.Event(event.EndpointDown, zap.String("endpoint", p.endpoint), zap.String("error", p.err.Error()))
	p.core.Send(coreInput{message: &agent.EndpointChanged{Up: false}})
}
