// Package registry keeps one row per instance in the platform's table, so that
// instances can discover each other.
//
// Lease decides when this instance writes its row, and Roster which instances are
// listed. Both do no I/O and run the state charts lease and roster. Registry is the
// actor that executes their effects with the table's client.
//
// A lapsed lease only removes an instance from the list. It says nothing about the
// instance's jobs: they end when their owner says so, when another incarnation
// serves its address, or when the expiry in their ids passes.
package registry

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

// Times and limits of the registry.
const (
	// LeaseDuration is how long a row is valid, counted from the clock reading
	// taken before it was written.
	LeaseDuration = 15 * time.Second
	// RenewPeriod is the time between two writes of the row.
	RenewPeriod = 4 * time.Second
	// ListPeriod is the time between two reads of all rows.
	ListPeriod = 3 * time.Second
	// ClockMargin is the clock skew between two instances that is tolerated.
	ClockMargin = 2 * time.Second
	// CleanupAfter is how long an expired row is kept. It is longer than the
	// longest lifetime of a job of the instance.
	CleanupAfter = 2 * time.Hour
	// CleanupLimit bounds the number of expired rows removed per listing.
	CleanupLimit = 4
)

// prefix is the key prefix of all instance rows.
const prefix = "instances/"

// Record is the content of an instance's row.
type Record struct {
	Peer structs.Peer `json:"peer"`
	// StartedMS and ExpiryMS are Unix times in milliseconds, by the instance's own
	// clock.
	StartedMS int64 `json:"started_ms"`
	ExpiryMS  int64 `json:"expiry_ms"`
}

// Expiry returns the time at which the lease expires.
func (r Record) Expiry() time.Time { return time.UnixMilli(r.ExpiryMS) }

// Entry is a record together with the version of its row.
type Entry struct {
	Record  Record
	Version uint64
}

// Key returns the key of an instance's row.
func Key(i structs.Incarnation) string { return prefix + i.String() }

// RowError reports a row that is not a valid record of the instance in its key.
type RowError struct {
	Key   string
	Cause error
}

// Error returns a message that names the row.
func (e *RowError) Error() string {
	if e.Cause == nil {
		return "row " + e.Key + " holds the record of another instance"
	}
	return "row " + e.Key + " is not a valid instance record: " + e.Cause.Error()
}

// Unwrap returns the decoding error, or nil.
func (e *RowError) Unwrap() error { return e.Cause }

// encode returns the value of a row for the record.
func encode(r Record) ([]byte, error) {
	raw, err := json.Marshal(r)
	return raw, errors.WithStack(err)
}

// decode decodes a row. It returns a *RowError if the value is not a valid record
// or if the key does not match the instance in the record.
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
