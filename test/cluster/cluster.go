// Package cluster runs the real daemons on loopback addresses for
// fault-injection tests. Entries and agents are separate processes; only the
// platform's table and the customers' endpoints are stand-ins inside the test
// process. The connections from callers to entries, from agents to entries and
// between entries go through forwarders on which a test can inject network
// faults.
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

// Binaries holds the paths of the compiled daemons.
type Binaries struct{ Entry, Agent string }

// Build compiles the daemons into the given folder.
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

// Options configures a cluster.
type Options struct {
	Binaries Binaries
	// Folder receives the settings files and logs.
	Folder  string
	Entries int
	Agents  int
	// Slots is the number of tasks that each endpoint runs concurrently.
	Slots int
}

// Tokens that every cluster accepts.
const (
	CallerToken   = "test-caller-token-0001"
	OtherToken    = "test-other-team-token-1"
	OperatorToken = "test-operator-token-01"
)

// Cluster is a running system of entries, agents, endpoints and a table.
type Cluster struct {
	Table   *standin.Table
	Entries []*Entry
	Agents  []*Agent

	options Options
	server  *standin.Server
}

// Entry runs one entry process. Its addresses stay the same across restarts.
type Entry struct {
	*Process
	Name string
	// HTTP, Link and Peer are the forwarders that callers, agents and other
	// entries connect to.
	HTTP, Link, Peer *Forwarder
	// LinkAddress and HTTPAddress are the addresses on which the entry itself
	// listens for agents and callers.
	LinkAddress, HTTPAddress string

	binary, settings, log string
}

// Agent runs one agent process and the stand-in endpoint that it serves.
type Agent struct {
	*Process
	Name string
	// Address is the agent's HTTP address for operators.
	Address  string
	Endpoint *standin.Endpoint
	// Tasks forwards the connections from the agent to the endpoint.
	Tasks *Forwarder

	binary, settings, log string
}

// firstPort is below the operating system's range of ephemeral ports.
const firstPort = 20_000

var portOffset atomic.Int32

// newAddress returns a loopback address derived from this process's id, so that
// no other process on the machine can take it while a daemon restarts.
func newAddress() string {
	pid := os.Getpid()
	port := firstPort + portOffset.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>16&0x7f, pid>>8&0xff, pid&0xff, port)
}

// Start starts the table, the endpoints and the daemons. It does not wait until
// they are ready. After an error, Close stops whatever was started.
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
		forwarder, err := startForwarder(newAddress(), f.target)
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
	tasks, err := startForwarder(newAddress(), endpoint.Address())
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

// Start starts the entry process. It may be called again after the process has
// ended.
func (e *Entry) Start() error {
	process, err := startProcess(program{binary: e.binary, args: []string{"--settings", e.settings}, log: e.log})
	e.Process = process
	return err
}

// URL returns the base URL of the entry for callers and operators.
func (e *Entry) URL() string { return "http://" + e.HTTP.Address() }

// Start starts the agent process. It may be called again after the process has
// ended.
func (a *Agent) Start() error {
	process, err := startProcess(program{binary: a.binary, args: []string{"--settings", a.settings}, log: a.log})
	a.Process = process
	return err
}

// URL returns the base URL of the agent for operators.
func (a *Agent) URL() string { return "http://" + a.Address }

// URLs returns the base URLs of all entries, beginning with the one at index
// first.
func (c *Cluster) URLs(first int) []string {
	var urls []string
	for i := range c.Entries {
		urls = append(urls, c.Entries[(first+i)%len(c.Entries)].URL())
	}
	return urls
}

// Starts returns the number of starts of each task, summed over all endpoints.
func (c *Cluster) Starts() map[string]int {
	starts := map[string]int{}
	for _, a := range c.Agents {
		for echo, count := range a.Endpoint.Starts() {
			starts[echo] += count
		}
	}
	return starts
}

// Close kills the processes that still run and stops the stand-ins.
func (c *Cluster) Close() {
	for _, e := range c.Entries {
		killAndClose(e.Process, e.HTTP, e.Link, e.Peer)
	}
	for _, a := range c.Agents {
		killAndClose(a.Process, a.Tasks)
		a.Endpoint.Stop()
	}
	if c.server != nil {
		c.server.Close()
	}
	c.Table.Close()
}

func killAndClose(p *Process, forwarders ...*Forwarder) {
	if p != nil {
		p.Kill()
	}
	for _, f := range forwarders {
		if f != nil {
			f.Close()
		}
	}
}
