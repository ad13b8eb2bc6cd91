package structs

import (
	"testing"

	"github.com/matryer/is"
)

func TestUndefinedOutcomeHasText(t *testing.T) {
	is := is.New(t)
	is.Equal(Lost.String(), "lost")
	is.Equal(Outcome(OutcomeCount).String(), "unknown")
}
