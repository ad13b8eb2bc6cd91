package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the platform's holdMaxMs, stopTime is within its stopMs.
	maxHold  = time.Second
	stopTime = 20 * time.Millisecond
	// workerTick is the resolution of a worker's timers.
	workerTick = 2 * time.Millisecond
	// beatInterval is the platform's heartbeatMs.
	beatInterval = 1500 * time.Millisecond
)

// worker is a stand-in of a worker as the platform's pages describe it. The spec of a
// task says how long it runs and how much it needs, such as "ms=2500 cpu=1600".
type worker struct {
	id, service, address, zone, control string
	cpu                                 int
	log                                 *record
	born                                time.Time
	server                              *http.Server

	mu       sync.Mutex
	token    uint64
	runs     map[string]*workerRun
	highest  map[string]uint64
	ends     [][5]any
	serial   int
	leaseEnd time.Duration
	changed  chan struct{}
	sequence int
	draining bool
	// drainAckedAt is when the agent first acknowledged that the worker drains.
	drainAckedAt time.Time
	// heldStart is a start order that got no answer and is carried out late; holdJob is
	// the job whose next one is held.
	heldStart *workerCall
	holdJob   string
	held      chan struct{}
	// firstBeat is the time from the worker's start to its first heartbeat.
	firstBeat time.Duration
	listen    string
	// beatNow makes beatLoop send the next heartbeat at once.
	beatNow chan struct{}
	stopped chan struct{}
	history []runRecord
}

type workerRun struct {
	number  uint64
	cpu     int
	endsAt  time.Time
	stopsAt time.Time
	record  int
}

// runRecord is one run, as the worker saw it.
type runRecord struct {
	task           string
	run            uint64
	worker         string
	started, ended time.Time
	how            string
}

func startWorker(w *worker, listen string) error {
	w.listen, w.held = listen, make(chan struct{})
	return w.beginLife()
}

// beginLife starts the worker, for the first time or after a crash. It holds and knows
// nothing of before.
func (w *worker) beginLife() error {
	w.mu.Lock()
	w.born = time.Now()
	w.runs, w.highest = map[string]*workerRun{}, map[string]uint64{}
	w.token, w.ends, w.serial, w.leaseEnd, w.sequence = 0, nil, 0, 0, 0
	w.changed, w.stopped, w.beatNow = make(chan struct{}), make(chan struct{}), make(chan struct{}, 1)
	stopped := w.stopped
	w.mu.Unlock()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.handle(w.start))
	mux.HandleFunc("POST /-/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /-/hold", w.handle(w.hold))
	listener, err := net.Listen("tcp", w.listen)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	go w.tickLoop(stopped)
	go w.beatLoop(stopped)
	return nil
}

// crash ends the worker and all of its runs at once.
func (w *worker) crash() {
	w.log.printf("worker %s crashes", w.id)
	w.close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for task, r := range w.runs {
		w.end(task, r, "crash")
	}
}

// executeHeld carries the held start order out.
func (w *worker) executeHeld() {
	w.mu.Lock()
	defer w.mu.Unlock()
	reason := "fence"
	if w.heldStart.FencingToken >= w.token {
		w.token = w.heldStart.FencingToken
		reason = w.start(nil, nil, w.heldStart)
	}
	w.log.printf("worker %s carries out the order to start %s #%d late: refused for %q", w.id, w.heldStart.Task, w.heldStart.Run, reason)
}

func (w *worker) close() {
	close(w.stopped)
	_ = w.server.Close()
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

type workerCall struct {
	Task         string
	Run          uint64
	Spec         string
	UntilMs      int64
	FencingToken uint64
	LastSeen     int
	WaitMs       int64
}

// handle checks what holds for every call, and executes it. A result of nil means that
// f has answered the call.
func (w *worker) handle(f func(http.ResponseWriter, *http.Request, *workerCall) string) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		var c workerCall
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			writeJSON(out, http.StatusBadRequest, w.answer())
			return
		}
		if id := r.Header.Get("Cactuspost-Expect-Instance"); id != "" && id != w.id {
			writeJSON(out, http.StatusMisdirectedRequest, w.answer())
			return
		}
		w.mu.Lock()
		if w.holdJob != "" && w.heldStart == nil && r.URL.Path == "/-/run-start" && strings.HasPrefix(c.Task, w.holdJob+".") {
			w.heldStart = &c
			w.log.printf("worker %s leaves the order to start %s #%d unanswered", w.id, c.Task, c.Run)
			close(w.held)
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
		reason := "fence"
		if c.FencingToken >= w.token {
			w.token = c.FencingToken
			reason = f(out, r, &c)
		}
		w.mu.Unlock()
		switch reason {
		case "":
			writeJSON(out, http.StatusOK, w.answer())
		case "answered":
		default:
			a := w.answer()
			a["reason"] = reason
			writeJSON(out, http.StatusConflict, a)
		}
	}
}

