package release

import (
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

const (
	// maxReads limits how often one attempt to publish reads the table.
	maxReads = 6
	// maxNotesSince limits the notes since the base that are read and that a
	// ConflictError lists.
	maxNotesSince = 50
)

// ProposalMessage is an input of Proposal: the start of the attempt or the
// answer to an effect.
type ProposalMessage interface{ isProposalMessage() }

// Begin starts the attempt.
type Begin struct{}

// RowsRead is the successful answer to ReadRows.
type RowsRead struct {
	Config ActiveConfig
	// Version is the version of the configuration row.
	Version uint64
	// Applied is non-nil if a note with the same id was applied. It must be read
	// after the configuration: in the other order, a commit of this very note
	// between the two reads would look like another author's change.
	Applied *AppliedNote
	// Since holds the notes published since the note's base, oldest first, and
	// only the latest maxNotesSince of them.
	Since []PublishedNote
}

// Committed means that the transaction of CommitRows took effect.
type Committed struct{}

// Conflicted means that the table rejected the transaction of CommitRows
// because a row had changed.
type Conflicted struct{}

// Unanswered means that the answer to CommitRows was lost: the transaction may
// have taken effect, or may still do so.
type Unanswered struct{ Cause error }

// Unavailable means that the last ReadRows failed, or that the last CommitRows
// failed without effect.
type Unavailable struct{ Cause error }

func (Begin) isProposalMessage()       {}
func (RowsRead) isProposalMessage()    {}
func (Committed) isProposalMessage()   {}
func (Conflicted) isProposalMessage()  {}
func (Unanswered) isProposalMessage()  {}
func (Unavailable) isProposalMessage() {}

// ProposalEffect is an output of Proposal, to be executed by its caller.
type ProposalEffect interface{ isProposalEffect() }

// ReadRows reads the configuration row, then the row of the note's id, then the
// notes after Base. The answer is RowsRead or Unavailable.
type ReadRows struct {
	ID   string
	Base uint64
}

// CommitRows writes three rows in one transaction: the configuration, whose
// version must still be Expected, and the note and its id, which must not
// exist. The answer is Committed, Conflicted, Unanswered or Unavailable.
type CommitRows struct {
	Expected  uint64
	Config    ActiveConfig
	Published PublishedNote
	Applied   AppliedNote
}

func (ReadRows) isProposalEffect()   {}
func (CommitRows) isProposalEffect() {}

// Accepted is the result of publishing a note: the revision that it created,
// and when.
type Accepted struct {
	Note     string `json:"note"`
	Revision uint64 `json:"revision"`
	AtMS     int64  `json:"at_ms"` // Unix time
	// AlreadyApplied is true if the note was found applied, by an earlier attempt
	// or by a transaction whose answer was lost.
	AlreadyApplied bool `json:"again"`
}

var proposalChart = chart.MustCompile(charts.Files, "proposal", chart.Bindings[*Proposal]{
	Guards: map[string]func(*Proposal) bool{
		"applied":      func(p *Proposal) bool { return p.lastRead.Applied != nil && p.lastRead.Applied.Digest == p.digest },
		"id_taken":     func(p *Proposal) bool { return p.lastRead.Applied != nil },
		"inapplicable": func(p *Proposal) bool { return p.applyErr != nil },
		"may_retry":    func(p *Proposal) bool { return p.readCount < maxReads },
	},
	Actions: map[string]func(*Proposal){
		"read":               (*Proposal).requestRead,
		"commit":             (*Proposal).requestCommit,
		"accept":             (*Proposal).accept,
		"accept_found":       (*Proposal).acceptFound,
		"refuse":             func(p *Proposal) { p.err = p.applyErr },
		"refuse_duplicate":   (*Proposal).refuseDuplicate,
		"refuse_unavailable": func(p *Proposal) { p.err = errors.WithStack(&NotAppliedError{Cause: p.cause}) },
		"report_unknown":     func(p *Proposal) { p.err = errors.WithStack(&UnknownOutcomeError{Cause: p.cause}) },
	},
})

var proposalEvents struct {
	Begin       chart.Event `chart:"begin"`
	RowsRead    chart.Event `chart:"rows_read"`
	Committed   chart.Event `chart:"committed"`
	Conflicted  chart.Event `chart:"conflicted"`
	Unanswered  chart.Event `chart:"unanswered"`
	Unavailable chart.Event `chart:"unavailable"`
}

func init() { proposalChart.MustBindNames(&proposalEvents) }

// Proposal is the state machine of one attempt to publish a note. It does no
// I/O: its caller executes the effects and passes the answer to each to Step.
// It is not safe for concurrent use.
type Proposal struct {
	state     chart.State
	note      *Note
	digest    string
	rebase    bool
	readCount int
	lastRead  RowsRead
	// nextDocument results from applying the note to the document last read. It
	// is nil if that failed, and applyErr is the reason.
	nextDocument *structs.Document
	applyErr     error
	cause        error
	now          time.Time
	lastCommit   CommitRows
	effects      []ProposalEffect
	result       Accepted
	err          error
}

// NewProposal returns an attempt to publish a note. With rebase, a note against
// an older revision is applied too, provided that no later note touches its
// items.
func NewProposal(note *Note, rebase bool) *Proposal {
	return &Proposal{state: proposalChart.Initial(), note: note, digest: note.Digest(), rebase: rebase}
}

// Step handles a message that arrived at the given time.
func (p *Proposal) Step(now time.Time, m ProposalMessage) {
	p.now = now
	p.cause = nil
	switch m := m.(type) {
	case Begin:
		p.fire(proposalEvents.Begin)
	case RowsRead:
		p.lastRead = m
		p.nextDocument, p.applyErr = p.apply()
		p.fire(proposalEvents.RowsRead)
	case Committed:
		p.fire(proposalEvents.Committed)
	case Conflicted:
		p.fire(proposalEvents.Conflicted)
	case Unanswered:
		p.cause = m.Cause
		p.fire(proposalEvents.Unanswered)
	case Unavailable:
		p.cause = m.Cause
		p.fire(proposalEvents.Unavailable)
	}
}

// Effects returns the pending effects and clears them.
func (p *Proposal) Effects() []ProposalEffect {
	effects := p.effects
	p.effects = nil
	return effects
}

// State returns the name of the current state in the chart proposal.
func (p *Proposal) State() string { return proposalChart.StateName(p.state) }

// Ended reports whether the attempt is over, so that Result is final.
func (p *Proposal) Ended() bool { return proposalChart.Final(p.state) }

// Result returns the outcome once the attempt has ended. The error is a
// *NoteError, *ConflictError, *DuplicateError or *NotAppliedError if the
// attempt had no effect, or an *UnknownOutcomeError.
func (p *Proposal) Result() (Accepted, error) { return p.result, p.err }

func (p *Proposal) fire(e chart.Event) { proposalChart.Fire(&p.state, e, p) }

// apply applies the note to the document last read, after a rebase if needed
// and allowed.
func (p *Proposal) apply() (*structs.Document, error) {
	current := &p.lastRead.Config.Document
	if current.Revision == p.note.Base {
		return Apply(current, p.note)
	}
	if !p.rebase {
		return nil, errors.WithStack(newConflictError(p.note, current.Revision, p.lastRead.Since))
	}
	rebased, err := Rebase(p.note, current.Revision, p.lastRead.Since)
	if err != nil {
		return nil, err
	}
	return Apply(current, rebased)
}

func (p *Proposal) requestRead() {
	p.readCount++
	p.effects = append(p.effects, ReadRows{ID: p.note.ID, Base: p.note.Base})
}

func (p *Proposal) requestCommit() {
	at := p.now.UnixMilli()
	p.lastCommit = CommitRows{
		Expected:  p.lastRead.Version,
		Config:    p.lastRead.Config.successor(p.note, p.nextDocument, p.now),
		Published: PublishedNote{Revision: p.nextDocument.Revision, Note: *p.note, AtMS: at},
		Applied:   AppliedNote{Revision: p.nextDocument.Revision, Digest: p.digest, AtMS: at},
	}
	p.effects = append(p.effects, p.lastCommit)
}

func (p *Proposal) accept() {
	p.result = Accepted{Note: p.note.ID, Revision: p.lastCommit.Applied.Revision, AtMS: p.lastCommit.Applied.AtMS}
}

func (p *Proposal) acceptFound() {
	found := p.lastRead.Applied
	p.result = Accepted{Note: p.note.ID, Revision: found.Revision, AtMS: found.AtMS, AlreadyApplied: true}
}

func (p *Proposal) refuseDuplicate() {
	p.err = errors.WithStack(&DuplicateError{ID: p.note.ID, Revision: p.lastRead.Applied.Revision})
}
