package promela

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"path"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"

	"cactuspost.example/internal/chart"
)

// Variant is a deliberately broken model. It shows that the checker detects the
// fault, that is, that the property it names is effective.
type Variant struct {
	// Name is the file name without its suffix.
	Name string `json:"-"`
	// Model names the model that the variant changes.
	Model string `json:"model"`
	// Property names the property that must be violated.
	Property string `json:"property"`
	// Charts lists the changed transitions.
	Charts []ChartEdit `json:"charts"`
	// Define replaces macros of the model. Keys are macro names with their
	// parameters, values are macro bodies.
	Define map[string]string `json:"define"`
	// Sizes replaces values of the model's size macros.
	Sizes map[string]int `json:"sizes"`
}

// ChartEdit replaces the transitions of one state on one event.
type ChartEdit struct {
	Chart string `json:"chart"`
	State string `json:"state"`
	Event string `json:"event"`
	// Transitions are the new alternatives. If empty, the event is ignored.
	Transitions []chart.Transition `json:"transitions"`
}

// EditError reports a variant that names an unknown model, chart, state or event.
type EditError struct {
	Variant string
	Reason  string
}

// Error returns the variant's name and the reason.
func (e *EditError) Error() string { return "variant " + e.Variant + ": " + e.Reason }

// LoadVariants reads all variant files of a folder, sorted by name.
func LoadVariants(files fs.FS, dir string) ([]Variant, error) {
	paths, err := fs.Glob(files, path.Join(dir, "*.jsonc"))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var variants []Variant
	for _, file := range paths {
		var v Variant
		if err := readJSON(files, file, &v); err != nil {
			return nil, err
		}
		v.Name = strings.TrimSuffix(path.Base(file), ".jsonc")
		variants = append(variants, v)
	}
	return variants, nil
}

// Apply returns the definitions with the variant's edits. It copies the edited
// definitions and leaves defs unchanged. It returns an *EditError if an edit names
// an unknown chart, state or event.
func (v *Variant) Apply(defs map[string]*chart.Definition) (map[string]*chart.Definition, error) {
	out := make(map[string]*chart.Definition, len(defs))
	for name, def := range defs {
		out[name] = def
	}
	for _, edit := range v.Charts {
		def, ok := out[edit.Chart]
		if !ok {
			return nil, v.editError("no chart %q", edit.Chart)
		}
		edited, err := v.editChart(def, edit)
		if err != nil {
			return nil, err
		}
		out[edit.Chart] = edited
	}
	return out, nil
}

func (v *Variant) editChart(def *chart.Definition, edit ChartEdit) (*chart.Definition, error) {
	state, ok := def.States[edit.State]
	if !ok {
		return nil, v.editError("chart %q has no state %q", def.Name, edit.State)
	}
	if _, ok := def.Events[edit.Event]; !ok {
		return nil, v.editError("chart %q has no event %q", def.Name, edit.Event)
	}
	for _, t := range edit.Transitions {
		if _, ok := def.States[t.To]; !ok {
			return nil, v.editError("chart %q has no state %q", def.Name, t.To)
		}
	}
	copied := *def
	copied.States = make(map[string]chart.StateDefinition, len(def.States))
	for name, other := range def.States {
		copied.States[name] = other
	}
	copied.States[edit.State] = replaceTransitions(state, edit)
	return &copied, nil
}

func replaceTransitions(state chart.StateDefinition, edit ChartEdit) chart.StateDefinition {
	on := make(map[string][]chart.Transition, len(state.On))
	for event, alternatives := range state.On {
		on[event] = alternatives
	}
	delete(on, edit.Event)
	if len(edit.Transitions) > 0 {
		on[edit.Event] = edit.Transitions
	}
	state.On = on
	return state
}

func (v *Variant) editError(format string, args ...any) error {
	return errors.WithStack(&EditError{Variant: v.Name, Reason: fmt.Sprintf(format, args...)})
}

// FileError reports a file that cannot be read, parsed or written.
type FileError struct {
	Path  string
	cause error
}

// Error returns the file's path and the cause.
func (e *FileError) Error() string { return e.Path + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.cause }

func readJSON(files fs.FS, file string, target any) error {
	raw, err := fs.ReadFile(files, file)
	if err != nil {
		return errors.WithStack(&FileError{Path: file, cause: err})
	}
	plain, err := hujson.Standardize(raw)
	if err != nil {
		return errors.WithStack(&FileError{Path: file, cause: err})
	}
	if err := json.Unmarshal(plain, target); err != nil {
		return errors.WithStack(&FileError{Path: file, cause: err})
	}
	return nil
}
