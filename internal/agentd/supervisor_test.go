package agentd

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/leased"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
)

// idleWorker answers every poll and starts no runs.
type idleWorker struct{ born int64 }

func (idleWorker) Start(*leased.SendStart) leased.CallResult { return leased.Unhealthy }
func (idleWorker) Stop(*leased.SendStop) leased.CallResult   { return leased.Done }
func (w idleWorker) Poll(m *leased.SendPoll) (leased.CallResult, leased.Report) {
	time.Sleep(m.Wait)
	return leased.Done, leased.Report{Clock: time.Minute, Born: w.born}
}

// startSupervisor runs a supervisor. It returns a counter of the agents that were
// configured and a channel with the saved announcements.
func startSupervisor(t *testing.T) (*Supervisor, *atomic.Int64, chan Announcement) {
	t.Helper()
	configsBuilt := &atomic.Int64{}
	saved := make(chan Announcement, 16)
	s := NewSupervisor(func(a Announcement) Config {
		configsBuilt.Add(1)
		return Config{
			Agent:  settings.Agent{Endpoint: "w", Pool: a.Pool, Slots: 16, HTTPAddress: "127.0.0.1:0", UnackedLimit: 10},
			Worker: idleWorker{born: a.Born}, Born: a.Born,
		}
	}, func(a Announcement) { saved <- a }, logging.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() { cancel(); <-s.inbox.Done() })
	return s, configsBuilt, saved
}

