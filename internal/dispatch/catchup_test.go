package dispatch

import (
	"testing"
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// takeAsked returns the links on which the configuration was asked for since the
// last call, in order, and drops all effects collected so far.
func (h *harness) takeAsked() []LinkID {
	var asked []LinkID
	for _, e := range h.effects {
		if send, ok := e.(*Send); ok && send.Message.ConfigWanted {
			asked = append(asked, send.Link)
		}
	}
	h.effects = nil
	return asked
}

func (h *harness) reportRevision(link LinkID, revision uint64) {
	h.step(&AgentMessage{Link: link, Message: &structs.FromAgent{Heartbeat: true, Revision: revision}})
}

func newerDocument(revision uint64) *structs.Document {
	doc := *testDocument()
	doc.Revision = revision
	return &doc
}

func TestAgentsAreNotAskedIfTheOwnSourceDeliversTheRevision(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	h.reportRevision(1, 2)
	h.advance(catchUpWait / 2)
	h.step(&Configure{Document: newerDocument(2)})
	h.advance(5 * time.Second)
	h.Equal(len(h.takeAsked()), 0)
}

func TestOneAgentAtATimeIsAskedForTheConfiguration(t *testing.T) {
	h := newConfiguredHarness(t)
	for link := LinkID(1); link <= 3; link++ {
		h.connectWorker(link, 1)
	}
	h.reportRevision(2, 2)
	h.reportRevision(3, 2)
	h.advance(catchUpWait + 150*time.Millisecond)
	first := h.takeAsked()
	h.Equal(len(first), 1)
	h.advance(askTimeout + 150*time.Millisecond)
	second := h.takeAsked()
	h.Equal(len(second), 1)
	h.True(first[0] != second[0]) // the first one has not answered
	h.True(first[0] != 1 && second[0] != 1)

	h.step(&AgentMessage{Link: second[0], Message: &structs.FromAgent{Config: newerDocument(2), Revision: 2}})
	adopted := lastEffect[*ConfigAdopted](h)
	h.Equal(adopted.Document.Revision, uint64(2))
	h.Equal(adopted.Replaced, uint64(1))
	h.Equal(adopted.Source, h.core.links[second[0]].endpoint)
	h.advance(5 * time.Second)
	h.Equal(len(h.takeAsked()), 0)
}

func TestEntryStopsAskingWhenTheAgentWithTheRevisionIsGone(t *testing.T) {
	h := newConfiguredHarness(t)
	h.connectWorker(1, 1)
	h.reportRevision(1, 2)
	h.step(&LinkClosed{Link: 1})
	h.advance(5 * time.Second)
	h.Equal(len(h.takeAsked()), 0)
	h.connectWorker(2, 1)
	h.reportRevision(2, 2)
	h.advance(catchUpWait + 150*time.Millisecond)
	logged := false
	for _, e := range h.effects {
		if l, ok := e.(*LogEvent); ok && l.Event == event.ConfigurationBehind {
			logged = l.Endpoint == "w2"
		}
	}
	h.True(logged)
	h.Equal(h.takeAsked(), []LinkID{2})
}
