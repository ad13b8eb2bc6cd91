package settings

import (
	"time"

	"cactuspost.example/internal/event"
)

// Entry holds the settings of an entry.
type Entry struct {
	Name       string
	DataCentre string
	// HTTPAddress is where callers and operators connect, LinkAddress where agents
	// connect, and PeerAddress where other entries connect, each as IP:port.
	HTTPAddress string
	LinkAddress string
	PeerAddress string
	// Advertise holds the three addresses at which others reach the entry.
	Advertise Addresses
	// TableAddress is the address of the platform's table service, as IP:port.
	TableAddress string
	Limits       Limits
	// Callers may submit jobs for their teams.
	Callers []Caller
	// Operators may list all endpoints and apply release notes.
	Operators []Operator
	// TLS is nil for plain HTTP.
	TLS *TLS
	// Pprof enables serving profiles to operators.
	Pprof bool
	// DrainTimeout is the maximum duration of a planned stop. Zero means that
	// only the lifetimes of the jobs limit it.
	DrainTimeout time.Duration
	LogLevel     event.Severity
}

// Addresses are the addresses of an entry, each as IP:port.
type Addresses struct{ HTTP, Link, Peer string }

// Limits restrict the use of the HTTP server.
type Limits struct {
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// HeaderTimeout is the maximum time for receiving a request.
	HeaderTimeout time.Duration
}

// Caller is a token that authenticates a team. A team may have several.
type Caller struct {
	Team  string
	Token Secret
}

// Operator is a token that authenticates an operator.
type Operator struct {
	Name  string
	Token Secret
}

// TLS holds the paths of the HTTP server's certificate and key, both in PEM format.
type TLS struct {
	CertFile string
	KeyFile  string
}

// Limits and defaults of the entry's settings.
const (
	minBodyBytes           = 1 << 10
	maxBodyBytes           = 64 << 20
	defaultBodyBytes       = 8 << 20
	maxConnections         = 65_536
	defaultConnections     = 4_096
	minHeaderTimeoutMS     = 100
	maxHeaderTimeoutMS     = 60_000
	defaultHeaderTimeoutMS = 5_000
	maxDrainTimeoutMS      = 24 * 3_600_000
)

func readEntry(o *object, readFile fileReader) *Entry {
	e := &Entry{
		Name:         o.requiredString("name", nameRule),
		DataCentre:   o.requiredString("data_centre", dataCentreRule),
		HTTPAddress:  o.requiredString("http_address", listenRule),
		LinkAddress:  o.requiredString("link_address", listenRule),
		PeerAddress:  o.requiredString("peer_address", listenRule),
		TableAddress: o.requiredString("table_address", reachableRule),
		Limits:       readLimits(o.child("limits")),
		Pprof:        o.boolean("pprof"),
		DrainTimeout: millis(o.integerOr("drain_timeout_ms", 0, 0, maxDrainTimeoutMS)),
		LogLevel:     readLogLevel(o),
	}
	e.Advertise = readAdvertise(o, e)
	e.TLS = readTLS(o.child("tls"), readFile)
	tokens := tokenReader{readFile: readFile, keysByToken: map[string]string{}}
	e.Callers = tokens.callers(o)
	e.Operators = tokens.operators(o)
	o.reportUnknownKeys()
	return e
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func readLimits(o *object) Limits {
	if o == nil {
		o = &object{doc: &document{}}
	}
	limits := Limits{
		MaxBody:        int(o.integerOr("max_body_bytes", defaultBodyBytes, minBodyBytes, maxBodyBytes)),
		MaxConnections: int(o.integerOr("max_connections", defaultConnections, 1, maxConnections)),
		HeaderTimeout:  millis(o.integerOr("header_timeout_ms", defaultHeaderTimeoutMS, minHeaderTimeoutMS, maxHeaderTimeoutMS)),
	}
	o.reportUnknownKeys()
	return limits
}

// readAdvertise reads the advertised addresses, which default to the addresses
// listened on. An unspecified IP such as 0.0.0.0 can't be advertised.
func readAdvertise(o *object, e *Entry) Addresses {
	parent := o
	o = o.child("advertise")
	if o == nil {
		o = &object{doc: parent.doc, path: parent.key("advertise"), line: parent.line}
	}
	addressOr := func(key, listen string) string {
		if !o.has(key) && isUnspecified(listen) {
			o.addFault(key, missing, reachableRule.allowed)
		}
		return o.stringOr(key, listen, reachableRule)
	}
	addresses := Addresses{
		HTTP: addressOr("http_address", e.HTTPAddress),
		Link: addressOr("link_address", e.LinkAddress),
		Peer: addressOr("peer_address", e.PeerAddress),
	}
	o.reportUnknownKeys()
	return addresses
}
