package entryd

import (
	"context"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// cluster gives operators the views of all entries.
type cluster struct {
	calls *coreClient
	peers *actor.Inbox[peerMessage]
}

// views returns this entry's view and those of the others, each of them with a
// failure in its place if that entry did not answer.
func (c *cluster) views() ([]operator.EntryView, *failure.Failure) {
	own, refusal := c.calls.inspect()
	if refusal != nil {
		return nil, refusal
	}
	views := []operator.EntryView{operator.ViewOf(*own)}
	answer := make(chan []operator.EntryView, 1)
	if !c.peers.TrySend(&collectViews{answer: answer}) {
		return nil, tooManyPeerRequests()
	}
	select {
	case others := <-answer:
		return append(views, others...), nil
	case <-c.peers.Done():
		return views, nil
	}
}

// otherEntries returns the listed entries but this one.
func (a *peersActor) otherEntries() []structs.Peer {
	var others []structs.Peer
	for _, entry := range a.entries {
		if entry.Incarnation != a.self {
			others = append(others, entry)
		}
	}
	return others
}

// queryAll asks all entries at a time, each in a goroutine that owns the exchange,
// and answers in their order.
func queryAll[T any](entries []structs.Peer, answer chan<- []T, query func(structs.Peer) T) {
	replies := make([]T, len(entries))
	done := make(chan struct{}, len(entries))
	for i, entry := range entries {
		go func() {
			replies[i] = query(entry)
			done <- struct{}{}
		}()
	}
	for range entries {
		<-done
	}
	answer <- replies
}

func fetchView(ctx context.Context, asker peerClient, entry structs.Peer) operator.EntryView {
	view := operator.EntryView{}
	raw, err := asker.Inspect(ctx, entry)
	if err == nil {
		err = api.DecodeLenient(raw, &view)
	}
	if err != nil {
		return operator.EntryView{Entry: entry, Failure: api.NewFailureJSON(failure.Of(err))}
	}
	return view
}

// InspectPeer returns this entry's view for another one, or nothing when the
// dispatcher can't tell.
func (j *jobRouter) InspectPeer(context.Context) []byte {
	own, refusal := j.core.inspect()
	if refusal != nil {
		return nil
	}
	raw, err := api.Encode(operator.ViewOf(*own))
	if err != nil {
		return nil
	}
	return raw
}
