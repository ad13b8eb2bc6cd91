package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// grace is the platform's graceS.
const grace = 6 * time.Second

// route returns a route of the survey service. Its times are those of the class
// cliff-estimate, with a time-out that is longer than any wait of a case.
func route() map[string]any {
	return map[string]any{
		"name": "cliff-estimate", "host": routeHost, "pathPrefix": routePrefix, "service": serviceName,
		"timeoutMs": 30_000, "targetLatencyMs": 60, "priority": 2, "maxAttempts": 2, "stretch": 1.6,
	}
}

// submission is one request of a client, and what became of it.
type submission struct {
	id     string
	entry  int
	sent   time.Time
	status int
	err    error
	ended  time.Time
}

// plannedStop stops one of two entries with SIGTERM while jobs wait for room at both.
// It fails if a request that the stopped entry has read ends without an answer.
func plannedStop(root string, log *record, trouble bool) (int, error) {
	const (
		jobs, tasks, taskMs = 36, 4, 2000
		spacing             = 125 * time.Millisecond
		clientDeadline      = 20 * time.Second
		lossSlack           = 200 * time.Millisecond
	)
	s, err := startSite(root, log, 2, 2, 16_000, route())
	defer s.close()
	if err != nil {
		return notRun, err
	}
	var wait sync.WaitGroup
	all := make([]*submission, jobs)
	for i := range all {
		sub := &submission{id: newID(), entry: i % 2, sent: time.Now()}
		all[i] = sub
		log.printf("POST %s to %s", sub.id, s.entries[sub.entry].name)
		wait.Go(func() {
			sub.status, _, sub.err = call("POST", s.entries[sub.entry].front(), routePrefix+sub.id, jobBody(taskMs, 1600, tasks), clientDeadline)
			sub.ended = time.Now()
			log.printf("answer to %s: status %d, error %v", sub.id, sub.status, sub.err)
		})
		time.Sleep(spacing)
	}
	stopped := s.entries[0]
	stopAt := time.Now()
	if trouble {
		log.printf("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		select {
		case <-stopped.exited:
			log.printf("%s has ended %d ms after SIGTERM", stopped.name, time.Since(stopAt).Milliseconds())
		case <-time.After(grace):
			log.printf("SIGKILL to %s", stopped.name)
			stopped.signal(syscall.SIGKILL)
		}
	}
	wait.Wait()
	lost, answered, excused := 0, 0, 0
	for _, sub := range all {
		switch {
		case sub.err == nil:
			answered++
		case sub.ended.Sub(sub.sent) < lossSlack, sub.ended.Sub(sub.sent) >= clientDeadline:
			excused++
		case trouble && sub.sent.Before(stopAt.Add(3*time.Second)) && s.atWork(sub.id, stopAt.Add(grace*5/6), stopAt.Add(grace)):
			log.printf("%s is excused: a worker was at work on it in the last sixth of the grace period", sub.id)
			excused++
		default:
			log.printf("LOST: %s, sent %d ms before SIGTERM, cut %d ms after it", sub.id, stopAt.Sub(sub.sent).Milliseconds(), sub.ended.Sub(stopAt).Milliseconds())
			lost++
		}
	}
	summary := fmt.Sprintf("%d jobs: %d answered, %d lost, %d excused", jobs, answered, lost, excused)
	log.printf("%s", summary)
	fmt.Println(summary)
	if lost > 0 {
		return ruleBroken, nil
	}
	if !trouble && answered < jobs {
		return notRun, fmt.Errorf("without the stop, %s", summary)
	}
	return ruleHeld, nil
}

// atWork reports whether a worker was at work on the job at some time between two.
func (s *site) atWork(id string, from, to time.Time) bool {
	for _, r := range s.runs() {
		if strings.HasPrefix(r.task, id+".") && r.started.Before(to) && (r.ended.IsZero() || r.ended.After(from)) {
			return true
		}
	}
	return false
}

const (
	// cancelBound and stopBound are the platform's cancel_ms and stopMs.
	cancelBound = 3 * time.Second
	stopBound   = 50 * time.Millisecond
)

// cancelElsewhere cancels a job through another entry than the one that has it, because
// its client has moved to another zone. It fails if tasks start or run on too long after
// the cancel was acknowledged.
func cancelElsewhere(root string, log *record, trouble bool) (int, error) {
	s, err := startSite(root, log, 2, 2, 16_000, route())
	defer s.close()
	if err != nil {
		return notRun, err
	}
	id := newID()
	posted := make(chan struct{})
	log.printf("POST %s to %s", id, s.entries[0].name)
	go func() {
		status, body, err := call("POST", s.entries[0].front(), routePrefix+id, jobBody(5000, 1600, 2, step{Count: 2, CPU: 1600, MemMb: 64, EstimateMs: 5000, After: []int{0}}), 20*time.Second)
		log.printf("answer to POST %s: status %d, body %s, error %v", id, status, body, err)
		close(posted)
	}()
	time.Sleep(time.Second)
	through := s.entries[0]
	if trouble {
		through = s.entries[1]
		log.printf("the client moves to the zone of %s", through.name)
	}
	ackedAt, status, err := s.cancel(through, id)
	if err != nil || status != 200 && status != 410 {
		return notRun, fmt.Errorf("cancel: status %d, error %v", status, err)
	}
	<-posted
	time.Sleep(500 * time.Millisecond)
	return s.checkCancelled(id, ackedAt), nil
}

func (s *site) cancel(through *node, id string) (time.Time, int, error) {
	s.log.printf("DELETE %s to %s", id, through.name)
	status, body, err := call("DELETE", through.front(), routePrefix+id, nil, 5*time.Second)
	s.log.printf("answer to DELETE %s: status %d, body %s, error %v", id, status, body, err)
	return time.Now(), status, err
}

// checkCancelled checks the runs of a job whose cancel was acknowledged.
func (s *site) checkCancelled(id string, ackedAt time.Time) int {
	code := ruleHeld
	for _, r := range s.runs() {
		if !strings.HasPrefix(r.task, id+".") {
			continue
		}
		if late := r.started.Sub(ackedAt); late > cancelBound {
			s.log.printf("UNASKED: %s starts %d ms after the cancel was acknowledged", r.task, late.Milliseconds())
			code = ruleBroken
		} else if late := r.ended.Sub(ackedAt); r.ended.IsZero() || late > cancelBound+stopBound {
			s.log.printf("UNASKED: %s runs until %d ms after the cancel was acknowledged", r.task, late.Milliseconds())
			code = ruleBroken
		}
	}
	return code
}
