package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax      = time.Second
	stopDuration = 30 * time.Millisecond
)

// worker is a stand-in of a worker that runs tasks under a lease. A task's spec is
// "ms=N": it works for that long and ends as done.
type worker struct {
	site     *site
	id       string
	address  string
	control  string
	cpu      int
	server   *http.Server
	listener net.Listener
	client   *http.Client

	mu    sync.Mutex
	alive bool
	life  int
	born  time.Time
	// clockStart is the reading of the worker's steady clock when the life began.
	clockStart int64
	sequence   int
	token      uint64
	runs       map[string]*run
	// barred holds the highest run of each task that was stopped or has ended.
	barred   map[string]uint64
	ends     []ended
	serial   uint64
	lease    time.Time
	draining bool
	drainAck time.Time
	wake     chan struct{}
	// lateness returns how much later a call is executed, without an answer; zero
	// means that it is executed and answered at once.
	lateness func(path string, body *order) time.Duration
	// beats is false while no heartbeats are sent.
	beats bool
}

type run struct {
	number  uint64
	cpu     int
	endsAt  time.Time
	stopsAt time.Time
}

type ended struct {
	serial uint64
	task   string
	number uint64
	how    string
}

type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

func startWorker(s *site, id, address, control string, cpu int, clockStart int64) (*worker, error) {
	w := &worker{site: s, id: id, address: address, control: control, cpu: cpu, beats: true, client: &http.Client{Timeout: time.Second}}
	if err := w.begin(clockStart); err != nil {
		return nil, err
	}
	go w.tick()
	go w.heartbeats()
	return w, nil
}

// begin starts a life of the worker, which knows nothing of an earlier one. Its steady
// clock starts at the given number of milliseconds.
func (w *worker) begin(clockStart int64) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.alive, w.life, w.born, w.sequence, w.token, w.clockStart = true, w.life+1, time.Now(), 0, 0, clockStart
	w.runs, w.barred, w.ends, w.serial, w.lease = map[string]*run{}, map[string]uint64{}, nil, 0, time.Time{}
	w.draining, w.drainAck, w.wake = false, time.Time{}, make(chan struct{})
	w.mu.Unlock()
	w.listener = listener
	w.server = &http.Server{Handler: http.HandlerFunc(w.handle)}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.site.note("worker %s life %d begins, its clock at %d ms", w.id, w.life, clockStart)
	go w.beat()
	return nil
}

// crash ends the present life and everything that runs in it.
func (w *worker) crash() {
	w.mu.Lock()
	w.alive = false
	now := time.Now()
	for task, r := range w.runs {
		w.site.ran(runEvent{at: now, worker: w.id, life: w.life, task: task, run: r.number, how: "crash"})
	}
	w.runs = map[string]*run{}
	w.signal()
	w.mu.Unlock()
	_ = w.server.Close()
	w.site.note("worker %s life %d ends by a crash", w.id, w.life)
}

func (w *worker) signal() {
	close(w.wake)
	w.wake = make(chan struct{})
}

func (w *worker) clock(now time.Time) int64 { return w.clockStart + now.Sub(w.born).Milliseconds() }

