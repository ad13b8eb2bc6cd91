package faults

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"cactuspost.example/test/cluster"
)

// seed is that of every random choice of the tests.
const seed = 20_260_104

// binaries are the daemons under test, built once.
var binaries cluster.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	folder, err := os.MkdirTemp("", "cactuspost-faults")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries, err = cluster.Build(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	go sum()
	status := m.Run()
	close(reports)
	fmt.Println(<-summed)
	return status
}
