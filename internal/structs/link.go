package structs

import "time"

// Stamp is a time on the agent's own clock, see Clock. Zero means none.
type Stamp uint64

// Clock converts between times and stamps, which count milliseconds from the start
// of the clock and rise with the time.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts at the given time.
func NewClock(start time.Time) Clock { return Clock{start: start} }

// Stamp returns the stamp of a time, rounded down. It is never zero.
func (c Clock) Stamp(t time.Time) Stamp { return Stamp(max(0, t.Sub(c.start).Milliseconds()) + 1) }

// Time returns the time of a stamp that is not zero.
func (c Clock) Time(s Stamp) time.Time {
	return c.start.Add(time.Duration(s-1) * time.Millisecond)
}

// FromAgent is a message from an agent to an entry. The entry processes its parts
// in the order of the fields.
type FromAgent struct {
	Hello    *Hello
	Results  []Result
	Refusals []Refusal
	// Started lists grants that waited at the agent and have now started.
	Started []GrantID
	// Revoked withdraws credits. The entry may have used some of them already.
	Revoked Credits
	// Offered adds credits. A grant uses one for each slot that its task takes.
	Offered Credits
	// Idle is the number of slots that a grant without a credit of the entry could
	// take at once: free ones, and those whose credits other entries hold unused.
	Idle uint32
	// Waiting is the number of slots that the grants queued at the agent need.
	Waiting uint32
	// Busy is set while the agent holds a grant of the entry that has not ended.
	Busy bool
	// Leaving means that the agent accepts no more grants.
	Leaving bool
	// Revision is the configuration revision in force at the agent.
	Revision uint64
	// Config is set when the entry has a lower revision than the agent at the start of
	// the link, or has asked for it.
	Config *Document
	// Heartbeat is set on messages that are sent only to show that the agent is
	// alive.
	Heartbeat bool
	// Sent is when the message was queued for writing.
	Sent Stamp
}

// Hello identifies the agent. It is the first message on each connection.
type Hello struct {
	// Endpoint is the name of the endpoint that the agent serves.
	Endpoint    string
	Incarnation Incarnation
	// Tenure orders the agent among those of the endpoint.
	Tenure Tenure
	// Connection increases with each connection attempt of the agent. The entry
	// uses it to recognise a hello that arrives after a more recent one.
	Connection uint64
	// Session is the value of Connection at which the agent began to keep the
	// entry's grants that it has now. An agent that has discarded results for the
	// entry begins a new session, since it can no longer tell which grants never
	// started.
	Session    uint64
	Pool       string
	DataCentre string
	Slots      uint32
	Capacity   Needs
	// Divided means that the slots are equal shares of the capacity, so that a
	// task takes as many slots as its needs require. Otherwise each task takes one.
	Divided bool
	// Paced is set if the agent sends heartbeats less often while it is not busy for
	// the entry.
	Paced bool
	// Held lists the grants of this entry that the agent has started and whose
	// results the entry has not acknowledged. A grant that is not listed was not
	// started and never will be.
	Held []GrantID
	// Leaving is set when the agent no longer accepts grants.
	Leaving bool
}

// Tenure orders the agents of one endpoint. It is zero if the endpoint knows no fencing
// tokens.
type Tenure struct {
	// Born is the time of the worker's start in Unix milliseconds. The worker that takes
	// the place of another one has a later start.
	Born int64
	// Token is the agent's fencing token at the worker, which is higher than that of every
	// agent before it there. It says nothing of those at another worker.
	Token uint64
}

// Precedes reports whether an agent with this tenure was succeeded by one with the other.
func (t Tenure) Precedes(other Tenure) bool {
	if t.Token == 0 || other.Token == 0 {
		return false
	}
	return t.Born < other.Born || (t.Born == other.Born && t.Token < other.Token)
}

// Credits is the number of an agent's slots that an entry may fill by sending
// grants, by the class of tasks that they allow.
type Credits struct {
	// Any is the number of credits that allow every task.
	Any uint32
	// Short is the number of credits that allow only tasks of short kinds.
	Short uint32
}

// Total returns the sum of both classes.
func (c Credits) Total() uint32 { return c.Any + c.Short }

// Result reports how a started task ended.
type Result struct {
	Grant   GrantID
	Outcome Outcome
	Payload []byte
	// RunTime is the run time as measured by the agent.
	RunTime time.Duration
	// WorkerCrashed is set with the outcome Lost if the worker executed the run and its
	// process ended meanwhile, whatever made it end.
	WorkerCrashed bool
}

