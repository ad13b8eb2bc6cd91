// Package cli implements the command line for callers and operators.
//
// It prints the answers of the entries as text or JSON and maps failures to exit
// codes for scripts. The commands for jobs use the client library; each command
// for operators sends one HTTP request.
package cli

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/failure"
)

// Names of the global flags.
const (
	entryFlag     = "entry"
	tokenFileFlag = "token-file"
	caFileFlag    = "ca-file"
	outputFlag    = "output"
	timeoutFlag   = "timeout"
)

// Environment variables. There is no flag for the token itself, because other
// users of the machine can read the arguments of a process.
const (
	entriesVariable   = "CACTUSPOST_ENTRIES"
	tokenVariable     = "CACTUSPOST_TOKEN"
	tokenFileVariable = "CACTUSPOST_TOKEN_FILE"
	caFileVariable    = "CACTUSPOST_CA_FILE"
)

// Values of the flag output.
const (
	textOutput = "text"
	jsonOutput = "json"
)

const (
	defaultEntry   = "http://127.0.0.1:7101"
	defaultTimeout = 2 * time.Minute
)

// Commands returns all commands in the order of the help page.
func Commands() []*cli.Command {
	return []*cli.Command{
		submitCommand(),
		statusCommand(),
		cancelCommand(),
		endpointsCommand(),
		drainCommand(),
		applyCommand(),
		notesCommand(),
		reportCommand(),
		explainCommand(),
		devCommand(),
		demoCommand(),
	}
}

// App returns the root command with all its subcommands.
func App() *cli.Command {
	app := &cli.Command{
		Name:        "cactuspost",
		Usage:       "submit jobs of short tasks, and operate the dispatcher",
		Description: rootDescription(),
		Flags:       rootFlags(),
		Commands:    Commands(),
		Action:      rejectUnknownCommand,
		// The default handler of urfave/cli would exit the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   usageError,
	}
	for _, command := range app.Commands {
		command.OnUsageError = usageError
	}
	return app
}

// usageError replaces urfave/cli's handling of invalid flags, which returns an
// untyped error and prints the help page to the standard output.
func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return failure.Wrap(err, failure.Invalid, failure.NotRun, "see "+cmd.FullName()+" --help")
}

func rootFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name: entryFlag, Usage: "base `URL` of the load balancer or of an entry; may be repeated",
			Value: []string{defaultEntry}, Sources: cli.EnvVars(entriesVariable),
		},
		&cli.StringFlag{
			Name: tokenFileFlag, Usage: "`FILE` that contains the token; the token itself may be set in " + tokenVariable,
			Sources: cli.EnvVars(tokenFileVariable),
		},
		&cli.StringFlag{
			Name: caFileFlag, Usage: "PEM `FILE` with the certificates to trust for https; without it, those of the system",
			Sources: cli.EnvVars(caFileVariable),
		},
		&cli.StringFlag{Name: outputFlag, Usage: "`FORM` of the output: text or json", Value: textOutput},
		&cli.DurationFlag{Name: timeoutFlag, Usage: "maximum `TIME` to wait for the answer", Value: defaultTimeout},
	}
}

func rejectUnknownCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageFailure("unknown command " + cmd.Args().First() + "; see cactuspost --help")
	}
	return cli.ShowAppHelp(cmd)
}

// Run executes a command line, given without the program's name, and returns the
// exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	app := App()
	app.Reader, app.Writer, app.ErrWriter = in, out, errOut
	err := app.Run(ctx, append([]string{app.Name}, args...))
	return reportError(err, out, errOut, wantsJSON(app))
}

func wantsJSON(cmd *cli.Command) bool { return cmd.String(outputFlag) == jsonOutput }

// usageFailure returns a failure for an invalid command line.
func usageFailure(detail string) *failure.Failure {
	return failure.New(failure.Invalid, failure.NotRun, detail)
}

// checkGlobalFlags checks the global flags and applies the timeout to the
// context.
func checkGlobalFlags(ctx context.Context, cmd *cli.Command) (context.Context, context.CancelFunc, error) {
	output := cmd.String(outputFlag)
	if output != textOutput && output != jsonOutput {
		return nil, nil, usageFailure("--output must be text or json")
	}
	limit := cmd.Duration(timeoutFlag)
	if limit <= 0 {
		return nil, nil, usageFailure("--timeout must be greater than zero")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	return ctx, cancel, nil
}

// action is the implementation of a command, which run calls after the global
// flags have been checked.
type action func(ctx context.Context, cmd *cli.Command) error

func (a action) run(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel, err := checkGlobalFlags(ctx, cmd)
	if err != nil {
		return err
	}
	defer cancel()
	return a(ctx, cmd)
}

// oneArgument returns the command's only argument, or a usage failure that
// describes the expected argument as what.
func oneArgument(cmd *cli.Command, what string) (string, error) {
	if cmd.Args().Len() != 1 {
		return "", usageFailure(cmd.Name + " takes one argument: " + what)
	}
	return cmd.Args().First(), nil
}

func noArgument(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return usageFailure(cmd.Name + " takes no argument")
	}
	return nil
}
