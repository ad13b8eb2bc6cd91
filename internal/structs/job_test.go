package structs

import (
	"testing"

	"github.com/matryer/is"
)

func TestOutcomesOfOtherProcessesHaveAText(t *testing.T) {
	is := is.New(t)
	is.Equal(Lost.String(), "lost")
	is.Equal(Outcome(Outcomes).String(), "unknown")
}
