package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["fenced-out"] = fencedOut }

// sample is a request of the steady traffic.
type sample struct {
	sent   time.Time
	served bool
}

// traffic submits jobs at a steady pace until stop is closed.
func (s *site) traffic(every time.Duration, stop <-chan struct{}) func() []sample {
	var mu sync.Mutex
	var samples []sample
	var open sync.WaitGroup
	var number atomic.Int64
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			n := number.Add(1)
			open.Go(func() {
				j := &job{id: fmt.Sprintf("%016x", 0xabc0000000000000+uint64(n)), tasks: 2, ms: 50, cpu: 1600, estimate: 50}
				r := s.submit(context.Background(), s.entries[int(n)%len(s.entries)], firstRoute, j, 1500*time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				samples = append(samples, sample{r.sent, r.status == 200 && r.state == "completed"})
			})
		}
	}()
	return func() []sample {
		<-ended
		open.Wait()
		return samples
	}
}

// share returns the part of the requests sent between two times that was served.
func share(samples []sample, from, to time.Time) (served, sent int) {
	for _, x := range samples {
		if x.sent.Before(from) || !x.sent.Before(to) {
			continue
		}
		sent++
		if x.served {
			served++
		}
	}
	return served, sent
}

// fencedOut lets each worker crash and start again once under its id, two of eleven at a
// time, and then kills all processes. The steady clock of a worker counts from the start
// of its machine, and so starts anew.
func fencedOut(s *site, trouble bool) (verdict, string) {
	crashes := trouble && os.Getenv("TROUBLE") != "final"
	const recovery = 12 * time.Second
	if err := s.start(4, 11, 16000); err != nil {
		return couldntDo, err.Error()
	}
	s.configure(1, 1500, firstRoute)
	if err := s.awaitReady(); err != nil {
		return couldntDo, err.Error()
	}
	stop := make(chan struct{})
	result := s.traffic(50*time.Millisecond, stop)
	time.Sleep(2 * time.Second)
	for i := 0; i < len(s.workers) && crashes; i += 2 {
		pair := s.workers[i:min(i+2, len(s.workers))]
		for _, w := range pair {
			w.crash()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, w := range pair {
			if err := w.begin(0); err != nil {
				return couldntDo, err.Error()
			}
		}
		time.Sleep(3 * time.Second)
	}
	time.Sleep(5 * time.Second)
	faultAt := time.Now()
	if trouble {
		s.configure(2, 1400, firstRoute)
		for _, n := range append(append([]*node{}, s.entries...), s.agents...) {
			n.signal(syscall.SIGKILL)
		}
		time.Sleep(800 * time.Millisecond)
		for _, n := range append(append([]*node{}, s.entries...), s.agents...) {
			<-n.done
			if err := n.start(); err != nil {
				return couldntDo, err.Error()
			}
		}
	}
	back := time.Now()
	time.Sleep(recovery + 8*time.Second)
	close(stop)
	samples := result()
	servedBefore, sentBefore := share(samples, faultAt.Add(-5*time.Second), faultAt.Add(-1500*time.Millisecond))
	served, sent := share(samples, back.Add(recovery), time.Now())
	text := fmt.Sprintf("RECOVER: %d of %d requests served before the final fault, %d of %d sent later than %v after the machines are back", servedBefore, sentBefore, served, sent, recovery)
	if 4*servedBefore < sentBefore || sent == 0 {
		return couldntDo, text
	}
	if 4*served < sent {
		return broken, text
	}
	return held, text
}
