package cluster

import (
	"context"
	"embed"
	"os"
	"os/exec"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/chart"
)

const (
	processInboxSize = 16
	// processTickInterval is the tick interval that actor.Run requires; the
	// actor has no periodic work.
	processTickInterval = time.Minute
)

//go:embed process.jsonc forwarder.jsonc
var chartFiles embed.FS

// Process is one daemon. All signals are sent by its actor, which knows when the
// process has ended, so that no signal reaches an unrelated process that has
// been given the same id.
type Process struct {
	inbox *actor.Inbox[processMessage]
	ended chan struct{}
}

// processMessage is an event of the chart process. A reply channel, if set, has
// a buffer of one.
type processMessage struct {
	event chart.Event
	// status is the result of Wait, set for the event exited.
	status error
	reply  chan<- bool
}

type processActor struct {
	state   chart.State
	command *exec.Cmd
	ended   chan struct{}
}

var processChart = chart.MustCompile(chartFiles, "process", chart.Bindings[*processActor]{
	Actions: map[string]func(*processActor){
		"send_stop":   func(p *processActor) { p.signal(syscall.SIGSTOP) },
		"send_cont":   func(p *processActor) { p.signal(syscall.SIGCONT) },
		"send_term":   func(p *processActor) { p.signal(syscall.SIGTERM) },
		"send_hup":    func(p *processActor) { p.signal(syscall.SIGHUP) },
		"send_kill":   func(p *processActor) { p.signal(syscall.SIGKILL) },
		"report_exit": func(p *processActor) { close(p.ended) },
	},
})

var processEvents struct {
	Freeze    chart.Event `chart:"freeze"`
	Thaw      chart.Event `chart:"thaw"`
	Terminate chart.Event `chart:"terminate"`
	HangUp    chart.Event `chart:"hang_up"`
	Kill      chart.Event `chart:"kill"`
	Exited    chart.Event `chart:"exited"`
}

func init() { processChart.MustBindNames(&processEvents) }

// program describes the command that a process runs.
type program struct {
	binary string
	args   []string
	// env is added to the environment of the test process.
	env []string
	// log is the file to which the output is appended.
	log string
}

// startProcess runs a program and returns when it has started.
func startProcess(o program) (*Process, error) {
	output, err := os.OpenFile(o.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(o.binary, o.args...)
	command.Env = append(os.Environ(), o.env...)
	command.Stdout = output
	command.Stderr = output
	// The daemons are killed when the test binary dies, for example at a
	// timeout.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	p := &Process{inbox: actor.NewInbox[processMessage](processInboxSize), ended: make(chan struct{})}
	go p.run(command, started)
	return p, <-started
}

// run starts the command and waits for its end.
func (p *Process) run(command *exec.Cmd, started chan<- error) {
	if err := command.Start(); err != nil {
		started <- errors.WithStack(err)
		return
	}
	handler := &processActor{state: processChart.Initial(), command: command, ended: p.ended}
	go actor.Run(context.Background(), p.inbox, processTickInterval, handler)
	started <- nil
	status := command.Wait()
	p.inbox.Send(processMessage{event: processEvents.Exited, status: status})
}

// Handle implements actor.Handler.
func (p *processActor) Handle(_ time.Time, m processMessage) bool {
	processChart.Fire(&p.state, m.event, p)
	if m.reply != nil {
		m.reply <- true
	}
	return !processChart.Final(p.state)
}

// Tick implements actor.Handler.
func (p *processActor) Tick(time.Time) bool { return true }

// Flush implements actor.Handler.
func (p *processActor) Flush(time.Time) {}

// signal ignores errors: the process may have ended already, and the event
// exited follows then.
func (p *processActor) signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// fire sends an event to the actor and returns once it has been handled.
func (p *Process) fire(e chart.Event) {
	reply := make(chan bool, 1)
	if !p.inbox.Send(processMessage{event: e, reply: reply}) {
		return
	}
	select {
	case <-reply:
	case <-p.inbox.Done():
	}
}

// Freeze suspends the process with SIGSTOP.
func (p *Process) Freeze() { p.fire(processEvents.Freeze) }

// Thaw continues a frozen process with SIGCONT.
func (p *Process) Thaw() { p.fire(processEvents.Thaw) }

// Terminate requests a planned stop with SIGTERM and does not wait for it.
func (p *Process) Terminate() { p.fire(processEvents.Terminate) }

// HangUp sends SIGHUP, which tells the process that its settings may have
// changed.
func (p *Process) HangUp() { p.fire(processEvents.HangUp) }

// Kill sends SIGKILL and returns when the process has ended.
func (p *Process) Kill() {
	p.fire(processEvents.Kill)
	<-p.ended
}

// Ended returns a channel that is closed when the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }
