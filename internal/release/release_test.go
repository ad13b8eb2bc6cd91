package release

import (
	"errors"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// TestMain sets a fixed seed for the property-based tests, so that runs are
// reproducible; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_700_000_000_000)

func service(pool string) structs.Service {
	return structs.Service{
		Pool: pool, StartObjective: 500, Target: 0.99, Lifetime: 60_000, TaskLimit: 20_000,
		MaxTasks: DefaultMaxTasks, MaxTaskBytes: DefaultMaxTaskBytes,
	}
}

func team(service string) structs.Team {
	return structs.Team{Quotas: map[string]float64{service: 1}}
}

func parseTestdata(t *testing.T, name string) *Note {
	t.Helper()
	text, err := os.ReadFile("testdata/" + name)
	is.New(t).NoErr(err)
	note, err := Parse(text)
	is.New(t).NoErr(err)
	return note
}

func TestParseAppliesDefaults(t *testing.T) {
	is := is.New(t)
	note := parseTestdata(t, "first.jsonc")
	want := service("bluffs")
	want.ShortReserve = 0.25
	is.Equal(note.Added.Services["recession"], want)
	is.Equal(note.Added.Teams["crews"], structs.Team{Quotas: map[string]float64{"recession": 3}, MaxWaiting: 500})
	is.Equal(joinItems(note.ItemRefs()), "service recession, team crews, team engineers")
}

func TestParseReportsEveryFaultWithItsLine(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile("testdata/faulty.jsonc")
	is.NoErr(err)
	_, err = Parse(text)
	var noteErr *NoteError
	is.True(errors.As(err, &noteErr))
	is.Equal(failure.Of(err).Kind, failure.Invalid)
	type position struct {
		key  string
		line int
	}
	var positions []position
	for _, f := range noteErr.Faults {
		is.True(f.Problem != "" && f.Allowed != "")
		positions = append(positions, position{f.Key, f.Line})
	}
	is.Equal(positions, []position{
		{"id", 2}, {"author", 3}, {"base", 4}, {"reviewer", 5},
		{"added.services.recession.start_objective_ms", 10},
		{"added.services.recession.target", 11},
		{"added.services.recession.max_tasks", 14},
		{"added.services.recession.max_tasks", 15},
		{"added.services.recession.task_limit_ms", 13},
		{"added.teams.crews.quotas.recession", 18},
		{"withdrawn.teams.0", 20},
		{"withdrawn.services", 20},
		{"summary", 1},
	})
}

func TestParseRejectsMalformedNotes(t *testing.T) {
	for name, text := range map[string]string{
		"syntax": `{"id": `, "another kind": `[1]`, "empty": ``,
		"no items":  `{"id": "a", "author": "b", "summary": "c", "base": 0}`,
		"too large": string(make([]byte, MaxNoteBytes+1)),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(text))
			var noteErr *NoteError
			is.True(errors.As(err, &noteErr))
			is.Equal(len(noteErr.Faults), 1)
		})
	}
}

func baseDocument() *structs.Document {
	return &structs.Document{
		Revision: 4,
		Services: map[string]structs.Service{"recession": service("bluffs"), "quotes": service("showroom")},
		Teams:    map[string]structs.Team{"crews": team("recession")},
	}
}

