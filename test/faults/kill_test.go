package faults

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestKilledEntries kills each entry under load, with tasks queued, running and
// answered, and restarts it on the same addresses.
func TestKilledEntries(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	slowestRecovery := time.Duration(0)
	for range 2 {
		for i, e := range b.Entries {
			e.Kill()
			b.countFaults("entry killed", 1)
			b.is.NoErr(e.Start())
			slowestRecovery = max(slowestRecovery, b.awaitFullRate())
			b.awaitEntry(i)
		}
	}
	b.finishAndCheck()
	t.Logf("slowest recovery %v", slowestRecovery)
}

// TestKilledAgents kills each agent under load and restarts it.
func TestKilledAgents(t *testing.T) {
	b := startTestBed(t, smallSystem)
	b.startLoad(defaultLoad)
	slowestRecovery := time.Duration(0)
	for range 2 {
		for _, a := range b.Agents {
			a.Kill()
			b.countFaults("agent killed", 1)
			b.is.NoErr(a.Start())
			slowestRecovery = max(slowestRecovery, b.awaitFullRate())
		}
	}
	b.finishAndCheck()
	t.Logf("slowest recovery %v", slowestRecovery)
}

// TestRestartAfterClosedConnections kills an entry that has itself closed a
// connection and restarts it on the same addresses. The closed connection stays
// in TIME_WAIT, which must not keep the entry from listening again.
func TestRestartAfterClosedConnections(t *testing.T) {
	b := startTestBed(t, systemSize{entries: 1, agents: 1, slots: 1})
	e := b.Entries[0]
	conn, err := net.Dial("tcp", e.LinkAddress)
	b.is.NoErr(err)
	_, err = conn.Write([]byte("this is no frame of the protocol"))
	b.is.NoErr(err)
	_, err = io.ReadAll(conn)
	b.is.NoErr(err)
	b.is.NoErr(conn.Close())
	e.Kill()
	b.is.NoErr(e.Start())
	b.awaitEntry(0)
}
