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

// RevisionEffect is an output of Revision.
type RevisionEffect interface{ isRevisionEffect() }

// Adopt puts a document in force; its revision is higher than every earlier one.
type Adopt struct{ Document *structs.Document }

// Happened is an event for the log.
type Happened struct {
	Event  event.ID
	Detail string
}

func (Adopt) isRevisionEffect()    {}
func (Happened) isRevisionEffect() {}

// Revision decides which document is in force at one instance. It is pure and
// not safe for concurrent use.
type Revision struct {
	state    chart.State
	document *structs.Document
	// offer is the document of the message being handled.
	offer *structs.Document
	// reported is the table's revision when it was last reported as behind.
	reported uint64
	cause    string
	effects  []RevisionEffect
}

// neverReported is no revision of any table.
const neverReported = math.MaxUint64

// noDocument stands for a table without a configuration.
var noDocument = &structs.Document{}

// NewRevision returns a follower that knows no revision.
func NewRevision() *Revision {
	return &Revision{state: revisionMachine.Initial(), offer: noDocument, reported: neverReported}
}

// Read takes the document in the table; nil stands for none.
func (r *Revision) Read(doc *structs.Document) { r.take(revisionEvents.Read, doc) }

// Offered takes a document from a peer or an agent; nil stands for none.
func (r *Revision) Offered(doc *structs.Document) { r.take(revisionEvents.Offered, doc) }

// Unavailable says why the table's document could not be read.
func (r *Revision) Unavailable(cause string) {
	r.cause = cause
	r.fire(revisionEvents.Unavailable)
}

// Document returns what is in force, or nil: without one the instance takes no
// work.
func (r *Revision) Document() *structs.Document { return r.document }

// State returns the name of the state in the chart revision.
func (r *Revision) State() string { return revisionMachine.StateName(r.state) }

// Effects returns what is to be carried out, in order, and forgets it.
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
