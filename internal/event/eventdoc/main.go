// Command eventdoc writes the Markdown page of all events to the file that is given
// as its argument.
package main

import (
	"fmt"
	"os"

	"cactuspost.example/internal/event"
)

// pageMode is the file mode of the generated page.
const pageMode = 0o644

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: eventdoc FILE")
		os.Exit(1)
	}
	if err := os.WriteFile(os.Args[1], []byte(event.MarkdownPage()), pageMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
