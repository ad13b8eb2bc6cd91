package settings

import (
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// Agent holds the settings of an agent.
type Agent struct {
	// Endpoint is the endpoint's name, unique in its pool.
	Endpoint   string
	DataCentre string
	Pool       string
	// Slots is the maximum number of concurrent tasks.
	Slots int
	// Connections is the maximum number of connections to the endpoint.
	Connections int
	// Capacity holds the resources that the worker has for all tasks together.
	Capacity structs.Needs
	// EndpointAddress is where the endpoint accepts tasks, as IP:port.
	EndpointAddress string
	// Entries are the link addresses of entries, each as IP:port. Any entry that
	// answers tells the agent the addresses of the others.
	Entries []string
	// HTTPAddress serves metrics, health checks and the planned stop, as IP:port.
	HTTPAddress string
	// UnackedLimit is the maximum number of results kept until an entry acknowledges
	// them.
	UnackedLimit int
	// Operators may request the planned stop over HTTP.
	Operators []Operator
	LogLevel  event.Severity
}

// Limits and defaults of the agent's settings.
const (
	maxSlots            = 1_024
	maxEndpointConns    = 1_024
	maxCores            = 4_096
	maxMemoryMB         = 64 << 20
	maxAccelerators     = 1_024
	minUnackedLimit     = 1
	maxUnackedLimit     = 1_000_000
	defaultUnackedLimit = 4_096
)

func readAgent(o *object, readFile fileReader) *Agent {
	tokens := tokenReader{readFile: readFile, keysByToken: map[string]string{}}
	a := &Agent{
		Endpoint:        o.requiredString("endpoint", nameRule),
		DataCentre:      o.requiredString("data_centre", dataCentreRule),
		Pool:            o.requiredString("pool", nameRule),
		Slots:           int(o.requiredInteger("slots", 1, maxSlots)),
		Connections:     int(o.requiredInteger("connections", 1, maxEndpointConns)),
		Capacity:        readCapacity(o),
		EndpointAddress: o.requiredString("endpoint_address", reachableRule),
		Entries:         o.requiredStrings("entries", reachableRule),
		HTTPAddress:     o.requiredString("http_address", listenRule),
		UnackedLimit:    int(o.integerOr("unacked_limit", defaultUnackedLimit, minUnackedLimit, maxUnackedLimit)),
		Operators:       tokens.operators(o),
		LogLevel:        readLogLevel(o),
	}
	if a.Connections > 0 && a.Connections < a.Slots {
		o.addFault("connections", "less than slots", "at least the value of slots")
	}
	o.reportUnknownKeys()
	return a
}

func readCapacity(parent *object) structs.Needs {
	if !parent.has("capacity") {
		parent.take("capacity")
		parent.addFault("capacity", missing, "an object with cores, memory_mb and accelerators")
		return structs.Needs{}
	}
	o := parent.child("capacity")
	if o == nil {
		return structs.Needs{}
	}
	needs := structs.Needs{
		Cores:        uint32(o.requiredInteger("cores", 1, maxCores)),
		MemoryMB:     uint32(o.requiredInteger("memory_mb", 1, maxMemoryMB)),
		Accelerators: uint32(o.integerOr("accelerators", 0, 0, maxAccelerators)),
	}
	o.reportUnknownKeys()
	return needs
}
