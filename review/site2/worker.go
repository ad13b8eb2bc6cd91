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

// drift is the fraction by which a worker's clock runs slow.
const drift = 0.01

// maxHold is the longest lease that a worker grants.
const maxHold = time.Second

// order is the body of a call that a worker gets.
type order struct {
	Task         string `json:"task"`
	Run          uint64 `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"untilMs"`
	FencingToken uint64 `json:"fencingToken"`
	LastSeen     uint64 `json:"lastSeen"`
	WaitMS       int64  `json:"waitMs"`
}

// workerRun is a run at work.
type workerRun struct {
	number   uint64
	cpu      int
	endsAt   time.Time
	stopsAt  time.Time
	recorded *taskRun
}

// worker is a stand-in of a worker and its lives. What a life knows is lost with it.
type worker struct {
	site *site
	name string
	ip   string
	// late decides whether an order is left unanswered and carried out after a time.
	late func(path string, o *order) (time.Duration, bool)
	// hang leaves every call unanswered and undone while it is set.
	hang bool

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	up       bool
	draining bool
	id       string
	born     time.Time
	sequence uint64
	token    uint64
	lease    time.Duration
	// postponed counts the starts that were left unanswered.
	postponed int
	runs      map[string]*workerRun
	last      map[string]uint64
	ends      [][]any
	serial    uint64
	cpu       int
	drainAck  time.Time
}

// newWorker starts a worker beside which an agent runs at the same address.
func (s *site) newWorker(name, ip string, cpu int) (*worker, error) {
	w := &worker{site: s, name: name, ip: ip, cpu: cpu}
	go w.tick()
	return w, w.begin("i-" + name)
}

// begin starts a life under an id.
func (w *worker) begin(id string) error {
	l, err := net.Listen("tcp", w.ip+":8165")
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.id, w.born, w.sequence, w.token, w.lease, w.serial = id, time.Now(), 0, 0, 0, 0
	w.runs, w.last, w.ends, w.draining = map[string]*workerRun{}, map[string]uint64{}, nil, false
	w.listener, w.up = l, true
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	server := w.server
	w.mu.Unlock()
	w.site.rec.add("%s begins a life as %s", w.name, id)
	go func() { _ = server.Serve(l) }()
	return nil
}

// crash ends the life with all its runs; connections are refused afterwards.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for _, r := range w.runs {
		w.site.ledger.end(r.recorded, "crash")
	}
	w.runs = map[string]*workerRun{}
	server := w.server
	w.mu.Unlock()
	w.site.rec.add("%s crashes", w.name)
	_ = server.Close()
}

func (w *worker) clock() time.Duration {
	return time.Duration((1 - drift) * float64(time.Since(w.born)))
}

