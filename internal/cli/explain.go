package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/explain"
	"cactuspost.example/internal/failure"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the events of one request from the logs, and the cause of its result",
		ArgsUsage: "ID LOG [LOG ...]",
		Description: "ID is the caller's id of the request or of the job, or the system's id of the job.\n" +
			"The logs may come from any processes and in any order, and may be rotated or\n" +
			"truncated; the output says what is missing.\n\n" +
			"Example:\n  cactuspost explain 9f0c1a2b3c4d5e6f entry-1.log entry-2.log agent-*.log",
		Action: runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return usageFailure("explain takes an id and at least one log file")
	}
	var lines []explain.Line
	truncated := 0
	for _, name := range args[1:] {
		read, truncatedHere, err := readLog(name)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
		truncated += truncatedHere
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
