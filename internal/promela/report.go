package promela

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
)

// Report prints one line for each result and returns whether all are good.
func Report(out io.Writer, results []Result) (bool, error) {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "search\tsizes\tstates\tdepth\tfound\tverdict")
	good := true
	for _, r := range results {
		good = good && r.Good()
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\n",
			r.Search.Name(), sizesText(r.Search), r.States, r.Depth, foundText(r), verdict(r))
	}
	return good, table.Flush()
}

func verdict(r Result) string {
	if r.Good() {
		return "ok"
	}
	if !r.Exhaustive && r.Violated == "" {
		return "NOT EXHAUSTIVE"
	}
	return "FAILED"
}

func foundText(r Result) string {
	if r.Violated != "" {
		return r.Violated
	}
	return "no error"
}

func sizesText(s Search) string {
	if s.Variant != nil {
		return "as " + s.Model.Name
	}
	var parts []string
	for name, value := range s.Sizes() {
		if value != 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", strings.ToLower(name), value))
		}
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
