package release

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/structs"
)

const wantFirstPage = `Revision 1 is in force since 2023-11-14 22:13:20 UTC (1m30s ago).
It was made by release note winter-1 of Nadine:
  Open the recession service to the survey crews.

The note
  added     service recession, team crews, team engineers

Services (1)
  recession (since 2023-11-14 22:13:20 UTC, revision 1, note winter-1)
    served by the workers of pool bluffs
    tasks should start within 500 ms, for 99 % of the jobs; work that would wait longer is refused
    a job ends complete or failed within 60 s; a task is stopped after 20 s
    a job has at most 100 tasks of at most 64 KiB each
    25 % of each worker's slots are kept free of long tasks

Teams (2)
  crews (since 2023-11-14 22:13:20 UTC, revision 1, note winter-1)
    may use recession, with weight 3 when its pool is full
    may have at most 500 tasks waiting at one entry
  engineers (since 2023-11-14 22:13:20 UTC, revision 1, note winter-1)
    may use recession, with weight 1 when its pool is full

Not yet in force at 1 of 2 instances:
  entry-b knows no revision and takes no work
`

func TestRenderNotes(t *testing.T) {
	is := is.New(t)
	note := parseTestdata(t, "first.jsonc")
	doc, err := Apply(nil, note)
	is.NoErr(err)
	view := View{
		Config:    (&ActiveConfig{}).successor(note, doc, epoch),
		Note:      note,
		Instances: []InstanceRevision{{"entry-b", 0}, {"entry-a", 1}},
		Now:       epoch.Add(90 * time.Second),
	}
	is.Equal(RenderNotes(view), wantFirstPage)
}

func TestRenderNotesBeforeTheFirstNote(t *testing.T) {
	is := is.New(t)
	is.Equal(RenderNotes(View{}), "No configuration is in force: no release note was published yet.\n"+
		"Until one is, entries take no work.\n")
}

func TestRenderPublished(t *testing.T) {
	is := is.New(t)
	published := &PublishedNote{Revision: 3, AtMS: 1_800_000_000_000, Note: Note{
		ID: "winter-2", Author: "Nadine", Summary: "Close the old service.",
		Changed:   ItemSet{Teams: map[string]structs.Team{"crews": {Quotas: map[string]float64{"recession": 2}}}},
		Withdrawn: ItemNames{Services: []string{"survey"}},
	}}
	text := RenderPublished(published)
	for _, want := range []string{
		"Revision 3 was made at 2027-01-15 08:00:00 UTC by release note winter-2 of Nadine:",
		"  changed   team crews", "  withdrew  service survey", "team crews\n  may use recession, with weight 2",
	} {
		is.True(strings.Contains(text, want))
	}
}
