package cli

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api"
)

func submitCommand() *cli.Command {
	return &cli.Command{
		Name:  "submit",
		Usage: "submit a job and wait for its answer",
		Description: `Reads one task per line, or the JSON body of the HTTP interface. The job's id is
printed to the standard error before any task is sent. Resubmitting the same
job under that id is safe: no task starts twice. Results are printed one per
line, in the order of the tasks; a result with control characters is quoted.

Examples:
  printf 'transect 12\ntransect 13\n' | cactuspost submit --service recession --kind profile-check
  cactuspost submit --file job.json --format json --output json
  cactuspost submit --id ID --file job.json --format json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Usage: "`FILE` with the tasks; - is the standard input", Value: stdinName},
			&cli.StringFlag{Name: "format", Usage: "`FORM` of the file: lines or json", Value: linesFormat},
			&cli.StringFlag{Name: "id", Usage: "`ID` of an earlier submission, to resubmit its job"},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service, for lines"},
			&cli.StringFlag{Name: "kind", Usage: "`KIND` of the tasks, for lines"},
			&cli.DurationFlag{Name: "declared", Usage: "expected run `TIME` of a task, for lines"},
			&cli.Uint32Flag{Name: "cores", Usage: "cores that a task takes, for lines"},
			&cli.Uint32Flag{Name: "memory-mb", Usage: "memory that a task takes, for lines"},
			&cli.Uint32Flag{Name: "accelerators", Usage: "accelerators that a task takes, for lines"},
		},
		Action: action(submit).run,
	}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:      "status",
		Usage:     "show the state of a job",
		ArgsUsage: "ID",
		Description: `Prints the state, the task counts and the results of a complete job. For a failed
job, the exit code is that of its failure.

Examples:
  cactuspost status ID
  cactuspost status --wait ID`,
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "wait", Usage: "wait until the job has ended"}},
		Action: action(status).run,
	}
}

func cancelCommand() *cli.Command {
	return &cli.Command{
		Name:      "cancel",
		Usage:     "cancel a job",
		ArgsUsage: "ID",
		Description: `Waiting tasks do not start, running tasks are stopped. A job that has already
ended keeps its answer. The exit code is 0 once the job has ended, whatever its
outcome.

Example:
  cactuspost cancel ID`,
		Action: action(cancel).run,
	}
}

// withClient calls work with a client that is configured by the global flags.
func withClient(cmd *cli.Command, work func(*cactuspost.Client) error) error {
	token, err := readToken(cmd)
	if err != nil {
		return err
	}
	tlsConfig, err := readTLS(cmd)
	if err != nil {
		return err
	}
	client, err := cactuspost.New(cactuspost.Config{Entries: cmd.StringSlice(entryFlag), Token: token.Reveal(), TLS: tlsConfig})
	if err != nil {
		return err
	}
	defer client.Close()
	return work(client)
}

func submit(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	job, err := readJob(cmd)
	if err != nil {
		return err
	}
	return withClient(cmd, func(client *cactuspost.Client) error {
		answer, err := send(ctx, cmd, client, job)
		if err != nil {
			return err
		}
		status := &cactuspost.Status{ID: answer.ID, State: cactuspost.Complete, Results: answer.Results, Done: len(answer.Results)}
		return printStatus(cmd, status, printResults)
	})
}

// send submits the job and waits for its answer. It prints a new job's id
// before the tasks are sent, so that the caller can resubmit the job if the
// answer is lost.
func send(ctx context.Context, cmd *cli.Command, client *cactuspost.Client, job cactuspost.Job) (*cactuspost.Answer, error) {
	if id := cmd.String("id"); id != "" {
		return client.Resubmit(ctx, id, job)
	}
	tickets, err := client.NewTickets(ctx, job.Service, 1)
	if err != nil {
		return nil, err
	}
	fmt.Fprintln(cmd.Root().ErrWriter, "job", tickets[0].ID)
	return client.Submit(ctx, tickets[0], job)
}

func status(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "the job's id")
	if err != nil {
		return err
	}
	return withClient(cmd, func(client *cactuspost.Client) error {
		if cmd.Bool("wait") {
			// The result is dropped: the status request that follows reports a
			// failed job, and most other failures occur again there.
			_, _ = client.Await(ctx, id)
		}
		state, err := client.Status(ctx, id)
		if err != nil {
			return err
		}
		if err := printStatus(cmd, state, printState); err != nil {
			return err
		}
		return failureOf(state)
	})
}

func failureOf(state *cactuspost.Status) error {
	if state.State != cactuspost.Failed {
		return nil
	}
	return &printedError{failure: state.Failure}
}

func cancel(ctx context.Context, cmd *cli.Command) error {
	id, err := oneArgument(cmd, "the job's id")
	if err != nil {
		return err
	}
	return withClient(cmd, func(client *cactuspost.Client) error {
		state, err := client.Cancel(ctx, id)
		if err != nil {
			return err
		}
		return printStatus(cmd, state, printState)
	})
}

// printStatus prints the JSON of the HTTP interface, or text.
func printStatus(cmd *cli.Command, state *cactuspost.Status, text func(io.Writer, *cactuspost.Status)) error {
	out := cmd.Root().Writer
	if wantsJSON(cmd) {
		return printJSON(out, jobAnswerOf(state))
	}
	text(out, state)
	return nil
}

func jobAnswerOf(state *cactuspost.Status) *api.JobAnswer {
	answer := &api.JobAnswer{
		ID:      state.ID,
		State:   string(state.State),
		Results: state.Results,
		Waiting: state.Waiting,
		Running: state.Running,
		Done:    state.Done,
	}
	if state.Failure != nil {
		answer.Failure = api.NewFailureJSON(state.Failure)
	}
	return answer
}

func printState(out io.Writer, state *cactuspost.Status) {
	fmt.Fprintf(out, "%s %s waiting=%d running=%d done=%d\n", state.ID, state.State, state.Waiting, state.Running, state.Done)
	if state.Failure != nil {
		fmt.Fprintln(out, printable(state.Failure.Error()))
	}
	printResults(out, state)
}

func printResults(out io.Writer, state *cactuspost.Status) {
	for _, result := range state.Results {
		fmt.Fprintln(out, resultLine(result))
	}
}
