package event

import (
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestPageIsUpToDate(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	is.Equal(string(raw), MarkdownPage()) // run: go generate ./internal/event
}
