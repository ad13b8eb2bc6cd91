package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/explain"
	"cactuspost.example/internal/failure"
)

// overlapsFlag makes explain show the repeated tasks of all requests.
const overlapsFlag = "overlaps"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the events of one request from the logs, and the cause of its result",
		ArgsUsage: "ID LOG [LOG ...]",
		Description: "ID is the caller's id of the request or of the job, or the system's id of the job.\n" +
			"The logs may come from any processes and in any order, and may be rotated or\n" +
			"truncated; the output says what is missing, and names the tasks of which two runs\n" +
			"overlapped or may have.\n\n" +
			"With --overlaps there is no ID: the output has one line for each pair of runs of a\n" +
			"task in the logs, runs that overlapped first, then smallest gap first, with what the\n" +
			"end of the first run was concluded from and what its requeue followed.\n\n" +
			"Examples:\n  cactuspost explain 9f0c1a2b3c4d5e6f entry-1.log entry-2.log agent-*.log\n" +
			"  cactuspost explain --overlaps entry-*.log agent-*.log",
		Flags:  []cli.Flag{&cli.BoolFlag{Name: overlapsFlag, Usage: "show the repeated tasks of all requests instead of one request"}},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	if cmd.Bool(overlapsFlag) {
		return runOverlaps(cmd)
	}
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return usageFailure("explain takes an id and at least one log file")
	}
	lines, truncated, err := readLogs(args[1:])
	if err != nil {
		return err
	}
	explanation := explain.ForRequest(args[0], lines)
	if truncated > 0 {
		explanation.Missing = append(explanation.Missing, fmt.Sprintf("%d truncated lines", truncated))
	}
	if err := explanation.Write(cmd.Root().Writer); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "write the explanation")
	}
	return nil
}

func runOverlaps(cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return usageFailure("explain --overlaps takes at least one log file")
	}
	lines, truncated, err := readLogs(cmd.Args().Slice())
	if err != nil {
		return err
	}
	if err := explain.WriteRepetitions(cmd.Root().Writer, explain.Repetitions(lines), truncated); err != nil {
		return failure.Wrap(err, failure.Internal, failure.NotRun, "write the repeated tasks")
	}
	return nil
}

// readLogs returns the lines of all logs and the number of truncated lines.
func readLogs(names []string) (lines []explain.Line, truncated int, err error) {
	for _, name := range names {
		read, truncatedHere, err := readLog(name)
		if err != nil {
			return nil, 0, err
		}
		lines = append(lines, read...)
		truncated += truncatedHere
	}
	return lines, truncated, nil
}

func readLog(name string) ([]explain.Line, int, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, 0, failure.Wrap(err, failure.Invalid, failure.NotRun, "open the log")
	}
	defer file.Close()
	lines, truncated, err := explain.Read(file)
	if err != nil {
		return nil, 0, failure.Wrap(err, failure.Invalid, failure.NotRun, "read the log "+name)
	}
	return lines, truncated, nil
}
