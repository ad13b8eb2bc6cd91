package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store.
type store struct {
	rec     *record
	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]storedRow
	history []storedRow
	version uint64
	// idleTimeoutMS is the idle timeout of clients' connections in the configuration.
	idleTimeoutMS int
}

type storedRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore(rec *record) *store {
	s := &store{rec: rec, rows: map[string]storedRow{}, idleTimeoutMS: 15_000}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.changed.Broadcast()
		}
	}()
	return s
}

func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (s *store) write(r storedRow) {
	s.version++
	r.Ver = s.version
	s.history = append(s.history, r)
	key := r.Table + "\x00" + r.Part + "\x00" + r.Key
	if r.Deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = r
	}
	s.changed.Broadcast()
}

// configure writes the configuration of one queue, as the operator does.
func (s *store) configure(version int, timeoutMS int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	value := fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":%q,"pathPrefix":%q,"service":"desk","timeoutMs":%d,`+
		`"targetLatencyMs":60,"priority":0,"maxAttempts":3,"stretch":1.6}],"services":[{"name":"desk","enforcesCapacity":true}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":%d}}`, version, host, prefix, timeoutMS, s.idleTimeoutMS)
	s.write(storedRow{Table: "op", Key: "config", Value: []byte(value)})
	s.rec.add("operator writes configuration %d", version)
}

func (s *store) answer(w http.ResponseWriter, rows []storedRow, more bool) {
	if rows == nil {
		rows = []storedRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Now().UnixMilli()})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		ExpectedRev, Writes, Remove []storedRow
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(6 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.ExpectedRev {
		if s.rows[e.Table+"\x00"+e.Part+"\x00"+e.Key].Ver != e.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, row := range tx.Writes {
		s.write(row)
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		s.write(row)
	}
	s.answer(w, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	var found []storedRow
	for _, row := range s.rows {
		if row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 {
		limit = 500
	}
	more := len(found) > limit
	s.answer(w, found[:min(limit, len(found))], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		var found []storedRow
		for _, row := range s.history {
			if row.Table == q.Get("table") && row.Ver > after {
				found = append(found, row)
			}
		}
		if len(found) > 0 || !time.Now().Before(until) {
			s.answer(w, found, false)
			return
		}
		s.changed.Wait()
	}
}
