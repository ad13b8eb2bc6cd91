// Package agent decides, for one endpoint, which entry may use a slot, which
// grants are started, and what is remembered until it is acknowledged.
//
// Core is a pure state machine in the manner of package dispatch: Step takes a
// message and a time and collects effects. One goroutine owns it. The states of
// links, slots and runs follow the charts link, slot, run and drain.
package agent

import (
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// LinkID names one attempt to connect to an entry. Core chooses it and never
// uses it again.
type LinkID uint64

// Message is an input of Core.
type Message interface{ isMessage() }

// LinkOpened says that the connection asked for by Dial is open.
type LinkOpened struct{ Link LinkID }

// LinkClosed says that a connection could not be opened or has ended.
type LinkClosed struct{ Link LinkID }

// EntryMessage is a message that arrived on a link.
type EntryMessage struct {
	Link    LinkID
	Message *structs.FromEntry
}

// TaskExited says that a task started by StartTask has ended. It follows every
// StartTask exactly once, also after StopTask.
type TaskExited struct {
	Grant   structs.GrantID
	Outcome structs.Outcome
	Payload []byte
	RunTime time.Duration
	// Full is set with NotSent if the endpoint had no room for the task.
	Full bool
}

// EndpointChanged says whether the endpoint accepts connections. While it does
// not, no credits are offered. The initial assumption is that it does not.
type EndpointChanged struct{ Up bool }

// EntriesFound brings the list of entries that FindEntries asked for.
type EntriesFound struct{ Peers []structs.Peer }

// Suspended says that this process's machine stood still, and its steady clock
// with it: entries may have granted elsewhere what still waits to be read here.
type Suspended struct{}

// Stop begins the planned stop: the endpoint takes no more grants. The effect
// Drained follows when every started task has ended and every result was
// acknowledged, or its entry is gone.
type Stop struct{}

// Inspect asks for the state for operators. The effect is Inspected.
type Inspect struct{ Reply uint64 }

func (*LinkOpened) isMessage()      {}
func (*LinkClosed) isMessage()      {}
func (*EntryMessage) isMessage()    {}
func (*TaskExited) isMessage()      {}
func (*EndpointChanged) isMessage() {}
func (*Stop) isMessage()            {}
func (*Suspended) isMessage()       {}
func (*EntriesFound) isMessage()    {}
func (*Inspect) isMessage()         {}

// Effect is an output of Core.
type Effect interface{ isEffect() }

// Dial asks for a connection; LinkOpened or LinkClosed follows.
type Dial struct {
	Link    LinkID
	Address string
}

// CloseLink ends a connection; LinkClosed follows.
type CloseLink struct{ Link LinkID }

// Send puts a message on a link.
type Send struct {
	Link    LinkID
	Message *structs.FromAgent
}

// StartTask hands a task to the endpoint. TaskExited follows.
type StartTask struct{ Grant structs.Grant }

// StopTask cuts a task off at the endpoint. TaskExited follows.
type StopTask struct{ Grant structs.GrantID }

// Happened is an event for the log.
type Happened struct {
	Event event.ID
	Entry string
	Grant structs.GrantID
	// Task is the endpoint's name of the grant's task, Waited how long the grant
	// has waited here; both are set for a start only.
	Task   string
	Waited time.Duration
	Detail string
}

// FindEntries asks for the list of entries from elsewhere: none of those that the
// agent knows is reached. EntriesFound follows if there is a list.
type FindEntries struct{}

// Drained says that the planned stop is done.
type Drained struct{}

// Inspected answers Inspect.
type Inspected struct {
	Reply uint64
	View  View
}

func (*Dial) isEffect()        {}
func (*CloseLink) isEffect()   {}
func (*Send) isEffect()        {}
func (*StartTask) isEffect()   {}
func (*StopTask) isEffect()    {}
func (*Happened) isEffect()    {}
func (*FindEntries) isEffect() {}
func (*Drained) isEffect()     {}
func (*Inspected) isEffect()   {}

// View is a copy of the core's state for operators.
type View struct {
	Endpoint string `json:"endpoint"`
	Leaving  bool   `json:"leaving"`
	Revision uint64 `json:"revision"`
	Slots    int    `json:"slots"`
	Free     int    `json:"free"`
	Offered  int    `json:"offered"`
	Busy     int    `json:"busy"`
	// Unacked counts results that no entry has acknowledged yet.
	Unacked int        `json:"unacked"`
	Links   []LinkView `json:"links"`
	// Started counts tasks handed to the endpoint, Refused grants that were not.
	Started uint64 `json:"started"`
	Refused uint64 `json:"refused"`
}

// LinkView is the agent's connection to one entry.
type LinkView struct {
	Address     string              `json:"address"`
	Entry       structs.Incarnation `json:"entry"`
	State       string              `json:"state"`
	Credits     int                 `json:"credits"`
	Outstanding int                 `json:"outstanding"`
}
