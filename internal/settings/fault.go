package settings

import (
	"fmt"
	"strings"
)

// Fault is one error in a settings file.
type Fault struct {
	// Key is the path of the setting, such as "callers[0].token".
	Key string
	// Line is the line in the file, counted from 1, or 0 if it is unknown.
	Line int
	// Found describes what was found. It never contains a secret.
	Found string
	// Allowed describes the valid values.
	Allowed string
}

// Error returns the line, the key, what was found and what is allowed.
func (f *Fault) Error() string {
	return fmt.Sprintf("line %d: %s: %s; allowed: %s", f.Line, f.Key, f.Found, f.Allowed)
}

// Faults holds all errors of a settings file, sorted by line.
type Faults []*Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual faults, so that errors.As finds a *Fault.
func (f Faults) Unwrap() []error {
	list := make([]error, len(f))
	for i, fault := range f {
		list[i] = fault
	}
	return list
}
