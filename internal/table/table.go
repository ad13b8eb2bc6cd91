// Package table is the client of the platform's transactional table service. A row
// has a key, a value and a version. Rows are read by key or by prefix, and changed
// by transactions in which each operation names the version that it expects the
// row to have.
//
// Store is the interface, and Client implements it over HTTP. The package never
// retries a commit: its answer may be lost after the commit has taken effect, and
// only the caller knows how to find out whether it did.
package table

import "context"

// Row is one row. A row that does not exist has the version zero.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version increases with every change of the row, and is not reused after a
	// deletion: a key never has different values at the same version.
	Version uint64 `json:"version"`
}

// Exists reports whether the row is in the table.
func (r Row) Exists() bool { return r.Version != 0 }

// Operation is one conditional change of a transaction.
type Operation struct {
	Key string `json:"key"`
	// Expected is the version that the row must have; zero means that the row
	// must not exist.
	Expected uint64 `json:"expected"`
	// Delete removes the row; Value is then unused.
	Delete bool   `json:"delete,omitempty"`
	Value  []byte `json:"value,omitempty"`
}

// Put returns an operation that writes a row if it has the expected version.
func Put(key string, expected uint64, value []byte) Operation {
	return Operation{Key: key, Expected: expected, Value: value}
}

// Delete returns an operation that removes a row if it has the expected version.
func Delete(key string, expected uint64) Operation {
	return Operation{Key: key, Expected: expected, Delete: true}
}

// Transaction is a list of operations that take effect together or not at all.
type Transaction []Operation

// Store is a table service.
//
// Reads fail with *UnavailableError. Commits also fail with *ConflictError,
// *UnknownOutcomeError and *InvalidError. The deadline of the context limits a
// call; without one, the store's own timeout does.
type Store interface {
	// Get returns one row; a missing row has the version zero.
	Get(ctx context.Context, key string) (Row, error)
	// GetChanged is like Get, for a reader that already has the given version. It
	// returns false and no value if the row still has that version.
	GetChanged(ctx context.Context, key string, version uint64) (Row, bool, error)
	// List returns the rows whose keys begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit commits a transaction and returns the version that every row written
	// by it now has.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
}