func (w *worker) handle(rw http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	var o order
	if json.Unmarshal(raw, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	expected := r.Header.Get("Cactuspost-Expect-Instance")
	if w.lateness != nil {
		if delay := w.lateness(r.URL.Path, &o); delay > 0 {
			path := r.URL.Path
			w.site.note("worker %s leaves %s of %s run %d unanswered", w.id, path, o.Task, o.Run)
			time.AfterFunc(delay, func() {
				status, body := w.execute(path, expected, &o)
				w.site.note("worker %s life %d carries out late %s of %s run %d: %d %v", w.id, w.life, path, o.Task, o.Run, status, body["reason"])
			})
			<-r.Context().Done()
			return
		}
	}
	status, body := w.execute(r.URL.Path, expected, &o)
	if r.URL.Path == "/-/hold" && status == http.StatusOK && o.WaitMS > 0 {
		body = w.awaitEnd(r, &o)
	}
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (w *worker) awaitEnd(r *http.Request, o *order) map[string]any {
	until := time.Now().Add(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	for {
		w.mu.Lock()
		left := time.Until(until)
		if len(w.ends) > 0 || left <= 0 || !w.alive {
			defer w.mu.Unlock()
			return w.lists(time.Now())
		}
		wake := w.wake
		w.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(left):
		case <-r.Context().Done():
		}
	}
}

func (w *worker) lists(now time.Time) map[string]any {
	running, ends := [][]any{}, [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", 50, 0})
	}
	for i, e := range w.ends {
		if i == 500 {
			break
		}
		ends = append(ends, []any{e.serial, e.task, e.number, e.how, ""})
	}
	return map[string]any{"clockMs": w.clock(now), "born": w.born.UnixMilli(), "running": running, "ended": ends}
}

// execute carries an order out.
func (w *worker) execute(path, expected string, o *order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.alive {
		return 0, nil
	}
	if expected != "" && expected != w.id {
		return http.StatusMisdirectedRequest, map[string]any{}
	}
	conflict := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clockMs": w.clock(now), "reason": reason}
	}
	if o.FencingToken < w.token {
		return conflict("fence")
	}
	w.token = o.FencingToken
	until := w.born.Add(time.Duration(o.UntilMS-w.clockStart) * time.Millisecond)
	late := !until.After(now)
	extend := func() {
		if until.After(now.Add(holdMax)) {
			until = now.Add(holdMax)
		}
		if until.After(w.lease) {
			w.lease = until
		}
	}
	switch path {
	case "/-/run-start":
		r := w.runs[o.Task]
		if !late {
			extend()
		}
		switch {
		case r != nil && r.number == o.Run:
			return http.StatusOK, map[string]any{"clockMs": w.clock(now)}
		case r != nil, o.Run <= w.barred[o.Task]:
			return conflict("old")
		case late:
			return conflict("late")
		}
		var ms, cpu int
		if _, err := fmt.Sscanf(o.Spec, "ms=%d cpu=%d", &ms, &cpu); err != nil {
			return http.StatusBadRequest, map[string]any{"clockMs": w.clock(now)}
		}
		used := cpu
		for _, r := range w.runs {
			used += r.cpu
		}
		if used > w.cpu {
			return conflict("room")
		}
		w.runs[o.Task] = &run{number: o.Run, cpu: cpu, endsAt: now.Add(time.Duration(ms) * time.Millisecond)}
		w.site.ran(runEvent{at: now, worker: w.id, life: w.life, task: o.Task, run: o.Run, spec: o.Spec, drainAck: w.drainAck})
		return http.StatusOK, map[string]any{"clockMs": w.clock(now)}
	case "/-/run-stop":
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run {
			if r.stopsAt.IsZero() {
				r.stopsAt = now.Add(stopDuration)
			}
		} else {
			w.barred[o.Task] = max(w.barred[o.Task], o.Run)
		}
		return http.StatusOK, map[string]any{"clockMs": w.clock(now)}
	case "/-/hold":
		if !late {
			extend()
		}
		for len(w.ends) > 0 && w.ends[0].serial <= o.LastSeen {
			w.ends = w.ends[1:]
		}
		return http.StatusOK, w.lists(now)
	}
	return http.StatusNotFound, map[string]any{}
}

// tick ends the runs that are due.
func (w *worker) tick() {
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		now := time.Now()
		for task, r := range w.runs {
			switch {
			case !w.lease.After(now):
				w.end(now, task, r, "lapsed")
			case !r.stopsAt.IsZero() && !r.stopsAt.After(now):
				w.end(now, task, r, "stopped")
			case r.stopsAt.IsZero() && !r.endsAt.After(now):
				w.end(now, task, r, "done")
			}
		}
		w.mu.Unlock()
	}
}

func (w *worker) end(now time.Time, task string, r *run, how string) {
	delete(w.runs, task)
	w.barred[task] = max(w.barred[task], r.number)
	w.serial++
	w.ends = append(w.ends, ended{w.serial, task, r.number, how})
	w.site.ran(runEvent{at: now, worker: w.id, life: w.life, task: task, run: r.number, how: how})
	w.signal()
}

// running returns the number of runs.
func (w *worker) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func (w *worker) heartbeats() {
	for {
		w.beat()
		time.Sleep(1500 * time.Millisecond)
	}
}

// beat sends one heartbeat to the control address of the worker's machine.
func (w *worker) beat() {
	w.mu.Lock()
	if !w.alive || !w.beats {
		w.mu.Unlock()
		return
	}
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	draining, life := w.draining, w.life
	raw, _ := json.Marshal(map[string]any{
		"service": serviceName, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clockMs": w.clock(time.Now()), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	answer, err := w.client.Post("http://"+w.control+"/-/Instances.Heartbeat/"+w.id, "application/json", bytes.NewReader(raw))
	if err != nil {
		return
	}
	_ = answer.Body.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	if answer.StatusCode/100 == 2 && draining && w.life == life && w.drainAck.IsZero() {
		w.drainAck = time.Now()
		w.site.note("worker %s: its draining is acknowledged", w.id)
	}
}
