package cli

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"cactuspost.example/cactuspost"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/failure"
)

// Input formats of submit.
const (
	linesFormat = "lines"
	jsonFormat  = "json"
)

const (
	// stdinName is the file name that means the standard input.
	stdinName = "-"
	// maxInputBytes bounds the size of an input file.
	maxInputBytes = 64 << 20
)

// readJob reads the job of a submit command.
func readJob(cmd *cli.Command) (cactuspost.Job, error) {
	raw, err := readInput(cmd, cmd.String("file"))
	if err != nil {
		return cactuspost.Job{}, err
	}
	switch cmd.String("format") {
	case linesFormat:
		return jobOfLines(cmd, raw)
	case jsonFormat:
		return jobOfJSON(raw)
	default:
		return cactuspost.Job{}, usageFailure("--format must be lines or json")
	}
}

// readInput reads a file, or the standard input for the name "-".
func readInput(cmd *cli.Command, name string) ([]byte, error) {
	source := cmd.Root().Reader
	if name != stdinName {
		file, err := os.Open(name)
		if err != nil {
			return nil, failure.Wrap(err, failure.Invalid, failure.NotRun, "open the input")
		}
		defer file.Close()
		source = file
	}
	raw, err := io.ReadAll(io.LimitReader(source, maxInputBytes+1))
	if err != nil {
		return nil, failure.Wrap(err, failure.Invalid, failure.NotRun, "read the input")
	}
	if len(raw) > maxInputBytes {
		return nil, usageFailure("the input is larger than 64 MiB")
	}
	return raw, nil
}

// jobOfLines returns a job with one task for each non-empty line.
func jobOfLines(cmd *cli.Command, raw []byte) (cactuspost.Job, error) {
	job := cactuspost.Job{Service: cmd.String("service"), Needs: needsOf(cmd)}
	if job.Service == "" || cmd.String("kind") == "" {
		return job, usageFailure("--format lines requires --service and --kind")
	}
	declared := cmd.Duration("declared")
	lines := bufio.NewScanner(bytes.NewReader(raw))
	lines.Buffer(nil, maxInputBytes+1)
	for lines.Scan() {
		if line := lines.Bytes(); len(line) > 0 {
			job.Tasks = append(job.Tasks, taskOf(cmd.String("kind"), declared, line))
		}
	}
	if len(job.Tasks) == 0 {
		return job, usageFailure("the input contains no tasks")
	}
	return job, nil
}

func taskOf(kind string, declared time.Duration, payload []byte) cactuspost.Task {
	return cactuspost.Task{Kind: kind, Declared: declared, Payload: bytes.Clone(payload)}
}

func needsOf(cmd *cli.Command) cactuspost.Needs {
	return cactuspost.Needs{
		Cores:        cmd.Uint32("cores"),
		MemoryMB:     cmd.Uint32("memory-mb"),
		Accelerators: cmd.Uint32("accelerators"),
	}
}

// jobOfJSON decodes a job from the JSON body of the HTTP interface.
func jobOfJSON(raw []byte) (cactuspost.Job, error) {
	request, err := api.DecodeJob(raw, api.Limits{Body: maxInputBytes})
	if err != nil {
		return cactuspost.Job{}, err
	}
	job := cactuspost.Job{Service: request.Service, Needs: request.Needs}
	for _, t := range request.Tasks {
		job.Tasks = append(job.Tasks, cactuspost.Task{Kind: t.Kind, Declared: t.Declared.Duration(), Payload: t.Payload})
	}
	return job, nil
}
