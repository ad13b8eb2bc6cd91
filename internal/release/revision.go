package release

import (
	"fmt"
	"math"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

var revisionChart = chart.MustCompile(charts.Files, "revision", chart.Bindings[*RevisionTracker]{
	Guards: map[string]func(*RevisionTracker) bool{
		"newer": func(r *RevisionTracker) bool { return r.candidate.Revision > r.currentRevision() },
		"behind": func(r *RevisionTracker) bool {
			return r.candidate.Revision < r.currentRevision() && r.candidate.Revision != r.lastReported
		},
	},
	Actions: map[string]func(*RevisionTracker){
		"adopt":              (*RevisionTracker).adopt,
		"report_unavailable": func(r *RevisionTracker) { r.report(event.ConfigurationUnavailable, r.cause) },
		"report_available":   func(r *RevisionTracker) { r.report(event.ConfigurationAvailable, "") },
		"report_behind":      (*RevisionTracker).reportBehind,
	},
})

var revisionEvents struct {
	Read        chart.Event `chart:"read"`
	Offered     chart.Event `chart:"offered"`
	Unavailable chart.Event `chart:"unavailable"`
}

func init() { revisionChart.MustBindNames(&revisionEvents) }

// RevisionEffect is an output of RevisionTracker, to be executed by its caller.
type RevisionEffect interface{ isRevisionEffect() }

// Adopt puts a document in force. Its revision is higher than that of every
// document adopted before.
type Adopt struct{ Document *structs.Document }

// LogEvent is an event to log.
type LogEvent struct {
	Event  event.ID
	Detail string
}

func (Adopt) isRevisionEffect()    {}
func (LogEvent) isRevisionEffect() {}

// RevisionTracker is the state machine that decides which document is in force
// at one instance. It does no I/O: its caller executes the effects. It is not
// safe for concurrent use.
type RevisionTracker struct {
	state    chart.State
	document *structs.Document
	// candidate is the document being evaluated, from the table, a peer or an
	// agent.
	candidate *structs.Document
	// lastReported is the table's revision in the last StoredConfigurationOutdated
	// event, which is logged once for each such revision and not at every read.
	lastReported uint64
	cause        string
	effects      []RevisionEffect
}

// neverReported is the initial value of lastReported. It differs from every
// revision in a table.
const neverReported = math.MaxUint64

// emptyDocument stands for the document of a table or a sender that has none.
var emptyDocument = &structs.Document{}

// NewRevisionTracker returns a tracker without a document in force.
func NewRevisionTracker() *RevisionTracker {
	return &RevisionTracker{state: revisionChart.Initial(), candidate: emptyDocument, lastReported: neverReported}
}

// Read handles a successful read of the table. The document is nil if the table
// has none.
func (r *RevisionTracker) Read(doc *structs.Document) { r.handleDocument(revisionEvents.Read, doc) }

// Offered handles a document from a peer or an agent. It is nil if the sender
// has none.
func (r *RevisionTracker) Offered(doc *structs.Document) {
	r.handleDocument(revisionEvents.Offered, doc)
}

// Unavailable handles a failed read of the table: no answer, or an invalid row.
// The cause becomes the detail of the event.
func (r *RevisionTracker) Unavailable(cause string) {
	r.cause = cause
	r.fire(revisionEvents.Unavailable)
}

// Document returns the document in force. If it is nil, the instance takes no
// work.
func (r *RevisionTracker) Document() *structs.Document { return r.document }

// State returns the name of the current state in the chart revision.
func (r *RevisionTracker) State() string { return revisionChart.StateName(r.state) }

// Effects returns the pending effects in the order of execution, and clears
// them.
func (r *RevisionTracker) Effects() []RevisionEffect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *RevisionTracker) fire(e chart.Event) { revisionChart.Fire(&r.state, e, r) }

func (r *RevisionTracker) handleDocument(e chart.Event, doc *structs.Document) {
	r.candidate = doc
	if doc == nil {
		r.candidate = emptyDocument
	}
	r.fire(e)
}

func (r *RevisionTracker) currentRevision() uint64 {
	if r.document == nil {
		return 0
	}
	return r.document.Revision
}

func (r *RevisionTracker) adopt() {
	r.document = r.candidate
	r.effects = append(r.effects, Adopt{Document: r.candidate})
	r.report(event.ConfigurationAdopted, fmt.Sprintf("revision %d", r.candidate.Revision))
}

func (r *RevisionTracker) reportBehind() {
	r.lastReported = r.candidate.Revision
	r.report(event.StoredConfigurationOutdated, fmt.Sprintf("table %d, in force %d", r.candidate.Revision, r.currentRevision()))
}

func (r *RevisionTracker) report(id event.ID, detail string) {
	r.effects = append(r.effects, LogEvent{Event: id, Detail: detail})
}
