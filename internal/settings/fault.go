package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// Key is the path of the setting, such as "callers[0].token".
	Key string
	// Line is the line of the file, from 1; 0 when the file has no such line.
	Line int
	// Found says what stands there. It never holds a secret.
	Found string
	// Allowed says what may stand there.
	Allowed string
}

// Error returns line, key, what was found and what is allowed.
func (f *Fault) Error() string {
	return fmt.Sprintf("line %d: %s: %s; allowed: %s", f.Line, f.Key, f.Found, f.Allowed)
}

// Faults is every error of a settings file, in the order of its lines.
type Faults []*Fault

// Error returns one line per fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults for errors.As.
func (f Faults) Unwrap() []error {
	list := make([]error, len(f))
	for i, fault := range f {
		list[i] = fault
	}
	return list
}