func TestApply(t *testing.T) {
	cases := map[string]struct {
		note Note
		// want lists the items of the resulting document. If the note must be
		// refused, faults lists the keys of the expected faults instead.
		want   string
		faults []string
	}{
		"add": {
			note: Note{Added: ItemSet{
				Services: map[string]structs.Service{"estimates": service("bluffs")},
				Teams:    map[string]structs.Team{"engineers": team("estimates")}}},
			want: "service estimates, service quotes, service recession, team crews, team engineers",
		},
		"change": {
			note: Note{Changed: ItemSet{Teams: map[string]structs.Team{"crews": team("quotes")}}},
			want: "service quotes, service recession, team crews",
		},
		"withdraw a service with its quota": {
			note: Note{
				Changed:   ItemSet{Teams: map[string]structs.Team{"crews": team("quotes")}},
				Withdrawn: ItemNames{Services: []string{"recession"}}},
			want: "service quotes, team crews",
		},
		"withdraw a service that a quota names": {
			note:   Note{Withdrawn: ItemNames{Services: []string{"recession"}}},
			faults: []string{"teams.crews.quotas.recession"},
		},
		"add what exists, change and withdraw what does not": {
			note: Note{
				Added:     ItemSet{Services: map[string]structs.Service{"quotes": service("x")}},
				Changed:   ItemSet{Services: map[string]structs.Service{"none": service("x")}},
				Withdrawn: ItemNames{Teams: []string{"nobody"}}},
			faults: []string{"added.services.quotes", "changed.services.none", "withdrawn.teams.nobody"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			doc := baseDocument()
			c.note.Base = doc.Revision
			next, err := Apply(doc, &c.note)
			is.Equal(doc, baseDocument()) // the given document is not modified
			if c.faults != nil {
				var noteErr *NoteError
				is.True(errors.As(err, &noteErr))
				var keys []string
				for _, f := range noteErr.Faults {
					keys = append(keys, f.Key)
				}
				is.Equal(keys, c.faults)
				return
			}
			is.NoErr(err)
			is.Equal(next.Revision, doc.Revision+1)
			items := Note{Added: ItemSet{Services: next.Services, Teams: next.Teams}}
			is.Equal(joinItems(items.ItemRefs()), c.want)
		})
	}
}

func TestApplyRejectsOtherBase(t *testing.T) {
	is := is.New(t)
	for _, revision := range []uint64{3, 5} {
		_, err := Apply(baseDocument(), &Note{Base: revision, Withdrawn: ItemNames{Teams: []string{"crews"}}})
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Head, uint64(4))
	}
}

func TestRebaseRejectsOverlapAndMissingNotes(t *testing.T) {
	is := is.New(t)
	note := &Note{ID: "mine", Base: 4, Changed: ItemSet{Services: map[string]structs.Service{"quotes": service("x")}}}
	disjoint := PublishedNote{Revision: 5, Note: Note{ID: "other", Withdrawn: ItemNames{Teams: []string{"crews"}}}}
	overlapping := PublishedNote{Revision: 6, Note: Note{ID: "same", Changed: note.Changed}}
	rebased, err := Rebase(note, 5, []PublishedNote{disjoint})
	is.NoErr(err)
	is.Equal(rebased.Base, uint64(5))
	is.Equal(note.Base, uint64(4))
	_, err = Rebase(note, 6, []PublishedNote{disjoint, overlapping})
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Overlap, []ItemRef{{ServiceItem, "quotes"}})
	is.Equal(len(conflict.Since), 2)
	_, err = Rebase(note, 6, []PublishedNote{disjoint}) // the note of revision 6 is not given
	is.True(errors.As(err, &conflict))
	_, err = Rebase(note, 3, nil) // the notes since the base are not given
	is.True(errors.As(err, &conflict))
}

func TestCompareListsChangedFields(t *testing.T) {
	is := is.New(t)
	changed := service("bluffs")
	changed.Lifetime = 30_000
	after, err := Apply(baseDocument(), &Note{
		Base:      4,
		Changed:   ItemSet{Services: map[string]structs.Service{"recession": changed}, Teams: map[string]structs.Team{"crews": team("quotes")}},
		Added:     ItemSet{Teams: map[string]structs.Team{"desk": team("quotes")}},
		Withdrawn: ItemNames{},
	})
	is.NoErr(err)
	is.Equal(RenderDifferences(Compare(baseDocument(), after)), `~ service recession, lifetime_ms: 60000 -> 30000
- team crews, quotas.recession: 1
+ team crews, quotas.quotes: 1
+ team desk, max_waiting: 0
+ team desk, quotas.quotes: 1
`)
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"first.jsonc", "faulty.jsonc"} {
		text, err := os.ReadFile("testdata/" + name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		note, err := Parse(text)
		var noteErr *NoteError
		if err != nil && (!errors.As(err, &noteErr) || len(noteErr.Faults) == 0) {
			t.Fatalf("parse error without faults: %v", err)
		}
		if err != nil {
			return
		}
		if note.Digest() == "" || len(note.ItemRefs()) == 0 {
			t.Fatal("accepted note has an empty digest or no items")
		}
		doc := &structs.Document{Revision: note.Base}
		if next, err := Apply(doc, note); err == nil && next.Revision != note.Base+1 {
			t.Fatalf("revision %d after applying a note with base %d", next.Revision, note.Base)
		}
	})
}
