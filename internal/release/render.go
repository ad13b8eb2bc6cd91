package release

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cactuspost.example/internal/structs"
)

// InstanceRevision is the revision in force at one instance.
type InstanceRevision struct {
	Instance string `json:"instance"`
	// Revision is zero if the instance has no configuration.
	Revision uint64 `json:"revision"`
}

// View is the data that RenderNotes shows.
type View struct {
	InForce InForce
	// Note is the release note that created the revision, or nil if it could not
	// be read.
	Note      *Note
	Instances []InstanceRevision
	Now       time.Time
}

// RenderNotes returns a plain-text page about the configuration in force, for
// readers who don't know the system: its content, since when it is in force, the
// note that created it, and the instances that don't have it yet.
func RenderNotes(v View) string {
	p := &page{}
	if v.InForce.Document.Revision == 0 {
		p.line("No configuration is in force: no release note was published yet.")
		p.line("Until one is, entries take no work.")
		return p.String()
	}
	p.head(v)
	if v.Note != nil {
		p.note(v.Note)
	}
	p.services(&v.InForce)
	p.teams(&v.InForce)
	p.instances(v)
	return p.String()
}

// RenderPublished returns a published note as plain text: when it was accepted,
// the items that it lists, and the definitions that it gives.
func RenderPublished(n *Published) string {
	p := &page{}
	p.line("Revision %d was made at %s by release note %s of %s:", n.Revision, timeText(n.AtMS), n.Note.ID, n.Note.Author)
	p.line("  %s", n.Note.Summary)
	p.note(&n.Note)
	for _, items := range []ItemSet{n.Note.Added, n.Note.Changed} {
		p.contents(items)
	}
	return p.String()
}

// contents writes a section for each added or changed item of a note.
func (p *page) contents(items ItemSet) {
	for _, name := range slices.Sorted(maps.Keys(items.Services)) {
		p.block("service "+name, serviceWords(items.Services[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(items.Teams)) {
		p.block("team "+name, teamWords(items.Teams[name]))
	}
}

func (p *page) block(title string, words []string) {
	p.line("")
	p.line("%s", title)
	for _, text := range words {
		p.line("  %s", text)
	}
}

// RenderDifferences returns the result of a dry run as plain text, a line for each
// difference.
func RenderDifferences(differences []Difference) string {
	if len(differences) == 0 {
		return "The note changes nothing.\n"
	}
	p := &page{}
	for _, d := range differences {
		p.line("%s", d)
	}
	return p.String()
}

// page builds a plain-text page.
type page struct{ strings.Builder }

func (p *page) line(format string, args ...any) { fmt.Fprintf(p, format+"\n", args...) }

func (p *page) head(v View) {
	f := &v.InForce
	p.line("Revision %d is in force since %s (%s ago).", f.Document.Revision, timeText(f.SinceMS), durationText(v.Now.Sub(f.Since())))
	p.line("It was made by release note %s of %s:", f.Note, f.Author)
	p.line("  %s", f.Summary)
}

func (p *page) note(n *Note) {
	p.line("")
	p.line("The note")
	p.part("added", n.Added.refs())
	p.part("changed", n.Changed.refs())
	p.part("withdrew", n.Withdrawn.refs())
}

func (p *page) part(verb string, items []ItemRef) {
	if len(items) == 0 {
		return
	}
	slices.SortFunc(items, compareItemRefs)
	p.line("  %-9s %s", verb, joinItems(items))
}

func (p *page) services(f *InForce) {
	p.line("")
	p.line("Services (%d)", len(f.Document.Services))
	for _, name := range slices.Sorted(maps.Keys(f.Document.Services)) {
		p.line("  %s%s", name, origin(f, ServiceItem, name))
		for _, text := range serviceWords(f.Document.Services[name]) {
			p.line("    %s", text)
		}
	}
}

func serviceWords(s structs.Service) []string {
	words := []string{
		fmt.Sprintf("served by the workers of pool %s", s.Pool),
		fmt.Sprintf("tasks should start within %s, for %s of the jobs; work that would wait longer is refused",
			millisText(s.StartObjective), percent(s.Target)),
		fmt.Sprintf("a job ends complete or failed within %s; a task is stopped after %s",
			millisText(s.Lifetime), millisText(s.TaskLimit)),
		fmt.Sprintf("a job has at most %d tasks of at most %s each", s.MaxTasks, bytesText(s.MaxTaskBytes)),
	}
	if s.ShortReserve > 0 {
		words = append(words, fmt.Sprintf("%s of each worker's slots are kept free of long tasks", percent(s.ShortReserve)))
	}
	return words
}

func (p *page) teams(f *InForce) {
	p.line("")
	p.line("Teams (%d)", len(f.Document.Teams))
	for _, name := range slices.Sorted(maps.Keys(f.Document.Teams)) {
		p.line("  %s%s", name, origin(f, TeamItem, name))
		for _, text := range teamWords(f.Document.Teams[name]) {
			p.line("    %s", text)
		}
	}
}

func teamWords(t structs.Team) []string {
	var words []string
	for _, service := range slices.Sorted(maps.Keys(t.Quotas)) {
		words = append(words, fmt.Sprintf("may use %s, with weight %s when its pool is full", service, formatNumber(t.Quotas[service])))
	}
	if len(words) == 0 {
		words = append(words, "may use no service")
	}
	if t.MaxWaiting > 0 {
		words = append(words, fmt.Sprintf("may have at most %d tasks waiting at one entry", t.MaxWaiting))
	}
	return words
}

func (p *page) instances(v View) {
	p.line("")
	head := v.InForce.Document.Revision
	var behind []InstanceRevision
	for _, i := range v.Instances {
		if i.Revision < head {
			behind = append(behind, i)
		}
	}
	if len(behind) == 0 {
		p.line("In force at all %d instances that were asked.", len(v.Instances))
		return
	}
	p.line("Not yet in force at %d of %d instances:", len(behind), len(v.Instances))
	slices.SortFunc(behind, func(a, b InstanceRevision) int { return strings.Compare(a.Instance, b.Instance) })
	for _, i := range behind {
		p.line("  %s %s", i.Instance, revisionText(i.Revision))
	}
}

func revisionText(revision uint64) string {
	if revision == 0 {
		return "knows no revision and takes no work"
	}
	return fmt.Sprintf("has revision %d", revision)
}

// origin returns the note that last added or changed an item, as a suffix for the
// item's line.
func origin(f *InForce, kind ItemKind, name string) string {
	o, ok := f.Origins[ItemRef{Kind: kind, Name: name}.String()]
	if !ok {
		return ""
	}
	return fmt.Sprintf(" (since %s, revision %d, note %s)", timeText(o.SinceMS), o.Revision, o.Note)
}

func timeText(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC") }

// durationText formats a duration in whole seconds. Negative durations, which come
// from clock differences between machines, are shown as zero.
func durationText(d time.Duration) string { return max(d, 0).Truncate(time.Second).String() }

func millisText(m structs.Millis) string {
	if m%1000 == 0 {
		return fmt.Sprintf("%d s", m/1000)
	}
	return fmt.Sprintf("%d ms", m)
}

func percent(share float64) string { return fmt.Sprintf("%.6g %%", share*100) }

func bytesText(n int) string {
	const kib = 1 << 10
	if n%kib == 0 {
		return fmt.Sprintf("%d KiB", n/kib)
	}
	return fmt.Sprintf("%d bytes", n)
}
