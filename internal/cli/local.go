package cli

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/local"
	"cactuspost.example/internal/logging"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a complete system in this process, for development",
		Description: `Runs a stand-in of the platform's table, two entries and three agents with sample
endpoints on the ports of the sample settings, applies samples/first-note.jsonc,
and runs until it is interrupted.

Example:
  cactuspost dev`,
		Action: action(dev).run,
	}
}

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a sample load on a system in this process",
		Description: `Starts a system as dev does, but on free ports, submits jobs of 100 tasks one
after the other, and prints the number of completed tasks, the ratio of response
time to ideal time, and the messages per task. The exit code is 0 only if every
answer is complete.

Example:
  cactuspost demo`,
		Action: action(demo).run,
	}
}

func dev(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	// The site runs until it is interrupted, regardless of --timeout.
	ctx, stop := signal.NotifyContext(context.WithoutCancel(ctx), os.Interrupt, syscall.SIGTERM)
	defer stop()
	site, err := local.Start(context.WithoutCancel(ctx), local.Options{SamplePorts: true, Log: logging.New(cmd.Root().ErrWriter, event.Warning)})
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	site.Describe(out)
	fmt.Fprintf(out, `
Next, in another terminal:

  export CACTUSPOST_TOKEN=%s
  printf 'transect 12\ntransect 13\n' | go run ./cmd/cactuspost submit --service recession --kind profile-check

  export CACTUSPOST_TOKEN=%s
  go run ./cmd/cactuspost endpoints
  go run ./cmd/cactuspost notes

Press Ctrl-C for a planned stop.
`, site.CallerToken(), site.OperatorToken())
	<-ctx.Done()
	site.Stop()
	return nil
}

func demo(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	site, err := local.Start(context.WithoutCancel(ctx), local.Options{Log: logging.New(cmd.Root().ErrWriter, event.Fault)})
	if err != nil {
		return err
	}
	report, err := local.Demo(ctx, site)
	site.Stop()
	if err != nil {
		return err
	}
	if wantsJSON(cmd.Root()) {
		return printJSON(cmd.Root().Writer, report)
	}
	out := cmd.Root().Writer
	fmt.Fprintf(out, "tasks completed          %d, in %d jobs, every answer whole\n", report.Tasks, report.Jobs)
	fmt.Fprintf(out, "response over the ideal  p50 %.2f, p99 %.2f\n", report.P50, report.P99)
	fmt.Fprintf(out, "messages per task        %.2f, of which %.3f led to no start\n", report.MessagesPerTask, report.WastedPerTask)
	return nil
}
