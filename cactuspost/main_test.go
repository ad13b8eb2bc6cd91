package cactuspost

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property-based tests. The flag -rapid.seed
// overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
