package settings

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestDeployedNodeSettingsAreValid(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../../deploy/node.jsonc")
	is.NoErr(err)
	n, err := LoadNode(raw)
	is.NoErr(err)
	// A client resubmits its job 1,300 ms after its connection broke. By then the
	// agents must have stopped the earlier runs.
	is.True((n.EntrySilence + n.EntryGrace).Milliseconds() < 1300)
}

func TestInvalidNodeSettings(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/node.jsonc")
	is.New(t).NoErr(err)
	for name, change := range map[string][2]string{
		"grace shorter than the lease":   {`"lease_ms": 700`, `"lease_ms": 5000`},
		"grace shorter than the silence": {`"entry_silence_ms": 450`, `"entry_silence_ms": 4000`},
		"unknown key":                    {`"lease_ms": 700`, `"lease_ms": 700, "leas_ms": 1`},
		"unspecified address":            {`"lease_ms": 700`, `"lease_ms": 700, "advertised_link_address": "0.0.0.0:1"`},
		"out of bounds":                  {`"metrics_port": 9464`, `"metrics_port": 0`},
		"idle heartbeats too rare":       {`"idle_heartbeat_ms": 600`, `"idle_heartbeat_ms": 1010`},
		"idle heartbeats too frequent":   {`"idle_heartbeat_ms": 600`, `"idle_heartbeat_ms": 100`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(string(raw), change[0], change[1], 1)
			_, err := LoadNode([]byte(text))
			is.New(t).True(err != nil)
		})
	}
}

// A task that is repeated before the lease of its first run has expired runs twice.
func TestGraceOfALostAgentOutlastsTheLeaseOfItsRuns(t *testing.T) {
	is := is.New(t)
	deployed, err := os.ReadFile("../../deploy/node.jsonc")
	is.NoErr(err)
	node, err := LoadNode(deployed)
	is.NoErr(err)
	is.True(node.AgentGrace >= node.longestOutlasting())
	_, err = LoadNode([]byte(strings.Replace(string(deployed), `"agent_grace_ms": 1500`, `"agent_grace_ms": 1400`, 1)))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "agent_grace_ms"))
}
