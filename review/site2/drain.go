package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// drainBound is drainMs of the settings.
const drainBound = 2 * time.Second

// foreignHeartbeat sends a heartbeat of another writer to the control address of the
// worker's machine: several fields are missing, and its sequence is a count of its own.
func (w *worker) foreignHeartbeat() error {
	w.mu.Lock()
	body, _ := json.Marshal(map[string]any{
		"service": "desk", "address": w.ip + ":8165", "state": "ready", "capacity": map[string]int{"cpu": w.cpu, "memMb": 32768},
		"sequence": time.Now().Unix(), "born": w.born.UnixMilli(),
	})
	id := w.id
	w.mu.Unlock()
	w.site.rec.add("another writer sends a heartbeat of %s without zone, version, slots, coldRemainingMs, labels and clockMs: %s", id, body)
	response, err := http.Post("http://"+w.ip+":8166/-/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	w.site.rec.add("the other writer gets %d %s", response.StatusCode, text)
	return nil
}

// drain makes the worker say that it leaves, at once and with every later heartbeat.
func (w *worker) drain() {
	w.mu.Lock()
	w.draining = true
	w.mu.Unlock()
	w.site.rec.add("%s says that it is draining", w.name)
	w.beat()
}

func foreign(s *site, trouble bool) (bool, error) {
	s.store.configure(1, 1500)
	e, err := s.startEntry("entry-1")
	if err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 3 {
		ip := s.address()
		w, err := s.newWorker(fmt.Sprintf("w%d", i+1), ip, 32000)
		if err != nil {
			return false, err
		}
		if _, err := s.startAgent("agent-"+w.name, ip); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := e.ready(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(15 * time.Millisecond):
				go e.post(fmt.Sprintf("%016x", rand.Uint64()), "ms=170 cpu=3100", 1500*time.Millisecond, step{Count: 2, CPU: 3100, MemMB: 64, EstimateMS: 170})
			}
		}
	}()
	time.Sleep(4 * time.Second)
	leaving := workers[0]
	if trouble {
		if err := leaving.foreignHeartbeat(); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	leaving.drain()
	time.Sleep(10 * time.Second)
	leaving.mu.Lock()
	acked := leaving.drainAck
	leaving.mu.Unlock()
	if acked.IsZero() {
		return false, fmt.Errorf("draining was not acknowledged")
	}
	late := 0
	s.ledger.mu.Lock()
	for _, r := range s.ledger.runs {
		if r.worker == leaving.id && r.from.After(acked.Add(drainBound)) {
			late++
		}
	}
	s.ledger.mu.Unlock()
	s.rec.add("%d tasks started on %s later than drainMs after its draining was acknowledged", late, leaving.name)
	return late == 0, nil
}
