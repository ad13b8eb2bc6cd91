// Package agent makes the decisions of the agent of one endpoint: which entry
// gets a credit for a slot, which grants are started, and which results are kept
// until they are acknowledged.
//
// Like the core of package dispatch, Core is a pure state machine that does no I/O
// and reads no clock: Step takes a message and a time and collects effects, which
// the caller carries out. One goroutine owns a Core. Links, slots, runs and the
// planned stop follow the state charts link, slot, run and drain.
package agent

import (
	"time"

	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// LinkID identifies one attempt to connect to an entry and the connection that
// it opens. Core assigns it and never reuses it.
type LinkID uint64

// Message is an input to Core.Step.
type Message interface{ isMessage() }

// LinkOpened reports that the connection requested by Dial is open.
type LinkOpened struct{ Link LinkID }

// LinkClosed reports that a connection could not be opened or was closed.
type LinkClosed struct{ Link LinkID }

// EntryMessage is a message that arrived on a link.
type EntryMessage struct {
	Link    LinkID
	Message *structs.FromEntry
}

// TaskExited reports that a task started by StartTask has ended. It follows every
// StartTask exactly once, also after StopTask.
type TaskExited struct {
	Grant   structs.GrantID
	Outcome structs.Outcome
	Payload []byte
	RunTime time.Duration
	// Full is set with the outcome NotSent if the endpoint refused the task for
	// lack of capacity.
	Full bool
	// WorkerCrashed is set with the outcome Lost if the worker's process ended during
	// the run.
	WorkerCrashed bool
}

// EndpointChanged reports whether the endpoint accepts connections. While it does
// not, no credits are offered. Core starts with the endpoint down.
type EndpointChanged struct {
	Up bool
	// Tenure is the agent's at the endpoint, set with Up.
	Tenure structs.Tenure
}

// CapacityChanged reports the endpoint's present capacity, which may shrink and grow
// while tasks run.
type CapacityChanged struct{ Capacity structs.Needs }

// EntriesFound answers FindEntries with the list of entries.
type EntriesFound struct{ Peers []structs.Peer }

// Suspended reports that the machine was suspended. Its monotonic clock stopped
// too, so Core can't detect the pause itself. Entries may have granted to other
// agents the tasks whose grants are still unread here.
type Suspended struct{}

// Stop begins the planned stop: the agent accepts no more grants. The effect
// Drained follows when every started task has ended, every result was
// acknowledged or dropped because its entry was considered gone, and every
// connected entry has released the agent.
type Stop struct{}

// Inspect requests a view of the state for operators. The effect is Inspected.
type Inspect struct{ Reply uint64 }

func (*LinkOpened) isMessage()      {}
func (*LinkClosed) isMessage()      {}
func (*EntryMessage) isMessage()    {}
func (*TaskExited) isMessage()      {}
func (*EndpointChanged) isMessage() {}
func (*CapacityChanged) isMessage() {}
func (*Stop) isMessage()            {}
func (*Suspended) isMessage()       {}
func (*EntriesFound) isMessage()    {}
func (*Inspect) isMessage()         {}

// Effect is an output of Core.
type Effect interface{ isEffect() }

// Dial opens a connection to an entry. LinkOpened or LinkClosed follows.
type Dial struct {
	Link    LinkID
	Address string
}

// CloseLink closes a connection. The LinkClosed that follows is ignored.
type CloseLink struct{ Link LinkID }

// Send sends a message on a link.
type Send struct {
	Link    LinkID
	Message *structs.FromAgent
}

// StartTask hands a task to the endpoint. TaskExited follows.
type StartTask struct{ Grant structs.Grant }

// StopTask stops a task at the endpoint before it has ended. TaskExited follows.
type StopTask struct{ Grant structs.GrantID }

// BoundRuns reports the time by which every run at the endpoint must have ended unless a
// later BoundRuns extends it, whatever becomes of the agent. The zero time means that
// there is none.
type BoundRuns struct{ At time.Time }

// LogEvent reports an event for the log.
type LogEvent struct {
	Event event.ID
	Entry string
	Grant structs.GrantID
	// Task is the grant's name for its task and Waited how long the grant was
	// queued here. Both are set only when a queued grant starts.
	Task   string
	Waited time.Duration
	Detail string
	// Fields are what the decision was based on.
	Fields []event.Field
}

// FindEntries asks the caller to look up the list of entries, since the agent
// reaches none of those that it knows. EntriesFound follows if there is a list.
type FindEntries struct{}

// Drained reports that the planned stop is complete.
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
func (*BoundRuns) isEffect()   {}
func (*LogEvent) isEffect()    {}
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
	// Unacked counts the results that are kept until an entry acknowledges them.
	Unacked int        `json:"unacked"`
	Links   []LinkView `json:"links"`
	// Started counts tasks handed to the endpoint, Refused grants that did not
	// start a task.
	Started uint64 `json:"started"`
	Refused uint64 `json:"refused"`
}

// LinkView is a copy of the state of the link to one entry, for operators.
type LinkView struct {
	Address     string              `json:"address"`
	Entry       structs.Incarnation `json:"entry"`
	State       string              `json:"state"`
	Credits     int                 `json:"credits"`
	Outstanding int                 `json:"outstanding"`
}
