package faults

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"cactuspost.example/test/cluster"
)

// seed seeds every random choice of the tests.
const seed = 20_260_104

// binaries holds the daemons under test, which are built once.
var binaries cluster.Binaries

func TestMain(m *testing.M) {
	flag.Parse()
	go sumReports()
	status := cluster.RunTests(m, func(folder string) (err error) {
		binaries, err = cluster.Build(folder)
		return err
	})
	close(reports)
	fmt.Println(<-summed)
	os.Exit(status)
}
