package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the small deployment: the traffic of the site's day scale-1 and its bound
// recoveryS.
const (
	requestsPerSecond = 136
	recovery          = 12 * time.Second
	clientDeadline    = 1500 * time.Millisecond
	// idleTimeoutMS is what the operator's configuration sets.
	idleTimeoutMS = 60_000
	// clientFds is enough for the connections of all users.
	clientFds = 9000
	usualTime = 6 * time.Second
	timeAfter = 97 * time.Second
)

// balancer is the stand-in of the platform's balancer: it asks every entry once a second
// whether it is ready, and forwards new connections to those in rotation.
type balancer struct {
	entries []*process
	mu      sync.Mutex
	misses  map[*process]int
}

func (b *balancer) run() {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(time.Second) {
		for _, e := range b.entries {
			go func() {
				r, err := client.Get("http://" + e.ip + ":8167/-/ready")
				ok := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					_ = r.Body.Close()
				}
				b.mu.Lock()
				defer b.mu.Unlock()
				before := b.misses[e]
				if ok {
					b.misses[e] = 0
				} else {
					b.misses[e]++
				}
				if before < 2 != (b.misses[e] < 2) {
					e.site.rec.add("balancer: %s in rotation: %v (%v)", e.name, b.misses[e] < 2, err)
				}
			}()
		}
	}
}

// choose returns an entry for a new connection: one in rotation, if there is one.
func (b *balancer) choose() *process {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*process
	for _, e := range b.entries {
		if b.misses[e] < 2 {
			in = append(in, e)
		}
	}
	if len(in) == 0 {
		in = b.entries
	}
	return in[rand.IntN(len(in))]
}

// tally counts the requests sent in a period and those served.
type tally struct{ sent, served atomic.Int64 }

// user sends one request on a connection of its own and keeps the connection open until
// the entry closes it, as HTTP/1.1 clients do.
func user(b *balancer, body []byte, count *tally, failures *sync.Map) {
	count.sent.Add(1)
	e := b.choose()
	conn, err := net.DialTimeout("tcp", e.ip+":8161", clientDeadline)
	if err != nil {
		note(failures, "no connection")
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientDeadline))
	_, err = fmt.Fprintf(conn, "POST %s%016x HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nCactuspost-Request-Deadline-Ms: 1500\r\nContent-Length: %d\r\n\r\n%s",
		prefix, rand.Uint64(), host, len(body), body)
	if err != nil {
		note(failures, "connection lost")
		return
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		note(failures, "no answer")
		return
	}
	text, err := io.ReadAll(response.Body)
	switch {
	case err != nil:
		note(failures, "no answer")
		return
	case response.StatusCode != http.StatusOK || string(text) != `{"state":"completed"}`:
		note(failures, fmt.Sprint(response.StatusCode))
	default:
		count.served.Add(1)
	}
	if response.Close {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, reader)
}

func note(failures *sync.Map, what string) {
	n, _ := failures.LoadOrStore(what, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
}

func deaf(s *site, trouble bool) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < clientFds {
		return false, fmt.Errorf("the clients need %d descriptors, and may have %d", clientFds, limit.Cur)
	}
	s.store.idleTimeoutMS = idleTimeoutMS
	s.store.configure(1, 1500)
	b := &balancer{misses: map[*process]int{}}
	for i := range 3 {
		e, err := s.startEntry(fmt.Sprintf("entry-%d", i+1))
		if err != nil {
			return false, err
		}
		b.entries = append(b.entries, e)
	}
	var agents []*process
	for i := range 4 {
		ip := s.address()
		w, err := s.newWorker(fmt.Sprintf("w%d", i+1), ip, 32000)
		if err != nil {
			return false, err
		}
		a, err := s.startAgent("agent-"+w.name, ip)
		if err != nil {
			return false, err
		}
		agents = append(agents, a)
	}
	for _, e := range b.entries {
		if err := e.ready(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	go b.run()

	body, _ := json.Marshal(map[string]any{"spec": "ms=50 cpu=3100", "bestEffort": true, "steps": []step{{Count: 2, CPU: 3100, MemMB: 64, EstimateMS: 50}}})
	var current atomic.Pointer[tally]
	var before, between, after tally
	current.Store(&before)
	failures := &sync.Map{}
	stop := make(chan struct{})
	s.rec.add("traffic begins: %d requests a second, each of a user with a connection of its own", requestsPerSecond)
	go func() {
		// What a busy machine has delayed is sent at once, so that the rate holds.
		begin, sent := time.Now(), 0
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			for due := int(time.Since(begin).Seconds() * requestsPerSecond); sent < due; sent++ {
				go user(b, body, current.Load(), failures)
			}
		}
	}()
	go func() {
		for range time.Tick(4 * time.Second) {
			c := current.Load()
			line := ""
			failures.Range(func(k, v any) bool { line += fmt.Sprintf(" %v: %d", k, v.(*atomic.Int64).Load()); return true })
			s.rec.add("sent %d, served %d in this period; not served so far:%s; descriptors of entry-1: %d", c.sent.Load(), c.served.Load(), line, b.entries[0].descriptors())
		}
	}()
	time.Sleep(usualTime)
	current.Store(&between)
	if trouble {
		s.store.configure(2, 1500)
		s.rec.add("the final fault: all processes are killed; entry-2 and entry-3 are lost for good")
		for _, p := range append(append([]*process{}, b.entries...), agents...) {
			p.kill()
		}
		time.Sleep(time.Second)
		for _, p := range append([]*process{b.entries[0]}, agents...) {
			if err := p.start(); err != nil {
				return false, err
			}
		}
	}
	s.rec.add("the machines are back")
	time.Sleep(recovery)
	current.Store(&after)
	time.Sleep(timeAfter - recovery)
	close(stop)
	time.Sleep(2 * time.Second)
	s.rec.add("before the fault: sent %d, served %d", before.sent.Load(), before.served.Load())
	s.rec.add("later than recoveryS after the machines are back: sent %d, served %d", after.sent.Load(), after.served.Load())
	for _, e := range b.entries[:1] {
		select {
		case <-e.done:
			s.rec.add("%s has ended", e.name)
		default:
			s.rec.add("%s is still running, with %d descriptors", e.name, e.descriptors())
		}
	}
	return 4*after.served.Load() >= after.sent.Load() || 4*before.served.Load() < before.sent.Load(), nil
}
