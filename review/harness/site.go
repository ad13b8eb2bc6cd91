package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file record.txt: what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

const (
	serviceName = "recession"
	routeHost   = "survey.example"
	routePrefix = "/estimates/"
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
	workerPort  = 8165
	storePort   = 8169
)

var zones = []string{"rimouski", "matane", "riviere-du-loup", "sainte-anne"}

// node is one process of the project, on a loopback address of its own.
type node struct {
	name, role, ip, settings, log string
	root                          string
	command                       *exec.Cmd
	exited                        chan struct{}
}

// site is a small deployment: entries, agents with their workers, and a store.
type site struct {
	root, folder string
	log          *record
	store        *store
	entries      []*node
	agents       []*node
	workers      []*worker
}

// address returns a loopback address for the n-th machine of this site.
func address(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8&0x3f, pid&0xff, n)
}

func startSite(root string, log *record, entries, agents, workerCPU int, route map[string]any) (*site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{root: root, folder: folder, log: log}
	storeAddress := fmt.Sprintf("%s:%d", address(1), storePort)
	if s.store, err = startStore(storeAddress); err != nil {
		return s, err
	}
	s.configure(1, route)
	var seeds []string
	for i := range min(3, entries) {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", address(10+i), controlPort)))
	}
	for i := range entries {
		ip := address(10 + i)
		n := s.newNode("entry", fmt.Sprintf("front-%s-1", zones[i%len(zones)]), ip, zones[i%len(zones)])
		s.entries = append(s.entries, n)
		listen := fmt.Sprintf("front = \"%s:%d\"\nreadinessAddr = \"%s:%d\"\ncontrol = \"%s:%d\"\n", ip, frontPort, ip, readyPort, ip, controlPort)
		n.writeSettings("front", `"front","control"`, zones[i%len(zones)], "", listen, storeAddress, seeds)
		if err := n.start(); err != nil {
			return s, err
		}
	}
	for i := range agents {
		ip, zone := address(50+i), zones[i%len(zones)]
		n := s.newNode("agent", fmt.Sprintf("side-%s-%d", zone, i+1), ip, zone)
		s.agents = append(s.agents, n)
		app := fmt.Sprintf("%s:%d", ip, workerPort)
		control := fmt.Sprintf("%s:%d", ip, controlPort)
		n.writeSettings("side", `"side"`, zone, fmt.Sprintf("app = %q\nservice = %q\n", app, serviceName), fmt.Sprintf("control = %q\n", control), storeAddress, seeds)
		w := &worker{id: fmt.Sprintf("i-%08x", i+1), service: serviceName, address: app, zone: zone, control: control, cpu: workerCPU, log: log}
		s.workers = append(s.workers, w)
		if err := startWorker(w, app); err != nil {
			return s, err
		}
		if err := n.start(); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

// configure writes a version of the configuration with one route.
func (s *site) configure(version int, route map[string]any) {
	s.store.put("op", "config", map[string]any{
		"version": version, "routes": []any{route},
		"services": []any{map[string]any{"name": serviceName, "enforcesCapacity": true}},
		"limits":   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func (s *site) newNode(role, name, ip, _ string) *node {
	return &node{
		name: name, role: role, ip: ip, root: s.root,
		settings: filepath.Join(s.folder, name+".toml"), log: filepath.Join(s.folder, name+".log"),
	}
}

func (n *node) writeSettings(class, serves, zone, app, listen, storeAddress string, seeds []string) {
	text := fmt.Sprintf(`node = %q
role = %q
machineClass = %q
serves = [%s]
ip = %q
zone = %q
region = "bas-saint-laurent"
portRange = [7720,7735]
seeds = [%s]
bootstrap = true
discovery = "local"
entry = "vip"
heartbeatMs = 1500
orders = "rpc"
%s[listen]
%s[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
holdMaxMs = 1000
stopMs = 50
cancel_ms = 3000
leaseMs = 3000
resendMs = 1300
[platform]
address = %q
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 6.0
`, n.name, n.role, class, serves, n.ip, zone, strings.Join(seeds, ","), app, listen, storeAddress)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.command = exec.Command("target/cactuspost-node", n.role)
	n.command.Dir = n.root
	n.command.Env = append(os.Environ(), "CACTUSPOST_NODE_FILE="+n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	if err := n.command.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	allNodes.Lock()
	allNodes.list = append(allNodes.list, n)
	allNodes.Unlock()
	command, exited := n.command, n.exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// allNodes lists every process that was started, for the watchdog.
var allNodes struct {
	sync.Mutex
	list []*node
}

// killAll ends every process that still runs.
func killAll() {
	allNodes.Lock()
	defer allNodes.Unlock()
	for _, n := range allNodes.list {
		if n.running() {
			n.signal(syscall.SIGKILL)
		}
	}
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// front returns the address for clients.
func (n *node) front() string { return fmt.Sprintf("%s:%d", n.ip, frontPort) }

// ready asks the process whether it takes new connections.
func (n *node) ready() bool {
	status, _, err := call("GET", fmt.Sprintf("%s:%d", n.ip, readyPort), "/-/ready", nil, time.Second)
	return err == nil && status == 200
}

// readyTimeout bounds the start of a site.
const readyTimeout = 30 * time.Second

// awaitReady waits until every entry is ready and serves a job on every worker.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, e := range s.entries {
		for !e.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // all agents have connected to all entries, and contactMs has passed
	for _, e := range s.entries {
		if status, body, err := call("POST", e.front(), routePrefix+newID(), jobBody(50, 1600, 2), 5*time.Second); err != nil || status != 200 {
			return fmt.Errorf("a first job at %s: status %d, body %s, error %v", e.name, status, body, err)
		}
	}
	return nil
}

func (s *site) runs() []runRecord {
	var all []runRecord
	for _, w := range s.workers {
		all = append(all, w.runsSeen()...)
	}
	return all
}

func (s *site) close() {
	for _, n := range append(append([]*node(nil), s.entries...), s.agents...) {
		if n.command != nil && n.command.Process != nil && n.running() {
			n.signal(syscall.SIGCONT)
			n.signal(syscall.SIGKILL)
			<-n.exited
		}
	}
	for _, w := range s.workers {
		if w.server != nil {
			w.close()
		}
	}
	if s.store != nil {
		_ = s.store.server.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}
