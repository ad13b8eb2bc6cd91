package dispatch

import (
	"time"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
)

// catchUp brings the entry up to the highest revision that one of its agents has,
// for an entry whose own source is unavailable while other entries and, through
// them, the agents are informed. See the chart catchup.
type catchUp struct {
	core  *Core
	state chart.State
	// dueAt is when the present wait is over.
	dueAt time.Time
	// asked is the session that was asked last.
	asked *session
}

const (
	// catchUpWait is how long an entry waits for its own source after an agent has
	// reported a higher revision. All sources usually deliver a change within a few
	// milliseconds of each other, and a document may have 100 kB.
	catchUpWait = 200 * time.Millisecond
	// askTimeout is how long an entry waits for the document of an agent before it
	// asks another one.
	askTimeout = 300 * time.Millisecond
)

var catchUpChart = chart.MustCompile(charts.Files, "catchup", chart.Bindings[*catchUp]{
	Guards: map[string]func(*catchUp) bool{
		"behind": func(u *catchUp) bool { return u.mostRecent() != nil },
	},
	Actions: map[string]func(*catchUp){
		"start_wait":    func(u *catchUp) { u.dueAt = u.core.now.Add(catchUpWait) },
		"report_behind": (*catchUp).reportBehind,
		"ask_agent":     (*catchUp).askAgent,
	},
})

var catchUpEvents struct {
	Reported chart.Event `chart:"reported"`
	Adopted  chart.Event `chart:"adopted"`
	Overdue  chart.Event `chart:"overdue"`
}

func init() { catchUpChart.MustBindNames(&catchUpEvents) }

func newCatchUp(c *Core) *catchUp { return &catchUp{core: c, state: catchUpChart.Initial()} }

// compare is called with each revision that an agent reports.
func (u *catchUp) compare(revision uint64) {
	if revision > u.core.revision() {
		u.fire(catchUpEvents.Reported)
	}
}

func (u *catchUp) tick() {
	if !u.core.now.Before(u.dueAt) {
		u.fire(catchUpEvents.Overdue)
	}
}

func (u *catchUp) fire(e chart.Event) { catchUpChart.Fire(&u.state, e, u) }

// mostRecent returns the connected session with the highest revision, or nil if
// none is higher than the entry's own. Of several it prefers one that was not asked
// last.
func (u *catchUp) mostRecent() *session {
	var best *session
	highest := u.core.revision()
	for _, p := range u.core.orderedPools {
		for _, s := range p.sessions {
			if s.link == 0 {
				continue
			}
			if s.revision > highest || (s.revision == highest && best != nil && best == u.asked) {
				best, highest = s, s.revision
			}
		}
	}
	return best
}

func (u *catchUp) askAgent() {
	u.asked = u.mostRecent()
	u.asked.outgoingMessage().ConfigWanted = true
	u.dueAt = u.core.now.Add(askTimeout)
}

func (u *catchUp) reportBehind() {
	s := u.mostRecent()
	u.core.emit(&LogEvent{Event: event.ConfigurationBehind, Endpoint: s.endpoint, Fields: []event.Field{
		{Name: "revision", Value: int64(u.core.revision())}, {Name: "reported", Value: int64(s.revision)},
	}})
}
