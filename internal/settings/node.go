package settings

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/event"
)

// Node holds the settings of an entry or agent on the users' platform, in addition
// to those that the platform provides.
type Node struct {
	// Heartbeat is the longest time between two messages on a link, and SilentBeats
	// the number of such periods without a message after which the entry closes it.
	Heartbeat   time.Duration
	SilentBeats int
	// IdleHeartbeat is the longest time between two messages of an agent on a link on
	// which no grant is open. An entry needs a third of them.
	IdleHeartbeat time.Duration
	// EntrySilence is the time without a message from an entry after which an agent
	// closes the link, and EntryGrace how long the agent then waits for the entry to
	// reconnect before it stops the entry's tasks.
	EntrySilence time.Duration
	EntryGrace   time.Duration
	// AgentGrace is how long an entry waits for a lost agent before it runs the
	// agent's tasks elsewhere. It is at least the time for which a run may outlast the
	// link, see longestOutlasting.
	AgentGrace time.Duration
	// Lease is how long a worker keeps running tasks without a renewal by its agent,
	// and PollWait how long the worker may hold a poll open until a run ends.
	Lease    time.Duration
	PollWait time.Duration
	// Dial is the timeout for opening a link, and Redial the pause between attempts.
	Dial   time.Duration
	Redial time.Duration
	// Pause is the time without CPU after which the process is considered to have
	// been suspended.
	Pause time.Duration
	// FeedWait is how long a poll of the store waits for changes at most. It waits less
	// where the platform's settings require a shorter time to notice a dead connection.
	FeedWait time.Duration
	// Settle is how long an entry keeps accepting requests in a planned stop after it
	// has reported that it is not ready. DrainTimeout is how long open jobs may take
	// after that.
	Settle       time.Duration
	DrainTimeout time.Duration
	// MetricsPort serves metrics and the operators' interface.
	MetricsPort int
	LogLevel    event.Severity
	// AdvertisedLink is the address at which agents reach an entry. If empty, it is
	// the address listened on.
	AdvertisedLink string
}

// Limits of the node's settings.
const (
	minDurationMS  = 10
	maxDurationMS  = 60_000
	maxSilentBeats = 100
	maxPort        = 65_535
)

// LoadNode parses and checks the contents of a node's settings file. It returns a
// Faults error that lists all faults.
func LoadNode(raw []byte) (*Node, error) {
	doc, root := parseDocument(raw)
	var n *Node
	if root != nil {
		n = readNode(root)
	}
	if len(doc.faults) > 0 {
		return nil, errors.WithStack(doc.sorted())
	}
	return n, nil
}

// stopAllowance is the time for the attempts to stop a run before its lease is no longer
// extended, the drift of the worker's clock and the end of the run.
const stopAllowance = 200 * time.Millisecond

// maxIdleHeartbeat bounds IdleHeartbeat: a lost agent without open grants is noticed only
// after three of them, and a grant more often has to be sent twice the rarer they are.
const maxIdleHeartbeat = time.Second

// idleSilenceBeats is the number of idle heartbeats after which an agent closes an idle
// link without a message from the entry, which sends one for three of the agent's.
const idleSilenceBeats = 9

// IdleSilence is the time without a message from an entry after which an agent closes a
// link on which no grant is open.
func (n *Node) IdleSilence() time.Duration { return idleSilenceBeats * n.IdleHeartbeat }

// longestOutlasting returns how long after an entry has closed a silent link a run of
// it may go on at the agent. The last message of the agent may be one heartbeat older
// than that of the entry, and the entry may count one period less.
func (n *Node) longestOutlasting() time.Duration {
	entryClosesAfter := time.Duration(n.SilentBeats-1)*n.Heartbeat - n.Heartbeat
	return n.EntrySilence - entryClosesAfter + n.EntryGrace + n.Lease + stopAllowance
}

func readNode(o *object) *Node {
	ms := func(name string) time.Duration { return millis(o.requiredInteger(name, minDurationMS, maxDurationMS)) }
	n := &Node{
		Heartbeat:     ms("heartbeat_ms"),
		IdleHeartbeat: ms("idle_heartbeat_ms"),
		SilentBeats:   int(o.requiredInteger("silent_beats", 1, maxSilentBeats)),
		EntrySilence:  ms("entry_silence_ms"),
		EntryGrace:    ms("entry_grace_ms"),
		AgentGrace:    ms("agent_grace_ms"),
		Lease:         ms("lease_ms"),
		PollWait:      ms("look_wait_ms"),
		Dial:          ms("dial_ms"),
		Redial:        ms("redial_ms"),
		Pause:         ms("pause_ms"),
		FeedWait:      ms("feed_wait_ms"),
		Settle:        ms("settle_ms"),
		DrainTimeout:  ms("drain_timeout_ms"),
		MetricsPort:   int(o.requiredInteger("metrics_port", 1, maxPort)),
		LogLevel:      readLogLevel(o),

		AdvertisedLink: o.stringOr("advertised_link_address", "", reachableRule),
	}
	if n.AgentGrace < n.EntrySilence+n.EntryGrace {
		o.addFault("agent_grace_ms", n.AgentGrace.String(), "at least the sum of entry_silence_ms and entry_grace_ms")
	}
	if n.IdleHeartbeat < n.Heartbeat || n.IdleHeartbeat > maxIdleHeartbeat {
		o.addFault("idle_heartbeat_ms", n.IdleHeartbeat.String(), fmt.Sprintf("between heartbeat_ms and %v", maxIdleHeartbeat))
	}
	if least := n.longestOutlasting(); n.AgentGrace < least {
		o.addFault("agent_grace_ms", n.AgentGrace.String(), fmt.Sprintf("at least %v, after which the lease of a run that answers no stop has expired", least))
	}
	o.reportUnknownKeys()
	return n
}
