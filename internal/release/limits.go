package release

import (
	"fmt"
	"math"
)

const (
	// MaxNoteBytes limits the size of a note's text.
	MaxNoteBytes = 256 << 10
	// DefaultMaxTasks and DefaultMaxTaskBytes apply to a service whose note
	// doesn't set max_tasks or max_task_bytes.
	DefaultMaxTasks     = 100
	DefaultMaxTaskBytes = 64 << 10

	maxNameBytes    = 64
	maxAuthorBytes  = 200
	maxSummaryBytes = 500
	maxServices     = 500
	maxTeams        = 1000
)

// numberRange is a closed range of numbers, with the unit shown in messages.
type numberRange struct {
	min, max float64
	unit     string
}

// The permitted ranges of the numbers in a note.
var (
	baseRange         = numberRange{0, 1 << 53, ""}
	objectiveRange    = numberRange{10, 600_000, "ms"}
	targetRange       = numberRange{0.5, 0.99999, ""}
	lifetimeRange     = numberRange{1000, 3_600_000, "ms"}
	taskLimitRange    = numberRange{10, 3_600_000, "ms"}
	maxTasksRange     = numberRange{1, 100, "tasks"}
	maxTaskBytesRange = numberRange{1, 1 << 20, "bytes"}
	shortReserveRange = numberRange{0, 0.9, ""}
	quotaRange        = numberRange{0.001, 1000, ""}
	maxWaitingRange   = numberRange{0, 1_000_000, "tasks"}
)

func (r numberRange) contains(x float64) bool { return !math.IsNaN(x) && x >= r.min && x <= r.max }

// String returns the range as text, such as "10 to 600000 ms".
func (r numberRange) String() string {
	text := fmt.Sprintf("%v to %v", formatNumber(r.min), formatNumber(r.max))
	if r.unit != "" {
		text += " " + r.unit
	}
	return text
}

// formatNumber formats a number; integers are written without an exponent.
func formatNumber(x float64) string {
	if x == math.Trunc(x) {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprint(x)
}

const nameRule = "a name of 1 to 64 characters a-z, 0-9 and -, which begins with a letter or digit"

func isValidName(text string) bool {
	if text == "" || len(text) > maxNameBytes || text[0] == '-' {
		return false
	}
	for _, c := range []byte(text) {
		letter := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' {
			return false
		}
	}
	return true
}
