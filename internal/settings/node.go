package settings

import (
	"time"

	"github.com/pkg/errors"

	"cactuspost.example/internal/event"
)

// Node is the settings of the processes on the users' platform, beside those
// that the platform itself gives to each.
type Node struct {
	// Heartbeat is how long a link may be without a message, SilentBeats the
	// number of such periods after which the entry closes it.
	Heartbeat   time.Duration
	SilentBeats int
	// EntrySilence is how long an agent may hear nothing from an entry before it
	// closes the link, EntryGrace how long the entry may then take to come back
	// before its tasks are stopped.
	EntrySilence time.Duration
	EntryGrace   time.Duration
	// AgentGrace is how long an entry waits for a lost agent before its tasks
	// run elsewhere. It covers EntrySilence, EntryGrace, or the Lease.
	AgentGrace time.Duration
	// Lease is how long a worker goes on without a sign of its agent, LookWait
	// how long a look at it waits for an end.
	Lease    time.Duration
	LookWait time.Duration
	// Dial bounds the opening of a link, Redial the pause between two attempts.
	Dial   time.Duration
	Redial time.Duration
	// Pause is the longest time without processor that is not taken for a pause
	// of the process.
	Pause time.Duration
	// FeedWait is how long a call of the store waits for changes.
	FeedWait time.Duration
	// Settle is how long a planned stop goes on serving after readiness is
	// dropped, DrainTimeout how long the open jobs may take after that.
	Settle       time.Duration
	DrainTimeout time.Duration
	// MetricsPort serves metrics and the operators' interface.
	MetricsPort int
	LogLevel    event.Severity
	// AdvertisedLink is where agents reach an entry, if it is not where it
	// listens; it may be empty.
	AdvertisedLink string
}

// Bounds of the node's settings.
const (
	minNodeMS      = 10
	maxNodeMS      = 60_000
	maxSilentBeats = 100
	maxPort        = 65_535
)

// LoadNode checks the text of a node's settings file. It returns a Faults error
// that lists every fault.
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

func readNode(o *object) *Node {
	ms := func(name string) time.Duration { return millis(o.integer(name, minNodeMS, maxNodeMS)) }
	n := &Node{
		Heartbeat:    ms("heartbeat_ms"),
		SilentBeats:  int(o.integer("silent_beats", 1, maxSilentBeats)),
		EntrySilence: ms("entry_silence_ms"),
		EntryGrace:   ms("entry_grace_ms"),
		AgentGrace:   ms("agent_grace_ms"),
		Lease:        ms("lease_ms"),
		LookWait:     ms("look_wait_ms"),
		Dial:         ms("dial_ms"),
		Redial:       ms("redial_ms"),
		Pause:        ms("pause_ms"),
		FeedWait:     ms("feed_wait_ms"),
		Settle:       ms("settle_ms"),
		DrainTimeout: ms("drain_timeout_ms"),
		MetricsPort:  int(o.integer("metrics_port", 1, maxPort)),
		LogLevel:     readLevel(o),

		AdvertisedLink: o.textOr("advertised_link_address", "", reachableRule),
	}
	if n.AgentGrace < n.EntrySilence+n.EntryGrace {
		o.faultAt("agent_grace_ms", n.AgentGrace.String(), "at least entry_silence_ms and entry_grace_ms together")
	}
	if n.AgentGrace < n.Lease {
		o.faultAt("agent_grace_ms", n.AgentGrace.String(), "at least lease_ms")
	}
	o.finish()
	return n
}
