package cli

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"
	"unicode/utf8"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/failure"
)

// printable returns the text, quoted if it contains control or other unprintable
// characters, which must not reach a terminal.
func printable(text string) string {
	unprintable := func(r rune) bool { return !unicode.IsPrint(r) && r != '\n' && r != '\t' }
	if utf8.ValidString(text) && !strings.ContainsFunc(text, unprintable) {
		return text
	}
	return strconv.Quote(text)
}

// resultLine returns a task's result as one line, quoted where necessary.
func resultLine(result []byte) string {
	text := string(result)
	if strings.ContainsRune(text, '\n') {
		return strconv.Quote(text)
	}
	return printable(text)
}

func printJSON(out io.Writer, value any) error {
	raw, err := api.Encode(value)
	if err != nil {
		return err
	}
	return printBody(out, raw)
}

// printBody prints the body of an answer, ended by exactly one newline.
func printBody(out io.Writer, body []byte) error {
	text := strings.TrimRight(string(body), "\n") + "\n"
	if _, err := io.WriteString(out, text); err != nil {
		return failure.Wrap(err, failure.Internal, failure.Unknown, "write the output")
	}
	return nil
}

// columnGap is the number of spaces between two columns.
const columnGap = 2

func printEndpoints(out io.Writer, answer *operator.EndpointsAnswer) error {
	table := tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "ENTRY\tENDPOINT\tPOOL\tDATA CENTRE\tSESSION\tHEALTH\tSLOTS\tRUNNING\tCREDITS\tREVISION\tSLOWNESS")
	for _, entry := range answer.Entries {
		printEntry(table, entry)
	}
	if err := table.Flush(); err != nil {
		return failure.Wrap(err, failure.Internal, failure.Unknown, "write the output")
	}
	return nil
}

func printEntry(table io.Writer, entry operator.EntryView) {
	name := printable(entry.Entry.Name)
	if entry.Failure != nil {
		fmt.Fprintf(table, "%s\tno answer: %s\n", name, printable(entry.Failure.Failure().Error()))
		return
	}
	if len(entry.Endpoints) == 0 {
		fmt.Fprintf(table, "%s\tnone\n", name)
	}
	for _, e := range entry.Endpoints {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.2f\n", name, printable(e.Endpoint), printable(e.Pool),
			printable(e.DataCentre), e.Session, e.Health, e.Slots, e.Running, e.Credits, e.Revision, e.Slowness)
	}
}
