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

// htmlFlag names the file that takes the report's page.
const htmlFlag = "html"

// reportMode lets everyone read the report's page.
const reportMode = 0o644

func endpointsCommand() *cli.Command {
	return &cli.Command{
		Name:  "endpoints",
		Usage: "list the endpoints that each entry knows",
		Description: `Example:
  cactuspost endpoints --output json`,
		Action: action(endpoints).run,
	}
}

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "begin the planned stop of an endpoint, at its agent",
		ArgsUsage: "URL",
		Description: `The agent takes no new task from that moment, finishes what runs, hands over the
results and ends. Asking again changes nothing and tells how much is left.

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
		Description: `Sends the note to an entry, which checks it and puts it in force everywhere. A
note names the revision that it is based on: when another operator was faster,
the exit code is 4 and the answer shows what has changed. Repeating the same
note is safe. FILE may be - for the standard input.

Examples:
  cactuspost apply --dry-run note.jsonc
  cactuspost apply note.jsonc`,
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "dry-run", Usage: "check the note and show its effect, without applying it"}},
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
		Flags:  []cli.Flag{&cli.Uint64Flag{Name: "revision", Usage: "show the note that made revision `N`"}},
		Action: action(notes).run,
	}
}

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show the service-level burn",
		Description: `Shows for each service and team the objective, the error budget and how fast it
burns, what burnt it, and how tasks fare against the ideal. The figures come from
all entries; one that does not answer is named.

Examples:
  cactuspost report --output json
  cactuspost report --html report.html`,
		Flags:  []cli.Flag{&cli.StringFlag{Name: htmlFlag, Usage: "write one page with plots to `FILE` and print nothing"}},
		Action: action(showReport).run,
	}
}

func endpoints(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	body, err := askEntries(ctx, cmd, httpclient.Request{Method: http.MethodGet, URL: api.EndpointsPath, Accept: api.JSONType})
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
	body, err := ask(ctx, cmd, []string{agent}, httpclient.Request{Method: http.MethodPost, URL: api.DrainPath, Accept: api.JSONType})
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
	return show(ctx, cmd, httpclient.Request{Method: http.MethodPost, URL: path, ContentType: api.JSONType, Body: note})
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
	return show(ctx, cmd, httpclient.Request{Method: http.MethodGet, URL: path})
}

func showReport(ctx context.Context, cmd *cli.Command) error {
	if err := noArgument(cmd); err != nil {
		return err
	}
	if file := cmd.String(htmlFlag); file != "" {
		return saveReport(ctx, cmd, file)
	}
	return show(ctx, cmd, httpclient.Request{Method: http.MethodGet, URL: api.ReportPath})
}

func saveReport(ctx context.Context, cmd *cli.Command, file string) error {
	request := httpclient.Request{Method: http.MethodGet, URL: api.ReportPath, Accept: api.HTMLType}
	page, err := askEntries(ctx, cmd, request)
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, page, reportMode); err != nil {
		return failure.Wrap(err, failure.Invalid, failure.NotRun, "write the report")
	}
	return nil
}

// show prints what the entry returns in the form that was asked for.
func show(ctx context.Context, cmd *cli.Command, r httpclient.Request) error {
	r.Accept = api.TextType
	if wantsJSON(cmd) {
		r.Accept = api.JSONType
	}
	body, err := askEntries(ctx, cmd, r)
	if err != nil {
		return err
	}
	return printBody(cmd.Root().Writer, body)
}

func askEntries(ctx context.Context, cmd *cli.Command, r httpclient.Request) ([]byte, error) {
	return ask(ctx, cmd, cmd.StringSlice(entryFlag), r)
}

// ask sends a request, whose URL is a path, to the first base URL that can be
// reached. It goes on to the next one only if nothing was sent.
func ask(ctx context.Context, cmd *cli.Command, bases []string, r httpclient.Request) ([]byte, error) {
	token, err := readToken(cmd)
	if err != nil {
		return nil, err
	}
	trust, err := readTLS(cmd)
	if err != nil {
		return nil, err
	}
	client := httpclient.New(trust)
	defer client.Close()
	path := r.URL
	r.Token = token.Reveal()
	r.Timeout = cmd.Duration(timeoutFlag)
	var last *failure.Failure
	for _, base := range bases {
		r.URL = strings.TrimRight(base, "/") + path
		response, err := client.Exchange(ctx, r)
		if err == nil {
			return bodyOf(response)
		}
		last = failure.Of(err)
		if last.Run != failure.NotRun {
			break
		}
	}
	return nil, last
}

func bodyOf(response *httpclient.Response) ([]byte, error) {
	if response.Status >= http.StatusBadRequest {
		return nil, api.DecodeFailure(response.Status, response.Body, response.RetryAfter)
	}
	return response.Body, nil
}
