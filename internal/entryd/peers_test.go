package entryd

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/actor"
	"cactuspost.example/internal/api"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/peer"
	"cactuspost.example/internal/structs"
)

// createAt issues an id at an entry and returns its path.
func createAt(is *is.I, d *Daemon) string {
	is.Helper()
	var created api.CreateAnswer
	r := mustSend(is, d, "POST", "/v1/jobs", callerToken, `{"service":"recession"}`)
	is.NoErr(api.DecodeLenient(r.body, &created))
	return "/v1/jobs/" + created.IDs[0]
}

func TestRequestReachesTheOwnerThroughAnotherEntry(t *testing.T) {
	is := is.New(t)
	owner, other := start(t, testConfig()), start(t, testConfig())
	other.SetPeers([]structs.Peer{other.Self(), owner.Self()})
	agent := greet(t, owner)
	path := createAt(is, owner)
	done := sendBeside(other, "PUT", path+"?wait_ms=60000", callerToken, oneTask)
	agent.finish(agent.grant(), "from the owner")
	is.Equal((<-done).job(is).Results, [][]byte{[]byte("from the owner")})
	is.True(mustSend(is, other, "GET", path, callerToken, "").job(is).Complete())
	is.Equal(mustSend(is, other, "GET", path, otherToken, "").failure(is).Kind, failure.Forbidden)
	is.Equal(mustSend(is, other, "PUT", path, callerToken, `{"service":"recession","tasks":[{"kind":"k"}]}`).failure(is).Kind, failure.Conflict)
	path = createAt(is, owner)
	cancelled := mustSend(is, other, "DELETE", path, callerToken, "").job(is)
	is.Equal(cancelled.Failure.Kind, failure.Cancelled)
	is.Equal(cancelled.Failure.Run, failure.NotRun)
}

func TestPassedOnRequestIsNotPassedOnAgain(t *testing.T) {
	is := is.New(t)
	owner, other := start(t, testConfig()), start(t, testConfig())
	other.SetPeers([]structs.Peer{owner.Self()})
	id, err := structs.ParseJobID(createAt(is, owner)[len(api.JobPath):])
	is.NoErr(err)
	client := peer.NewClient()
	defer client.Close()
	r, err := client.Ask(t.Context(), other.Self().PeerAddress, &peer.Request{Job: id, Team: "rivage"})
	is.NoErr(err)
	is.Equal(r, &peer.Response{Incarnation: other.Self().Incarnation})
}

func TestRequestsForALostOwner(t *testing.T) {
	watch, log := watchEvents()
	config := testConfig()
	config.Log = log
	d, successor := start(t, config), start(t, testConfig())
	const lost structs.Incarnation = 77
	unreachable := successor.Self().HTTPAddress // answers, but not as a peer
	path := func(expiry time.Time) string {
		return api.JobPath + structs.JobID{Owner: lost, Seq: 3, Expiry: expiry.UnixMilli()}.String()
	}
	later, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	cases := map[string]struct {
		expiry  time.Time
		peers   []structs.Peer
		refused bool
		kind    failure.Kind
		logged  event.ID
	}{
		"another incarnation at its address": {later, []structs.Peer{{Incarnation: lost, PeerAddress: successor.Self().PeerAddress}}, false, failure.OwnerLost, event.PeerReplaced},
		"unreachable":                        {later, []structs.Peer{{Incarnation: lost, PeerAddress: unreachable}}, true, failure.Unavailable, event.PeerUnreachable},
		"not listed":                         {later, nil, true, failure.Unavailable, 0},
		"expired":                            {past, []structs.Peer{{Incarnation: lost, PeerAddress: unreachable}}, false, failure.Expired, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d.SetPeers(c.peers)
			for _, method := range []string{"PUT", "GET", "DELETE"} {
				r := mustSend(is, d, method, path(c.expiry), callerToken, oneTask)
				told := &api.FailureForm{}
				if c.refused {
					told = r.failure(is)
					is.True(r.header.Get(api.RetryAfterHeader) != "")
				} else {
					told = r.job(is).Failure
				}
				is.Equal(told.Kind, c.kind)
				is.Equal(told.Run, failure.Unknown) // never "not run"
				if c.logged != 0 {
					watch.await(c.logged)
				}
			}
		})
	}
}

// heldAsker answers no request before it is released.
type heldAsker struct{ release chan struct{} }

func (h *heldAsker) Ask(ctx context.Context, _ string, r *peer.Request) (*peer.Response, error) {
	<-h.release
	return &peer.Response{Incarnation: r.Job.Owner, Answer: &structs.Answer{ID: r.Job}}, nil
}

func (h *heldAsker) Inspect(context.Context, structs.Peer) ([]byte, error) { return nil, nil }
func (h *heldAsker) Account(context.Context, structs.Peer) ([]byte, error) { return nil, nil }

func TestRequestsToOwnersAreBounded(t *testing.T) {
	is := is.New(t)
	held := &heldAsker{release: make(chan struct{})}
	a := &peersActor{
		ctx: t.Context(), self: 1, asker: held, log: logging.Discard(),
		inbox: actor.NewInbox[peerMessage](2 * maxPassedOn),
		list:  []structs.Peer{{Incarnation: 2}},
	}
	now := time.Now()
	request := &peer.Request{Job: structs.JobID{Owner: 2, Seq: 1, Expiry: now.UnixMilli()}}
	answers := make(chan outcome, 2*maxPassedOn)
	for range maxPassedOn {
		a.Handle(now, &passedOn{request: request, answer: answers})
	}
	a.Handle(now, &passedOn{request: request, answer: answers})
	refused := <-answers
	is.Equal(refused.refusal.Kind, failure.Overloaded)
	is.Equal(refused.refusal.Run, failure.Unknown)
	close(held.release)
	for range maxPassedOn {
		is.True((<-answers).answer != nil)
	}
	a.Handle(now, askEnded{})
	a.Handle(now, &passedOn{request: request, answer: answers})
	is.True((<-answers).answer != nil)
}
