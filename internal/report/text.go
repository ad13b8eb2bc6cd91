package report

import (
	"fmt"
	"strings"
	"time"

	"cactuspost.example/internal/burn"
)

// RenderText returns the report as plain text.
func RenderText(r *Report) string {
	b := &strings.Builder{}
	fmt.Fprintf(b, "Service levels at %s, revision %d\n", r.At.UTC().Format(time.RFC3339), r.Revision)
	writeEntries(b, r)
	if len(r.Levels) == 0 {
		b.WriteString("\nNo job is accounted for.\n")
	}
	for i := range r.Levels {
		writeLevel(b, &r.Levels[i])
	}
	writeMessages(b, &r.Messages)
	return b.String()
}

func writeEntries(b *strings.Builder, r *Report) {
	for i := range r.Entries {
		e := &r.Entries[i]
		if e.Failure == nil {
			fmt.Fprintf(b, "  %s (%s) answered\n", e.Name, e.DataCentre)
			continue
		}
		fmt.Fprintf(b, "  %s (%s) DID NOT ANSWER, its jobs are missing below: %s: %s\n", e.Name, e.DataCentre, e.Failure.Kind, e.Failure.Detail)
	}
}

func writeLevel(b *strings.Builder, l *burn.Level) {
	fmt.Fprintf(b, "\n%s\n", title(l))
	fmt.Fprintf(b, "  objective: %s\n", objective(l))
	fmt.Fprintf(b, "  error budget: %s\n", budget(l))
	fmt.Fprintf(b, "  %-14s %8s %8s %10s %12s\n", "window", "jobs", "missed", "burn rate", "budget left")
	writeWindow(b, "last 5 minutes", l, &l.Short)
	writeWindow(b, "last hour", l, &l.Long)
	fmt.Fprintf(b, "  missed in 5 minutes by: %s\n", causes(&l.Short))
	fmt.Fprintf(b, "  missed in the hour by: %s\n", causes(&l.Long))
	fmt.Fprintf(b, "  response over the ideal: p50 %s, p99 %s\n", ratio(l.RatioP50), ratio(l.RatioP99))
	fmt.Fprintf(b, "  wait of short tasks, p99: %s alone, %s behind long ones\n", millis(l.ShortAloneP99), millis(l.ShortBehindP99))
}

func writeWindow(b *strings.Builder, name string, l *burn.Level, w *burn.Window) {
	fmt.Fprintf(b, "  %-14s %8d %8d %10s %12s\n", name, w.Jobs, w.Bad, burnRate(l, w), budgetLeft(l, w))
}

func writeMessages(b *strings.Builder, m *Messages) {
	b.WriteString("\nMessages since the entries' start\n ")
	for _, c := range m.byType() {
		fmt.Fprintf(b, " %s %d", c.messageType, c.count)
	}
	fmt.Fprintf(b, "\n  %s\n", wasted(m))
}
