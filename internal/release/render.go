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
	Config ActiveConfig
	// Note is the release note that created the revision, or nil if it could not
	// be read.
	Note      *Note
	Instances []InstanceRevision
	Now       time.Time
}

// RenderNotes returns a plain-text page about the configuration in force, for
// readers who don't know the system: its content, since when it is in force,
// the note that created it, and the instances that don't have it yet.
func RenderNotes(v View) string {
	p := &page{}
	if v.Config.Document.Revision == 0 {
		p.linef("No configuration is in force: no release note was published yet.")
		p.linef("Until one is, entries take no work.")
		return p.String()
	}
	p.writeHeader(v)
	if v.Note != nil {
		p.writeNote(v.Note)
	}
	p.writeServices(&v.Config)
	p.writeTeams(&v.Config)
	p.writeInstances(v)
	return p.String()
}

// RenderPublished returns a published note as plain text: when it was accepted,
// the items that it lists, and the definitions that it gives.
func RenderPublished(n *PublishedNote) string {
	p := &page{}
	p.linef("Revision %d was made at %s by release note %s of %s:", n.Revision, formatTime(n.AtMS), n.Note.ID, n.Note.Author)
	p.linef("  %s", n.Note.Summary)
	p.writeNote(&n.Note)
	for _, items := range []ItemSet{n.Note.Added, n.Note.Changed} {
		p.writeDefinitions(items)
	}
	return p.String()
}

// writeDefinitions writes a section for each added or changed item of a note.
func (p *page) writeDefinitions(items ItemSet) {
	for _, name := range slices.Sorted(maps.Keys(items.Services)) {
		p.writeSection("service "+name, describeService(items.Services[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(items.Teams)) {
		p.writeSection("team "+name, describeTeam(items.Teams[name]))
	}
}

func (p *page) writeSection(title string, lines []string) {
	p.linef("")
	p.linef("%s", title)
	for _, text := range lines {
		p.linef("  %s", text)
	}
}

// RenderDifferences returns the result of a dry run as plain text, a line for
// each difference.
func RenderDifferences(differences []Difference) string {
	if len(differences) == 0 {
		return "The note changes nothing.\n"
	}
	p := &page{}
	for _, d := range differences {
		p.linef("%s", d)
	}
	return p.String()
}

// page builds a plain-text page.
type page struct{ strings.Builder }

func (p *page) linef(format string, args ...any) { fmt.Fprintf(p, format+"\n", args...) }

func (p *page) writeHeader(v View) {
	c := &v.Config
	p.linef("Revision %d is in force since %s (%s ago).", c.Document.Revision, formatTime(c.SinceMS), formatDuration(v.Now.Sub(c.Since())))
	p.linef("It was made by release note %s of %s:", c.Note, c.Author)
	p.linef("  %s", c.Summary)
}

func (p *page) writeNote(n *Note) {
	p.linef("")
	p.linef("The note")
	p.writeItems("added", n.Added.refs())
	p.writeItems("changed", n.Changed.refs())
	p.writeItems("withdrew", n.Withdrawn.refs())
}

func (p *page) writeItems(verb string, items []ItemRef) {
	if len(items) == 0 {
		return
	}
	slices.SortFunc(items, compareItemRefs)
	p.linef("  %-9s %s", verb, joinItems(items))
}

func (p *page) writeServices(c *ActiveConfig) {
	p.linef("")
	p.linef("Services (%d)", len(c.Document.Services))
	for _, name := range slices.Sorted(maps.Keys(c.Document.Services)) {
		p.linef("  %s%s", name, originSuffix(c, ServiceItem, name))
		for _, text := range describeService(c.Document.Services[name]) {
			p.linef("    %s", text)
		}
	}
}

func describeService(s structs.Service) []string {
	lines := []string{
		fmt.Sprintf("served by the workers of pool %s", s.Pool),
		fmt.Sprintf("tasks should start within %s, for %s of the jobs; work that would wait longer is refused",
			formatMillis(s.StartObjective), formatPercent(s.Target)),
		fmt.Sprintf("a job ends complete or failed within %s; a task is stopped after %s",
			formatMillis(s.Lifetime), formatMillis(s.TaskLimit)),
		fmt.Sprintf("a job has at most %d tasks of at most %s each", s.MaxTasks, formatBytes(s.MaxTaskBytes)),
	}
	if s.ShortReserve > 0 {
		lines = append(lines, fmt.Sprintf("%s of each worker's slots are kept free of long tasks", formatPercent(s.ShortReserve)))
	}
	return lines
}

func (p *page) writeTeams(c *ActiveConfig) {
	p.linef("")
	p.linef("Teams (%d)", len(c.Document.Teams))
	for _, name := range slices.Sorted(maps.Keys(c.Document.Teams)) {
		p.linef("  %s%s", name, originSuffix(c, TeamItem, name))
		for _, text := range describeTeam(c.Document.Teams[name]) {
			p.linef("    %s", text)
		}
	}
}

func describeTeam(t structs.Team) []string {
	var lines []string
	for _, service := range slices.Sorted(maps.Keys(t.Quotas)) {
		lines = append(lines, fmt.Sprintf("may use %s, with weight %s when its pool is full", service, formatNumber(t.Quotas[service])))
	}
	if len(lines) == 0 {
		lines = append(lines, "may use no service")
	}
	if t.MaxWaiting > 0 {
		lines = append(lines, fmt.Sprintf("may have at most %d tasks waiting at one entry", t.MaxWaiting))
	}
	return lines
}

func (p *page) writeInstances(v View) {
	p.linef("")
	current := v.Config.Document.Revision
	var behind []InstanceRevision
	for _, i := range v.Instances {
		if i.Revision < current {
			behind = append(behind, i)
		}
	}
	if len(behind) == 0 {
		p.linef("In force at all %d instances that were asked.", len(v.Instances))
		return
	}
	p.linef("Not yet in force at %d of %d instances:", len(behind), len(v.Instances))
	slices.SortFunc(behind, func(a, b InstanceRevision) int { return strings.Compare(a.Instance, b.Instance) })
	for _, i := range behind {
		p.linef("  %s %s", i.Instance, describeRevision(i.Revision))
	}
}

func describeRevision(revision uint64) string {
	if revision == 0 {
		return "knows no revision and takes no work"
	}
	return fmt.Sprintf("has revision %d", revision)
}

// originSuffix returns the note that last added or changed an item, as a suffix
// for the item's line.
func originSuffix(c *ActiveConfig, kind ItemKind, name string) string {
	o, ok := c.Origins[ItemRef{Kind: kind, Name: name}.String()]
	if !ok {
		return ""
	}
	return fmt.Sprintf(" (since %s, revision %d, note %s)", formatTime(o.SinceMS), o.Revision, o.Note)
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("2006-01-02 15:04:05 UTC") }

// formatDuration formats a duration in whole seconds. Negative durations, which
// come from clock differences between machines, are shown as zero.
func formatDuration(d time.Duration) string { return max(d, 0).Truncate(time.Second).String() }

func formatMillis(m structs.Millis) string {
	if m%1000 == 0 {
		return fmt.Sprintf("%d s", m/1000)
	}
	return fmt.Sprintf("%d ms", m)
}

func formatPercent(share float64) string { return fmt.Sprintf("%.6g %%", share*100) }

func formatBytes(n int) string {
	const kib = 1 << 10
	if n%kib == 0 {
		return fmt.Sprintf("%d KiB", n/kib)
	}
	return fmt.Sprintf("%d bytes", n)
}
