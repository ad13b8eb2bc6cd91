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
	CPU  uint32
	Seed uint64
	// Observe is called at every start and end of a run.
	Observe func(standin.RunEvent)
}

// Site runs the node's processes on a stand-in of the users' platform: entries
// and agents are separate processes, the store and the workers are stand-ins,
// and every connection between them goes through a forwarder.
type Site struct {
	Store  *standin.Store
	Fronts []*Front
	Sides  []*Side
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
	// Lives counts the starts of the process.
	Lives atomic.Int64

	program program
	// file is the path of the platform's settings file, which is rendered from
	// machine.
	file    string
	machine *standin.Machine
}

// Front is a machine that runs an entry.
type Front struct {
	Node
	// Clients and Links are the forwarders that clients and agents connect to;
	// Ready is the address of the balancer's readiness check.
	Clients, Links *Forwarder
	Ready          string
}

// Side is a machine that runs an agent beside a stand-in worker.
type Side struct {
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
// are ready. The processes run until Close, the stand-ins until the context ends.
func StartSite(ctx context.Context, o SiteOptions) (*Site, error) {
	s := &Site{}
	store, err := standin.StartStore(ctx, newAddress(), o.Seed)
	if err != nil {
		return s, err
	}
	s.Store = store
	for i := range o.Entries {
		if err := s.addFront(o, i); err != nil {
			return s, err
		}
	}
	var seeds []string
	for _, f := range s.Fronts {
		seeds = append(seeds, f.Links.Address())
	}
	for i := range o.Agents {
		if err := s.addSide(ctx, o, i, seeds); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *Site) addFront(o SiteOptions, index int) error {
	f := &Front{Node: Node{Name: fmt.Sprintf("front-%d", index+1)}, Ready: newAddress()}
	s.Fronts = append(s.Fronts, f)
	clients, links := newAddress(), newAddress()
	if err := forwardTo(map[**Forwarder]string{&f.Clients: clients, &f.Links: links, &f.Store: s.Store.Address()}); err != nil {
		return err
	}
	m := &standin.Machine{Name: f.Name, Front: clients, Ready: f.Ready, Control: links, Seeds: []string{f.Links.Address()}, Store: f.Store.Address()}
	return f.prepare(o, "entry", m, f.Links.Address())
}

func (s *Site) addSide(ctx context.Context, o SiteOptions, index int, seeds []string) error {
	d := &Side{Node: Node{Name: fmt.Sprintf("side-%02d", index+1)}}
	s.Sides = append(s.Sides, d)
	listen, control := newAddress(), newAddress()
	if err := forwardTo(map[**Forwarder]string{&d.Tasks: listen, &d.Store: s.Store.Address()}); err != nil {
		return err
	}
	worker, err := standin.StartWorker(ctx, standin.WorkerOptions{
		ID: "i-" + strconv.Itoa(index+1), Service: Service, Zone: "z-1", Listen: listen, AnnouncedAddress: d.Tasks.Address(), Control: control,
		Heartbeat: workerHeartbeat, CPU: o.CPU, MemMB: workerMemMB, Seed: o.Seed + uint64(index), Observe: o.Observe,
	})
	if err != nil {
		return err
	}
	d.Worker = worker
	m := &standin.Machine{Name: d.Name, Control: control, App: d.Tasks.Address(), Service: Service, Seeds: seeds, Store: d.Store.Address()}
	return d.prepare(o, "agent", m, "")
}

func forwardTo(targets map[**Forwarder]string) error {
	for forwarder, target := range targets {
		f, err := forward(newAddress(), target)
		if err != nil {
			return err
		}
		*forwarder = f
	}
	return nil
}

// prepare writes both settings files of a machine and starts its process.
func (n *Node) prepare(o SiteOptions, role string, m *standin.Machine, advertised string) error {
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
	n.file = filepath.Join(o.Folder, n.Name+".toml")
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
		env: []string{platform.SettingsVariable + "=" + n.file}, log: filepath.Join(o.Folder, n.Name+".log"),
	}
	return n.Start()
}

// Reseed rewrites the platform's settings file with other seeds.
func (n *Node) Reseed(seeds []string) error {
	n.machine.Seeds = seeds
	return errors.WithStack(os.WriteFile(n.file, []byte(n.machine.Settings()), 0o600))
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

// Start starts the process, also again after it has ended.
func (n *Node) Start() error {
	process, err := start(n.program)
	if err != nil {
		return err
	}
	n.Lives.Add(1)
	n.Process = process
	return nil
}

// Log returns the path of the log file, which all runs of the process append to.
func (n *Node) Log() string { return n.program.log }

// Close kills the processes that still run. The stand-ins end with their context.
func (s *Site) Close() {
	for _, f := range s.Fronts {
		closeAll(f.Process, f.Clients, f.Links, f.Store)
	}
	for _, d := range s.Sides {
		closeAll(d.Process, d.Tasks, d.Store)
	}
}
