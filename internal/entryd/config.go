package entryd

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"time"

	"cactuspost.example/internal/dispatch"
	"cactuspost.example/internal/logging"
	"cactuspost.example/internal/settings"
	"cactuspost.example/internal/structs"
	"cactuspost.example/internal/table"
)

// DefaultSettle is the usual value of Config.Settle: long enough for the load
// balancer to notice that the entry is not ready.
const DefaultSettle = time.Second

// Default limits and sizes.
const (
	// defaultMaxLinks is the default of Config.MaxLinks.
	defaultMaxLinks = 8192
	// eventLoops is the number of event loops that serve agents.
	eventLoops = 2
)

// Config configures an entry.
type Config struct {
	// Self is the identity of the entry and the addresses that it advertises. A
	// zero incarnation is replaced by a random one, and empty addresses by those
	// that the entry listens on.
	Self structs.Peer
	// HTTPAddress, LinkAddress and PeerAddress are the addresses to listen on, as
	// IP:port; port 0 selects a free port.
	HTTPAddress string
	LinkAddress string
	PeerAddress string
	// Seed seeds the dispatcher's random choices; 0 means the incarnation.
	Seed uint64
	// Store is the platform's table. If it is nil, the list of entries and the
	// configuration are set by SetPeers and Configure instead.
	Store table.Store
	// Document is the initial configuration; nil means that none is known yet.
	Document  *structs.Document
	Limits    settings.Limits
	Callers   []settings.Caller
	Operators []settings.Operator
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Pprof enables the profiling endpoints for operators.
	Pprof bool
	// Settle is how long a planned stop waits after the entry became not ready
	// before it refuses submissions, so that the load balancer can notice.
	Settle time.Duration
	// DrainTimeout is how long a planned stop waits for open jobs; 0 means until
	// their lifetimes end.
	DrainTimeout time.Duration
	// Notes and Report serve the operators' paths of these names. If Notes is
	// nil, the release notes in Store are served; if Report is nil, the report
	// of the entries.
	Notes  OperatorHandler
	Report OperatorHandler
	// NewCore creates the dispatcher; nil means dispatch.New.
	NewCore func(self structs.Peer, seed uint64) Core
	// NewIngress starts an additional front end; nil means none.
	NewIngress func(*Gateway) (Ingress, error)
	Log        *logging.Logger
	// MaxLinks is the maximum number of connections from agents; 0 means 8192.
	MaxLinks int
	// Heartbeat is the heartbeat period of links; 0 means one second.
	Heartbeat time.Duration
	// SilentBeats is the number of heartbeat periods without a frame after which
	// a link is closed; 0 means five.
	SilentBeats int
	// IdleHeartbeat takes the place of Heartbeat on links on which no grant is open, to
	// agents that know of it; 0 means that there is no difference.
	IdleHeartbeat time.Duration
}

// withDefaults returns the configuration with defaults for unset fields, except
// for those whose zero value has a meaning.
func (c Config) withDefaults() Config {
	if c.Self.Incarnation == 0 {
		c.Self.Incarnation = newIncarnation()
	}
	if c.Seed == 0 {
		c.Seed = uint64(c.Self.Incarnation)
	}
	if c.Log == nil {
		c.Log = logging.Discard()
	}
	if c.NewCore == nil {
		c.NewCore = newDispatcher
	}
	if c.MaxLinks == 0 {
		c.MaxLinks = defaultMaxLinks
	}
	if c.Heartbeat == 0 {
		c.Heartbeat = defaultHeartbeatPeriod
	}
	return c
}

func newDispatcher(self structs.Peer, seed uint64) Core {
	return dispatch.New(dispatch.Options{Self: self, Seed: seed})
}

// newIncarnation returns a random incarnation that is not zero. rand.Read never
// returns an error.
func newIncarnation() structs.Incarnation {
	var raw [8]byte
	for {
		_, _ = rand.Read(raw[:])
		if n := binary.BigEndian.Uint64(raw[:]); n != 0 {
			return structs.Incarnation(n)
		}
	}
}

// FromSettings returns the configuration described by a settings file. The TLS
// certificate and the log are left unset.
func FromSettings(s *settings.Entry) Config {
	return Config{
		Self: structs.Peer{
			Name:        s.Name,
			DataCentre:  s.DataCentre,
			LinkAddress: s.Advertise.Link,
			PeerAddress: s.Advertise.Peer,
			HTTPAddress: s.Advertise.HTTP,
		},
		HTTPAddress:  s.HTTPAddress,
		LinkAddress:  s.LinkAddress,
		PeerAddress:  s.PeerAddress,
		Limits:       s.Limits,
		Callers:      s.Callers,
		Operators:    s.Operators,
		Pprof:        s.Pprof,
		DrainTimeout: s.DrainTimeout,
	}
}
