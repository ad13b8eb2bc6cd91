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

// Limits and timing of the peers actor.
const (
	// peersInboxSize is the capacity of the actor's inbox. When it is full,
	// requests are refused.
	peersInboxSize = 1024
	// maxPassedOn is the maximum number of forwarded requests in progress;
	// further ones are refused.
	maxPassedOn = 1024
	// peersPeriod is the interval of the actor's ticks.
	peersPeriod = time.Second
)

// peerMessage is a message to the peers actor.
type peerMessage interface{ isPeerMessage() }

// setPeers replaces the list of entries.
type setPeers struct{ peers []structs.Peer }

// setSuperseded replaces the list of superseded entries.
type setSuperseded struct{ peers []structs.Peer }

// passedOn is a request about a job that another entry owns.
type passedOn struct {
	request *peer.Request
	answer  chan<- outcome
}

// collect requests the state of every other entry.
type collect struct{ answer chan<- []operator.EntryView }

// collectAccounts requests the service level accounts of every other entry.
type collectAccounts struct {
	answer chan<- []operator.EntryAccounts
}

// askEnded reports that a forwarded request has completed.
type askEnded struct{}

// endPeers stops the actor.
type endPeers struct{}

func (*setPeers) isPeerMessage()        {}
func (*setSuperseded) isPeerMessage()   {}
func (*passedOn) isPeerMessage()        {}
func (*collect) isPeerMessage()         {}
func (*collectAccounts) isPeerMessage() {}
func (askEnded) isPeerMessage()         {}
func (endPeers) isPeerMessage()         {}

// outcome is the result of a request: either an answer or a refusal.
type outcome struct {
	answer  *structs.Answer
	refusal *failure.Failure
}

// asker makes requests to other entries. It is implemented by *peer.Client.
type asker interface {
	Ask(ctx context.Context, address string, r *peer.Request) (*peer.Response, error)
	Inspect(ctx context.Context, entry structs.Peer) ([]byte, error)
	Account(ctx context.Context, entry structs.Peer) ([]byte, error)
}

// peersActor owns the list of entries and forwards requests about jobs to the
// entries that own them. Each forwarded request has its own goroutine, which
// answers the caller.
type peersActor struct {
	ctx   context.Context
	self  structs.Incarnation
	asker asker
	log   *logging.Logger
	inbox *actor.Inbox[peerMessage]
	list  []structs.Peer
	// superseded are the entries that a later incarnation has replaced. Requests
	// about their jobs still go to their addresses, where the answer of another
	// incarnation proves that they have ended.
	superseded []structs.Peer
	// asking is the number of forwarded requests in progress.
	asking int
}

// Handle processes one message.
func (a *peersActor) Handle(now time.Time, m peerMessage) bool {
	switch m := m.(type) {
	case *setPeers:
		a.list = m.peers
	case *setSuperseded:
		a.superseded = m.peers
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

// Tick has nothing to do: the peer client limits the time of each request.
func (a *peersActor) Tick(time.Time) bool { return true }

// Flush has nothing to do.
func (a *peersActor) Flush(time.Time) {}

func (a *peersActor) passOn(now time.Time, m *passedOn) {
	decision := ownership.Locate(a.self, m.request.Job, now, slices.Concat(a.list, a.superseded))
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

// ask runs in its own goroutine and accesses none of the fields that change.
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

// decided returns the outcome of a decision that needs no request to the owner.
func decided(id structs.JobID, d ownership.Decision) outcome {
	if d.Verdict == ownership.Failed {
		return outcome{answer: &structs.Answer{ID: id, State: structs.JobFailed, Failure: d.Failure}}
	}
	return outcome{refusal: d.Failure}
}

func tooManyPassedOn() *failure.Failure {
	return failure.New(failure.Overloaded, failure.Unknown, "too many requests to other entries are in progress").WithRetry(ownership.RetryAfter)
}

// passOn has the peers actor forward a request and waits for the result.
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
