package report

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

var noon = time.Unix(1_800_000_000, 0)

// sampleAccounts returns the accounts of two entries with different revisions, and of one
// that did not answer.
func sampleAccounts() []operator.EntryAccounts {
	rivage := burn.Key{Service: "recession", Team: "rivage"}
	first, second := burn.NewLedger(), burn.NewLedger()
	for range 990 {
		first.RecordJob(noon.Add(-30*time.Minute), rivage, burn.Met)
	}
	for cause := burn.Queue; cause < burn.CauseCount; cause++ {
		second.RecordJob(noon, rivage, cause)
	}
	second.RecordJob(noon, burn.Key{Service: "withdrawn", Team: "<team>"}, burn.Failed)
	second.RecordJob(noon, burn.Key{Team: "rivage"}, burn.Refused)
	first.RecordTask(rivage, 1.5)
	first.RecordShortStart(rivage, 3*time.Millisecond, false)
	second.RecordShortStart(rivage, 40*time.Millisecond, true)
	messages := dispatch.MessageCounts{Grants: 10, Results: 9, Refusals: 1, Frames: 40, Revokes: 2, Demands: 1, Heartbeats: 7}
	stats := dispatch.Stats{TasksGranted: 10, Messages: messages}
	return []operator.EntryAccounts{
		{
			Entry: structs.Peer{Name: "entry-1", DataCentre: "rimouski"}, Revision: 2, Snapshot: first.Snapshot(noon), Stats: stats,
			Objectives: map[string]burn.Objective{"recession": {Target: 0.5, ObjectiveMS: 9}},
		},
		{
			Entry: structs.Peer{Name: "entry-2", DataCentre: "matane"}, Revision: 3, Snapshot: second.Snapshot(noon), Stats: stats,
			Objectives: map[string]burn.Objective{"recession": {Target: 0.99, ObjectiveMS: 500}},
		},
		{
			Entry:   structs.Peer{Name: "entry-3", DataCentre: "matane"},
			Failure: &api.FailureJSON{Kind: failure.Unavailable, Run: failure.NotRun, Detail: "no answer in time"},
		},
	}
}

func TestRenderText(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile("testdata/report.txt")
	is.NoErr(err)
	is.Equal(RenderText(New(noon, sampleAccounts())), string(want))
}

func TestTextWithoutJobs(t *testing.T) {
	is := is.New(t)
	text := RenderText(New(noon, nil))
	is.True(strings.Contains(text, "No job is accounted for."))
	is.True(strings.Contains(text, "0 wasted, no task granted"))
}

// externalReference matches markup that makes a browser load or execute something.
// XML namespaces are not matched, as browsers do not load them.
var externalReference = regexp.MustCompile(`(?i)\b(src|href|action|data|srcset)\s*=|url\(|@import|<script|<link|<iframe|<object|<base|<meta http-equiv`)

func TestPageIsSelfContained(t *testing.T) {
	is := is.New(t)
	page, err := RenderPage(New(noon, sampleAccounts()))
	is.NoErr(err)
	is.Equal(externalReference.FindString(string(page)), "")
	addresses := regexp.MustCompile(`xmlns(:xlink)?="[^"]*"`).ReplaceAllString(string(page), "")
	is.True(!strings.Contains(addresses, "://"))
	is.Equal(strings.Count(string(page), "<?xml"), 0)
}

func TestPageContent(t *testing.T) {
	is := is.New(t)
	raw, err := RenderPage(New(noon, sampleAccounts()))
	is.NoErr(err)
	page := string(raw)
	is.True(strings.Contains(page, "entry-3 (matane) did not answer"))
	is.True(strings.Contains(page, "no answer in time"))
	is.True(strings.Contains(page, "queue 1, straggler 1, refused 1, failed 1, endpoint gone 1"))
	is.True(!strings.Contains(page, "<team>")) // escaped everywhere, including in plots
	is.True(strings.Contains(page, "&lt;team&gt;"))
	// One plot for each account with missed jobs, two for each service, and one of
	// the messages.
	is.Equal(strings.Count(page, "<svg"), 3+2*3+1)
}

func TestPageWithoutJobs(t *testing.T) {
	is := is.New(t)
	page, err := RenderPage(New(noon, nil))
	is.NoErr(err)
	is.True(strings.Contains(string(page), "No job is accounted for."))
}
