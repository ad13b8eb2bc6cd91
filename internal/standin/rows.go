package standin

import (
	"sort"
	"strings"

	"github.com/pkg/errors"

	"cactuspost.example/internal/table"
)

// Rows holds the rows of a table, without fault injection. It is not safe for
// concurrent use.
type Rows struct {
	rows map[string]table.Row
	// version is the highest version assigned so far.
	version uint64
}

// NewRows returns an empty table.
func NewRows() *Rows { return &Rows{rows: map[string]table.Row{}} }

// Get returns one row. A row that does not exist has version zero.
func (r *Rows) Get(key string) table.Row {
	row, ok := r.rows[key]
	if !ok {
		return table.Row{Key: key}
	}
	return row
}

// List returns the rows whose keys begin with prefix, sorted by key.
func (r *Rows) List(prefix string) []table.Row {
	found := []table.Row{}
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

// Commit applies a transaction atomically and returns its version. It returns a
// *table.ConflictError for the first operation whose expected version does not
// match, or a *table.InvalidError if a key is empty or occurs twice.
func (r *Rows) Commit(tx table.Transaction) (uint64, error) {
	if err := r.check(tx); err != nil {
		return 0, err
	}
	r.version++
	for _, op := range tx {
		if op.Delete {
			delete(r.rows, op.Key)
			continue
		}
		r.rows[op.Key] = table.Row{Key: op.Key, Value: op.Value, Version: r.version}
	}
	return r.version, nil
}

func (r *Rows) check(tx table.Transaction) error {
	seen := map[string]bool{}
	for _, op := range tx {
		if op.Key == "" || seen[op.Key] {
			return errors.WithStack(&table.InvalidError{Detail: "a key is empty or occurs twice"})
		}
		seen[op.Key] = true
	}
	for _, op := range tx {
		present := r.rows[op.Key].Version
		if present != op.Expected {
			return errors.WithStack(&table.ConflictError{Key: op.Key, Expected: op.Expected, Present: present})
		}
	}
	return nil
}
