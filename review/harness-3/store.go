package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]storeRow
	changes []storeRow
	version uint64
	changed chan struct{}
	server  *http.Server
	address string
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (r storeRow) id() [3]string { return [3]string{r.Table, r.Part, r.Key} }

func newStore(address string) (*store, error) {
	s := &store{rows: map[[3]string]storeRow{}, changed: make(chan struct{}), address: address}
	return s, s.open(address)
}

// open serves the content of the store at an address.
func (s *store) open(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/rows-tx", s.tx)
	mux.HandleFunc("/-/rows-get", s.get)
	mux.HandleFunc("/-/rows-feed", s.feed)
	s.server = &http.Server{Handler: mux}
	s.address = address
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

// close ends the service at the present address; the content stays.
func (s *store) close() { _ = s.server.Close() }

func (s *store) write(r storeRow) {
	s.version++
	r.Ver = s.version
	s.changes = append(s.changes, r)
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator does and returns the time of the acknowledgement.
func (s *store) put(table, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeRow{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
	return time.Now()
}

func (s *store) reply(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Since(started).Milliseconds()})
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var body struct{ ExpectedRev, Writes, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.ExpectedRev {
		if s.rows[e.id()].Ver != e.Ver {
			s.reply(w, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	for _, e := range body.Writes {
		s.write(e)
	}
	for _, e := range body.Remove {
		e.Deleted = true
		s.write(e)
	}
	s.reply(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storeRow
	for id, row := range s.rows {
		if id[0] == q.Get("table") && id[1] == q.Get("part") && id[2] >= q.Get("from") && (q.Get("target") == "" || id[2] < q.Get("target")) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, k int) bool { return found[i].Key < found[k].Key })
	limit := 500
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	more := len(found) > limit
	s.reply(w, http.StatusOK, found[:min(limit, len(found))], more)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var found []storeRow
		for _, c := range s.changes {
			if c.Ver > after && c.Table == q.Get("table") {
				found = append(found, c)
			}
		}
		if len(found) > 0 {
			s.reply(w, http.StatusOK, found, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			s.mu.Lock()
			s.reply(w, http.StatusOK, nil, false)
			s.mu.Unlock()
			return
		}
	}
}
