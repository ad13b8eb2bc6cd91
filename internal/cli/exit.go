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
	ExitOK:          "success; a submitted job is complete",
	ExitUsage:       "invalid command line or request; nothing ran",
	ExitFailed:      "failed; tasks ran or may have run",
	ExitNotRun:      "failed, and no task ran: it is safe to submit a new job",
	ExitConflict:    "conflict: different tasks under the same id, or a note based on an outdated revision",
	ExitUnavailable: "no answer available now: try again, for a job with the same id",
}

// ExitCode returns the exit code for the result of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var f *failure.Failure
	if !errors.As(err, &f) {
		// Errors of urfave/cli are not Failures.
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

// reportError prints a failure to errOut as text and, if asJSON is set, to out
// as JSON. It returns the exit code.
func reportError(err error, out, errOut io.Writer, asJSON bool) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(errOut, "cactuspost:", printable(err.Error()))
	var f *failure.Failure
	var printed *printedError
	if asJSON && errors.As(err, &f) && !errors.As(err, &printed) {
		_, body, _ := api.EncodeFailure(f)
		fmt.Fprintln(out, string(body))
	}
	return ExitCode(err)
}

// printedError is a failure that the output already contains. It only sets the
// exit code.
type printedError struct{ failure *failure.Failure }

// Error returns the failure's text.
func (e *printedError) Error() string { return e.failure.Error() }

// Unwrap returns the failure.
func (e *printedError) Unwrap() error { return e.failure }

func exitTable() string {
	var table strings.Builder
	for code, meaning := range exitMeanings {
		fmt.Fprintf(&table, "  %d  %s\n", code, meaning)
	}
	return table.String()
}

func rootDescription() string {
	return "Callers submit jobs and await their answers; operators list endpoints, apply\n" +
		"release notes and read the report. The token is read from " + tokenVariable + " or\n" +
		"from the file given by --token-file.\n\nExit codes:\n" + exitTable()
}