// RefusalReason is the reason why an agent did not start a granted task.
type RefusalReason uint8

// The reasons for a refusal.
const (
	// NoCredit means that the agent revoked the credit while the grant was in
	// transit.
	NoCredit RefusalReason = iota
	// AgentLeaving means that the agent accepts no more grants because it is
	// stopping.
	AgentLeaving
	// BufferFull means that the agent holds too many unacknowledged results.
	BufferFull
	// EndpointDown means that the endpoint is not available.
	EndpointDown
	// EndpointUnreachable means that the agent accepted the grant and its credit, but
	// could not reach the endpoint and sent nothing to it.
	EndpointUnreachable
	// QueueFull means that the agent's queue of waiting grants is full.
	QueueFull
	// EndpointFull means that the agent accepted the grant and its credit, but the
	// endpoint has no capacity for the task at the moment.
	EndpointFull
	// NoRoom means that a grant that must not wait could not start at once.
	NoRoom
	// Unconfirmed means that the entry may have sent the grant too long ago: it has
	// not confirmed a recent message of the agent.
	Unconfirmed
)

// Refusal reports that a grant was not started and never will be.
type Refusal struct {
	Grant  GrantID
	Reason RefusalReason
}

// FromEntry is a message from an entry to an agent. The agent processes its parts
// in the order of the fields.
type FromEntry struct {
	Welcome *Welcome
	// Acks lists the grants whose results the entry has received.
	Acks   []GrantID
	Grants []Grant
	// Cancels lists the grants whose tasks should be stopped. It may include grants
	// of the same message.
	Cancels []GrantID
	// Demand replaces the demand that the entry reported before.
	Demand *Demand
	// Config replaces the agent's configuration if its revision is higher.
	Config *Document
	// ConfigWanted asks the agent for its configuration.
	ConfigWanted bool
	// Peers replaces the agent's list of entries.
	Peers []Peer
	// Released tells a leaving agent that the entry has no outstanding grant there
	// and will send none.
	Released bool
	// Heartbeat is set on messages that are sent only to show that the entry is
	// alive.
	Heartbeat bool
	// Leaving means that the entry accepts no new jobs and closes the link when the
	// accepted ones have ended. It returns its unused credits, and its demand covers
	// only the tasks that remain.
	Leaving bool
	// Seen is the highest stamp that the entry has read on the link. Zero means that
	// the entry does not report it.
	Seen Stamp
	// Handled is the highest stamp read on the link before the entry's dispatcher had
	// handled all that was in its inbox by then, also that a caller has disconnected. What
	// follows from that, such as cancels, is not sent later than this message. Zero means
	// that the entry does not report it.
	Handled Stamp
}

// Welcome is the entry's reply to a Hello.
type Welcome struct {
	Entry Peer
	// Revision is the configuration revision in force at the entry; zero means
	// none.
	Revision uint64
	// Paced is set if the entry sends heartbeats less often while no grant of it is
	// open at the agent, and expects no more of the agent.
	Paced bool
}

// Grant assigns one task to the agent.
type Grant struct {
	ID      GrantID
	Service string
	Kind    string
	// Long is set for tasks of long kinds, which may not use the slots reserved for
	// short tasks.
	Long bool
	// Reserved means that the grant uses Short credits; otherwise it uses Any
	// credits. Both sides count the two classes separately, so the grant has to say
	// which one it uses.
	Reserved bool
	// Slots is the number of credits that the grant uses; zero means one.
	Slots uint32
	// Queued means that the grant uses no credit and waits at the agent until slots
	// are free. StartWithin is how long it may wait for the job to meet its
	// objective; it is negative if the objective can no longer be met.
	Queued      bool
	StartWithin time.Duration
	// NoWait is set on a queued grant that is refused unless it can start at once.
	// Agents of earlier releases let it wait.
	NoWait bool
	// Name is the endpoint's identifier of the task; it may be empty.
	Name string
	// Limit is the maximum run time.
	Limit   time.Duration
	Payload []byte
}

// Credits returns the number of credits that the grant uses.
func (g *Grant) Credits() int { return int(max(1, g.Slots)) }

// Demand reports how many tasks wait at the entry for slots of the agent.
type Demand struct {
	Short uint32
	Long  uint32
	// HeadAge is how long the task at the head of the queue has waited.
	HeadAge time.Duration
}
