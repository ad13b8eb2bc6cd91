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

// DefaultSettle is how long an entry that is told to stop waits for the
// balancer to see that it is not ready.
const DefaultSettle = time.Second

// Defaults of Config.
const (
	// defaultMaxLinks bounds the connections from agents.
	defaultMaxLinks = 8192
	// defaultLoops is the number of event loops for agents.
	defaultLoops = 2
)

// Config says how an entry runs.
type Config struct {
	// Self is the entry as others reach it. A zero incarnation is replaced by a
	// random one, empty addresses by those that the entry listens on.
	Self structs.Peer
	// HTTPAddress, LinkAddress and PeerAddress are listened on, IP:port each;
	// port 0 takes a free one.
	HTTPAddress string
	LinkAddress string
	PeerAddress string
	// Seed is for the dispatcher's random choices; 0 takes the incarnation.
	Seed uint64
	// Store is the platform's table; nil means that peers and documents come by
	// SetPeers and Configure.
	Store table.Store
	// Document is in force from the start; nil means that none is known yet.
	Document  *structs.Document
	Limits    settings.Limits
	Callers   []settings.Caller
	Operators []settings.Operator
	// TLS is nil for plain HTTP.
	TLS *tls.Config
	// Pprof serves profiles to operators.
	Pprof bool
	// Settle is how long a planned stop waits between dropping readiness and
	// refusing submissions.
	Settle time.Duration
	// DrainTimeout bounds the wait for open jobs; 0 means their own lifetimes.
	DrainTimeout time.Duration
	// Notes and Report serve the operators' paths of these names. Without Notes
	// the entry serves the notes of its Store, without Report its own report.
	Notes  Hook
	Report Hook
	// NewCore makes the dispatcher; nil makes the product's own.
	NewCore func(self structs.Peer, seed uint64) Core
	// NewIngress starts a further front end; nil means that there is none.
	NewIngress func(*Gateway) (Ingress, error)
	Log        *logging.Logger
	// MaxLinks bounds the connections from agents; 0 means 8192.
	MaxLinks int
	// Heartbeat is the heartbeat period of links; 0 means one second.
	Heartbeat time.Duration
	// SilentBeats is the number of heartbeat periods without a frame after which
	// a link is closed; 0 means five.
	SilentBeats int
}

// withDefaults fills in what the caller left out.
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
		c.Heartbeat = heartbeatPeriod
	}
	return c
}

func newDispatcher(self structs.Peer, seed uint64) Core {
	return dispatch.New(dispatch.Options{Self: self, Seed: seed})
}

// newIncarnation returns a random incarnation; rand.Read never fails.
func newIncarnation() structs.Incarnation {
	var raw [8]byte
	for {
		_, _ = rand.Read(raw[:])
		if n := binary.BigEndian.Uint64(raw[:]); n != 0 {
			return structs.Incarnation(n)
		}
	}
}

// FromSettings returns the configuration of a settings file, without its TLS
// certificate and its log.
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
