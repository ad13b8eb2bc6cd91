package registry

import (
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// Message is an input of Lease.
type Message interface{ isMessage() }

// Tick reports that time has passed. It is sent at least once a second.
type Tick struct{}

// Written reports that the table committed the last Write or Remove.
type Written struct{ Version uint64 }

// Refused reports that the row was not at the expected version.
type Refused struct{}

// Unanswered reports that the outcome of the last Write or Remove is unknown.
type Unanswered struct{}

// Unavailable reports that the last Write, Read or Remove failed without effect.
type Unavailable struct{}

// Found answers a Read with the row.
type Found struct{ Entry Entry }

// Missing answers a Read of a row that does not exist.
type Missing struct{}

// Stop begins the planned stop.
type Stop struct{}

func (Tick) isMessage()        {}
func (Written) isMessage()     {}
func (Refused) isMessage()     {}
func (Unanswered) isMessage()  {}
func (Unavailable) isMessage() {}
func (Found) isMessage()       {}
func (Missing) isMessage()     {}
func (Stop) isMessage()        {}

// Effect is an output of Lease or Roster.
type Effect interface{ isEffect() }

// Write writes this instance's row if the row is at version Expected. The answer is
// Written, Refused, Unanswered or Unavailable.
type Write struct {
	Record   Record
	Expected uint64
}

// Read reads this instance's row. The answer is Found, Missing or Unavailable.
type Read struct{}

// Remove deletes this instance's row if the row is at version Expected. It has the
// same answers as Write.
type Remove struct{ Expected uint64 }

// LogEvent reports an event to be logged.
type LogEvent struct {
	Event  event.ID
	Detail string
}

// CleanUp deletes the row of an instance that ended long ago. It needs no answer.
type CleanUp struct{ Entry Entry }

// Publish announces a new list of live instances.
type Publish struct{ Peers []structs.Peer }

// PublishSuperseded announces a new list of instances whose addresses are now
// served by later ones.
type PublishSuperseded struct{ Peers []structs.Peer }

func (Write) isEffect()             {}
func (Read) isEffect()              {}
func (Remove) isEffect()            {}
func (LogEvent) isEffect()          {}
func (CleanUp) isEffect()           {}
func (Publish) isEffect()           {}
func (PublishSuperseded) isEffect() {}
