package registry

import (
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// Message is an input of Lease.
type Message interface{ isMessage() }

// Tick lets time pass; it is sent at least once a second.
type Tick struct{}

// Written says that the table carried out the last Write or Remove.
type Written struct{ Version uint64 }

// Refused says that the row was not at the expected version.
type Refused struct{}

// Unanswered says that the outcome of the last Write or Remove is unknown.
type Unanswered struct{}

// Unavailable says that the last Write, Read or Remove had no effect.
type Unavailable struct{}

// Found answers a Read with the row.
type Found struct{ Entry Entry }

// Missing answers a Read of a row that is not there.
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

// Write puts this instance's row. The answer is Written, Refused, Unanswered or
// Unavailable.
type Write struct {
	Record   Record
	Expected uint64
}

// Read reads this instance's row. The answer is Found, Missing or Unavailable.
type Read struct{}

// Remove deletes this instance's row, with the answers of Write.
type Remove struct{ Expected uint64 }

// LogEvent is an event for the log.
type LogEvent struct {
	Event  event.ID
	Detail string
}

// CleanUp deletes the row of an instance that ended long ago. No answer is
// needed.
type CleanUp struct{ Entry Entry }

// Publish hands out a new list of instances.
type Publish struct{ Peers []structs.Peer }

// PublishSuperseded hands out a new list of instances whose addresses are served by
// later ones.
type PublishSuperseded struct{ Peers []structs.Peer }

func (Write) isEffect()             {}
func (Read) isEffect()              {}
func (Remove) isEffect()            {}
func (LogEvent) isEffect()          {}
func (CleanUp) isEffect()           {}
func (Publish) isEffect()           {}
func (PublishSuperseded) isEffect() {}
