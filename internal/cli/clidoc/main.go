// Command clidoc writes the documentation page of the command line to the given
// file.
package main

import (
	"fmt"
	"os"

	"cactuspost.example/internal/cli"
)

// pageMode is the file mode of the page.
const pageMode = 0o644

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: clidoc FILE")
		os.Exit(1)
	}
	if err := os.WriteFile(os.Args[1], []byte(cli.Page()), pageMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
