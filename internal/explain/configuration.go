package explain

import (
	"fmt"
	"slices"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
)

// configurationWindow is how long before a rejection the lines about the entry's
// configuration are of interest.
const configurationWindow = time.Minute

// configurationEvents are the events that tell how an entry came by its
// configuration, or why it did not.
var configurationEvents = map[event.ID]bool{
	event.TableUnavailable: true, event.TableAvailable: true, event.ChangeHistoryCompacted: true,
	event.ConfigurationAdopted: true, event.BadConfigurationRow: true,
	event.ConfigurationInForce: true, event.ConfigurationBehind: true, event.DaemonStarted: true,
}

// revisionOf returns a revision that a line has in the given field, or 0.
func revisionOf(l *Line, field string) uint64 {
	value, _ := l.Fields[field].(float64)
	return uint64(value)
}

// addConfiguration adds, for a request that was rejected because the entry knew no
// such queue, the lines about the entry's configuration before that, and the first
// line about the highest revision at any other instance.
func (e *Explanation) addConfiguration(lines []Line) {
	end := e.lastOf(event.RequestRejected)
	if end == nil || end.Fields["kind"] != failure.UnknownService.String() {
		return
	}
	rejected := *end
	var newest *Line
	for i := range lines {
		l := &lines[i]
		if l.Time.Sub(rejected.Time).Abs() > configurationWindow {
			continue
		}
		if l.Time.After(rejected.Time) {
			if l.Node == rejected.Node && l.Event == event.ConfigurationInForce && (e.adoptedNext == nil || l.Time.Before(e.adoptedNext.Time)) {
				e.adoptedNext = l
			}
			continue
		}
		if l.Node == rejected.Node && configurationEvents[l.Event] {
			e.Lines = append(e.Lines, *l)
		}
		if l.Event == event.ConfigurationInForce && l.Node != rejected.Node && (newest == nil || moreRecent(l, newest)) {
			newest = l
		}
	}
	if newest != nil && revisionOf(newest, "revision") > revisionOf(&rejected, "revision") {
		e.Lines = append(e.Lines, *newest)
		e.newestElsewhere = newest
	}
	if e.adoptedNext != nil {
		e.Lines = append(e.Lines, *e.adoptedNext)
	}
	slices.SortStableFunc(e.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// moreRecent reports whether a has a higher revision than b, or the same one earlier.
func moreRecent(a, b *Line) bool {
	ra, rb := revisionOf(a, "revision"), revisionOf(b, "revision")
	return ra > rb || (ra == rb && a.Time.Before(b.Time))
}

// configurationCause says whether the entry that rejected the request was behind
// others, and why.
func (e *Explanation) configurationCause(rejected *Line) string {
	if rejected.Fields["kind"] != failure.UnknownService.String() {
		return ""
	}
	cause := "; no other instance had a higher revision in the logs given"
	if n := e.newestElsewhere; n != nil {
		cause = fmt.Sprintf("; %s had revision %d, and revision %d had been in force at %s for %d ms",
			rejected.Node, revisionOf(rejected, "revision"), revisionOf(n, "revision"), n.Node, rejected.Time.Sub(n.Time).Milliseconds())
	}
	faults := e.configurationFaults(rejected)
	if faults == "" && e.newestElsewhere != nil {
		faults = "; it logged no fault: its call for changes was still waiting"
	}
	if next := e.adoptedNext; next != nil {
		faults += fmt.Sprintf("; revision %d came into force there %d ms later", revisionOf(next, "revision"), next.Time.Sub(rejected.Time).Milliseconds())
	}
	return cause + faults
}

// configurationFaults names the faults of the entry that had not ended when the
// request was rejected and that keep it from a higher revision.
func (e *Explanation) configurationFaults(rejected *Line) string {
	unavailable := map[string]*Line{}
	var badRow, behind *Line
	for i := range e.Lines {
		l := &e.Lines[i]
		if l.Node != rejected.Node || l.Time.After(rejected.Time) {
			continue
		}
		table, _ := l.Fields["table"].(string)
		switch l.Event {
		case event.DaemonStarted:
			clear(unavailable)
			badRow, behind = nil, nil
		case event.TableUnavailable:
			unavailable[table] = l
		case event.TableAvailable:
			delete(unavailable, table)
		case event.BadConfigurationRow:
			badRow = l
		case event.ConfigurationBehind:
			behind = l
		case event.ConfigurationInForce:
			badRow, behind = nil, nil
		}
	}
	why := ""
	if badRow != nil {
		why += fmt.Sprintf("; it rejected the row that it read: %v", badRow.Fields["error"])
	}
	tables := make([]string, 0, len(unavailable))
	for table := range unavailable {
		tables = append(tables, table)
	}
	slices.Sort(tables)
	for _, table := range tables {
		l := unavailable[table]
		why += fmt.Sprintf("; it could not read table %s since %s: %v", table, l.Time.Format("15:04:05.000"), l.Fields["error"])
	}
	if behind != nil {
		why += fmt.Sprintf("; its agent at %s had revision %d", behind.Endpoint, revisionOf(behind, "reported"))
	}
	return why
}
