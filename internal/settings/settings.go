// Package settings reads the daemons' settings files, JSON with comments.
//
// A file is checked as a whole before the daemon listens: the error lists every
// fault with its key, its line and what is allowed. Unknown keys are faults.
// The samples folder has a commented file for each daemon.
package settings

import (
	"os"

	"github.com/pkg/errors"
)

// LoadEntry checks the text of an entry's settings file and the files that it
// names. It returns a Faults error that lists every fault.
func LoadEntry(raw []byte) (*Entry, error) { return loadEntry(raw, os.ReadFile) }

func loadEntry(raw []byte, files fileReader) (*Entry, error) {
	doc, root := parseDocument(raw)
	var e *Entry
	if root != nil {
		e = readEntry(root, files)
	}
	if len(doc.faults) > 0 {
		return nil, errors.WithStack(doc.sorted())
	}
	return e, nil
}

// LoadAgent checks the text of an agent's settings file and the files that it
// names. It returns a Faults error that lists every fault.
func LoadAgent(raw []byte) (*Agent, error) { return loadAgent(raw, os.ReadFile) }

func loadAgent(raw []byte, files fileReader) (*Agent, error) {
	doc, root := parseDocument(raw)
	var a *Agent
	if root != nil {
		a = readAgent(root, files)
	}
	if len(doc.faults) > 0 {
		return nil, errors.WithStack(doc.sorted())
	}
	return a, nil
}
