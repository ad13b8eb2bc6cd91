package event

import (
	"testing"

	"github.com/matryer/is"
)

func TestCatalogueIsSortedAndComplete(t *testing.T) {
	is := is.New(t)
	last := ID(0)
	for _, d := range Catalogue() {
		is.True(d.ID > last) // numbers are strictly increasing, so they are unique
		last = d.ID
		is.True(d.Name != "" && d.Meaning != "" && d.Action != "")
		is.Equal(Describe(d.ID), d)
	}
}
