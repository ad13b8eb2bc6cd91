// Package table is the platform's transactional table service as the system
// uses it: rows with a key, a value and a version, read one by one or by prefix,
// and changed by transactions whose every operation names the version that it
// expects.
//
// Store is the interface; Client speaks to the service over HTTP. A commit is
// never retried here: its answer may be lost after its effect, and only the
// caller knows how to find out.
package table

import "context"

// Row is one row. A row that does not exist has the version zero.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version rises with every change of the row, also over a deletion: no two
	// states of the table give a key the same version and different values.
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

// Put returns an operation that writes a row.
func Put(key string, expected uint64, value []byte) Operation {
	return Operation{Key: key, Expected: expected, Value: value}
}

// Delete returns an operation that removes a row.
func Delete(key string, expected uint64) Operation {
	return Operation{Key: key, Expected: expected, Delete: true}
}

// Transaction is a list of operations that take effect together or not at all.
type Transaction []Operation

// Store is a table service.
//
// Reads fail with *UnavailableError, and commits also with *ConflictError,
// *UnknownOutcomeError and *InvalidError. A context's deadline bounds a call;
// without one the store's own timeout does.
type Store interface {
	// Get returns one row; a missing row has the version zero.
	Get(ctx context.Context, key string) (Row, error)
	// GetChanged is Get for a reader that already has the given version. It
	// reports false, without a value, when the row still has that version.
	GetChanged(ctx context.Context, key string, version uint64) (Row, bool, error)
	// List returns the rows whose keys begin with prefix, in the order of keys.
	List(ctx context.Context, prefix string) ([]Row, error)
	// Commit carries out a transaction and returns the version that it gave to
	// each row that it wrote.
	Commit(ctx context.Context, tx Transaction) (uint64, error)
}
