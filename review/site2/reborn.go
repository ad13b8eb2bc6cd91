package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Doses of the two disruptions.
const (
	// lateShare of the orders that a worker gets within lateTime are left unanswered and
	// carried out 2 to 12 s later.
	lateShare = 0.5
	lateTime  = 5 * time.Second
	// crashTime is how long a crashed worker is down.
	crashTime = 200 * time.Millisecond
	crashes   = 17
)

// reborn has the workers leave orders unanswered and carry them out late. Then the
// one that left most starts unanswered crashes again and again, and starts under its id.
func reborn(s *site, trouble bool) (bool, error) {
	s.store.configure(1, 30_000)
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
	job := func() {
		e.post(fmt.Sprintf("%016x", rand.Uint64()), "ms=14000 cpu=100", 30*time.Second, step{Count: 1, CPU: 100, MemMB: 64, EstimateMS: 14000})
	}
	short := func() {
		e.post(fmt.Sprintf("%016x", rand.Uint64()), "ms=50 cpu=100", 1500*time.Millisecond, step{Count: 2, CPU: 100, MemMB: 64, EstimateMS: 50})
	}
	setLate := func(late func(string, *order) (time.Duration, bool)) {
		for _, w := range workers {
			w.mu.Lock()
			w.late = late
			w.mu.Unlock()
		}
	}
	if trouble {
		setLate(func(path string, _ *order) (time.Duration, bool) {
			return time.Duration(2000+rand.IntN(10_000)) * time.Millisecond, path != "/-/hold" && rand.Float64() < lateShare
		})
		s.rec.add("the workers leave a part of their orders unanswered and carry them out late")
	}
	begin := time.Now()
	for time.Since(begin) < lateTime {
		go short()
		for range 6 {
			go job()
			time.Sleep(9 * time.Millisecond)
		}
	}
	setLate(nil)
	// The worker that left most starts unanswered.
	w := workers[0]
	for _, other := range workers {
		if other.postponed > w.postponed {
			w = other
		}
	}
	for range crashes {
		if trouble {
			w.crash()
		}
		time.Sleep(crashTime)
		if trouble {
			if err := w.begin(w.id); err != nil {
				return false, err
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	s.rec.add("%d starts of a task while another run of it was at work", s.ledger.overlapCount())
	return s.ledger.overlapCount() == 0, nil
}
