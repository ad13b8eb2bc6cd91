// Package event defines the numbered events that the daemons log. The table
// here is the only list; docs/events.md is generated from it.
package event

import (
	"fmt"
	"slices"
)

// ID numbers an event. Numbers are never used again for another meaning.
type ID int

// Severity is how urgent an event is.
type Severity uint8

// The severities, in rising order.
const (
	// Info is for the record.
	Info Severity = iota
	// Warning wants a look if it repeats.
	Warning
	// Fault wants an operator's action.
	Fault
)

// String returns the severity's name.
func (s Severity) String() string { return [...]string{"info", "warning", "fault"}[s] }

// Description is the catalogue entry of an event.
type Description struct {
	ID       ID
	Severity Severity
	// Name is the text in the log line.
	Name string
	// Meaning says what has happened.
	Meaning string
	// Action says what an operator does about it.
	Action string
}

// Catalogue returns the descriptions in the order of their numbers.
func Catalogue() []Description { return slices.Clone(catalogue) }

// Describe returns the description of an event.
func Describe(id ID) Description {
	for _, d := range catalogue {
		if d.ID == id {
			return d
		}
	}
	return Description{ID: id, Severity: Fault, Name: fmt.Sprintf("event %d", id)}
}

// Numbers 1000 to 1999 belong to the entry (entry.go), 2000 to 2999 to the agent
// (agent.go), 3000 to 3999 to the platform's table and the configuration
// (platform.go), 4000 to 4999 to settings and the start and stop of daemons
// (daemon.go).
var catalogue = slices.Concat(entryEvents, agentEvents, platformEvents, daemonEvents)