// silent leaves a call without an answer until the caller closes the connection.
func silent(rw http.ResponseWriter) {
	conn, _, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	go func() {
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.Copy(io.Discard, conn)
		_ = conn.Close()
	}()
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(raw, &o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	hang, late := w.hang, w.late
	w.mu.Unlock()
	if hang {
		silent(rw)
		return
	}
	instance := r.Header.Get("Cactuspost-Expect-Instance")
	if late != nil {
		if after, yes := late(r.URL.Path, &o); yes {
			if r.URL.Path == "/-/run-start" {
				w.mu.Lock()
				w.postponed++
				w.mu.Unlock()
			}
			w.site.rec.add("%s leaves %s %s run %d unanswered, to carry it out in %v", w.name, r.URL.Path, o.Task, o.Run, after)
			time.AfterFunc(after, func() { w.carryOut(instance, r.URL.Path, &o) })
			silent(rw)
			return
		}
	}
	status, body := w.execute(instance, r.URL.Path, &o)
	if status == 0 {
		silent(rw)
		return
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

// carryOut executes a call late.
func (w *worker) carryOut(instance, path string, o *order) {
	o.WaitMS = 0
	status, body := w.execute(instance, path, o)
	w.site.rec.add("%s carries out %s %s run %d late: %d %v", w.name, path, o.Task, o.Run, status, body["reason"])
}

func (w *worker) execute(instance, path string, o *order) (int, map[string]any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return 0, nil
	}
	if instance != "" && instance != w.id {
		return http.StatusMisdirectedRequest, nil
	}
	if o.FencingToken < w.token {
		return w.conflict("fence")
	}
	w.token = o.FencingToken
	switch path {
	case "/-/run-start":
		return w.start(o)
	case "/-/run-stop":
		if r := w.runs[o.Task]; r != nil && r.number <= o.Run && r.stopsAt.IsZero() {
			r.stopsAt = time.Now().Add(30 * time.Millisecond)
		}
		w.last[o.Task] = max(w.last[o.Task], o.Run)
		return http.StatusOK, w.body()
	case "/-/hold":
		return w.hold(o)
	}
	return http.StatusNotFound, nil
}

func (w *worker) body() map[string]any {
	return map[string]any{"clockMs": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
}

func (w *worker) conflict(reason string) (int, map[string]any) {
	b := w.body()
	b["reason"] = reason
	return http.StatusConflict, b
}

func (w *worker) extend(untilMS int64) {
	until := min(time.Duration(untilMS)*time.Millisecond, w.clock()+maxHold)
	w.lease = max(w.lease, until)
}

func (w *worker) start(o *order) (int, map[string]any) {
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		w.extend(o.UntilMS)
		return http.StatusOK, w.body()
	}
	if w.runs[o.Task] != nil || o.Run <= w.last[o.Task] {
		w.extend(o.UntilMS)
		return w.conflict("old")
	}
	if time.Duration(o.UntilMS)*time.Millisecond <= w.clock() {
		return w.conflict("late")
	}
	w.extend(o.UntilMS)
	ms, cpu := 0, 0
	_, _ = fmt.Sscanf(o.Spec, "ms=%d cpu=%d", &ms, &cpu)
	used := cpu
	for _, r := range w.runs {
		used += r.cpu
	}
	if used > w.cpu {
		return w.conflict("room")
	}
	w.runs[o.Task] = &workerRun{
		number: o.Run, cpu: cpu, endsAt: time.Now().Add(time.Duration(ms) * time.Millisecond),
		recorded: w.site.ledger.begin(w.id, o.Task, o.Run),
	}
	return http.StatusOK, w.body()
}

// hold extends the lease and answers with both lists, after waiting for an end.
func (w *worker) hold(o *order) (int, map[string]any) {
	if o.UntilMS > 0 {
		w.extend(o.UntilMS)
	}
	for len(w.ends) > 0 && w.ends[0][0].(uint64) <= o.LastSeen {
		w.ends = w.ends[1:]
	}
	life, until := w.born, time.Now().Add(time.Duration(o.WaitMS)*time.Millisecond)
	for len(w.ends) == 0 && time.Now().Before(until) {
		w.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		w.mu.Lock()
		if !w.up || w.born != life {
			return 0, nil
		}
	}
	b := w.body()
	running := [][]any{}
	for task, r := range w.runs {
		running = append(running, []any{task, r.number, "", 50, 0})
	}
	b["running"], b["ended"] = running, append([][]any{}, w.ends[:min(500, len(w.ends))]...)
	return http.StatusOK, b
}

// tick ends runs that are due and sends heartbeats.
func (w *worker) tick() {
	var nextBeat time.Time
	var beatOf time.Time
	for range time.Tick(2 * time.Millisecond) {
		w.mu.Lock()
		if !w.up {
			w.mu.Unlock()
			continue
		}
		now := time.Now()
		for task, r := range w.runs {
			switch {
			case w.clock() > w.lease:
				w.finish(task, r, "lapsed")
			case !r.stopsAt.IsZero() && now.After(r.stopsAt):
				w.finish(task, r, "stopped")
			case r.stopsAt.IsZero() && now.After(r.endsAt):
				w.finish(task, r, "done")
			}
		}
		due := now.After(nextBeat) || beatOf != w.born
		if due {
			nextBeat, beatOf = now.Add(1500*time.Millisecond), w.born
			go w.beat()
		}
		w.mu.Unlock()
	}
}

func (w *worker) finish(task string, r *workerRun, how string) {
	delete(w.runs, task)
	w.last[task] = max(w.last[task], r.number)
	w.serial++
	w.ends = append(w.ends, []any{w.serial, task, r.number, how, ""})
	w.site.ledger.end(r.recorded, how)
}

func (w *worker) beat() {
	w.mu.Lock()
	w.sequence++
	state := "ready"
	if w.draining {
		state = "draining"
	}
	id := w.id
	body, _ := json.Marshal(map[string]any{
		"service": "desk", "address": w.ip + ":8165", "zone": "kochi", "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]int{"cpu": w.cpu, "memMb": 32768, "gpu": 0}, "labels": []string{"a", "r1-1"},
		"clockMs": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.mu.Unlock()
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+w.ip+":8166/-/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK && state == "draining" {
		w.mu.Lock()
		if w.drainAck.IsZero() {
			w.drainAck = time.Now()
			w.site.rec.add("%s: draining is acknowledged", w.name)
		}
		w.mu.Unlock()
	}
}
