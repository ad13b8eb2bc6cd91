package agentd

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
)

// RowStore is the part of the platform's store that AnnouncementStore uses.
type RowStore interface {
	// Get returns a row's value, or nil if there is none.
	Get(ctx context.Context, table, key string) ([]byte, error)
	// Put writes a row and overwrites any previous value.
	Put(ctx context.Context, table, key string, value []byte) error
}

// workersTable is the table of the workers' announcements.
const workersTable = "workers"

const (
	// storeTimeout is the timeout of one call of the store.
	storeTimeout = 1500 * time.Millisecond
	// maxClockError is more than the clocks of a worker and this machine ever differ.
	maxClockError = time.Hour
	// storeTickInterval is the interval between attempts to write.
	storeTickInterval = 500 * time.Millisecond
	// storeInboxSize is the capacity of the inbox. Of the announcements in one
	// batch only the newest is written.
	storeInboxSize = 16
)

// AnnouncementStore is the actor that saves the worker's newest announcement, so
// that a successor of this process does not have to wait for the next heartbeat.
// Only its own goroutine blocks on the store.
type AnnouncementStore struct {
	rows  RowStore
	key   string
	log   *logging.Logger
	inbox *actor.Inbox[Announcement]
	ctx   context.Context
	// unsaved is the newest announcement if it is not in the store yet, else nil.
	unsaved *Announcement
}

// NewAnnouncementStore returns a store that uses the row with the given key.
func NewAnnouncementStore(rows RowStore, key string, log *logging.Logger) *AnnouncementStore {
	return &AnnouncementStore{rows: rows, key: key, log: log, inbox: actor.NewInbox[Announcement](storeInboxSize)}
}

// Run passes the announcement that a predecessor saved, if any, to announce.
// Then it saves announcements until the context ends.
func (s *AnnouncementStore) Run(ctx context.Context, announce func(Announcement) bool) {
	s.ctx = ctx
	s.load(announce)
	actor.Run(ctx, s.inbox, storeTickInterval, s)
}

// Save saves an announcement in the background. It never blocks: if the inbox is
// full, the announcement is dropped, and a successor has to wait for a heartbeat.
func (s *AnnouncementStore) Save(a Announcement) { s.inbox.TrySend(a) }

// load reads the saved announcement and passes it on, unless the worker was
// draining.
func (s *AnnouncementStore) load(announce func(Announcement) bool) {
	ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
	defer cancel()
	raw, err := s.rows.Get(ctx, workersTable, s.key)
	if err != nil {
		s.log.Event(event.WorkerStateNotRead, zap.String("error", err.Error()))
		return
	}
	var a Announcement
	if raw == nil {
		return
	}
	if err := json.Unmarshal(raw, &a); err != nil {
		s.log.Event(event.WorkerStateNotRead, zap.String("error", err.Error()))
		return
	}
	// An incarnation in the far future would make all heartbeats look stale.
	if limit := time.Now().Add(maxClockError).UnixMilli(); a.Born > limit {
		s.log.Event(event.WorkerStateNotRead, zap.String("worker", a.Worker), zap.Int64("born", a.Born), zap.Int64("limit", limit))
		return
	}
	if a.Worker == "" || a.Draining {
		return
	}
	a.Sequence = 0
	announce(a)
}

// Handle takes over an announcement for the next write.
func (s *AnnouncementStore) Handle(_ time.Time, a Announcement) bool {
	s.unsaved = &a
	return true
}

// Tick does nothing itself; the Flush that follows it retries a failed write.
func (s *AnnouncementStore) Tick(time.Time) bool { return true }

// Flush writes the newest announcement, if it is not saved yet.
func (s *AnnouncementStore) Flush(time.Time) {
	if s.unsaved == nil {
		return
	}
	raw, err := json.Marshal(s.unsaved)
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		defer cancel()
		err = s.rows.Put(ctx, workersTable, s.key, raw)
	}
	if err != nil {
		s.log.Event(event.WorkerStateNotWritten, zap.String("error", err.Error()))
		return
	}
	s.unsaved = nil
}
