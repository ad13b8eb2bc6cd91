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

// createJob creates a job at an entry and returns the path of the job.
func createJob(is *is.I, d *Daemon) string {
	is.Helper()
	var created api.CreateAnswer
	r := mustSendRequest(is, d, "POST", "/v1/jobs", callerToken, `{"service":"recession"}`)
	is.NoErr(api.DecodeLenient(r.body, &created))
	return "/v1/jobs/" + created.IDs[0]
}

func TestRequestIsForwardedToTheOwner(t *testing.T) {
	is := is.New(t)
	owner, other := startEntry(t, testConfig()), startEntry(t, testConfig())
	other.SetPeers([]structs.Peer{other.Self(), owner.Self()})
	agent := connectAgent(t, owner)
	path := createJob(is, owner)
	done := sendAsync(other, "PUT", path+"?wait_ms=60000", callerToken, oneTask)
	agent.sendResult(agent.awaitGrant(), "from the owner")
	is.Equal((<-done).job(is).Results, [][]byte{[]byte("from the owner")})
	is.True(mustSendRequest(is, other, "GET", path, callerToken, "").job(is).Complete())
	is.Equal(mustSendRequest(is, other, "GET", path, otherToken, "").failure(is).Kind, failure.Forbidden)
	is.Equal(mustSendRequest(is, other, "PUT", path, callerToken, `{"service":"recession","tasks":[{"kind":"k"}]}`).failure(is).Kind, failure.Conflict)
	path = createJob(is, owner)
	cancelled := mustSendRequest(is, other, "DELETE", path, callerToken, "").job(is)
	is.Equal(cancelled.Failure.Kind, failure.Cancelled)
	is.Equal(cancelled.Failure.Run, failure.NotRun)
}

// An entry that is asked about a job that it does not own answers with its own
// incarnation only. Forwarding the request again could form a loop.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	is := is.New(t)
	owner, other := startEntry(t, testConfig()), startEntry(t, testConfig())
	other.SetPeers([]structs.Peer{owner.Self()})
	id, err := structs.ParseJobID(createJob(is, owner)[len(api.JobPathPrefix):])
	is.NoErr(err)
	client := peer.NewClient()
	defer client.Close()
	r, err := client.Ask(t.Context(), other.Self().PeerAddress, &peer.Request{Job: id, Team: "rivage"})
	is.NoErr(err)
	is.Equal(r, &peer.Response{Incarnation: other.Self().Incarnation})
}

// The owner of a job may have run its tasks before it was lost, so no answer of
// another entry may say that they were not run.
func TestRequestsForALostOwner(t *testing.T) {
	events, log := recordEvents()
	config := testConfig()
	config.Log = log
	d, successor := startEntry(t, config), startEntry(t, testConfig())
	const lost structs.Incarnation = 77
	unreachable := successor.Self().HTTPAddress // serves HTTP, but not the peer protocol
	path := func(expiry time.Time) string {
		return api.JobPathPrefix + structs.JobID{Owner: lost, Seq: 3, Expiry: expiry.UnixMilli()}.String()
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
				r := mustSendRequest(is, d, method, path(c.expiry), callerToken, oneTask)
				reported := &api.FailureJSON{}
				if c.refused {
					reported = r.failure(is)
					is.True(r.header.Get(api.RetryAfterHeader) != "")
				} else {
					reported = r.job(is).Failure
				}
				is.Equal(reported.Kind, c.kind)
				is.Equal(reported.Run, failure.Unknown) // never "not run"
				if c.logged != 0 {
					events.awaitEvent(c.logged)
				}
			}
		})
	}
}

// blockingClient answers requests only after release is closed.
type blockingClient struct{ release chan struct{} }

func (c *blockingClient) Ask(ctx context.Context, _ string, r *peer.Request) (*peer.Response, error) {
	<-c.release
	return &peer.Response{Incarnation: r.Job.Owner, Answer: &structs.Answer{ID: r.Job}}, nil
}

func (c *blockingClient) Inspect(context.Context, structs.Peer) ([]byte, error) { return nil, nil }
func (c *blockingClient) Account(context.Context, structs.Peer) ([]byte, error) { return nil, nil }

// At maxForwarded requests in progress a further request is refused as overloaded.
// Its run status is unknown, because the job may have run.
func TestForwardedRequestsAreLimited(t *testing.T) {
	is := is.New(t)
	client := &blockingClient{release: make(chan struct{})}
	a := &peersActor{
		ctx: t.Context(), self: 1, client: client, log: logging.Discard(),
		inbox:   actor.NewInbox[peerMessage](2 * maxForwarded),
		entries: []structs.Peer{{Incarnation: 2}},
	}
	now := time.Now()
	request := &peer.Request{Job: structs.JobID{Owner: 2, Seq: 1, Expiry: now.UnixMilli()}}
	answers := make(chan requestResult, 2*maxForwarded)
	for range maxForwarded {
		a.Handle(now, &forwardedRequest{request: request, answer: answers})
	}
	a.Handle(now, &forwardedRequest{request: request, answer: answers})
	refused := <-answers
	is.Equal(refused.refusal.Kind, failure.Overloaded)
	is.Equal(refused.refusal.Run, failure.Unknown)
	close(client.release)
	for range maxForwarded {
		is.True((<-answers).answer != nil)
	}
	a.Handle(now, forwardingDone{})
	a.Handle(now, &forwardedRequest{request: request, answer: answers})
	is.True((<-answers).answer != nil)
}
