// Package dispatch implements the decisions of one entry: which jobs are
// accepted, which task goes to which worker and when, and what callers are
// answered.
//
// Core is a pure state machine. Step takes a message and the current time and
// collects effects, which the caller fetches with Effects and carries out. Core
// does no I/O, reads no clock and knows no message encoding. It is not safe for
// concurrent use: one goroutine owns it. The states of jobs, tasks, sessions and
// workers follow the charts job, task, session, health and drain.
package dispatch

import (
	"time"

	"cactuspost.example/internal/burn"
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// ReplyID identifies a request that expects an answer. The owner of the Core
// chooses it, and must use a new one for each message. Zero means that no answer
// is expected.
type ReplyID uint64

// LinkID identifies one connection from an agent. It is never reused.
type LinkID uint64

// Message is an input to Core.Step.
type Message interface{ isMessage() }

// CreateJobs requests IDs for new jobs. The effect is Created or Refused.
type CreateJobs struct {
	Reply   ReplyID
	Team    string
	Service string
	Count   int
}

// SubmitJob submits the tasks of a job. It may be repeated with the same tasks.
// The effect is one Answered (when the job ends if Wait is set, else at once) or
// Refused.
type SubmitJob struct {
	Reply      ReplyID
	Submission structs.Submission
	Wait       bool
}

// RunJob submits a job without an ID, whose caller waits for its end. The effect
// is one Answered when the job ends, or Refused. AbandonReply cancels the job
// unless another caller waits for it too.
type RunJob struct {
	Reply ReplyID
	// Submission has no ID. A RunJob with the Name of an open job is a
	// resubmission of that job.
	Submission structs.Submission
	// MaxWait is how long the caller waits for the answer. It becomes the job's
	// lifetime, from ReceivedAt on.
	MaxWait time.Duration
	// ReceivedAt is when the front end had read the request; zero means now.
	ReceivedAt time.Time
}

// FindNamedJob looks up the open job of a RunJob by its name, and cancels it if
// Cancel is set. The effect is Answered, or Refused with the kind UnknownJob.
type FindNamedJob struct {
	Reply  ReplyID
	Name   string
	Cancel bool
}

// CountWaitingJobs requests the number of a service's jobs that came with RunJob and
// of which no task can have started. The effect is Counted.
type CountWaitingJobs struct {
	Reply   ReplyID
	Service string
}

// AwaitJob requests a job's answer. The effects are those of SubmitJob.
type AwaitJob struct {
	Reply ReplyID
	ID    structs.JobID
	Team  string
	Wait  bool
}

// CancelJob cancels a job. The effect is Answered or Refused.
type CancelJob struct {
	Reply ReplyID
	ID    structs.JobID
	Team  string
}

// AbandonReply ends the wait of a caller: it gets the job's current state as
// Answered at once, unless it was already answered.
type AbandonReply struct {
	Reply ReplyID
	// At is when the front end noticed that the caller has left or waits no longer. It
	// is only logged, and may be zero.
	At time.Time
}

// AgentMessage is a message from an agent, received on a link.
type AgentMessage struct {
	Link    LinkID
	Message *structs.FromAgent
}

// LinkClosed reports that a link has ended, whichever side closed it.
type LinkClosed struct {
	Link LinkID
	// End says what ended the link; it is only logged.
	End LinkEnd
}

// LinkEnd is what ended a link.
type LinkEnd uint8

// The ends of a link. EndedByAgent is the end of the connection: the agent closed it,
// or the network broke it.
const (
	EndedByAgent LinkEnd = iota
	EndedBySilence
	EndedByOverflow
	EndedByBadFrame
	EndedByBadMessage
	EndedByEntry
)

// String returns the end as it is logged.
func (e LinkEnd) String() string {
	return [...]string{"agent", "silence", "overflow", "bad_frame", "bad_message", "entry"}[e]
}

// Suspended reports that the machine of this process was suspended, and its
// monotonic clock with it.
type Suspended struct{}

// Behind reports that messages wait for long before they are handled, among them perhaps
// the news that a caller has disconnected. Nothing is granted until shortly after the last
// report.
type Behind struct{}

// Configure puts a document in force if its revision is higher than that of the
// current one.
type Configure struct{ Document *structs.Document }

// SetPeers replaces the list of entries that is sent to agents.
type SetPeers struct{ Peers []structs.Peer }

// Stop starts the drain. The effect Drained follows when all accepted jobs have
// ended and their answers were delivered.
type Stop struct{}

// Inspect requests a view of the state for operators. The effect is Inspected.
type Inspect struct{ Reply ReplyID }

// Account requests a page of the service level accounts. The effect is Accounted.
type Account struct {
	Reply ReplyID
	// After is the last key of the previous page; the zero key requests the first
	// page.
	After burn.Key
}

func (*CreateJobs) isMessage()       {}
func (*SubmitJob) isMessage()        {}
func (*RunJob) isMessage()           {}
func (*FindNamedJob) isMessage()     {}
func (*CountWaitingJobs) isMessage() {}
func (*AwaitJob) isMessage()         {}
func (*CancelJob) isMessage()        {}
func (*AbandonReply) isMessage()     {}
func (*AgentMessage) isMessage()     {}
func (*LinkClosed) isMessage()       {}
func (*Suspended) isMessage()        {}
func (*Behind) isMessage()           {}
func (*Configure) isMessage()        {}
func (*SetPeers) isMessage()         {}
func (*Stop) isMessage()             {}
func (*Inspect) isMessage()          {}
func (*Account) isMessage()          {}

// Effect is an output of Core, which its owner carries out.
type Effect interface{ isEffect() }

// Created answers CreateJobs.
type Created struct {
	Reply ReplyID
	IDs   []structs.JobID
}

// Answered answers a request with the state of its job.
type Answered struct {
	Reply  ReplyID
	Answer structs.Answer
}

// Counted answers CountWaitingJobs.
type Counted struct {
	Reply ReplyID
	Jobs  int
}

// Refused answers a request that was not carried out.
type Refused struct {
	Reply   ReplyID
	Failure *failure.Failure
}

// Send sends a message to an agent.
type Send struct {
	Link    LinkID
	Message *structs.FromEntry
}

// CloseLink closes a link. LinkClosed follows, as it does when the agent closes
// it.
type CloseLink struct{ Link LinkID }

// RelaxLink reports that no grant is open on a link, so that it needs fewer heartbeats
// until the next grant is sent.
type RelaxLink struct{ Link LinkID }

// LogEvent reports an event for the log.
type LogEvent struct {
	Event    event.ID
	Endpoint string
	Job      structs.JobID
	// Request is the caller's name of the job.
	Request string
	// RequestID is the caller's ID of the request that submitted the job.
	RequestID string
	// Task is the name under which the endpoint knows the task.
	Task   string
	Detail string
	// Fields are what the decision was based on.
	Fields []event.Field
}

// ConfigAdopted reports that a document is in force from now on.
type ConfigAdopted struct {
	Document *structs.Document
	// Replaced is the revision that was in force before, 0 if there was none.
	Replaced uint64
	// Source is the endpoint whose agent sent the document, or empty if it was
	// passed with Configure.
	Source string
}

// Drained reports that the drain is complete.
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

func (*Created) isEffect()       {}
func (*Answered) isEffect()      {}
func (*Counted) isEffect()       {}
func (*Refused) isEffect()       {}
func (*Send) isEffect()          {}
func (*CloseLink) isEffect()     {}
func (*RelaxLink) isEffect()     {}
func (*LogEvent) isEffect()      {}
func (*ConfigAdopted) isEffect() {}
func (*Drained) isEffect()       {}
func (*Inspected) isEffect()     {}
func (*Accounted) isEffect()     {}

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

// Accounts is a page of the service level accounts.
type Accounts struct {
	Entry    structs.Peer
	Revision uint64
	// Objectives are the objectives in the configuration in force, by service.
	Objectives map[string]burn.Objective
	Snapshot   burn.Snapshot
	// More is set if another page follows Snapshot.
	More  bool
	Stats Stats
}

// EndpointView is an entry's view of one endpoint.
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
	// Slowness is the run time relative to the pool's mean; a worker with a value
	// below 1 is faster than the mean.
	Slowness float64 `json:"slowness"`
}
