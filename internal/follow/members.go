package follow

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/structs"
)

// MembersTable is the table in which entries register.
const MembersTable = "entries"

const (
	// writeTimeout bounds one attempt to write a registration.
	writeTimeout = 1500 * time.Millisecond
	// writeRetry is the delay before the next attempt.
	writeRetry = 500 * time.Millisecond
)

// RegistrationStore is a store in which an entry can write its own row.
type RegistrationStore interface {
	Feed
	// Put creates or overwrites a row.
	Put(ctx context.Context, table, key string, value []byte) error
	// Remove deletes a row if it exists.
	Remove(ctx context.Context, table, key string) error
}

// Members registers this entry and watches the registrations of the others. A
// registration does not mean that the entry is alive, which only links show. An
// entry that restarts overwrites the row of its earlier incarnation.
type Members struct {
	store    RegistrationStore
	self     structs.Peer
	log      *logging.Logger
	onChange func([]structs.Peer)
	members  map[string]structs.Peer
	pollWait time.Duration
}

// NewMembers returns the registration of an entry. It calls onChange with each new
// list of entries, which includes this one, always on the same goroutine. For
// pollWait see Options.PollWait.
func NewMembers(store RegistrationStore, self structs.Peer, pollWait time.Duration, onChange func([]structs.Peer), log *logging.Logger) *Members {
	return &Members{store: store, self: self, pollWait: pollWait, onChange: onChange, log: log, members: map[string]structs.Peer{}}
}

// Run registers the entry and watches the others until the context is done.
func (m *Members) Run(ctx context.Context) {
	go m.register(ctx)
	New(Options{Feed: m.store, Table: MembersTable, PollWait: m.pollWait, OnRows: m.applyRows, Log: m.log}).Run(ctx)
}

// Deregister removes the registration. If that fails, the row stays, and agents dial
// an address without a listener until the entry restarts and overwrites the row.
func (m *Members) Deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := m.store.Remove(ctx, MembersTable, m.self.Name); err != nil {
		m.log.Event(event.RegistrationNotRemoved, zap.String("error", err.Error()))
		return
	}
	m.log.Event(event.RegistrationRemoved)
}

// register retries writing the row until the store has accepted it.
func (m *Members) register(ctx context.Context) {
	value, err := json.Marshal(m.self)
	if err != nil {
		m.log.Event(event.RegistrationFailed, zap.String("error", err.Error()))
		return
	}
	for ctx.Err() == nil {
		writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		err := m.store.Put(writeCtx, MembersTable, m.self.Name, value)
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

// ReadMembers returns the entries that are currently registered, or the error of
// the store.
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

// decodeMember decodes a registration. It logs an invalid one and reports false.
func decodeMember(row Row, log *logging.Logger) (structs.Peer, bool) {
	var p structs.Peer
	err := json.Unmarshal(row.Value, &p)
	if err == nil {
		err = checkAddress(p.LinkAddress)
	}
	if err != nil {
		log.Event(event.BadInstanceRow, zap.String("table", MembersTable), zap.String("key", row.Key), zap.String("error", err.Error()))
		return structs.Peer{}, false
	}
	return p, true
}

// checkAddress returns a failure of kind Invalid if nobody can listen on an address.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "parse the address of an entry")
	}
	if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 || host == "" {
		return failure.Newf(failure.Invalid, failure.NotRun, "the address %.40q has no host, or a port that is not from 1 to 65535", address)
	}
	return nil
}

// applyRows updates the list of entries and reports it. This entry is in the list
// even while its row is not.
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