func (w *worker) answer() map[string]any {
	return map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
}

func (w *worker) extend(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, w.clock()+maxHold)
	w.leaseEnd = max(w.leaseEnd, until)
}

func (w *worker) start(_ http.ResponseWriter, _ *http.Request, c *workerCall) string {
	late := time.Duration(c.UntilMs)*time.Millisecond <= w.clock()
	if !late {
		w.extend(c.UntilMs)
	}
	current := w.runs[c.Task]
	if current != nil && current.number == c.Run {
		return ""
	}
	if current != nil || c.Run <= w.highest[c.Task] {
		return "old"
	}
	if late {
		return "late"
	}
	var ms, cpu int
	if _, err := fmt.Sscanf(c.Spec, "ms=%d cpu=%d", &ms, &cpu); err != nil {
		w.log.printf("worker %s: bad spec %q", w.id, c.Spec)
	}
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.cpu {
		return "room"
	}
	now := time.Now()
	w.runs[c.Task] = &workerRun{number: c.Run, cpu: cpu, endsAt: now.Add(time.Duration(ms) * time.Millisecond), record: len(w.history)}
	w.history = append(w.history, runRecord{task: c.Task, run: c.Run, worker: w.id, started: now})
	w.log.printf("run %s #%d starts on %s", c.Task, c.Run, w.id)
	return ""
}

func (w *worker) stop(_ http.ResponseWriter, _ *http.Request, c *workerCall) string {
	if r := w.runs[c.Task]; r != nil && r.number <= c.Run && r.stopsAt.IsZero() {
		r.stopsAt = time.Now().Add(stopTime)
	}
	w.highest[c.Task] = max(w.highest[c.Task], c.Run)
	return ""
}

func (w *worker) hold(out http.ResponseWriter, r *http.Request, c *workerCall) string {
	if c.UntilMs > 0 {
		w.extend(c.UntilMs)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e[0].(int) > c.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	timeout := time.After(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	for waiting := c.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	a := w.answer()
	running := [][]any{}
	for task, run := range w.runs {
		running = append(running, []any{task, run.number, "", 50, run.cpu})
	}
	ended := w.ends[:min(500, len(w.ends))]
	if ended == nil {
		ended = [][5]any{}
	}
	a["running"], a["ended"] = running, ended
	writeJSON(out, http.StatusOK, a)
	return "answered"
}

func (w *worker) tickLoop(stopped <-chan struct{}) {
	for {
		select {
		case <-stopped:
			return
		case <-time.After(workerTick):
		}
		w.mu.Lock()
		now, lapsed := time.Now(), w.clock() > w.leaseEnd
		for task, r := range w.runs {
			switch {
			case lapsed:
				w.end(task, r, "lapsed")
			case !r.stopsAt.IsZero() && now.After(r.stopsAt):
				w.end(task, r, "stopped")
			case r.stopsAt.IsZero() && now.After(r.endsAt):
				w.end(task, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end needs the lock.
func (w *worker) end(task string, r *workerRun, how string) {
	delete(w.runs, task)
	w.highest[task] = max(w.highest[task], r.number)
	w.serial++
	w.ends = append(w.ends, [5]any{w.serial, task, r.number, how, ""})
	w.history[r.record].ended, w.history[r.record].how = time.Now(), how
	w.log.printf("run %s #%d ends on %s: %s", task, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) beatLoop(stopped <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	time.Sleep(w.firstBeat)
	for {
		w.mu.Lock()
		w.sequence++
		draining := w.draining
		body, _ := json.Marshal(w.heartbeat(draining, w.sequence))
		w.mu.Unlock()
		wait := beatInterval
		response, err := client.Post("http://"+w.control+"/-/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(body))
		if err != nil {
			wait = 200 * time.Millisecond
		} else {
			_ = response.Body.Close()
			w.noteAnswer(draining, response.StatusCode)
		}
		select {
		case <-stopped:
			return
		case <-w.beatNow:
		case <-time.After(wait):
		}
	}
}

func (w *worker) heartbeat(draining bool, sequence int) map[string]any {
	beat := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldRemainingMs": 0, "capacity": map[string]int{"cpu": w.cpu, "memMb": 32768, "gpu": 0},
		"labels": []string{"a", "r1-1"}, "clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "sequence": sequence,
	}
	if draining {
		beat["state"], beat["remainingMs"] = "draining", 10_000
	}
	return beat
}

func (w *worker) noteAnswer(draining bool, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if draining && status/100 == 2 && w.drainAckedAt.IsZero() {
		w.drainAckedAt = time.Now()
		w.log.printf("worker %s: draining is acknowledged with %d", w.id, status)
	}
}

// drain makes the worker report that it drains. It goes on to serve.
func (w *worker) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.log.printf("worker %s drains", w.id)
	w.beatNow <- struct{}{}
}

// runsSeen returns all runs so far.
func (w *worker) runsSeen() []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]runRecord(nil), w.history...)
}
