// Package registry keeps one row per instance in the platform's table, so that
// instances find each other.
//
// Lease decides when this instance writes its row, and Roster which instances
// are listed; both are pure and follow the charts lease and roster. Registry is
// the actor that owns the table's client and carries out what they decide.
//
// A lapsed lease only takes an instance off the list. It says nothing about the
// instance's jobs: these end by the word of their owner, by another incarnation
// at its address, or by the expiry in their ids.
package registry

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

// Times of the registry.
const (
	// LeaseDuration is how long a row is valid after the clock was read for it.
	LeaseDuration = 15 * time.Second
	// RenewPeriod is the time between two writes of the row.
	RenewPeriod = 4 * time.Second
	// ListPeriod is the time between two reads of all rows.
	ListPeriod = 3 * time.Second
	// ClockMargin bounds the difference between the clocks of two instances.
	ClockMargin = 2 * time.Second
	// CleanupAfter is how long an expired row is kept: longer than any job of
	// the instance could live.
	CleanupAfter = 2 * time.Hour
	// CleanupLimit bounds the rows that one listing removes.
	CleanupLimit = 4
)

// prefix begins the key of every instance's row.
const prefix = "instances/"

// Record is the content of an instance's row.
type Record struct {
	Peer structs.Peer `json:"peer"`
	// StartedMS and ExpiryMS are milliseconds of Unix time, by the clock of the
	// instance.
	StartedMS int64 `json:"started_ms"`
	ExpiryMS  int64 `json:"expiry_ms"`
}

// Expiry returns the time at which the lease ends.
func (r Record) Expiry() time.Time { return time.UnixMilli(r.ExpiryMS) }

// Entry is a record with the version of its row.
type Entry struct {
	Record  Record
	Version uint64
}

// Key returns the key of an instance's row.
func Key(i structs.Incarnation) string { return prefix + i.String() }

// RowError reports a row that is not a record.
type RowError struct {
	Key   string
	Cause error
}

// Error names the row.
func (e *RowError) Error() string {
	if e.Cause == nil {
		return "row " + e.Key + " belongs to another instance"
	}
	return "row " + e.Key + " is not an instance: " + e.Cause.Error()
}

// Unwrap returns the cause, or nil.
func (e *RowError) Unwrap() error { return e.Cause }

// encode returns the row's value.
func encode(r Record) ([]byte, error) {
	raw, err := json.Marshal(r)
	return raw, errors.WithStack(err)
}

// decode reads a row. It returns a *RowError for one that is not a record, or
// whose key is not that of its instance.
func decode(row table.Row) (Entry, error) {
	var r Record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return Entry{}, errors.WithStack(&RowError{Key: row.Key, Cause: err})
	}
	if Key(r.Peer.Incarnation) != row.Key {
		return Entry{}, errors.WithStack(&RowError{Key: row.Key})
	}
	return Entry{Record: r, Version: row.Version}, nil
}
