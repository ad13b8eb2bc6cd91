// Package event defines the numbered events that the daemons log. The catalogue
// in this package is the only list of them; docs/events.md is generated from it.
package event

import (
	"fmt"
	"slices"
	"time"
)

// ID is the number of an event. A number is never reused for another meaning.
type ID int

// Severity is how urgent an event is.
type Severity uint8

// The severities, in rising order.
const (
	// Info needs no attention.
	Info Severity = iota
	// Warning should be investigated if it repeats.
	Warning
	// Fault requires an operator's action.
	Fault
)

// String returns the severity's name.
func (s Severity) String() string { return [...]string{"info", "warning", "fault"}[s] }

// Field is a field of an event: a number, whose name includes the unit, or a text.
type Field struct {
	Name  string
	Value int64
	// Text takes the place of Value if it is not empty.
	Text string
}

// Int returns a field with a number.
func Int(name string, value int) Field { return Field{Name: name, Value: int64(value)} }

// Millis returns a field with a duration in milliseconds.
func Millis(name string, d time.Duration) Field { return Field{Name: name, Value: d.Milliseconds()} }

// Text returns a field with a text.
func Text(name, text string) Field { return Field{Name: name, Text: text} }

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

// Catalogue returns the descriptions of all events in the order of their numbers.
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

// catalogue lists all events in the order of their numbers. Numbers 1000 to 1999
// belong to the entry (entry.go), 2000 to 2999 to the agent (agent.go), 3000 to
// 3999 to the platform's table and the configuration (platform.go), and 4000 to
// 4999 to the daemons in general (daemon.go).
var catalogue = slices.Concat(entryEvents, agentEvents, platformEvents, daemonEvents)
