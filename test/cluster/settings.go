package cluster

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"cactuspost.example/internal/structs"
)

const (
	dataCentre = "Rimouski"
	// Pool is the pool that every agent belongs to.
	Pool = "recession-workers"
	// Team and OtherTeam are the teams that CallerToken and OtherToken identify.
	Team      = "rivage"
	OtherTeam = "puthenveettil"
	// connectionsPerSlot leaves connections for the agent's health check.
	connectionsPerSlot = 4
)

// addresses holds the addresses of one entry.
type addresses struct {
	HTTP string `json:"http_address"`
	Link string `json:"link_address"`
	Peer string `json:"peer_address"`
}

type entrySettings struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	addresses
	Advertise    addresses          `json:"advertise"`
	TableAddress string             `json:"table_address"`
	Callers      []callerSettings   `json:"callers"`
	Operators    []operatorSettings `json:"operators"`
}

type callerSettings struct {
	Team  string `json:"team"`
	Token string `json:"token"`
}

type operatorSettings struct {
	Name  string `json:"name"`
	Token string `json:"token"`
}

type agentSettings struct {
	Endpoint        string             `json:"endpoint"`
	DataCentre      string             `json:"data_centre"`
	Pool            string             `json:"pool"`
	Slots           int                `json:"slots"`
	Connections     int                `json:"connections"`
	Capacity        structs.Needs      `json:"capacity"`
	EndpointAddress string             `json:"endpoint_address"`
	Entries         []string           `json:"entries"`
	HTTPAddress     string             `json:"http_address"`
	Operators       []operatorSettings `json:"operators"`
}

var operators = []operatorSettings{{Name: "tester", Token: OperatorToken}}

func entrySettingsOf(e *Entry, own addresses, table string) entrySettings {
	return entrySettings{
		Name: e.Name, DataCentre: dataCentre, addresses: own,
		Advertise:    addresses{HTTP: e.HTTP.Address(), Link: e.Link.Address(), Peer: e.Peer.Address()},
		TableAddress: table,
		Callers:      []callerSettings{{Team: Team, Token: CallerToken}, {Team: OtherTeam, Token: OtherToken}},
		Operators:    operators,
	}
}

func agentSettingsOf(a *Agent, c *Cluster) agentSettings {
	s := agentSettings{
		Endpoint: a.Name, DataCentre: dataCentre, Pool: Pool,
		Slots: c.options.Slots, Connections: connectionsPerSlot * c.options.Slots,
		Capacity:        structs.Needs{Cores: 16, MemoryMB: 32_768},
		EndpointAddress: a.Tasks.Address(), HTTPAddress: a.Address, Operators: operators,
	}
	for _, e := range c.Entries {
		s.Entries = append(s.Entries, e.Link.Address())
	}
	return s
}

func writeSettings(file string, settings any) error {
	raw, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(os.WriteFile(file, raw, 0o600))
}
