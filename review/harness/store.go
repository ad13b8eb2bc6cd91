package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store. It keeps rows, answers long
// polls, and loses nothing.
type store struct {
	mu      sync.Mutex
	rows    map[rowID]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	started time.Time
	server  *http.Server
}

type rowID struct{ table, part, key string }

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

func startStore(address string) (*store, error) {
	s := &store{rows: map[rowID]storeRow{}, changed: make(chan struct{}), started: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) {
	raw, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: raw, Ver: s.version})
}

// apply needs the lock.
func (s *store) apply(r storeRow) {
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct{ ExpectedRev, Writes, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []storeRow
	for _, e := range tx.ExpectedRev {
		if s.rows[e.id()].Ver != e.Ver {
			conflicts = append(conflicts, s.rows[e.id()])
		}
	}
	if len(conflicts) > 0 {
		s.answer(w, http.StatusPreconditionFailed, conflicts, false)
		return
	}
	s.version++
	for _, row := range tx.Writes {
		row.Ver = s.version
		s.apply(row)
	}
	for _, row := range tx.Remove {
		if _, found := s.rows[row.id()]; found {
			row.Ver, row.Value, row.Deleted = s.version, nil, true
			s.apply(row)
		}
	}
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	for id, row := range s.rows {
		inRange := id.key >= q.Get("from") && (q.Get("target") == "" || id.key < q.Get("target"))
		if id.table == q.Get("table") && id.part == q.Get("part") && inRange {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, k int) bool { return found[i].Key < found[k].Key })
	s.answer(w, http.StatusOK, found[:min(limit, len(found))], len(found) > limit)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []storeRow
		for _, row := range s.history {
			if row.Ver > after && row.Table == q.Get("table") {
				found = append(found, row)
			}
		}
		if len(found) > 0 {
			s.answer(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			s.answer(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}

// answer needs the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	writeJSON(w, status, map[string]any{"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Since(s.started).Milliseconds()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
