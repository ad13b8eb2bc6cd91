package entryd

import (
	"context"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/api/operator"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// cluster collects the views of all entries for operators.
type cluster struct {
	core  *coreClient
	peers *actor.Inbox[peerMessage]
}

// views returns the view of this entry and those of the others. An entry that
// did not answer has a failure in place of its view.
func (c *cluster) views() ([]operator.EntryView, *failure.Failure) {
	own, refusal := c.core.inspect()
	if refusal != nil {
		return nil, refusal
	}
	views := []operator.EntryView{operator.NewEntryView(*own)}
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

// otherEntries returns the listed entries except this one.
func (a *peersActor) otherEntries() []structs.Peer {
	var others []structs.Peer
	for _, entry := range a.entries {
		if entry.Incarnation != a.self {
			others = append(others, entry)
		}
	}
	return others
}

// queryAll queries all entries in parallel, each in a goroutine of its own, and
// sends the replies in the order of the entries.
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

// fetchView asks another entry for its view. An error is returned as the failure
// of the view.
func fetchView(ctx context.Context, client peerClient, entry structs.Peer) operator.EntryView {
	view := operator.EntryView{}
	raw, err := client.Inspect(ctx, entry)
	if err == nil {
		err = api.DecodeLenient(raw, &view)
	}
	if err != nil {
		return operator.EntryView{Entry: entry, Failure: api.NewFailureJSON(failure.Of(err))}
	}
	return view
}

// InspectPeer returns the encoded view of this entry for another one, or nil if
// the dispatcher can't provide it.
func (j *jobRouter) InspectPeer(context.Context) []byte {
	own, refusal := j.core.inspect()
	if refusal != nil {
		return nil
	}
	raw, err := api.Encode(operator.NewEntryView(*own))
	if err != nil {
		return nil
	}
	return raw
}
