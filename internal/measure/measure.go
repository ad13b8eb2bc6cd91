package measure

import (
	"slices"

	"cactuspost.example/internal/failure"
)

// measure is a part of the report, with its name on the command line.
type measure struct {
	name string
	run  func(Size) []*Table
}

func measures() []measure {
	return []measure{
		{"response", Response},
		{"crest", Crest},
		{"blocking", Blocking},
		{"faults", Faults},
	}
}

// Run runs the named measures, or all of them if names is empty, and returns
// their tables. It fails if a name is unknown.
func Run(names []string, size Size) ([]*Table, error) {
	var tables []*Table
	known := measures()
	for _, name := range names {
		if !slices.ContainsFunc(known, func(m measure) bool { return m.name == name }) {
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
