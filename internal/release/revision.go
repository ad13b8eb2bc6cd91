package release

import (
	"fmt"
	"math"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

var revisionMachine = chart.MustCompile(charts.Files, "revision", chart.Bindings[*Revision]{
	Guards: map[string]func(*Revision) bool{
		"newer":  func(r *Revision) bool { return r.offer.Revision > r.revision() },
		"behind": func(r *Revision) bool { return r.offer.Revision < r.revision() && r.offer.Revision != r.reported },
	},
	Actions: map[string]func(*Revision){
		"adopt":             (*Revision).adopt,
		"report_unread":     func(r *Revision) { r.report(event.ConfigurationUnread, r.cause) },
		"report_read_again": func(r *Revision) { r.report(event.ConfigurationReadAgain, "") },
		"report_behind":     (*Revision).reportBehind,
	},
})

var revisionEvents struct {
	Read        chart.Event `chart:"read"`
	Offered     chart.Event `chart:"offered"`
	Unavailable chart.Event `chart:"unavailable"`
}

func init() { revisionMachine.MustNames(&revisionEvents) }

// RevisionEffect is an output of Revision, to be executed by its caller.
type RevisionEffect interface{ isRevisionEffect() }

// Adopt puts a document in force. Its revision is higher than that of every
// document adopted before.
type Adopt struct{ Document *structs.Document }

// Happened is an event to log.
type Happened struct {
	Event  event.ID
	Detail string
}

func (Adopt) isRevisionEffect()    {}
func (Happened) isRevisionEffect() {}

// Revision is the state machine that decides which document is in force at one
// instance. It does no I/O: its caller executes the effects. It is not safe for
// concurrent use.
type Revision struct {
	state    chart.State
	document *structs.Document
	// offer is the document being evaluated, from the table or from a peer or an
	// agent.
	offer *structs.Document
	// reported is the table's revision in the last configuration-behind event. It
	// prevents a repeated event for each read of the same row.
	reported uint64
	cause    string
	effects  []RevisionEffect
}

// neverReported is the initial value of Revision.reported. It differs from every
// revision in a table.
const neverReported = math.MaxUint64

// noDocument represents a table, or a peer, without a configuration.
var noDocument = &structs.Document{}

// NewRevision returns a Revision without a document in force.
func NewRevision() *Revision {
	return &Revision{state: revisionMachine.Initial(), offer: noDocument, reported: neverReported}
}

// Read handles a successful read of the table. The document is nil if the table
// has none.
func (r *Revision) Read(doc *structs.Document) { r.take(revisionEvents.Read, doc) }

// Offered handles a document from a peer or an agent. It is nil if the sender has
// none.
func (r *Revision) Offered(doc *structs.Document) { r.take(revisionEvents.Offered, doc) }

// Unavailable handles a failed read of the table: no answer, or an invalid row.
// The cause becomes the detail of the event.
func (r *Revision) Unavailable(cause string) {
	r.cause = cause
	r.fire(revisionEvents.Unavailable)
}

// Document returns the document in force. If it is nil, the instance takes no
// work.
func (r *Revision) Document() *structs.Document { return r.document }

// State returns the name of the current state in the chart revision.
func (r *Revision) State() string { return revisionMachine.StateName(r.state) }

// Effects returns the pending effects in the order of execution, and clears them.
func (r *Revision) Effects() []RevisionEffect {
	effects := r.effects
	r.effects = nil
	return effects
}

func (r *Revision) fire(e chart.Event) { revisionMachine.Fire(&r.state, e, r) }

func (r *Revision) take(e chart.Event, doc *structs.Document) {
	r.offer = doc
	if doc == nil {
		r.offer = noDocument
	}
	r.fire(e)
}

func (r *Revision) revision() uint64 {
	if r.document == nil {
		return 0
	}
	return r.document.Revision
}

func (r *Revision) adopt() {
	r.document = r.offer
	r.effects = append(r.effects, Adopt{Document: r.offer})
	r.report(event.ConfigurationAdopted, fmt.Sprintf("revision %d", r.offer.Revision))
}

func (r *Revision) reportBehind() {
	r.reported = r.offer.Revision
	r.report(event.ConfigurationBehind, fmt.Sprintf("table %d, in force %d", r.offer.Revision, r.revision()))
}

func (r *Revision) report(id event.ID, detail string) {
	r.effects = append(r.effects, Happened{Event: id, Detail: detail})
}
