package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cactuspost.example/internal/structs"
)

// newEntries returns the cores of a number of entries that know each other.
func newEntries(count int) []*Core {
	var peers []structs.Peer
	for i := range count {
		peers = append(peers, structs.Peer{Incarnation: structs.Incarnation(1 + i)})
	}
	var cores []*Core
	for i := range count {
		c := New(Options{Self: peers[i], Seed: 1})
		c.Step(time.UnixMilli(1_000_000), &SetPeers{Peers: peers})
		cores = append(cores, c)
	}
	return cores
}

// pushes handles a message and returns the number of documents that the entry then sends.
func pushes(c *Core, now time.Time, m Message) (documents int) {
	if m == nil {
		c.Tick(now)
	} else {
		c.Step(now, m)
	}
	c.Flush(now)
	for _, e := range c.Effects() {
		if send, ok := e.(*Send); ok && send.Message.Config != nil {
			documents++
		}
	}
	return documents
}

// Load pattern: the configuration changes on a site with many entries and agents. Each
// entry used to send the whole document to each agent.
func TestAFewEntriesSendAChangedConfigurationToAnAgent(t *testing.T) {
	is := is.New(t)
	const entries, agents = 55, 40
	cores := newEntries(entries)
	now := time.UnixMilli(1_000_000)
	hello := func(i int) *AgentMessage {
		return &AgentMessage{Link: LinkID(i + 1), Message: &structs.FromAgent{Hello: &structs.Hello{
			Endpoint: fmt.Sprintf("w%d", i), Incarnation: 7, Connection: 1, Session: 1, Pool: "p", Slots: 1,
		}}}
	}
	for _, c := range cores {
		for i := range agents {
			pushes(c, now, hello(i))
		}
	}
	sent := 0
	for _, c := range cores {
		sent += pushes(c, now, &Configure{Document: testDocument()})
	}
	is.Equal(sent, agents*firstPushers)
	// All agents but one have reported the revision: it gets the document from others.
	for _, c := range cores {
		for i := 1; i < agents; i++ {
			pushes(c, now, &AgentMessage{Link: LinkID(i + 1), Message: &structs.FromAgent{Heartbeat: true, Revision: 1}})
		}
	}
	late := 0
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		for _, c := range cores {
			late += pushes(c, now, nil)
		}
	}
	is.Equal(late, entries-firstPushers)
}

func TestAgentWithTheRevisionGetsNoDocumentWhenItConnects(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	c := newEntries(1)[0]
	pushes(c, now, &Configure{Document: testDocument()})
	hello := &structs.Hello{Endpoint: "w", Incarnation: 7, Connection: 1, Session: 1, Pool: "p", Slots: 1}
	is.Equal(pushes(c, now, &AgentMessage{Link: 1, Message: &structs.FromAgent{Hello: hello, Revision: 1}}), 0)
	other := *hello
	other.Endpoint = "v"
	is.Equal(pushes(c, now, &AgentMessage{Link: 2, Message: &structs.FromAgent{Hello: &other}}), 1)
}

func TestAFewEntriesSendAChangedListOfEntriesToAnAgent(t *testing.T) {
	is := is.New(t)
	const entries = 20
	cores := newEntries(entries)
	now := time.UnixMilli(1_000_000)
	initial := cores[0].peers
	peers := append(slices.Clone(initial), structs.Peer{Incarnation: entries + 1})
	lists := 0
	for _, c := range cores {
		c.Step(now, &AgentMessage{Link: 1, Message: &structs.FromAgent{Hello: &structs.Hello{Endpoint: "w", Incarnation: 7, Connection: 1, Session: 1, Pool: "p", Slots: 1}}})
		c.Flush(now)
		is.Equal(c.Effects()[1].(*Send).Message.Peers, initial) // each sends it with the welcome
		c.Step(now, &SetPeers{Peers: peers})
		c.Flush(now)
		for _, e := range c.Effects() {
			if send, ok := e.(*Send); ok && send.Message.Peers != nil {
				lists++
			}
		}
	}
	is.True(lists >= firstPushers-1) // the new entry may be one of them
	is.True(lists <= firstPushers)
}
