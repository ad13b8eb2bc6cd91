package report

import (
	"fmt"
	"strconv"
	"strings"

	"cactuspost.example/internal/burn"
)

// noData is printed for a figure without measurements.
const noData = "-"

// hasObjective reports whether the current configuration has the level's service.
func hasObjective(l *burn.Level) bool { return l.Target > 0 }

// title returns the heading of a level: its service and team.
func title(l *burn.Level) string {
	if l.Service == "" {
		return "(no configuration known) / " + l.Team
	}
	return l.Service + " / " + l.Team
}

// objective describes the objective of the service.
func objective(l *burn.Level) string {
	if !hasObjective(l) {
		return "no objective in the configuration in force"
	}
	return fmt.Sprintf("%s of jobs complete, each task started within %d ms", percent(l.Target), l.ObjectiveMS)
}

// budget describes the error budget that follows from the target.
func budget(l *burn.Level) string {
	if !hasObjective(l) {
		return noData
	}
	return percent(1-l.Target) + " of jobs may miss it"
}

func percent(share float64) string {
	return strconv.FormatFloat(share*100, 'g', 4, 64) + " %"
}

func burnRate(l *burn.Level, w *burn.Window) string {
	if !hasObjective(l) || w.Jobs == 0 {
		return noData
	}
	return strconv.FormatFloat(w.BurnRate, 'f', 2, 64)
}

func budgetLeft(l *burn.Level, w *burn.Window) string {
	if !hasObjective(l) || w.Jobs == 0 {
		return noData
	}
	return strconv.FormatFloat(w.BudgetLeft*100, 'f', 0, 64) + " %"
}

// causes lists why jobs missed the objective, in the order of burn.Cause.
func causes(w *burn.Window) string {
	var parts []string
	for c := burn.Met + 1; c < burn.CauseCount; c++ {
		if n := w.ByCause[c.String()]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", c, n))
		}
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}

func ratio(r float64) string {
	if r == 0 {
		return noData
	}
	return strconv.FormatFloat(r, 'f', 2, 64)
}

func millis(ms float64) string {
	if ms == 0 {
		return noData
	}
	return strconv.FormatFloat(ms, 'f', 1, 64) + " ms"
}

// wasted describes how many messages did not lead to the start of a task.
func wasted(m *Messages) string {
	if m.TasksGranted == 0 {
		return fmt.Sprintf("%d wasted, no task granted", m.Wasted)
	}
	return fmt.Sprintf("%d wasted, %.3f per task granted (%d tasks)", m.Wasted, m.WastedPerTask, m.TasksGranted)
}
