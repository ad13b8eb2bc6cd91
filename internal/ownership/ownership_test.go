package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

const (
	self  structs.Incarnation = 1
	other structs.Incarnation = 2
)

var (
	now   = time.UnixMilli(1_000_000)
	owner = structs.Peer{Name: "b", Incarnation: other, PeerAddress: "127.0.0.1:1"}
)

func idOf(owner structs.Incarnation, expiry time.Time) structs.JobID {
	return structs.JobID{Owner: owner, Seq: 7, Expiry: expiry.UnixMilli()}
}

func TestLocate(t *testing.T) {
	past := now.Add(-ExpiryMargin - time.Millisecond)
	edge := now.Add(-ExpiryMargin)
	listed := []structs.Peer{{Name: "c", Incarnation: 3}, owner}
	cases := map[string]struct {
		id    structs.JobID
		peers []structs.Peer
		want  Verdict
		kind  failure.Kind
		run   failure.Run
		retry time.Duration
	}{
		"own":                       {id: idOf(self, now), want: Local},
		"own, expired":              {id: idOf(self, past), want: Local},
		"never issued":              {id: idOf(0, now), peers: listed, want: Refused, kind: failure.UnknownJob, run: failure.NotRun},
		"listed":                    {id: idOf(other, now), peers: listed, want: Ask},
		"listed, expired in margin": {id: idOf(other, edge), peers: listed, want: Ask},
		"listed, expired":           {id: idOf(other, past), peers: listed, want: Failed, kind: failure.Expired, run: failure.Unknown},
		"unlisted":                  {id: idOf(other, now), want: Refused, kind: failure.Unavailable, run: failure.Unknown, retry: RetryAfter},
		"unlisted in margin":        {id: idOf(other, edge), want: Refused, kind: failure.Unavailable, run: failure.Unknown, retry: RetryAfter},
		"unlisted, expired":         {id: idOf(other, past), want: Failed, kind: failure.Expired, run: failure.Unknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := Locate(self, c.id, now, c.peers)
			is.Equal(got.Verdict, c.want)
			if c.want == Ask {
				is.Equal(got.Peer, owner)
			}
			if c.want == Failed || c.want == Refused {
				is.Equal(got.Failure.Kind, c.kind)
				is.Equal(got.Failure.Run, c.run)
				is.Equal(got.Failure.RetryAfter, c.retry)
			}
		})
	}
}

func TestDecideUnanswered(t *testing.T) {
	is := is.New(t)
	replaced := DecideUnanswered(OtherIncarnation)
	is.Equal(replaced.Verdict, Failed)
	is.Equal(replaced.Failure.Kind, failure.OwnerLost)
	is.Equal(replaced.Failure.Run, failure.Unknown)
	unreachable := DecideUnanswered(Unreachable)
	is.Equal(unreachable.Verdict, Refused) // the owner may still complete the job
	is.Equal(unreachable.Failure.Kind, failure.Unavailable)
	is.Equal(unreachable.Failure.Run, failure.Unknown)
	is.Equal(unreachable.Failure.RetryAfter, RetryAfter)
}
