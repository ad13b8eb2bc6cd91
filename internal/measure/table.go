package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
)

// Table is one table of the report.
type Table struct {
	Title string `json:"title"`
	// Notes describe the columns and state the targets.
	Notes   []string   `json:"notes"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t *Table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

// Print writes the table as aligned text.
func (t *Table) Print(w io.Writer) {
	fmt.Fprintf(w, "%s\n", t.Title)
	for _, note := range t.Notes {
		fmt.Fprintf(w, "  %s\n", note)
	}
	aligned := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(aligned, strings.Join(t.Columns, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(aligned, strings.Join(row, "\t"))
	}
	_ = aligned.Flush()
	fmt.Fprintln(w)
}

// metric holds the values of one metric, one per seed.
type metric []float64

// median returns the median; for an even number of values, the higher of the two
// middle ones.
func (f metric) median() float64 {
	if len(f) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(f))
	return sorted[len(sorted)/2]
}

// String returns the median and, in brackets, the range over all seeds. If all
// values are equal, it omits the range.
func (f metric) String() string {
	if len(f) == 0 {
		return "-"
	}
	low, high := slices.Min(f), slices.Max(f)
	if low == high {
		return fmt.Sprintf("%.3g", low)
	}
	return fmt.Sprintf("%.3g [%.3g, %.3g]", f.median(), low, high)
}
