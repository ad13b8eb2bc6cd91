package cli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/httpclient"
)

// htmlFlag is the flag for the file that the HTML report is written to.
const htmlFlag = "html"

// reportMode is the file mode of the HTML report, which every user may read.
const reportMode = 0o644

func endpointsCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "list the endpoints known to each entry",
		Description: `Example:
  cactuspost endpoints --output json`,
		Action: action(endpoints).run,
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "drain an endpoint through its agent",
		ArgsUsage: "URL",
		Description: `The agent accepts no new tasks, finishes the running ones, delivers their results
and exits. Repeating the command has no effect but to show how much is left.

Example:
  cactuspost drain http://127.0.0.1:7201`,
		Action: action(drain).run,
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a release note",
		ArgsUsage: "FILE",
		Description: `Sends the note to an entry, which validates it and puts it in force everywhere. A
note names the revision that it is based on. If that revision is outdated, because
another note was applied in the meantime, the exit code is 4 and the answer shows
what has changed. Applying the same note again is safe. FILE may be - for the
standard input.

Examples:
  cactuspost apply --dry-run note.jsonc
  cactuspost apply note.jsonc`,
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "dry-run", Usage: "validate the note and show its effect without applying it"}},
		Action: action(apply).run,
	}
}

func notesCommand() *cli.Command {
	return &cli.Command{
		Name:  "notes",
		Usage: "show the current release note and what is in force",
		Description: `Examples:
  cactuspost notes
  cactuspost notes --revision 12`,
		Flags:  []cli.Flag{&cli.Uint64Flag{Name: "revision", Usage: "show the note that created revision `N`"}},
		Action: action(notes).run,
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show the service-level report",
		Description: `Shows, for each service and team, the objective, the error budget, its burn rate
and the causes of the burn, and how task times compare with the ideal. The figures
are collected from all entries; an entry that does not answer is named.

Examples:
  cactuspost report --output json
  cactuspost report --html report.html`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: htmlFlag, Usage: "write an HTML page with plots to `FILE` and print nothing"}},
		Action: action(showReport).run,
	}
}

func endpoints(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	body, err := sendToEntries(ctx, cmd, httpclient.Request{Method: http.MethodGet, URL: api.EndpointsPath, Accept: api.JSONType})
	if err != nil {
		return err
	}
	if wantsJSON(cmd) {
		return printBody(cmd.Root().Writer, body)
	}
	var answer operator.EndpointsAnswer
	if err := api.DecodeLenient(body, &answer); err != nil {
		return err
	}
	return printEndpoints(cmd.Root().Writer, &answer)
}

func drain(ctx context.Context, cmd *cli.Command) error {
	agent, err := oneArgument(cmd, "the agent's URL")
	if err != nil {
		return err
	}
	body, err := sendToFirstReachable(ctx, cmd, []string{agent}, httpclient.Request{Method: http.MethodPost, URL: api.DrainPath, Accept: api.JSONType})
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if wantsJSON(cmd) {
		return printBody(out, body)
	}
	var answer operator.DrainAnswer
	if err := api.DecodeLenient(body, &answer); err != nil {
		return err
	}
	fmt.Fprintf(out, "%s leaving=%t busy=%d unacked=%d\n", printable(answer.Endpoint), answer.Leaving, answer.Busy, answer.Unacked)
	return nil
}

func apply(ctx context.Context, cmd *cli.Command) error {
	file, err := oneArgument(cmd, "the file of the note")
	if err != nil {
		return err
	}
	note, err := readInput(cmd, file)
	if err != nil {
		return err
	}
	path := api.NotesPath
	if cmd.Bool("dry-run") {
		path += "?" + api.DryRunParameter + "=1"
	}
	return printAnswer(ctx, cmd, httpclient.Request{Method: http.MethodPost, URL: path, ContentType: api.JSONType, Body: note})
}

func notes(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	path := api.NotesPath
	if cmd.IsSet("revision") {
		query := url.Values{api.RevisionParameter: {strconv.FormatUint(cmd.Uint64("revision"), 10)}}
		path += "?" + query.Encode()
	}
	return printAnswer(ctx, cmd, httpclient.Request{Method: http.MethodGet, URL: path})
}

func showReport(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	if file := cmd.String(htmlFlag); file != "" {
		return saveReport(ctx, cmd, file)
	}
	return printAnswer(ctx, cmd, httpclient.Request{Method: http.MethodGet, URL: api.ReportPath})
}

func saveReport(ctx context.Context, cmd *cli.Command, file string) error {
	request := httpclient.Request{Method: http.MethodGet, URL: api.ReportPath, Accept: api.HTMLType}
	page, err := sendToEntries(ctx, cmd, request)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, page, reportMode); err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "write the report")
	}
	return nil
}

// printAnswer sends a request to an entry and prints the answer, as text or
// JSON.
func printAnswer(ctx context.Context, cmd *cli.Command, r httpclient.Request) error {
	r.Accept = api.TextType
	if wantsJSON(cmd) {
		r.Accept = api.JSONType
	}
	body, err := sendToEntries(ctx, cmd, r)
	if err != nil {
		return err
	}
	return printBody(cmd.Root().Writer, body)
}

func sendToEntries(ctx context.Context, cmd *cli.Command, r httpclient.Request) ([]byte, error) {
	return sendToFirstReachable(ctx, cmd, cmd.StringSlice(entryFlag), r)
}

// sendToFirstReachable sends a request, whose URL is a path, to the first base
// URL that is reachable. It tries the next one only if the request was not
// sent.
func sendToFirstReachable(ctx context.Context, cmd *cli.Command, bases []string, r httpclient.Request) ([]byte, error) {
	token, err := readToken(cmd)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := readTLS(cmd)
	if err != nil {
		return nil, err
	}
	client := httpclient.New(tlsConfig)
	defer client.Close()
	path := r.URL
	r.Token = token.Reveal()
	r.Timeout = cmd.Duration(timeoutFlag)
	var last *failure.Failure
	for _, base := range bases {
		r.URL = strings.TrimRight(base, "/") + path
		response, err := client.Exchange(ctx, r)
		if err == nil {
			return successBody(response)
		}
		last = failure.Of(err)
		if last.Run != failure.NotRun {
			break
		}
	}
	return nil, last
}

func successBody(response *httpclient.Response) ([]byte, error) {
	if response.Status >= http.StatusBadRequest {
		return nil, api.DecodeFailure(response.Status, response.Body, response.RetryAfter)
	}
	return response.Body, nil
}
