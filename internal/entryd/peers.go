package entryd

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/ownership"
	"cactuspost.example/internal/peer"
	"cactuspost.example/internal/structs"
)

// Bounds of the peers actor.
const (
	// peersInboxSize bounds the requests that wait to be passed on; a caller
	// beyond it is refused.
	peersInboxSize = 1024
	// maxPassedOn bounds the requests that wait for their owners at a time; a
	// caller beyond it is refused.
	maxPassedOn = 1024
	// peersPeriod is how often the actor wakes when nothing arrives.
	peersPeriod = time.Second
)

// peerMessage is an input of the peers actor.
type peerMessage interface{ isPeerMessage() }

// setPeers replaces the list of entries.
type setPeers struct{ peers []structs.Peer }

// setFormer replaces the list of entries whose addresses later ones serve.
type setFormer struct{ peers []structs.Peer }

// passedOn is a request for another entry's job.
type passedOn struct {
	request *peer.Request
	answer  chan<- outcome
}

// collect asks every other entry for its state.
type collect struct{ answer chan<- []operator.EntryView }

// collectAccounts asks every other entry for its accounts of service levels.
type collectAccounts struct {
	answer chan<- []operator.EntryAccounts
}

// askEnded says that one request to an owner has ended.
type askEnded struct{}

// endPeers ends the actor.
type endPeers struct{}

func (*setPeers) isPeerMessage()        {}
func (*setFormer) isPeerMessage()       {}
func (*passedOn) isPeerMessage()        {}
func (*collect) isPeerMessage()         {}
func (*collectAccounts) isPeerMessage() {}
func (askEnded) isPeerMessage()         {}
func (endPeers) isPeerMessage()         {}

// outcome is what a caller is told: one of its fields is set.
type outcome struct {
	answer  *structs.Answer
	refusal *failure.Failure
}

// asker asks another entry. *peer.Client implements it.
type asker interface {
	Ask(ctx context.Context, address string, r *peer.Request) (*peer.Response, error)
	Inspect(ctx context.Context, entry structs.Peer) ([]byte, error)
	Account(ctx context.Context, entry structs.Peer) ([]byte, error)
}

// peersActor owns the list of entries and passes requests on to owners. Each
// request to an owner has a goroutine of its own, which answers the caller.
type peersActor struct {
	ctx   context.Context
	self  structs.Incarnation
	asker asker
	log   *logging.Logger
	inbox *actor.Inbox[peerMessage]
	list  []structs.Peer
	// former are entries that later ones have replaced; their jobs are asked for
	// at their addresses, where another incarnation answers.
	former []structs.Peer
	asking int
}

// Handle processes one message.
func (a *peersActor) Handle(now time.Time, m peerMessage) bool {
	switch m := m.(type) {
	case *setPeers:
		a.list = m.peers
	case *setFormer:
		a.former = m.peers
	case *passedOn:
		a.passOn(now, m)
	case *collect:
		go askAll(a.others(), m.answer, func(e structs.Peer) operator.EntryView { return viewOf(a.ctx, a.asker, e) })
	case *collectAccounts:
		go askAll(a.others(), m.answer, func(e structs.Peer) operator.EntryAccounts { return accountsOf(a.ctx, a.asker, e) })
	case askEnded:
		a.asking--
	case endPeers:
		return false
	}
	return true
}

// Tick has nothing to do: requests have their own time limits.
func (a *peersActor) Tick(time.Time) bool { return true }

// Flush has nothing to do.
func (a *peersActor) Flush(time.Time) {}

func (a *peersActor) passOn(now time.Time, m *passedOn) {
	decision := ownership.Locate(a.self, m.request.Job, now, slices.Concat(a.list, a.former))
	if decision.Verdict != ownership.Ask {
		m.answer <- decided(m.request.Job, decision)
		return
	}
	if a.asking >= maxPassedOn {
		m.answer <- outcome{refusal: tooManyPassedOn()}
		return
	}
	a.asking++
	go a.ask(decision.Peer, m)
}

// ask runs in its own goroutine and touches none of the actor's state.
func (a *peersActor) ask(owner structs.Peer, m *passedOn) {
	m.answer <- askOwner(a.ctx, a.asker, a.log, owner, m.request)
	a.inbox.Send(askEnded{})
}

func askOwner(ctx context.Context, asker asker, log *logging.Logger, owner structs.Peer, r *peer.Request) outcome {
	response, err := asker.Ask(ctx, owner.PeerAddress, r)
	if err != nil {
		log.Event(event.PeerUnreachable, zap.String("entry", owner.Name), errorField(err))
		return decided(r.Job, ownership.DecideUnanswered(ownership.Unreachable))
	}
	if response.Incarnation != r.Job.Owner {
		log.Event(event.PeerReplaced, zap.String("entry", owner.Name), zap.Stringer("job", r.Job))
		return decided(r.Job, ownership.DecideUnanswered(ownership.OtherIncarnation))
	}
	return outcome{answer: response.Answer, refusal: response.Refusal}
}

// decided turns a decision that needs no other entry into an outcome.
func decided(id structs.JobID, d ownership.Decision) outcome {
	if d.Verdict == ownership.Failed {
		return outcome{answer: &structs.Answer{ID: id, State: structs.JobFailed, Failure: d.Failure}}
	}
	return outcome{refusal: d.Failure}
}

func tooManyPassedOn() *failure.Failure {
	return failure.New(failure.Overloaded, failure.Unknown, "too many requests wait for other entries").WithRetry(ownership.RetryAfter)
}

// passOn has the peers actor find the owner and waits for the outcome.
func passOn(inbox *actor.Inbox[peerMessage], r *peer.Request) (*structs.Answer, *failure.Failure) {
	answer := make(chan outcome, 1)
	if !inbox.TrySend(&passedOn{request: r, answer: answer}) {
		return nil, tooManyPassedOn()
	}
	select {
	case o := <-answer:
		return o.answer, o.refusal
	case <-inbox.Done():
		return nil, failure.New(failure.Unavailable, failure.Unknown, "the entry has stopped").WithRetry(ownership.RetryAfter)
	}
}
