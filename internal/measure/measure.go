package measure

import (
	"slices"

	"cactuspost.example/internal/failure"
)

// measure is a part of the report under its name on the command line.
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

// Run returns the tables of the named measures, of all if no name is given.
func Run(names []string, size Size) ([]*Table, error) {
	var tables []*Table
	known := measures()
	for _, name := range names {
		if !slices.ContainsFunc(known, func(m measure) bool { return m.name == name }) {
			return nil, failure.Newf(failure.Invalid, failure.NotRun, "no measure is called %q", name)
		}
	}
	for _, m := range known {
		if len(names) == 0 || slices.Contains(names, m.name) {
			tables = append(tables, m.run(size)...)
		}
	}
	return tables, nil
}
