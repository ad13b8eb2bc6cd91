package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/platform"
	"cactuspost.example/platform/standin"
)

// SiteOptions configures a site.
type SiteOptions struct {
	// Node is the path of the node binary, see BuildNode.
	Node string
	// Folder receives settings files and logs; NodeSettings is the path of the
	// deployed settings file.
	Folder       string
	NodeSettings string
	Entries      int
	Agents       int
	// CPU is each worker's capacity in thousandths of a core.
	CPU uint32
	// Seed seeds the random choices of the stand-ins.
	Seed uint64
	// MaxClockStart bounds the reading at which a worker's clock begins in each of its
	// incarnations.
	MaxClockStart time.Duration
	// Observe is called at every start and end of a run, ObserveLate at every call
	// that a worker executes in a later incarnation.
	Observe     func(standin.RunEvent)
	ObserveLate func(standin.LateCall)
}

// Site runs the node's processes on a stand-in of the users' platform: entries
// and agents are separate processes, the store and the workers are stand-ins,
// and every connection between them goes through a forwarder.
type Site struct {
	Store      *standin.Store
	EntryNodes []*EntryNode
	AgentNodes []*AgentNode
}

// Service is the service that a site's workers provide.
const Service = "recession"

// workerHeartbeat is the interval of a worker's heartbeats.
const workerHeartbeat = 500 * time.Millisecond

// workerMemMB is the memory of each worker in MB.
const workerMemMB = 32_768

// Node is a machine that runs one process.
type Node struct {
	*Process
	Name string
	// Store forwards the connections from the process to the store.
	Store *Forwarder
	// Metrics is the address on which the process serves its metrics.
	Metrics string
	// Starts counts the starts of the process.
	Starts atomic.Int64

	program program
	// platformSettings is the path of the platform's settings file, which is
	// rendered from machine.
	platformSettings string
	machine          *standin.Machine
}

// EntryNode is a machine that runs an entry.
type EntryNode struct {
	Node
	// Clients and Links are the forwarders that clients and agents connect to;
	// Ready is the address of the balancer's readiness check.
	Clients, Links *Forwarder
	Ready          string
}

// AgentNode is a machine that runs an agent beside a stand-in worker.
type AgentNode struct {
	Node
	Worker *standin.Worker
	// Tasks forwards the connections from the agent to the worker.
	Tasks *Forwarder
}

// BuildNode compiles the node into the given folder and returns its path.
func BuildNode(folder string) (string, error) {
	file := filepath.Join(folder, "cactuspost-node")
	command := exec.Command("go", "build", "-o", file, "cactuspost.example/cmd/cactuspost-node")
	command.Stderr = os.Stderr
	return file, errors.Wrap(command.Run(), "build the node")
}

