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

// Rows is the part of the platform's store that Memory uses.
type Rows interface {
	// Get returns a row's value, or nil if there is none.
	Get(ctx context.Context, table, key string) ([]byte, error)
	// Put writes a row and overwrites any previous value.
	Put(ctx context.Context, table, key string, value []byte) error
}

// workersTable is the table of the workers' announcements.
const workersTable = "workers"

const (
	// memoryTimeout is the timeout of one call of the store.
	memoryTimeout = 1500 * time.Millisecond
	// memoryPeriod is the interval between attempts to write.
	memoryPeriod = 500 * time.Millisecond
	// memoryInboxSize is the capacity of the inbox. Of the announcements in one
	// batch only the newest is written.
	memoryInboxSize = 16
)

// Memory is the actor that saves the worker's newest announcement, so that a
// successor of this process does not have to wait for the next heartbeat. Only its
// own goroutine blocks on the store.
type Memory struct {
	rows  Rows
	key   string
	log   *logging.Logger
	inbox *actor.Inbox[Announcement]
	ctx   context.Context
	// unsaved is the newest announcement if it is not in the store yet, else nil.
	unsaved *Announcement
}

// NewMemory returns a Memory that uses the row with the given key.
func NewMemory(rows Rows, key string, log *logging.Logger) *Memory {
	return &Memory{rows: rows, key: key, log: log, inbox: actor.NewInbox[Announcement](memoryInboxSize)}
}

// Run passes the announcement that a predecessor saved, if any, to recall. Then it
// saves announcements until the context ends.
func (m *Memory) Run(ctx context.Context, recall func(Announcement) bool) {
	m.ctx = ctx
	m.recall(recall)
	actor.Run(ctx, m.inbox, memoryPeriod, m)
}

// Keep saves an announcement in the background. It never blocks: if the inbox is
// full, the announcement is dropped, and a successor has to wait for a heartbeat.
func (m *Memory) Keep(a Announcement) { m.inbox.TrySend(a) }

// recall reads the saved announcement and passes it on, unless the worker was
// draining.
func (m *Memory) recall(recall func(Announcement) bool) {
	ctx, cancel := context.WithTimeout(m.ctx, memoryTimeout)
	defer cancel()
	raw, err := m.rows.Get(ctx, workersTable, m.key)
	if err != nil {
		m.log.Event(event.WorkerStateNotRead, zap.String("error", err.Error()))
		return
	}
	var a Announcement
	if raw == nil || json.Unmarshal(raw, &a) != nil || a.Worker == "" || a.Draining {
		return
	}
	a.Sequence = 0
	recall(a)
}

// Handle takes over an announcement for the next write.
func (m *Memory) Handle(_ time.Time, a Announcement) bool {
	m.unsaved = &a
	return true
}

// Tick does nothing itself; the Flush that follows it retries a failed write.
func (m *Memory) Tick(time.Time) bool { return true }

// Flush writes the newest announcement, if it is not saved yet.
func (m *Memory) Flush(time.Time) {
	if m.unsaved == nil {
		return
	}
	raw, err := json.Marshal(m.unsaved)
	if err == nil {
		ctx, cancel := context.WithTimeout(m.ctx, memoryTimeout)
		defer cancel()
		err = m.rows.Put(ctx, workersTable, m.key, raw)
	}
	if err != nil {
		m.log.Event(event.WorkerStateNotWritten, zap.String("error", err.Error()))
		return
	}
	m.unsaved = nil
}