func newAnnouncement(born int64, sequence uint64) Announcement {
	return Announcement{Worker: "i-1", Born: born, Sequence: sequence, Pool: "p", Capacity: structs.Needs{Cores: 2}}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !condition(); {
		if time.Now().After(end) {
			t.Fatal("the condition was not met within 10 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func TestSupervisorRunsOneAgentPerWorkerIncarnation(t *testing.T) {
	is := is.New(t)
	s, configsBuilt, saved := startSupervisor(t)
	s.Announce(newAnnouncement(10, 1))
	s.Announce(newAnnouncement(10, 2))
	is.Equal((<-saved).Sequence, uint64(1))
	waitUntil(t, func() bool { return configsBuilt.Load() == 1 })
	s.Announce(newAnnouncement(20, 1)) // the worker was restarted under the same name
	is.Equal((<-saved).Born, int64(20))
	waitUntil(t, func() bool { return configsBuilt.Load() == 2 })
	s.Announce(newAnnouncement(10, 3)) // delayed, from the previous incarnation
	draining := newAnnouncement(20, 2)
	draining.Draining = true
	s.Announce(draining)
	is.True((<-saved).Draining)
	s.Announce(newAnnouncement(30, 1))
	waitUntil(t, func() bool { return configsBuilt.Load() == 3 })
	s.Stop()
	<-s.inbox.Done()
}

// tokenWorker is an idle worker that reports the tokens of its polls. Its clock stands still.
type tokenWorker struct {
	idleWorker
	clock  time.Duration
	tokens chan uint64
}

func (w tokenWorker) Poll(m *leased.SendPoll) (leased.CallResult, leased.Report) {
	result, report := w.idleWorker.Poll(m)
	report.Clock = w.clock
	if m.Token != 0 {
		select {
		case w.tokens <- m.Token:
		default:
		}
	}
	return result, report
}

// The clock of the worker's next life begins lower than that of the one before.
func TestTokensRiseOverTheLivesOfAWorkerId(t *testing.T) {
	is := is.New(t)
	tokens := map[int64]chan uint64{10: make(chan uint64, 1), 20: make(chan uint64, 1)}
	clocks := map[int64]time.Duration{10: time.Hour, 20: time.Second}
	s := NewSupervisor(func(a Announcement) Config {
		return Config{
			Agent:  settings.Agent{Endpoint: "w", Pool: a.Pool, Slots: 16, HTTPAddress: "127.0.0.1:0", UnackedLimit: 10},
			Worker: tokenWorker{idleWorker{born: a.Born}, clocks[a.Born], tokens[a.Born]}, Born: a.Born,
		}
	}, func(Announcement) {}, logging.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() { cancel(); <-s.inbox.Done() })
	s.Announce(newAnnouncement(10, 1))
	first := <-tokens[10]
	s.Announce(newAnnouncement(20, 1))
	is.True(<-tokens[20] > first)
}

func TestStoredAnnouncementIsUsedUntilANewIncarnation(t *testing.T) {
	s, configsBuilt, _ := startSupervisor(t)
	s.Announce(newAnnouncement(20, 0)) // loaded from the store
	waitUntil(t, func() bool { return configsBuilt.Load() == 1 })
	s.Announce(newAnnouncement(20, 7)) // the same incarnation: the agent continues
	s.Announce(newAnnouncement(30, 1))
	waitUntil(t, func() bool { return configsBuilt.Load() == 2 })
}

func TestStoredAnnouncementNeverReplacesAHeartbeat(t *testing.T) {
	is := is.New(t)
	newer, older := newAnnouncement(30, 1), newAnnouncement(20, 0)
	is.True(!older.newerThan(newer))
	is.True(!newAnnouncement(40, 0).newerThan(newer)) // a stored announcement never replaces a received one
	is.True(older.newerThan(Announcement{}))
}

// singleRowStore is a RowStore with one row.
type singleRowStore struct {
	value atomic.Pointer[[]byte]
}

func (r *singleRowStore) Get(context.Context, string, string) ([]byte, error) {
	if v := r.value.Load(); v != nil {
		return *v, nil
	}
	return nil, nil
}

func (r *singleRowStore) Put(_ context.Context, _, _ string, value []byte) error {
	r.value.Store(&value)
	return nil
}

func TestAnnouncementOfAPredecessorIsLoaded(t *testing.T) {
	is := is.New(t)
	store := &singleRowStore{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := NewAnnouncementStore(store, "w", logging.Discard())
	go first.Run(ctx, func(Announcement) bool { t.Error("an announcement was loaded from an empty store"); return true })
	first.Save(newAnnouncement(20, 4))
	waitUntil(t, func() bool { return store.value.Load() != nil })

	loaded := make(chan Announcement, 1)
	go NewAnnouncementStore(store, "w", logging.Discard()).Run(ctx, func(a Announcement) bool { loaded <- a; return true })
	got := <-loaded
	is.Equal(got.Born, int64(20))
	is.Equal(got.Sequence, uint64(0))

	draining := newAnnouncement(20, 5)
	draining.Draining = true
	first.Save(draining)
	waitUntil(t, func() bool {
		var a Announcement
		return json.Unmarshal(*store.value.Load(), &a) == nil && a.Draining
	})
	third := NewAnnouncementStore(store, "w", logging.Discard())
	third.ctx = ctx
	third.load(func(Announcement) bool { t.Error("the announcement of a draining worker was loaded"); return true })
}

// Guards against an agent that never follows its worker again, because a stored
// announcement of another writer is later than all heartbeats.
func TestOddStoredAnnouncementIsIgnored(t *testing.T) {
	future := time.Now().Add(48 * time.Hour).UnixMilli()
	for _, odd := range []string{
		fmt.Sprintf(`{"Worker":"i-1","Born":%d}`, future), `{"Worker":"i-1","Born":1e400}`, strings.Repeat("[", 1_000_000), `{"Worker":7}`, "",
	} {
		store := &singleRowStore{}
		value := []byte(odd)
		store.value.Store(&value)
		s := NewAnnouncementStore(store, "w", logging.Discard())
		s.ctx = context.Background()
		s.load(func(a Announcement) bool { t.Errorf("%.60s was loaded: %+v", odd, a); return true })
	}
}

// An agent that could not be started has no core to stop; the planned stop must
// wait for its end like for that of any other agent.
func TestPlannedStopAfterAFailedAgentStart(t *testing.T) {
	is := is.New(t)
	s := NewSupervisor(func(Announcement) Config {
		return Config{Agent: settings.Agent{Slots: 1, HTTPAddress: "127.0.0.1:-1"}, Worker: idleWorker{}}
	}, func(Announcement) {}, logging.Discard())
	s.ctx = context.Background()
	s.handleAnnouncement(newAnnouncement(10, 1))
	is.True(s.Handle(time.Now(), supervisorInput{})) // the supervisor waits for the end of the agent
	is.True(!s.Handle(time.Now(), supervisorInput{ended: s.agent}))
}

// Guards against an agent that goes on with the capacity that its worker had at first.
func TestCapacityOfAHeartbeatReachesTheAgent(t *testing.T) {
	is := is.New(t)
	var events syncBuffer
	s := NewSupervisor(func(a Announcement) Config {
		return Config{
			Agent:  settings.Agent{Endpoint: "w", Pool: a.Pool, Slots: 20, Capacity: a.Capacity, HTTPAddress: "127.0.0.1:0", UnackedLimit: 10},
			Worker: idleWorker{born: a.Born}, Born: a.Born, Log: logging.New(&events, event.Info),
		}
	}, func(Announcement) {}, logging.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	go s.Run(ctx)
	t.Cleanup(func() { cancel(); <-s.inbox.Done() })
	s.Announce(newAnnouncement(10, 1))
	shrunk := newAnnouncement(10, 2)
	shrunk.Capacity = structs.Needs{Cores: 1}
	s.Announce(shrunk)
	waitUntil(t, func() bool { return strings.Contains(events.String(), "10 slots, 20 before") })
	is.True(s.Announce(newAnnouncement(10, 3)))
	waitUntil(t, func() bool { return strings.Contains(events.String(), "20 slots, 10 before") })
}

// syncBuffer is a buffer that may be read while a log writes to it.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}
