package wire

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

var grantID = structs.GrantID{Owner: 7, Job: 9, Task: 3, Attempt: 2}

func TestFromAgentRoundTrip(t *testing.T) {
	is := is.New(t)
	want := &structs.FromAgent{
		Hello: &structs.Hello{Endpoint: "w1", Incarnation: 5, Tenure: structs.Tenure{Born: 15, Token: 16}, Pool: "p", DataCentre: "Matane", Slots: 8,
			Capacity: structs.Needs{Cores: 16, MemoryMB: 32, Accelerators: 1}, Held: []structs.GrantID{grantID}, Leaving: true, Connection: 12, Session: 13, Paced: true},
		Results:  []structs.Result{{Grant: grantID, Outcome: structs.Errored, Payload: []byte("x"), RunTime: time.Millisecond}},
		Refusals: []structs.Refusal{{Grant: grantID, Reason: structs.BufferFull}},
		Revoked:  structs.Credits{Any: 1}, Offered: structs.Credits{Short: 2},
		Idle: 4, Leaving: true, Revision: 11, Heartbeat: true, Config: &structs.Document{Revision: 11}, Sent: 14, Waiting: 5, Busy: true,
	}
	frame, err := AppendFromAgent(nil, want)
	is.NoErr(err)
	n, err := FrameLength(frame)
	is.NoErr(err)
	is.Equal(n, len(frame)-HeaderBytes)
	got, err := DecodeFromAgent(frame[HeaderBytes:])
	is.NoErr(err)
	is.Equal(got, want)
}

func TestFromEntryRoundTrip(t *testing.T) {
	is := is.New(t)
	peer := structs.Peer{Name: "e1", Incarnation: 3, DataCentre: "Kochi", LinkAddress: "a", PeerAddress: "b", HTTPAddress: "c"}
	want := &structs.FromEntry{
		Welcome: &structs.Welcome{Entry: peer, Revision: 6, Paced: true}, Acks: []structs.GrantID{grantID}, Cancels: []structs.GrantID{grantID},
		Grants: []structs.Grant{{ID: grantID, Service: "s", Kind: "k", Long: true, Reserved: true, Limit: time.Second, Payload: []byte("y"), Queued: true, NoWait: true}},
		Demand: &structs.Demand{Short: 1, Long: 2, HeadAge: time.Millisecond},
		Config: &structs.Document{Revision: 4, Services: map[string]structs.Service{"s": {Pool: "p"}}},
		Peers:  []structs.Peer{peer}, Heartbeat: true, Leaving: true, Released: true, Seen: 15, Handled: 14, ConfigWanted: true,
	}
	frame, err := AppendFromEntry(nil, want)
	is.NoErr(err)
	got, err := DecodeFromEntry(frame[HeaderBytes:])
	is.NoErr(err)
	is.Equal(got, want)
}

func TestMalformedFramesReturnTypedFailures(t *testing.T) {
	is := is.New(t)
	_, err := FrameLength([]byte{0xff, 0, 0, 0})
	is.Equal(failure.Of(err).Kind, failure.TooLarge)
	_, err = DecodeFromAgent([]byte{0xff, 0xff})
	is.Equal(failure.Of(err).Kind, failure.Invalid)
	_, err = DecodeFromEntry([]byte{0xff, 0xff})
	is.Equal(failure.Of(err).Kind, failure.Invalid)
}

func FuzzDecodeFromAgent(f *testing.F) {
	frame, _ := AppendFromAgent(nil, &structs.FromAgent{Results: []structs.Result{{Grant: grantID}}})
	f.Add(frame[HeaderBytes:])
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := DecodeFromAgent(body)
		if err != nil {
			return
		}
		if _, err := AppendFromAgent(nil, m); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeFromEntry(f *testing.F) {
	frame, _ := AppendFromEntry(nil, &structs.FromEntry{Grants: []structs.Grant{{ID: grantID}}})
	f.Add(frame[HeaderBytes:])
	f.Fuzz(func(t *testing.T, body []byte) {
		m, err := DecodeFromEntry(body)
		if err != nil {
			return
		}
		if _, err := AppendFromEntry(nil, m); err != nil {
			t.Fatal(err)
		}
	})
}
