package chart

import (
	"io/fs"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// State is a state's index in the alphabetical order of the chart's states.
type State uint8

// Event is an event's index in the alphabetical order of the chart's events.
type Event uint8

// maxNames bounds the states and the events of one chart.
const maxNames = 255

// Bindings gives the functions behind the names of guards and actions.
type Bindings[C any] struct {
	Guards  map[string]func(C) bool
	Actions map[string]func(C)
}

// Machine is a compiled chart over a context of type C.
// It is immutable and may be shared by any number of goroutines.
type Machine[C any] struct {
	def     *Definition
	states  []string
	events  []string
	initial State
	final   []bool
	table   []tableEntry[C]
}

type tableEntry[C any] struct {
	ignored      bool
	alternatives []boundTransition[C]
}

type boundTransition[C any] struct {
	guard   func(C) bool
	to      State
	actions []func(C)
}

// Compile loads a chart and binds it.
// It returns a *DefinitionError for a faulty file, and a *BindingError when the
// names of guards and actions in the file and in the bindings differ.
func Compile[C any](files fs.FS, name string, b Bindings[C]) (*Machine[C], error) {
	def, err := Load(files, name)
	if err != nil {
		return nil, err
	}
	return Bind(def, b)
}

// MustCompile is Compile for charts that are part of the binary: a fault in
// them is a fault of the build, so it panics.
func MustCompile[C any](files fs.FS, name string, b Bindings[C]) *Machine[C] {
	m, err := Compile(files, name, b)
	if err != nil {
		panic(err)
	}
	return m
}

// Bind compiles a definition that has been checked.
// It returns a *BindingError as Compile does.
func Bind[C any](def *Definition, b Bindings[C]) (*Machine[C], error) {
	if err := checkBindings(def, b); err != nil {
		return nil, err
	}
	m := &Machine[C]{def: def, states: def.StateNames(), events: def.EventNames()}
	m.initial = m.stateIndex(def.Initial)
	m.final = make([]bool, len(m.states))
	for _, name := range def.Final {
		m.final[m.stateIndex(name)] = true
	}
	m.table = make([]tableEntry[C], len(m.states)*len(m.events))
	for s, state := range m.states {
		for e, event := range m.events {
			m.table[s*len(m.events)+e] = m.compileEntry(def.States[state], event, b)
		}
	}
	return m, nil
}

func (m *Machine[C]) compileEntry(state StateDefinition, event string, b Bindings[C]) tableEntry[C] {
	alternatives, handled := state.On[event]
	if !handled {
		return tableEntry[C]{ignored: true}
	}
	var entry tableEntry[C]
	for _, t := range alternatives {
		bound := boundTransition[C]{to: m.stateIndex(t.To)}
		if t.If != "" {
			bound.guard = b.Guards[t.If]
		}
		for _, action := range t.Do {
			bound.actions = append(bound.actions, b.Actions[action])
		}
		entry.alternatives = append(entry.alternatives, bound)
	}
	return entry
}

// Initial returns the state in which an instance starts.
func (m *Machine[C]) Initial() State { return m.initial }

// Final reports whether no event leaves the state.
func (m *Machine[C]) Final(s State) bool { return m.final[s] }

// StateName returns the state's name in the chart's file.
func (m *Machine[C]) StateName(s State) string { return m.states[s] }

// EventName returns the event's name in the chart's file.
func (m *Machine[C]) EventName(e Event) string { return m.events[e] }

// Definition returns the chart as it stands in its file.
func (m *Machine[C]) Definition() *Definition { return m.def }

// Fire applies an event to an instance in state *s: it runs the actions of the
// first alternative whose guard holds, then sets *s. It reports false when the
// state ignores the event. An action must not fire events at the same instance.
func (m *Machine[C]) Fire(s *State, e Event, c C) bool {
	entry := &m.table[int(*s)*len(m.events)+int(e)]
	if entry.ignored {
		return false
	}
	for i := range entry.alternatives {
		alternative := &entry.alternatives[i]
		if alternative.guard != nil && !alternative.guard(c) {
			continue
		}
		for _, action := range alternative.actions {
			action(c)
		}
		*s = alternative.to
		return true
	}
	return false
}

// MustBindNames fills a struct whose fields are of type State or Event with the
// indices of the names in their `chart` tags, and panics unless the struct
// names each state or event of the chart that its field types cover. Callers
// keep the struct in a package variable and use it in place of text.
func (m *Machine[C]) MustBindNames(target any) {
	if err := m.bindNames(target); err != nil {
		panic(err)
	}
}

func (m *Machine[C]) bindNames(target any) error {
	value := reflect.ValueOf(target).Elem()
	seen := map[string]bool{}
	var fieldType reflect.Type
	for i := range value.NumField() {
		name := value.Type().Field(i).Tag.Get("chart")
		fieldType = value.Field(i).Type()
		index, ok := m.indexOf(fieldType, name)
		if !ok {
			return errors.WithStack(&BindingError{Chart: m.def.Name, Missing: []string{name}})
		}
		seen[name] = true
		value.Field(i).SetUint(uint64(index))
	}
	return m.checkComplete(fieldType, seen)
}

func (m *Machine[C]) indexOf(fieldType reflect.Type, name string) (int, bool) {
	if fieldType == reflect.TypeFor[State]() {
		return slices.BinarySearch(m.states, name)
	}
	return slices.BinarySearch(m.events, name)
}

func (m *Machine[C]) checkComplete(fieldType reflect.Type, seen map[string]bool) error {
	all := m.events
	if fieldType == reflect.TypeFor[State]() {
		all = m.states
	}
	var unused []string
	for _, name := range all {
		if !seen[name] {
			unused = append(unused, name)
		}
	}
	if len(unused) == 0 {
		return nil
	}
	return errors.WithStack(&BindingError{Chart: m.def.Name, Unused: unused})
}

func (m *Machine[C]) stateIndex(name string) State {
	i, _ := slices.BinarySearch(m.states, name)
	return State(i)
}

func checkBindings[C any](def *Definition, b Bindings[C]) error {
	missing, unused := compareNames(def.Guards(), sortedKeys(b.Guards))
	missingActions, unusedActions := compareNames(def.Actions(), sortedKeys(b.Actions))
	missing = append(missing, missingActions...)
	unused = append(unused, unusedActions...)
	if len(missing)+len(unused) == 0 {
		return nil
	}
	return errors.WithStack(&BindingError{Chart: def.Name, Missing: missing, Unused: unused})
}

func compareNames(want, have []string) (missing, unused []string) {
	for _, name := range want {
		if !slices.Contains(have, name) {
			missing = append(missing, name)
		}
	}
	for _, name := range have {
		if !slices.Contains(want, name) {
			unused = append(unused, name)
		}
	}
	return missing, unused
}

// DefinitionError reports a chart file that is not a valid chart.
type DefinitionError struct {
	Chart  string
	Faults []string
}

// Error lists every fault.
func (e *DefinitionError) Error() string {
	return "chart " + e.Chart + ": " + strings.Join(e.Faults, "; ")
}

// BindingError reports names that differ between a chart and the code.
type BindingError struct {
	Chart string
	// Missing are names in the chart that the code doesn't bind.
	Missing []string
	// Unused are names bound by the code that the chart doesn't use.
	Unused []string
}

// Error lists both kinds of names.
func (e *BindingError) Error() string {
	return "chart " + e.Chart + ": not bound: [" + strings.Join(e.Missing, " ") +
		"], not used: [" + strings.Join(e.Unused, " ") + "]"
}
