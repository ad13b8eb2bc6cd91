package follow

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// MembersTable is the table of the entries' registrations.
const MembersTable = "entries"

const (
	// writeTimeout bounds one attempt to write a registration.
	writeTimeout = 1500 * time.Millisecond
	// writeRetry is the pause after a failed attempt.
	writeRetry = 500 * time.Millisecond
)

// RegistrationStore is a store in which an entry writes its own row.
type RegistrationStore interface {
	Feed
	// Put writes a row, whatever it was before.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row if it is there.
	Remove(ctx context.Context, table, key string) error
}

// Members keeps this entry's registration and follows those of the others. A
// registration is no sign of life: links tell who lives. A later life of an
// entry replaces the row of the earlier one.
type Members struct {
	store    RegistrationStore
	self     structs.Peer
	log      *logging.Logger
	onChange func([]structs.Peer)
	members  map[string]structs.Peer
	pollWait time.Duration
}

// NewMembers returns the registration of an entry. Peers gets each new list of
// entries, this one included, on one goroutine. Wait is that of Options.
func NewMembers(store RegistrationStore, self structs.Peer, pollWait time.Duration, onChange func([]structs.Peer), log *logging.Logger) *Members {
	return &Members{store: store, self: self, pollWait: pollWait, onChange: onChange, log: log, members: map[string]structs.Peer{}}
}

// Run registers the entry and follows the others until the context ends.
func (m *Members) Run(ctx context.Context) {
	go m.register(ctx)
	New(Options{Feed: m.store, Table: MembersTable, PollWait: m.pollWait, OnRows: m.applyRows, Log: m.log}).Run(ctx)
}

// Deregister removes the registration. Without an answer the row stays: agents then
// dial an address where nobody listens, until the next life replaces the row.
func (m *Members) Deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := m.store.Remove(ctx, MembersTable, m.self.Name); err != nil {
		m.log.Event(event.RegistrationKept, zap.String("error", err.Error()))
		return
	}
	m.log.Event(event.RegistrationRemoved)
}

// register writes the row until the store has taken it.
func (m *Members) register(ctx context.Context) {
	value, err := json.Marshal(m.self)
	if err != nil {
		m.log.Event(event.RegistrationFailed, zap.String("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		err := m.store.Put(call, MembersTable, m.self.Name, value)
		cancel()
		if err == nil {
			m.log.Event(event.InstanceRegistered, zap.String("entry", m.self.Name))
			return
		}
		m.log.Event(event.RegistrationFailed, zap.String("error", err.Error()))
		select {
		case <-time.After(writeRetry):
		case <-ctx.Done():
		}
	}
}

// ReadMembers returns the entries that are registered now. It fails with the
// error of the store.
func ReadMembers(ctx context.Context, feed Feed, log *logging.Logger) ([]structs.Peer, error) {
	rows, _, err := feed.Load(ctx, MembersTable)
	if err != nil {
		return nil, err
	}
	var peers []structs.Peer
	for _, row := range rows {
		if p, ok := decodeMember(row, log); ok {
			peers = append(peers, p)
		}
	}
	return peers, nil
}

// decodeMember reads a registration, or reports that it is none.
func decodeMember(row Row, log *logging.Logger) (structs.Peer, bool) {
	var p structs.Peer
	if err := json.Unmarshal(row.Value, &p); err != nil || p.LinkAddress == "" {
		log.Event(event.BadInstanceRow, zap.String("table", MembersTable), zap.String("key", row.Key))
		return structs.Peer{}, false
	}
	return p, true
}

func (m *Members) applyRows(rows []Row, all bool) {
	if all {
		clear(m.members)
	}
	for _, row := range rows {
		if row.Deleted {
			delete(m.members, row.Key)
			continue
		}
		if p, ok := decodeMember(row, m.log); ok {
			m.members[row.Key] = p
		}
	}
	m.members[m.self.Name] = m.self
	peers := slices.Collect(maps.Values(m.members))
	slices.SortFunc(peers, func(a, b structs.Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	m.onChange(peers)
}
