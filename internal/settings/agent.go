package settings

import (
	"cactuspost.example/internal/event"
	"cactuspost.example/internal/structs"
)

// Agent is the settings of the agent beside one endpoint.
type Agent struct {
	// Endpoint is the endpoint's name, unique in its pool.
	Endpoint   string
	DataCentre string
	Pool       string
	// Slots is how many tasks run at once.
	Slots int
	// Connections bounds the connections to the endpoint.
	Connections int
	// Capacity is what the worker has for all tasks together.
	Capacity structs.Needs
	// EndpointAddress is where the endpoint takes tasks, IP:port.
	EndpointAddress string
	// Entries are link addresses of entries, IP:port each. Any one of them
	// tells the agent of the others.
	Entries []string
	// HTTPAddress serves metrics, health and the planned stop, IP:port.
	HTTPAddress string
	// UnackedLimit bounds the results kept until an entry acknowledges them.
	UnackedLimit int
	// Operators may ask for the planned stop over HTTP.
	Operators []Operator
	LogLevel  event.Severity
}

// Bounds and defaults of the agent's settings.
const (
	maxSlots            = 1_024
	maxEndpointConns    = 1_024
	maxCores            = 4_096
	maxMemoryMB         = 64 << 20
	maxAccelerators     = 1_024
	minUnacked          = 1
	maxUnacked          = 1_000_000
	defaultUnackedLimit = 4_096
)

func readAgent(o *object, files fileReader) *Agent {
	tokens := tokenReader{files: files, seen: map[string]string{}}
	a := &Agent{
		Endpoint:        o.text("endpoint", nameRule),
		DataCentre:      o.text("data_centre", placeRule),
		Pool:            o.text("pool", nameRule),
		Slots:           int(o.integer("slots", 1, maxSlots)),
		Connections:     int(o.integer("connections", 1, maxEndpointConns)),
		Capacity:        readCapacity(o),
		EndpointAddress: o.text("endpoint_address", reachableRule),
		Entries:         o.texts("entries", reachableRule),
		HTTPAddress:     o.text("http_address", listenRule),
		UnackedLimit:    int(o.integerOr("unacked_limit", defaultUnackedLimit, minUnacked, maxUnacked)),
		Operators:       tokens.operators(o),
		LogLevel:        readLevel(o),
	}
	if a.Connections > 0 && a.Connections < a.Slots {
		o.faultAt("connections", "fewer than slots", "at least as many as slots")
	}
	o.finish()
	return a
}

func readCapacity(parent *object) structs.Needs {
	if !parent.has("capacity") {
		parent.take("capacity")
		parent.faultAt("capacity", missing, "an object with cores, memory_mb and accelerators")
		return structs.Needs{}
	}
	o := parent.child("capacity")
	if o == nil {
		return structs.Needs{}
	}
	needs := structs.Needs{
		Cores:        uint32(o.integer("cores", 1, maxCores)),
		MemoryMB:     uint32(o.integer("memory_mb", 1, maxMemoryMB)),
		Accelerators: uint32(o.integerOr("accelerators", 0, 0, maxAccelerators)),
	}
	o.finish()
	return needs
}
