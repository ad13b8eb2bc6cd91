package local

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"cactuspost.example/internal/logging"
)

func TestDemoAnswersAreComplete(t *testing.T) {
	is := is.New(t)
	site, err := Start(context.Background(), Options{Log: logging.Discard()})
	is.NoErr(err)
	report, err := Demo(context.Background(), site)
	is.NoErr(err)
	site.Stop()
	is.Equal(report.Tasks, demoJobs*demoTasks)
}
