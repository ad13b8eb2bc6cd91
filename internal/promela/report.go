package promela

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// VerdictError lists the searches that did not have the expected result.
type VerdictError struct{ Searches []string }

// Error returns the names of the searches.
func (e *VerdictError) Error() string {
	return "failed models or undetected variants: " + strings.Join(e.Searches, ", ")
}

// Report prints one line per result. It returns a *VerdictError if any search
// did not have the expected result.
func Report(out io.Writer, results []Result) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "search\tsizes\tstates\tdepth\tfound\tverdict")
	var failed []string
	for _, r := range results {
		if !r.Passed() {
			failed = append(failed, r.Search.Name())
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%s\t%s\n",
			r.Search.Name(), sizesText(r.Search), r.States, r.Depth, violationText(r), verdict(r))
	}
	if err := table.Flush(); err != nil {
		return errors.WithStack(err)
	}
	if len(failed) > 0 {
		return errors.WithStack(&VerdictError{Searches: failed})
	}
	return nil
}

func verdict(r Result) string {
	if r.Passed() {
		return "ok"
	}
	if !r.Exhaustive && r.Violated == "" {
		return "NOT EXHAUSTIVE"
	}
	return "FAILED"
}

func violationText(r Result) string {
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
