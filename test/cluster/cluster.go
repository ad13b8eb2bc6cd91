// Package cluster runs the real daemons on loopback addresses for tests of
// failures. It simulates nothing: entries and agents are processes of their
// own, and only the platform's table and the customers' endpoints are stand-ins
// in the test's process. The connections from callers to entries, from agents
// to entries and from entries to each other go through forwarders that a test
// can break.
package cluster

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"

	"github.com/pkg/errors"

	"cactuspost.example/internal/standin"
)

// Binaries are the files of the daemons.
type Binaries struct{ Entry, Agent string }

// Build compiles the daemons into a folder.
func Build(folder string) (Binaries, error) {
	b := Binaries{Entry: filepath.Join(folder, "cactuspost-entry"), Agent: filepath.Join(folder, "cactuspost-agent")}
	for _, file := range []string{b.Entry, b.Agent} {
		command := exec.Command("go", "build", "-o", file, "cactuspost.example/cmd/"+filepath.Base(file))
		command.Stderr = os.Stderr
		if err := command.Run(); err != nil {
			return Binaries{}, errors.Wrap(err, "build "+filepath.Base(file))
		}
	}
	return b, nil
}

// Options sizes a cluster.
type Options struct {
	Binaries Binaries
	// Folder takes settings and logs.
	Folder  string
	Entries int
	Agents  int
	// Slots is the number of tasks that each endpoint runs at once.
	Slots int
}

// The tokens of every cluster.
const (
	CallerToken   = "test-caller-token-0001"
	OtherToken    = "test-other-team-token-1"
	OperatorToken = "test-operator-token-01"
)

// Cluster is a running system.
type Cluster struct {
	Table   *standin.Table
	Entries []*Entry
	Agents  []*Agent

	options Options
	server  *standin.Server
}

// Entry is the place of one entry: its addresses stay over its lives.
type Entry struct {
	*Process
	Name string
	// HTTP, Link and Peer are what others connect to.
	HTTP, Link, Peer *Forwarder
	// LinkAddress and HTTPAddress are where the entry itself listens for agents
	// and callers.
	LinkAddress, HTTPAddress string

	binary, settings, log string
}

// Agent is the place of one endpoint and the agent beside it.
type Agent struct {
	*Process
	Name string
	// Address serves operators.
	Address  string
	Endpoint *standin.Endpoint
	// Tasks is between agent and endpoint.
	Tasks *Forwarder

	binary, settings, log string
}

// firstPort is below the ports that the system gives to outgoing connections.
const firstPort = 20_000

var lastPort atomic.Int32

// newAddress returns a loopback address of this process alone, so that other
// processes on the machine never take it between two lives of a daemon.
func newAddress() string {
	pid := os.Getpid()
	port := firstPort + lastPort.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff, port)
}

// Start starts table, endpoints and daemons. It does not wait until they are
// ready. On an error, Close ends what was started.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{options: o, Table: standin.NewTable()}
	server, err := standin.Serve(c.Table, newAddress())
	if err != nil {
		return c, err
	}
	c.server = server
	for i := range o.Entries {
		if err := c.addEntry(i); err != nil {
			return c, err
		}
	}
	for i := range o.Agents {
		if err := c.addAgent(i); err != nil {
			return c, err
		}
	}
	return c, nil
}

func (c *Cluster) addEntry(index int) error {
	e := &Entry{Name: fmt.Sprintf("entry-%d", index+1), binary: c.options.Binaries.Entry}
	e.settings = filepath.Join(c.options.Folder, e.Name+".jsonc")
	e.log = filepath.Join(c.options.Folder, e.Name+".log")
	own := addresses{HTTP: newAddress(), Link: newAddress(), Peer: newAddress()}
	e.LinkAddress, e.HTTPAddress = own.Link, own.HTTP
	for _, f := range []struct {
		forwarder **Forwarder
		target    string
	}{{&e.HTTP, own.HTTP}, {&e.Link, own.Link}, {&e.Peer, own.Peer}} {
		forwarder, err := forward(newAddress(), f.target)
		if err != nil {
			return err
		}
		*f.forwarder = forwarder
	}
	c.Entries = append(c.Entries, e)
	if err := writeSettings(e.settings, entrySettingsOf(e, own, c.server.Address())); err != nil {
		return err
	}
	return e.Start()
}

func (c *Cluster) addAgent(index int) error {
	a := &Agent{Name: fmt.Sprintf("worker-%02d", index+1), Address: newAddress(), binary: c.options.Binaries.Agent}
	a.settings = filepath.Join(c.options.Folder, a.Name+".jsonc")
	a.log = filepath.Join(c.options.Folder, a.Name+".log")
	endpoint, err := standin.StartEndpoint(standin.EndpointOptions{Listen: newAddress()})
	if err != nil {
		return err
	}
	a.Endpoint = endpoint
	tasks, err := forward(newAddress(), endpoint.Address())
	if err != nil {
		return err
	}
	a.Tasks = tasks
	c.Agents = append(c.Agents, a)
	if err := writeSettings(a.settings, agentSettingsOf(a, c)); err != nil {
		return err
	}
	return a.Start()
}

// Start begins a new life of the entry.
func (e *Entry) Start() error {
	process, err := start(program{binary: e.binary, args: []string{"--settings", e.settings}, log: e.log})
	e.Process = process
	return err
}

// URL is where callers and operators reach the entry.
func (e *Entry) URL() string { return "http://" + e.HTTP.Address() }

// Start begins a new life of the agent.
func (a *Agent) Start() error {
	process, err := start(program{binary: a.binary, args: []string{"--settings", a.settings}, log: a.log})
	a.Process = process
	return err
}

// URL is where operators reach the agent.
func (a *Agent) URL() string { return "http://" + a.Address }

// URLs returns the base URLs of all entries, the one of the given index first.
func (c *Cluster) URLs(first int) []string {
	var urls []string
	for i := range c.Entries {
		urls = append(urls, c.Entries[(first+i)%len(c.Entries)].URL())
	}
	return urls
}

// Starts returns how often each task was started, over all endpoints.
func (c *Cluster) Starts() map[string]int {
	starts := map[string]int{}
	for _, a := range c.Agents {
		for echo, count := range a.Endpoint.Starts() {
			starts[echo] += count
		}
	}
	return starts
}

// Close kills what still runs and ends the stand-ins.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		closeAll(e.Process, e.HTTP, e.Link, e.Peer)
	}
	for _, a := range c.Agents {
		closeAll(a.Process, a.Tasks)
		a.Endpoint.Stop()
	}
	if c.server != nil {
		c.server.Close()
	}
	c.Table.Close()
}

func closeAll(p *Process, forwarders ...*Forwarder) {
	if p != nil {
		p.Kill()
	}
	for _, f := range forwarders {
		if f != nil {
			f.Close()
		}
	}
}
