// Package dispatch decides, for one entry, which jobs are accepted, which task
// goes to which worker and when, and what callers are told.
//
// Core is a pure state machine: Step takes a message and a time and collects
// effects, which the caller fetches with Effects and carries out. It does no
// I/O, reads no clock and knows no encoding. It is not safe for concurrent use:
// one goroutine owns it. The states of jobs, tasks, sessions and workers follow
// the charts job, task, session, health and drain.
package dispatch

import (
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// ReplyID names a caller that waits for an answer. The surroundings choose it,
// and a new one for each message that carries one. Zero means that nobody waits.
type ReplyID uint64

// LinkID names one connection from an agent. It is never used again.
type LinkID uint64

// Message is an input of Core.
type Message interface{ isMessage() }

// CreateJobs asks for ids of new jobs. The effect is Created or Refused.
type CreateJobs struct {
	Reply   ReplyID
	Team    string
	Service string
	Count   int
}

// SubmitJob brings the tasks of a job, once or repeatedly. The effect is one
// Answered (when the job ends if Wait is set, else at once) or Refused.
type SubmitJob struct {
	Reply      ReplyID
	Submission structs.Submission
	Wait       bool
}

// RunJob brings a job of a caller who waits for its end and keeps no id. The
// effect is one Answered when the job ends, or Refused. AbandonReply ends the
// job: nobody else waits for it.
type RunJob struct {
	Reply ReplyID
	// Submission has no ID; its Name tells resubmissions from other jobs.
	Submission structs.Submission
	// Patience is how long the caller waits.
	Patience time.Duration
}

// FindNamed asks for the open job of a RunJob by its name, and ends it if Cancel
// is set. The effect is Answered, or Refused with the kind UnknownJob.
type FindNamed struct {
	Reply  ReplyID
	Name   string
	Cancel bool
}

// CountWaiting asks for the number of a service's jobs of which no task has
// started. The effect is Counted.
type CountWaiting struct {
	Reply   ReplyID
	Service string
}

// AwaitJob asks for a job's answer. The effects are those of SubmitJob.
type AwaitJob struct {
	Reply ReplyID
	ID    structs.JobID
	Team  string
	Wait  bool
}

// CancelJob withdraws a job. The effect is Answered or Refused.
type CancelJob struct {
	Reply ReplyID
	ID    structs.JobID
	Team  string
}

// AbandonReply ends the wait of a caller: it gets the job's present state as
// Answered at once, unless it was answered already.
type AbandonReply struct{ Reply ReplyID }

// AgentMessage is a message that arrived on a link.
type AgentMessage struct {
	Link    LinkID
	Message *structs.FromAgent
}

// LinkClosed says that a link has ended, whichever side ended it.
type LinkClosed struct{ Link LinkID }

// Suspended says that this process's machine stood still, and its steady clock
// with it.
type Suspended struct{}

// Configure puts a document in force if its revision is higher than the one
// that is.
type Configure struct{ Document *structs.Document }

// SetPeers replaces the list of entries that agents are told.
type SetPeers struct{ Peers []structs.Peer }

// Stop begins the planned stop. The effect Drained follows when the last
// accepted job has ended and its answers were handed out.
type Stop struct{}

// Inspect asks for the state for operators. The effect is Inspected.
type Inspect struct{ Reply ReplyID }

// Account asks for a page of the accounts of service levels. The effect is
// Accounted.
type Account struct {
	Reply ReplyID
	// After is the last key of the page before; the zero key begins.
	After burn.Key
}

func (*CreateJobs) isMessage()   {}
func (*SubmitJob) isMessage()    {}
func (*RunJob) isMessage()       {}
func (*FindNamed) isMessage()    {}
func (*CountWaiting) isMessage() {}
func (*AwaitJob) isMessage()     {}
func (*CancelJob) isMessage()    {}
func (*AbandonReply) isMessage() {}
func (*AgentMessage) isMessage() {}
func (*LinkClosed) isMessage()   {}
func (*Suspended) isMessage()    {}
func (*Configure) isMessage()    {}
func (*SetPeers) isMessage()     {}
func (*Stop) isMessage()         {}
func (*Inspect) isMessage()      {}
func (*Account) isMessage()      {}

// Effect is an output of Core.
type Effect interface{ isEffect() }

// Created answers CreateJobs.
type Created struct {
	Reply ReplyID
	IDs   []structs.JobID
}

// Answered tells a caller the state of its job.
type Answered struct {
	Reply  ReplyID
	Answer structs.Answer
}

// Counted answers CountWaiting.
type Counted struct {
	Reply ReplyID
	Jobs  int
}

// Refused tells a caller that its request was not carried out.
type Refused struct {
	Reply   ReplyID
	Failure *failure.Failure
}

// Send puts a message on a link.
type Send struct {
	Link    LinkID
	Message *structs.FromEntry
}

// CloseLink ends a link. LinkClosed follows as for any other end.
type CloseLink struct{ Link LinkID }

// Happened is an event for the log.
type Happened struct {
	Event    event.ID
	Endpoint string
	Job      structs.JobID
	// Request is the caller's name of the job, RequestID that of the request that
	// brought it, Task the endpoint's name of the task.
	Request   string
	RequestID string
	Task      string
	Detail    string
	// Facts are the figures that decided.
	Facts []Fact
}

// Fact is one figure of an event; its name has the unit.
type Fact struct {
	Name  string
	Value int64
}

// Adopted says that a document is in force from now on.
type Adopted struct{ Document *structs.Document }

// Drained says that the planned stop is done.
type Drained struct{}

// Inspected answers Inspect.
type Inspected struct {
	Reply ReplyID
	View  View
}

// Accounted answers Account.
type Accounted struct {
	Reply    ReplyID
	Accounts Accounts
}

func (*Created) isEffect()   {}
func (*Answered) isEffect()  {}
func (*Counted) isEffect()   {}
func (*Refused) isEffect()   {}
func (*Send) isEffect()      {}
func (*CloseLink) isEffect() {}
func (*Happened) isEffect()  {}
func (*Adopted) isEffect()   {}
func (*Drained) isEffect()   {}
func (*Inspected) isEffect() {}
func (*Accounted) isEffect() {}

// View is a copy of the core's state for operators.
type View struct {
	Entry     structs.Peer
	Revision  uint64
	Leaving   bool
	OpenJobs  int
	Waiting   int
	Running   int
	Endpoints []EndpointView
	Stats     Stats
}

// Accounts is a copy of what the core knows of service levels.
type Accounts struct {
	Entry    structs.Peer
	Revision uint64
	// Objectives are those of the configuration in force, by service.
	Objectives map[string]burn.Objective
	Snapshot   burn.Snapshot
	// More says that Snapshot is a page that another one follows.
	More  bool
	Stats Stats
}

// EndpointView is what an entry knows of one endpoint.
type EndpointView struct {
	Endpoint   string              `json:"endpoint"`
	Agent      structs.Incarnation `json:"agent"`
	Pool       string              `json:"pool"`
	DataCentre string              `json:"data_centre"`
	// Session and Health are state names of the charts session and health.
	Session  string `json:"session"`
	Health   string `json:"health"`
	Slots    uint32 `json:"slots"`
	Running  int    `json:"running"`
	Credits  int    `json:"credits"`
	Revision uint64 `json:"revision"`
	// Slowness is the run time relative to the pool's mean; below 1 is faster.
	Slowness float64 `json:"slowness"`
}
