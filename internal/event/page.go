package event

import (
	"fmt"
	"strings"
)

//go:generate go run cactuspost.example/internal/event/eventdoc ../../docs/events.md

// MarkdownPage returns the content of docs/events.md: the catalogue as a Markdown table.
func MarkdownPage() string {
	var page strings.Builder
	page.WriteString("# Events\n\n")
	page.WriteString("The daemons log these numbered events. A number is never reused for another meaning.\n")
	page.WriteString("Generated from internal/event by `go generate ./internal/event`.\n\n")
	page.WriteString("| Number | Severity | Name | Meaning | What to do |\n")
	page.WriteString("|---|---|---|---|---|\n")
	for _, d := range catalogue {
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", d.ID, d.Severity, d.Name, d.Meaning, d.Action)
	}
	return page.String()
}
