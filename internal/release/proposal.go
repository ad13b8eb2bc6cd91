package release

import (
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/charts"
	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/structs"
)

const (
	// maxReads bounds the reads of one attempt to publish.
	maxReads = 6
	// maxSince bounds the later notes that a conflict shows.
	maxSince = 50
)

// ProposalMessage is an input of Proposal.
type ProposalMessage interface{ isProposalMessage() }

// Begin starts the attempt.
type Begin struct{}

// StateRead answers ReadState.
type StateRead struct {
	InForce InForce
	// Version is that of the row of the configuration.
	Version uint64
	// Applied is set when a note with the same id was applied. It is read after
	// the configuration: in the other order a commit between the two reads would
	// look like another author's.
	Applied *Applied
	// Since lists the notes after the note's base, oldest first, at most maxSince
	// of them, the latest.
	Since []Published
}

// Committed says that the table carried out the CommitState.
type Committed struct{}

// Conflicted says that a CommitState had no effect because a row had changed.
type Conflicted struct{}

// Unanswered says that the answer to a CommitState was lost.
type Unanswered struct{ Cause error }

// Unavailable says that the last ReadState or CommitState had no effect.
type Unavailable struct{ Cause error }

func (Begin) isProposalMessage()       {}
func (StateRead) isProposalMessage()   {}
func (Committed) isProposalMessage()   {}
func (Conflicted) isProposalMessage()  {}
func (Unanswered) isProposalMessage()  {}
func (Unavailable) isProposalMessage() {}

// ProposalEffect is an output of Proposal.
type ProposalEffect interface{ isProposalEffect() }

// ReadState reads the configuration, then the row of the note's id, then the
// notes after Base. The answer is StateRead or Unavailable.
type ReadState struct {
	ID   string
	Base uint64
}

// CommitState writes, in one transaction, the configuration at the expected
// version, the note, and the row of its id, which must not exist. The answer is
// Committed, Conflicted, Unanswered or Unavailable.
type CommitState struct {
	Expected  uint64
	InForce   InForce
	Published Published
	Applied   Applied
}

func (ReadState) isProposalEffect()   {}
func (CommitState) isProposalEffect() {}

// Accepted tells which revision a note made, and when.
type Accepted struct {
	Note     string `json:"note"`
	Revision uint64 `json:"revision"`
	AtMS     int64  `json:"at_ms"` // Unix time
	// Again is set when an earlier attempt had applied the note.
	Again bool `json:"again"`
}

var proposalMachine = chart.MustCompile(charts.Files, "proposal", chart.Bindings[*Proposal]{
	Guards: map[string]func(*Proposal) bool{
		"applied":      func(p *Proposal) bool { return p.read.Applied != nil && p.read.Applied.Digest == p.digest },
		"id_taken":     func(p *Proposal) bool { return p.read.Applied != nil },
		"inapplicable": func(p *Proposal) bool { return p.fault != nil },
		"may_retry":    func(p *Proposal) bool { return p.reads < maxReads },
	},
	Actions: map[string]func(*Proposal){
		"read":               (*Proposal).readState,
		"commit":             (*Proposal).commit,
		"accept":             (*Proposal).accept,
		"accept_found":       (*Proposal).acceptFound,
		"refuse":             func(p *Proposal) { p.err = p.fault },
		"refuse_duplicate":   (*Proposal).refuseDuplicate,
		"refuse_unavailable": func(p *Proposal) { p.err = errors.WithStack(&UnappliedError{Cause: p.cause}) },
		"report_unknown":     func(p *Proposal) { p.err = errors.WithStack(&UnknownError{Cause: p.cause}) },
	},
})

var proposalEvents struct {
	Begin       chart.Event `chart:"begin"`
	StateRead   chart.Event `chart:"state_read"`
	Committed   chart.Event `chart:"committed"`
	Conflicted  chart.Event `chart:"conflicted"`
	Unanswered  chart.Event `chart:"unanswered"`
	Unavailable chart.Event `chart:"unavailable"`
}

func init() { proposalMachine.MustNames(&proposalEvents) }

// Proposal decides one attempt to publish a note. It is pure and not safe for
// concurrent use. The answer to each effect is passed to Step.
type Proposal struct {
	state  chart.State
	note   *Note
	digest string
	rebase bool
	reads  int
	read   StateRead
	// next is the document that the note makes of the one read, or nil with
	// fault.
	next    *structs.Document
	fault   error
	cause   error
	now     time.Time
	sent    CommitState
	effects []ProposalEffect
	result  Accepted
	err     error
}

// NewProposal returns the attempt to publish a note. With rebase, a note against
// an older revision is applied if no later one touches its items.
func NewProposal(note *Note, rebase bool) *Proposal {
	return &Proposal{state: proposalMachine.Initial(), note: note, digest: note.Digest(), rebase: rebase}
}

// Step takes one message at the given time.
func (p *Proposal) Step(now time.Time, m ProposalMessage) {
	p.now = now
	p.cause = nil
	switch m := m.(type) {
	case Begin:
		p.fire(proposalEvents.Begin)
	case StateRead:
		p.read = m
		p.next, p.fault = p.apply()
		p.fire(proposalEvents.StateRead)
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

// Effects returns what is to be carried out and forgets it.
func (p *Proposal) Effects() []ProposalEffect {
	effects := p.effects
	p.effects = nil
	return effects
}

// State returns the name of the state in the chart proposal.
func (p *Proposal) State() string { return proposalMachine.StateName(p.state) }

// Ended reports whether Result is final.
func (p *Proposal) Ended() bool { return proposalMachine.Final(p.state) }

// Result returns the revision that the note made. It fails with *NoteError,
// *ConflictError, *DuplicateError, *UnappliedError (all without effect) or
// *UnknownError.
func (p *Proposal) Result() (Accepted, error) { return p.result, p.err }

func (p *Proposal) fire(e chart.Event) { proposalMachine.Fire(&p.state, e, p) }

// apply returns what the note makes of the document that was read.
func (p *Proposal) apply() (*structs.Document, error) {
	head := &p.read.InForce.Document
	if head.Revision == p.note.Base {
		return Apply(head, p.note)
	}
	if !p.rebase {
		return nil, errors.WithStack(conflictOf(p.note, head.Revision, p.read.Since))
	}
	rebased, err := Rebase(p.note, head.Revision, p.read.Since)
	if err != nil {
		return nil, err
	}
	return Apply(head, rebased)
}

func (p *Proposal) readState() {
	p.reads++
	p.effects = append(p.effects, ReadState{ID: p.note.ID, Base: p.note.Base})
}

func (p *Proposal) commit() {
	at := p.now.UnixMilli()
	p.sent = CommitState{
		Expected:  p.read.Version,
		InForce:   p.read.InForce.next(p.note, p.next, p.now),
		Published: Published{Revision: p.next.Revision, Note: *p.note, AtMS: at},
		Applied:   Applied{Revision: p.next.Revision, Digest: p.digest, AtMS: at},
	}
	p.effects = append(p.effects, p.sent)
}

func (p *Proposal) accept() {
	p.result = Accepted{Note: p.note.ID, Revision: p.sent.Applied.Revision, AtMS: p.sent.Applied.AtMS}
}

func (p *Proposal) acceptFound() {
	found := p.read.Applied
	p.result = Accepted{Note: p.note.ID, Revision: found.Revision, AtMS: found.AtMS, Again: true}
}

func (p *Proposal) refuseDuplicate() {
	p.err = errors.WithStack(&DuplicateError{ID: p.note.ID, Revision: p.read.Applied.Revision})
}
