package structs

import "time"

// FromAgent is one message from an agent to an entry. Its parts are handled in
// the order of the fields.
type FromAgent struct {
	Hello    *Hello
	Results  []Result
	Refusals []Refusal
	// Started lists queued grants that have started.
	Started []GrantID
	// Revoked takes back credits that the entry may still hold.
	Revoked Credits
	// Offered adds credits: each lets the entry send one grant.
	Offered Credits
	// Idle is the number of credits that other entries hold unused.
	Idle uint32
	// Leaving says that the agent takes no more grants.
	Leaving bool
	// Revision is the configuration revision in force at the agent.
	Revision uint64
	// Config is sent to an entry that knows a lower revision than the agent.
	Config *Document
	// Heartbeat is set on messages that only show that the agent lives.
	Heartbeat bool
}

// Hello opens a link. It is the first message of each connection.
type Hello struct {
	// Endpoint is the name of the endpoint beside the agent.
	Endpoint    string
	Incarnation Incarnation
	// Connection rises with each attempt of the agent to connect: a hello that
	// is overtaken by a later one is told by it.
	Connection uint64
	// Session is the Connection at which the agent's present memory of the
	// entry's grants began. An agent that dropped results of the entry begins a
	// new session: it can no longer say which grants never started.
	Session    uint64
	Pool       string
	DataCentre string
	Slots      uint32
	Capacity   Needs
	// Divided says that the slots are equal shares of the capacity, so that a
	// task takes as many as its needs ask for; else each task takes one.
	Divided bool
	// Held lists the grants of this entry that the agent has started and whose
	// results are not acknowledged. A grant that is not listed was not started
	// and never will be.
	Held []GrantID
	// Leaving is set when the agent already takes no grants.
	Leaving bool
}

// Credits counts the grants that an entry may send, by what they may carry.
type Credits struct {
	// Any may carry every task.
	Any uint32
	// Short may carry only tasks of short kinds.
	Short uint32
}

// Total returns the sum over both classes.
func (c Credits) Total() uint32 { return c.Any + c.Short }

// Result reports the end of a started task.
type Result struct {
	Grant   GrantID
	Outcome Outcome
	Payload []byte
	// RunTime is measured by the agent.
	RunTime time.Duration
}

// RefusalReason says why an agent did not start a granted task.
type RefusalReason uint8

// The reasons of an agent.
const (
	// NoCredit means that the credit was revoked while the grant was under way.
	NoCredit RefusalReason = iota
	// AgentLeaving means that the endpoint is leaving.
	AgentLeaving
	// BufferFull means that too many results wait for acknowledgement.
	BufferFull
	// EndpointDown means that the endpoint accepts no connection.
	EndpointDown
	// EndpointUnreached means that the grant used its credit, but the endpoint
	// could not be reached and nothing was sent to it.
	EndpointUnreached
	// QueueFull means that too many grants wait at the agent already.
	QueueFull
	// EndpointFull means that the grant used its credit, but the endpoint has no
	// room for the task at the moment.
	EndpointFull
)

// Refusal says that a grant was not started and never will be.
type Refusal struct {
	Grant  GrantID
	Reason RefusalReason
}

// FromEntry is one message from an entry to an agent. Its parts are handled in
// the order of the fields.
type FromEntry struct {
	Welcome *Welcome
	// Acks lists grants whose results were received.
	Acks   []GrantID
	Grants []Grant
	// Cancels lists grants whose tasks should stop, also of this message.
	Cancels []GrantID
	// Demand replaces the entry's demand at the agent.
	Demand *Demand
	// Config replaces the configuration if its revision is higher.
	Config *Document
	// Peers replaces the list of entries.
	Peers []Peer
	// Released tells a leaving agent that the entry holds no grant there and
	// will send none.
	Released bool
	// Heartbeat is set on messages that only show that the entry lives.
	Heartbeat bool
	// Leaving says that the entry takes no new jobs and closes the link when
	// those that it accepted have ended. It gives back its unused credits, and
	// its demand says what it still needs.
	Leaving bool
}

// Welcome answers a Hello.
type Welcome struct {
	Entry Peer
	// Revision is the configuration revision that the entry knows; zero is none.
	Revision uint64
}

// Grant hands one task to the agent.
type Grant struct {
	ID      GrantID
	Service string
	Kind    string
	// Long is set for tasks of long kinds, which may not use the short reserve.
	Long bool
	// Reserved says that the grant uses a Short credit; otherwise it uses an Any
	// credit. Both sides count the classes apart, so the grant has to name it.
	Reserved bool
	// Slots is the number of credits that the grant uses; zero means one.
	Slots uint32
	// Queued says that the grant uses no credit: it waits at the agent for its
	// slots. StartWithin is how long it may wait for the job's objective; it is
	// negative if that can't be met any more.
	Queued      bool
	StartWithin time.Duration
	// Name is what the endpoint knows the task by; it may be empty.
	Name string
	// Limit bounds the run time.
	Limit   time.Duration
	Payload []byte
}

// Credits returns the number of credits that the grant uses.
func (g *Grant) Credits() int { return int(max(1, g.Slots)) }

// Demand tells an agent how many tasks wait at the entry for it.
type Demand struct {
	Short uint32
	Long  uint32
	// HeadAge is how long the next task has waited.
	HeadAge time.Duration
}
