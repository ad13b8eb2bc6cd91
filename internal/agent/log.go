package agent

import (
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// linkFields returns whether the link's present connection began its session, how many
// runs and kept results the entry has here, and how old its newest confirmation is, on
// this connection and on any.
func (c *Core) linkFields(l *link) []event.Field {
	session := "kept"
	if l.session == l.id {
		session = "new"
	}
	stopped, queued, results := countRuns(c.runsOfEntry(l))
	fields := []event.Field{event.Text("session", session), event.Int("runs", stopped+queued), event.Int("results", results)}
	if !l.confirmedAt.IsZero() {
		fields = append(fields, event.Millis("confirmed_ms_ago", c.now.Sub(l.confirmedAt)))
	}
	return append(fields, c.vouchedField(l)...)
}

// vouchedField returns how old the newest message is that shows the entry to be alive,
// or nothing before the first.
func (c *Core) vouchedField(l *link) []event.Field {
	if l.vouchedAt.IsZero() {
		return nil
	}
	return []event.Field{event.Millis("vouched_ms_ago", c.now.Sub(l.vouchedAt))}
}

// countRuns counts the runs at the endpoint, the queued ones and the kept results.
func countRuns(runs []*run) (started, queued, results int) {
	for _, r := range runs {
		switch r.state {
		case runStates.Running, runStates.Stopping:
			started++
		case runStates.Queued:
			queued++
		case runStates.Finished:
			results++
		}
	}
	return started, queued, results
}

// logAbandoned logs that the runs of the link's entry are given up, if there are any.
func (c *Core) logAbandoned(l *link, e chart.Event) {
	stopped, queued, results := countRuns(c.runsOfEntry(l))
	if stopped+queued+results == 0 {
		return
	}
	fields := []event.Field{
		event.Text("reason", abandonReason(e)), event.Int("stopped", stopped), event.Int("queued", queued), event.Int("results", results),
	}
	c.logEvent(event.RunsGivenUp, l.address, structs.GrantID{}, "", append(fields, c.vouchedField(l)...)...)
}

// abandonReason names what the event says of the entry.
func abandonReason(e chart.Event) string {
	switch e {
	case linkEvents.GraceOver:
		return "grace_over"
	case linkEvents.Unlisted:
		return "entry_unlisted"
	default:
		return "entry_replaced"
	}
}
