package cli

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

//go:generate go run cactuspost.example/internal/cli/clidoc ../../docs/cli.md

// Page returns docs/cli.md: the help pages of all commands in Markdown.
func Page() string {
	app := App()
	var page strings.Builder
	page.WriteString("# The command line\n\n")
	page.WriteString("Generated from internal/cli by `go generate ./internal/cli`. `cactuspost --help` and\n")
	page.WriteString("`cactuspost COMMAND --help` print the same text.\n\n")
	fmt.Fprintf(&page, "```\n%s```\n\n", app.Description)
	page.WriteString("## Global options\n\n")
	writeFlags(&page, app.Flags)
	for _, command := range app.Commands {
		writeCommand(&page, command)
	}
	return strings.TrimRight(page.String(), "\n") + "\n"
}

func writeCommand(page *strings.Builder, command *cli.Command) {
	fmt.Fprintf(page, "## %s\n\n", strings.TrimSpace(command.Name+" "+command.ArgsUsage))
	fmt.Fprintf(page, "%s.\n\n", command.Usage)
	fmt.Fprintf(page, "```\n%s\n```\n\n", command.Description)
	writeFlags(page, command.Flags)
}

func writeFlags(page *strings.Builder, flags []cli.Flag) {
	if len(flags) == 0 {
		return
	}
	page.WriteString("```\n")
	for _, flag := range flags {
		names, text, _ := strings.Cut(flag.String(), "\t")
		fmt.Fprintf(page, "%s\n    %s\n", names, text)
	}
	page.WriteString("```\n\n")
}
