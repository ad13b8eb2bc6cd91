package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and run to a file.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment on loopback addresses: the store, entries, and machines
// with an agent and a worker each.
type site struct {
	rec     *record
	root    string
	dir     string
	network string
	used    int
	store   *store
	mu      sync.Mutex
	started []*process
	ledger  *ledger
	seeds   []string
}

// newSite starts the store with a configuration of one queue.
func newSite(rec *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-site-")
	if err != nil {
		return nil, err
	}
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, root: root, dir: dir, ledger: newLedger(rec)}
	for range 20 {
		s.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		if free(s.network+".1", 7720, 8161, 8165, 8166, 8167, 8169, 9464) {
			break
		}
	}
	s.store = newStore(rec)
	return s, s.store.listen(s.network + ".1:8169")
}

func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	for err == nil && dir != "/" {
		if _, statErr := os.Stat(filepath.Join(dir, "deploy", "system.toml")); statErr == nil {
			return dir, nil
		}
		dir = filepath.Dir(dir)
	}
	return "", fmt.Errorf("the repository was not found: %w", err)
}

func free(ip string, ports ...int) bool {
	for _, port := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// address returns a new loopback address.
func (s *site) address() string {
	s.used++
	return fmt.Sprintf("%s.%d", s.network, s.used+1)
}

// process is a program of the deployment.
type process struct {
	name, role, settings string
	ip                   string
	site                 *site
	cmd                  *exec.Cmd
	done                 chan struct{}
}

// settingsText returns the settings of a process, like those of a small deployment.
func (s *site) settingsText(name, role, class, ip, serves, listen, worker string) string {
	seeds, _ := json.Marshal(s.seeds)
	return fmt.Sprintf(`node = %q
role = %q
machineClass = %q
serves = [%s]
ip = %q
zone = "kochi"
region = "kerala"
portRange = [7720,7735]
seeds = %s
bootstrap = true
faultCounted = false
discovery = "local"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
%s
[zones]
kochi = "kerala"
[listen]
%s
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
holdMaxMs = 1000
stopMs = 50
cancel_ms = 3000
leaseMs = 3000
resendMs = 1300
requireFencing = true
[platform]
address = %q
form = "table"
writesPerS = 800
readsPerS = 2000
txMs = 6.0
`, name, role, class, serves, ip, seeds, worker, listen, s.network+".1:8169")
}

// startEntry starts an entry. The addresses of all entries are seeds of later agents.
func (s *site) startEntry(name string) (*process, error) {
	ip := s.address()
	if len(s.seeds) < 3 {
		s.seeds = append(s.seeds, ip+":8166")
	}
	listen := fmt.Sprintf("front = %q\nreadinessAddr = %q\ncontrol = %q", ip+":8161", ip+":8167", ip+":8166")
	p := &process{name: name, role: "entry", ip: ip, site: s}
	return p, p.begin(s.settingsText(name, "entry", "front", ip, `"front","control"`, listen, ""))
}

// startAgent starts the agent of a worker at the given address.
func (s *site) startAgent(name, ip string) (*process, error) {
	listen := fmt.Sprintf("control = %q", ip+":8166")
	worker := fmt.Sprintf("app = %q\nservice = \"desk\"", ip+":8165")
	p := &process{name: name, role: "agent", ip: ip, site: s}
	return p, p.begin(s.settingsText(name, "agent", "side", ip, `"side"`, listen, worker))
}

func (p *process) begin(settings string) error {
	p.settings = filepath.Join(p.site.dir, p.name+".toml")
	if err := os.WriteFile(p.settings, []byte(settings), 0o600); err != nil {
		return err
	}
	p.site.mu.Lock()
	p.site.started = append(p.site.started, p)
	p.site.mu.Unlock()
	return p.start()
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.site.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	program := filepath.Join(p.site.root, "target", "cactuspost-node")
	if other := os.Getenv("NODE_PROGRAM"); other != "" {
		program = other
	}
	// The platform limits the descriptors of each process to maxFds.
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.cmd = exec.Command(self, "limited", program, p.role)
	p.cmd.Dir = p.site.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.site.dir, "CACTUSPOST_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	p.site.rec.add("%s started", p.name)
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		p.site.rec.add("%s ended: %v", p.name, err)
		_ = log.Close()
		close(done)
	}(p.cmd, p.done)
	return nil
}

// descriptors returns the number of open descriptors.
func (p *process) descriptors() int {
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(files)
}

func (p *process) signal(sig syscall.Signal) {
	p.site.rec.add("%s gets signal %v", p.name, sig)
	_ = p.cmd.Process.Signal(sig)
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// close ends all processes that were started.
func (s *site) close() {
	for _, p := range s.started {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println(s.dir)
	}
}

// ready waits until the entry reports that it is ready.
func (p *process) ready() error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + p.ip + ":8167/-/ready")
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after 15 s", p.name)
}

// host and prefix are those of the only queue.
const (
	host   = "nony24.example"
	prefix = "/lohu930/"
)

// step is a step of a job as clients send it.
type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"memMb"`
	EstimateMS int   `json:"estimateMs"`
	After      []int `json:"after,omitempty"`
}

// post hands a job in and returns the status, 0 if there was no answer.
func (p *process) post(id, spec string, deadline time.Duration, steps ...step) (int, string) {
	body, _ := json.Marshal(map[string]any{"spec": spec, "bestEffort": true, "steps": steps})
	request, err := http.NewRequest("POST", "http://"+p.ip+":8161"+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Cactuspost-Request-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	p.site.rec.add("client sends job %s to %s: %s", id, p.name, body)
	response, err := client.Do(request)
	if err != nil {
		p.site.rec.add("client gets no answer for job %s: %v", id, err)
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		p.site.rec.add("client gets a broken answer for job %s: %v", id, err)
		return 0, ""
	}
	p.site.rec.add("client gets %d %s for job %s", response.StatusCode, text, id)
	return response.StatusCode, string(text)
}
