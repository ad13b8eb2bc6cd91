package cluster

import (
	"fmt"
	"os"
)

// RunTests calls build with a temporary folder, runs the tests of a package and
// returns their exit status. The folder is removed afterwards.
func RunTests(tests interface{ Run() int }, build func(folder string) error) int {
	folder, err := os.MkdirTemp("", "cactuspost-test")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	if err := build(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return tests.Run()
}
