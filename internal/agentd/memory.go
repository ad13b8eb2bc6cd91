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

// Rows is a store in which an agent's process keeps one row for its successor.
type Rows interface {
	// Get returns a row's value, or nil if there is none.
	Get(ctx context.Context, table, key string) ([]byte, error)
	// Put writes a row, whatever it was before.
	Put(ctx context.Context, table, key string, value []byte) error
}

// workersTable is the table of what workers announced.
const workersTable = "workers"

const (
	// memoryTimeout bounds one call of the store.
	memoryTimeout = 1500 * time.Millisecond
	// memoryPeriod is the time between two attempts to write.
	memoryPeriod = 500 * time.Millisecond
	// memoryInboxSize bounds the announcements that wait; newer ones replace
	// older ones.
	memoryInboxSize = 16
)

// Memory keeps the worker's newest announcement in the store, so that a
// successor of this process need not wait for the next heartbeat. It is an
// actor that owns its use of the store; nothing waits for it.
type Memory struct {
	rows  Rows
	key   string
	log   *logging.Logger
	inbox *actor.Inbox[Announcement]
	ctx   context.Context
	// unsaved is the newest announcement that the store doesn't have.
	unsaved *Announcement
}

// NewMemory returns a memory under the given key.
func NewMemory(rows Rows, key string, log *logging.Logger) *Memory {
	return &Memory{rows: rows, key: key, log: log, inbox: actor.NewInbox[Announcement](memoryInboxSize)}
}

// Run passes what a predecessor kept to recall, and then keeps what it is given
// until the context ends.
func (m *Memory) Run(ctx context.Context, recall func(Announcement) bool) {
	m.ctx = ctx
	m.recall(recall)
	actor.Run(ctx, m.inbox, memoryPeriod, m)
}

// Keep notes an announcement. It never waits: without room the announcement is
// dropped, and a successor waits for a heartbeat.
func (m *Memory) Keep(a Announcement) { m.inbox.TrySend(a) }

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

// Handle notes an announcement.
func (m *Memory) Handle(_ time.Time, a Announcement) bool {
	m.unsaved = &a
	return true
}

// Tick tries again to write what could not be written.
func (m *Memory) Tick(time.Time) bool { return true }

// Flush writes the newest announcement.
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
