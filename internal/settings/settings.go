// Package settings reads the daemons' settings files, JSON with comments.
//
// A file is checked completely before the daemon listens: the error lists all faults
// with their keys, lines and valid values. Unknown keys are faults. The directory
// samples has a commented file for each daemon.
package settings

import (
	"os"

	"github.com/pkg/errors"
)

// LoadEntry parses and checks the contents of an entry's settings file and the files
// that it refers to. It returns a Faults error that lists all faults.
func LoadEntry(raw []byte) (*Entry, error) { return loadEntry(raw, os.ReadFile) }

func loadEntry(raw []byte, readFile fileReader) (*Entry, error) {
	doc, root := parseDocument(raw)
	var e *Entry
	if root != nil {
		e = readEntry(root, readFile)
	}
	if len(doc.faults) > 0 {
		return nil, errors.WithStack(doc.sorted())
	}
	return e, nil
}

// LoadAgent parses and checks the contents of an agent's settings file and the files
// that it refers to. It returns a Faults error that lists all faults.
func LoadAgent(raw []byte) (*Agent, error) { return loadAgent(raw, os.ReadFile) }

func loadAgent(raw []byte, readFile fileReader) (*Agent, error) {
	doc, root := parseDocument(raw)
	var a *Agent
	if root != nil {
		a = readAgent(root, readFile)
	}
	if len(doc.faults) > 0 {
		return nil, errors.WithStack(doc.sorted())
	}
	return a, nil
}
