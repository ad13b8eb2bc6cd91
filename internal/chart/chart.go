// Package chart loads state charts from files and interprets them.
//
// A chart is a JSON document with comments. It defines states, events and, for
// each pair of state and event, the transitions: either a list of alternatives
// (guard, next state, actions), or an entry in the state's ignore list. Load
// rejects a chart with an unhandled pair, an unknown name, an unreachable state
// or a final state that has transitions.
//
// Compile binds the names of guards and actions to functions over one context
// type and returns a Machine. A Machine is immutable: the caller stores the
// current State next to the data that it describes, and passes it to Fire.
package chart

import (
	"encoding/json"
	"io/fs"
	"sort"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Definition is a chart as it is written in its file.
type Definition struct {
	// Name is the chart's name. It must equal the file's name without suffix.
	Name string `json:"name"`
	// Doc describes the chart in one sentence.
	Doc string `json:"doc"`
	// Initial is the name of the state in which each instance starts.
	Initial string `json:"initial"`
	// Final lists the states that have no transitions.
	Final []string `json:"final"`
	// Events maps each event's name to its description.
	Events map[string]string `json:"events"`
	// States maps each state's name to its definition.
	States map[string]StateDefinition `json:"states"`
}

// StateDefinition is one state of a Definition.
type StateDefinition struct {
	// Doc describes what is true while an instance is in the state.
	Doc string `json:"doc"`
	// On maps an event to its alternatives. The first alternative whose guard is
	// true is taken; the last one must not have a guard.
	On map[string][]Transition `json:"on"`
	// Ignore lists the events that have no effect in the state.
	Ignore []string `json:"ignore"`
}

// Transition is one of the alternatives for a pair of state and event.
type Transition struct {
	// If is the name of the guard. An empty name means that the alternative is
	// always taken.
	If string `json:"if"`
	// To is the name of the next state.
	To string `json:"to"`
	// Do lists the names of the actions, which run in order before the state
	// changes.
	Do []string `json:"do"`
}

// Load reads and validates one chart file.
// It returns a *DefinitionError if the file can't be read or is not a valid chart.
func Load(files fs.FS, name string) (*Definition, error) {
	raw, err := fs.ReadFile(files, name+".jsonc")
	if err != nil {
		return nil, errors.WithStack(&DefinitionError{Chart: name, Faults: []string{err.Error()}})
	}
	return Parse(name, raw)
}

// Parse parses and validates the text of one chart.
// It returns a *DefinitionError that lists all errors found.
func Parse(name string, raw []byte) (*Definition, error) {
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return nil, errors.WithStack(&DefinitionError{Chart: name, Faults: []string{err.Error()}})
	}
	var def Definition
	if err := json.Unmarshal(plain, &def); err != nil {
		return nil, errors.WithStack(&DefinitionError{Chart: name, Faults: []string{err.Error()}})
	}
	if faults := check(name, &def); len(faults) > 0 {
		return nil, errors.WithStack(&DefinitionError{Chart: name, Faults: faults})
	}
	return &def, nil
}

// StateNames returns the names of the states in alphabetical order.
func (d *Definition) StateNames() []string { return sortedKeys(d.States) }

// EventNames returns the names of the events in alphabetical order.
func (d *Definition) EventNames() []string { return sortedKeys(d.Events) }

// Guards returns the names of all guards in alphabetical order.
func (d *Definition) Guards() []string {
	names := map[string]bool{}
	d.eachTransition(func(t Transition) {
		if t.If != "" {
			names[t.If] = true
		}
	})
	return sortedKeys(names)
}

// Actions returns the names of all actions in alphabetical order.
func (d *Definition) Actions() []string {
	names := map[string]bool{}
	d.eachTransition(func(t Transition) {
		for _, action := range t.Do {
			names[action] = true
		}
	})
	return sortedKeys(names)
}

func (d *Definition) eachTransition(visit func(Transition)) {
	for _, state := range d.StateNames() {
		for _, event := range sortedKeys(d.States[state].On) {
			for _, t := range d.States[state].On[event] {
				visit(t)
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
