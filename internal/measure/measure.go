package measure

import (
	"slices"

	"cactuspost.example/internal/failure"
)

// measurement is a part of the report, with its name on the command line.
type measurement struct {
	name string
	run  func(Size) []*Table
}

func measurements() []measurement {
	return []measurement{
		{"response", Response},
		{"crest", Crest},
		{"blocking", Blocking},
		{"faults", Faults},
	}
}

// Run runs the named measurements, or all of them if names is empty, and returns
// their tables. It returns a failure of kind Invalid if a name is unknown.
func Run(names []string, size Size) ([]*Table, error) {
	var tables []*Table
	known := measurements()
	for _, name := range names {
		if !slices.ContainsFunc(known, func(m measurement) bool { return m.name == name }) {
			return nil, failure.Newf(failure.Invalid, failure.NotRun, "unknown measurement %q", name)
		}
	}
	for _, m := range known {
		if len(names) == 0 || slices.Contains(names, m.name) {
			tables = append(tables, m.run(size)...)
		}
	}
	return tables, nil
}
