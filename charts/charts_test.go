package charts

import (
	"io/fs"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/chart"
)

func TestEveryFileIsAValidChart(t *testing.T) {
	is := is.New(t)
	names, err := fs.Glob(Files, "*.jsonc")
	is.NoErr(err)
	is.True(len(names) >= 8)
	for _, name := range names {
		_, err := chart.Load(Files, strings.TrimSuffix(name, ".jsonc"))
		is.NoErr(err)
	}
}
