package chart

import (
	"io/fs"
	"reflect"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// State identifies a state by its index in the alphabetical order of the chart's
// states.
type State uint8

// Event identifies an event by its index in the alphabetical order of the chart's
// events.
type Event uint8

// maxNames is the maximum number of states, and of events, in one chart.
const maxNames = 255

// Bindings maps the names of guards and actions to the functions that implement
// them.
type Bindings[C any] struct {
	Guards  map[string]func(C) bool
	Actions map[string]func(C)
}

// Machine is a compiled chart whose guards and actions take a context of type C.
// It is immutable and safe for concurrent use.
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

// Compile loads a chart and binds its guards and actions.
// It returns a *DefinitionError for an invalid file, and a *BindingError if the
// names of guards and actions in the file and in the bindings differ.
func Compile[C any](files fs.FS, name string, b Bindings[C]) (*Machine[C], error) {
	def, err := Load(files, name)
	if err != nil {
		return nil, err
	}
	return Bind(def, b)
}

// MustCompile is like Compile but panics on an error. It is meant for charts that
// are embedded in the binary, where an error is a defect of the build.
func MustCompile[C any](files fs.FS, name string, b Bindings[C]) *Machine[C] {
	m, err := Compile(files, name, b)
	if err != nil {
		panic(err)
	}
	return m
}

// Bind compiles a validated definition.
// It returns a *BindingError under the same conditions as Compile.
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

// Final reports whether the state is final.
func (m *Machine[C]) Final(s State) bool { return m.final[s] }

// StateName returns the state's name in the chart's file.
func (m *Machine[C]) StateName(s State) string { return m.states[s] }

// EventName returns the event's name in the chart's file.
func (m *Machine[C]) EventName(e Event) string { return m.events[e] }

// Definition returns the definition from which the machine was compiled.
func (m *Machine[C]) Definition() *Definition { return m.def }

// Fire applies an event to an instance in state *s: it runs the actions of the
// first alternative whose guard is true, then sets *s to the next state. It
// returns false if the state ignores the event. An action must not fire events at
// the same instance, since *s is set only after it.
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

// MustBindNames sets each field of the struct to which target points to the State
// or Event that the field's `chart` tag names. All fields must have the same type,
// State or Event, and must name all of the chart's states or events; otherwise it
// panics. Callers keep the struct in a package variable and use its fields instead
// of names.
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

// DefinitionError reports a chart file that can't be read or is not valid.
type DefinitionError struct {
	Chart  string
	Faults []string
}

// Error lists all errors of the chart.
func (e *DefinitionError) Error() string {
	return "chart " + e.Chart + ": " + strings.Join(e.Faults, "; ")
}

// BindingError reports differences between the names in a chart and those that the
// code binds.
type BindingError struct {
	Chart string
	// Missing lists names in the chart that the code does not bind, and names of
	// states and events in the code that the chart does not contain.
	Missing []string
	// Unused lists guards and actions in the code that the chart does not use, and
	// states and events of the chart that the code does not name.
	Unused []string
}

// Error lists the missing and the unused names.
func (e *BindingError) Error() string {
	return "chart " + e.Chart + ": not bound: [" + strings.Join(e.Missing, " ") +
		"], not used: [" + strings.Join(e.Unused, " ") + "]"
}
