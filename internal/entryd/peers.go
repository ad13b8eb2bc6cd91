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
	// maxForwarded is the maximum number of forwarded requests in progress;
	// further ones are refused.
	maxForwarded = 1024
	// peersTickInterval is the interval of the actor's ticks.
	peersTickInterval = time.Second
)

// peerMessage is a message to the peers actor.
type peerMessage interface{ isPeerMessage() }

// setPeers replaces the list of entries.
type setPeers struct{ peers []structs.Peer }

// setSuperseded replaces the list of entries that a later incarnation has
// replaced.
type setSuperseded struct{ peers []structs.Peer }

// forwardedRequest is a request about a job that another entry owns.
type forwardedRequest struct {
	request *peer.Request
	answer  chan<- requestResult
}

// collectViews requests the state of every other entry.
type collectViews struct{ answer chan<- []operator.EntryView }

// collectAccounts requests the service level accounts of every other entry.
type collectAccounts struct {
	answer chan<- []operator.EntryAccounts
}

// forwardingDone reports that a forwarded request has completed.
type forwardingDone struct{}

// stopPeers stops the actor.
type stopPeers struct{}

func (*setPeers) isPeerMessage()         {}
func (*setSuperseded) isPeerMessage()    {}
func (*forwardedRequest) isPeerMessage() {}
func (*collectViews) isPeerMessage()     {}
func (*collectAccounts) isPeerMessage()  {}
func (forwardingDone) isPeerMessage()    {}
func (stopPeers) isPeerMessage()         {}

// requestResult is the result of a forwardedRequest: either an answer or a
// refusal.
type requestResult struct {
	answer  *structs.Answer
	refusal *failure.Failure
}

// peerClient makes requests to other entries. It is implemented by *peer.Client.
type peerClient interface {
	Ask(ctx context.Context, address string, r *peer.Request) (*peer.Response, error)
	Inspect(ctx context.Context, entry structs.Peer) ([]byte, error)
	Account(ctx context.Context, entry structs.Peer) ([]byte, error)
}

// peersActor owns the list of entries and forwards requests about jobs to the
// entries that own them. Each forwarded request has its own goroutine, which
// answers the caller.
type peersActor struct {
	ctx     context.Context
	self    structs.Incarnation
	client  peerClient
	log     *logging.Logger
	inbox   *actor.Inbox[peerMessage]
	entries []structs.Peer
	// superseded are the entries that a later incarnation has replaced. Requests
	// about their jobs still go to their addresses, where the answer of another
	// incarnation proves that they have ended.
	superseded []structs.Peer
	// forwarding is the number of forwarded requests in progress.
	forwarding int
}

// Handle processes one message.
func (a *peersActor) Handle(now time.Time, m peerMessage) bool {
	switch m := m.(type) {
	case *setPeers:
		a.entries = m.peers
	case *setSuperseded:
		a.superseded = m.peers
	case *forwardedRequest:
		a.forward(now, m)
	case *collectViews:
		go queryAll(a.otherEntries(), m.answer, func(e structs.Peer) operator.EntryView { return fetchView(a.ctx, a.client, e) })
	case *collectAccounts:
		go queryAll(a.otherEntries(), m.answer, func(e structs.Peer) operator.EntryAccounts { return fetchAccounts(a.ctx, a.client, e) })
	case forwardingDone:
		a.forwarding--
	case stopPeers:
		return false
	}
	return true
}

// Tick has nothing to do: the peer client limits the time of each request.
func (a *peersActor) Tick(time.Time) bool { return true }

// Flush has nothing to do.
func (a *peersActor) Flush(time.Time) {}

func (a *peersActor) forward(now time.Time, m *forwardedRequest) {
	decision := ownership.Locate(a.self, m.request.Job, now, slices.Concat(a.entries, a.superseded))
	if decision.Verdict != ownership.Ask {
		m.answer <- decisionResult(m.request.Job, decision)
		return
	}
	if a.forwarding >= maxForwarded {
		m.answer <- requestResult{refusal: tooManyPeerRequests()}
		return
	}
	a.forwarding++
	go a.forwardTo(decision.Peer, m)
}

// forwardTo runs in its own goroutine and accesses none of the fields that
// change.
func (a *peersActor) forwardTo(owner structs.Peer, m *forwardedRequest) {
	m.answer <- askOwner(a.ctx, a.client, a.log, owner, m.request)
	a.inbox.Send(forwardingDone{})
}

func askOwner(ctx context.Context, client peerClient, log *logging.Logger, owner structs.Peer, r *peer.Request) requestResult {
	response, err := client.Ask(ctx, owner.PeerAddress, r)
	if err != nil {
		log.Event(event.PeerUnreachable, zap.String("entry", owner.Name), errorField(err))
		return decisionResult(r.Job, ownership.DecideUnanswered(ownership.Unreachable))
	}
	if response.Incarnation != r.Job.Owner {
		log.Event(event.PeerReplaced, zap.String("entry", owner.Name), zap.Stringer("job", r.Job))
		return decisionResult(r.Job, ownership.DecideUnanswered(ownership.OtherIncarnation))
	}
	return requestResult{answer: response.Answer, refusal: response.Refusal}
}

// decisionResult returns the result of a decision that needs no request to the
// owner.
func decisionResult(id structs.JobID, d ownership.Decision) requestResult {
	if d.Verdict == ownership.Failed {
		return requestResult{answer: &structs.Answer{ID: id, State: structs.JobFailed, Failure: d.Failure}}
	}
	return requestResult{refusal: d.Failure}
}

func tooManyPeerRequests() *failure.Failure {
	return failure.New(failure.Overloaded, failure.Unknown, "too many requests to other entries are in progress").WithRetry(ownership.RetryAfter)
}

// forwardToOwner has the peers actor forward a request and waits for the result.
func forwardToOwner(inbox *actor.Inbox[peerMessage], r *peer.Request) (*structs.Answer, *failure.Failure) {
	answer := make(chan requestResult, 1)
	if !inbox.TrySend(&forwardedRequest{request: r, answer: answer}) {
		return nil, tooManyPeerRequests()
	}
	select {
	case result := <-answer:
		return result.answer, result.refusal
	case <-inbox.Done():
		return nil, failure.New(failure.Unavailable, failure.Unknown, "the entry has stopped").WithRetry(ownership.RetryAfter)
	}
}
