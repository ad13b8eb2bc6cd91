package cli

import (
	"fmt"
	"io"
	"strings"

	"github.com/pkg/errors"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
)

// Exit codes.
const (
	ExitOK          = 0
	ExitUsage       = 1
	ExitFailed      = 2
	ExitNotRun      = 3
	ExitConflict    = 4
	ExitUnavailable = 5
)

// exitMeanings describes the exit codes, in their order.
var exitMeanings = [...]string{
	ExitOK:          "done; a submitted job is complete",
	ExitUsage:       "the command line or the request is faulty; nothing ran",
	ExitFailed:      "failed, and tasks ran or may have run",
	ExitNotRun:      "failed, and no task ran: submitting anew is safe",
	ExitConflict:    "conflict: other tasks under the same id, or a note against an outdated base revision",
	ExitUnavailable: "no answer can be had now: ask again, for a job with the same id",
}

// ExitCode returns the exit code for the result of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var f *failure.Failure
	if !errors.As(err, &f) {
		// The flag parser's own errors are of no type of ours.
		return ExitUsage
	}
	switch f.Kind {
	case failure.Conflict:
		return ExitConflict
	case failure.Unavailable, failure.Draining, failure.NoConfiguration:
		return ExitUnavailable
	case failure.Invalid:
		if f.Run == failure.NotRun {
			return ExitUsage
		}
	}
	if f.Run == failure.NotRun {
		return ExitNotRun
	}
	return ExitFailed
}

// report prints a failure: for people on errOut, for programs on out as JSON.
func report(err error, out, errOut io.Writer, asJSON bool) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "cactuspost:", printable(err.Error()))
	var f *failure.Failure
	var shown *shownError
	if asJSON && errors.As(err, &f) && !errors.As(err, &shown) {
		_, body, _ := api.EncodeFailure(f)
		fmt.Fprintln(out, string(body))
	}
	return ExitCode(err)
}

// shownError sets the exit code for a failure that the output contains already.
type shownError struct{ failure *failure.Failure }

// Error returns the failure's text.
func (e *shownError) Error() string { return e.failure.Error() }

// Unwrap returns the failure.
func (e *shownError) Unwrap() error { return e.failure }

func exitTable() string {
	var table strings.Builder
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&table, "  %d  %s\n", code, meaning)
	}
	return table.String()
}

func rootDescription() string {
	return "Callers submit jobs and await their answers; operators list endpoints, apply\n" +
		"release notes and read the report. The token comes from " + tokenVariable + " or from\n" +
		"--token-file.\n\nExit codes:\n" + exitTable()
}