// StartSite starts the stand-ins and the processes. It does not wait until they
// are ready. The processes run until Close, the stand-ins until the context
// ends.
func StartSite(ctx context.Context, o SiteOptions) (*Site, error) {
	s := &Site{}
	store, err := standin.StartStore(ctx, newAddress(), o.Seed)
	if err != nil {
		return s, err
	}
	s.Store = store
	for i := range o.Entries {
		if err := s.addEntryNode(o, i); err != nil {
			return s, err
		}
	}
	var seeds []string
	for _, e := range s.EntryNodes {
		seeds = append(seeds, e.Links.Address())
	}
	for i := range o.Agents {
		if err := s.addAgentNode(ctx, o, i, seeds); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *Site) addEntryNode(o SiteOptions, index int) error {
	e := &EntryNode{Node: Node{Name: fmt.Sprintf("front-%d", index+1)}, Ready: newAddress()}
	s.EntryNodes = append(s.EntryNodes, e)
	clients, links := newAddress(), newAddress()
	if err := startForwarders(map[**Forwarder]string{&e.Clients: clients, &e.Links: links, &e.Store: s.Store.Address()}); err != nil {
		return err
	}
	m := &standin.Machine{Name: e.Name, Front: clients, Ready: e.Ready, Control: links, Seeds: []string{e.Links.Address()}, Store: e.Store.Address()}
	return e.launch(o, "entry", m, e.Links.Address())
}

// WorkerID returns the id of the worker of the agent node with the given index.
func WorkerID(index int) string { return "i-" + strconv.Itoa(index+1) }

func (s *Site) addAgentNode(ctx context.Context, o SiteOptions, index int, seeds []string) error {
	a := &AgentNode{Node: Node{Name: fmt.Sprintf("side-%02d", index+1)}}
	s.AgentNodes = append(s.AgentNodes, a)
	listen, control := newAddress(), newAddress()
	if err := startForwarders(map[**Forwarder]string{&a.Tasks: listen, &a.Store: s.Store.Address()}); err != nil {
		return err
	}
	worker, err := standin.StartWorker(ctx, standin.WorkerOptions{
		ID: WorkerID(index), Service: Service, Zone: "z-1", Listen: listen, AnnouncedAddress: a.Tasks.Address(), Control: control,
		Heartbeat: workerHeartbeat, CPU: o.CPU, MemMB: workerMemMB, Seed: o.Seed + uint64(index), MaxClockStart: o.MaxClockStart, Observe: o.Observe, ObserveLate: o.ObserveLate,
	})
	if err != nil {
		return err
	}
	a.Worker = worker
	m := &standin.Machine{Name: a.Name, Control: control, App: a.Tasks.Address(), Service: Service, Seeds: seeds, Store: a.Store.Address()}
	return a.launch(o, "agent", m, "")
}

func startForwarders(targets map[**Forwarder]string) error {
	for forwarder, target := range targets {
		f, err := startForwarder(newAddress(), target)
		if err != nil {
			return err
		}
		*forwarder = f
	}
	return nil
}

// launch writes both settings files of a machine and starts its process.
func (n *Node) launch(o SiteOptions, role string, m *standin.Machine, advertised string) error {
	n.Metrics = newAddress()
	ip, port, err := net.SplitHostPort(newAddress())
	if err != nil {
		return errors.WithStack(err)
	}
	m.Zone, m.IP = "z-1", ip
	if m.FirstPort, err = strconv.Atoi(port); err != nil {
		return errors.WithStack(err)
	}
	n.machine = m
	n.platformSettings = filepath.Join(o.Folder, n.Name+".toml")
	own := filepath.Join(o.Folder, n.Name+".jsonc")
	if err := n.Reseed(m.Seeds); err != nil {
		return err
	}
	text, err := n.settings(o.NodeSettings, advertised)
	if err != nil {
		return err
	}
	if err := os.WriteFile(own, []byte(text), 0o600); err != nil {
		return errors.WithStack(err)
	}
	n.program = program{
		binary: o.Node, args: []string{role, "--settings", own},
		env: []string{platform.SettingsVariable + "=" + n.platformSettings}, log: filepath.Join(o.Folder, n.Name+".log"),
	}
	return n.Start()
}

// Reseed rewrites the platform's settings file with other seeds, the addresses
// through which the process finds the entries.
func (n *Node) Reseed(seeds []string) error {
	n.machine.Seeds = seeds
	return errors.WithStack(os.WriteFile(n.platformSettings, []byte(n.machine.Settings()), 0o600))
}

// settings returns the deployed settings, adapted to several processes on one
// machine: each gets its own metrics port, and an entry advertises the forwarder
// in front of its link address.
func (n *Node) settings(file, advertised string) (string, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	_, port, err := net.SplitHostPort(n.Metrics)
	if err != nil {
		return "", errors.WithStack(err)
	}
	text := strings.Replace(string(raw), `"metrics_port": 9464`, `"metrics_port": `+port, 1)
	if advertised != "" {
		text = strings.Replace(text, `"log_level"`, fmt.Sprintf(`"advertised_link_address": %q, "log_level"`, advertised), 1)
	}
	return text, nil
}

// Start starts the process. It may be called again after the process has ended, and
// fails before.
func (n *Node) Start() error {
	if n.Process != nil {
		select {
		case <-n.Ended():
		default:
			return errors.Errorf("start %s: its process still runs", n.Name)
		}
	}
	process, err := startProcess(n.program)
	if err != nil {
		return err
	}
	n.Starts.Add(1)
	n.Process = process
	return nil
}

// Log returns the path of the log file, which all runs of the process append to.
func (n *Node) Log() string { return n.program.log }

// Close kills the processes that still run. The stand-ins end with their
// context.
func (s *Site) Close() {
	for _, e := range s.EntryNodes {
		killAndClose(e.Process, e.Clients, e.Links, e.Store)
	}
	for _, a := range s.AgentNodes {
		killAndClose(a.Process, a.Tasks, a.Store)
	}
}
