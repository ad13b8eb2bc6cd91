package faults

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestKilledEntries kills each entry under load, while its tasks wait, run and
// are answered, and starts it again on the same addresses.
func TestKilledEntries(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	slowest := time.Duration(0)
	for range 2 {
		for i, e := range b.Entries {
			e.Kill()
			b.injected("entry killed", 1)
			b.is.NoErr(e.Start())
			slowest = max(slowest, b.awaitRate())
			b.awaitEntry(i)
		}
	}
	b.finish()
	t.Logf("slowest recovery %v", slowest)
}

// TestKilledAgents kills each agent under load and starts it again.
func TestKilledAgents(t *testing.T) {
	b := startBench(t, small)
	b.startLoad(crowd)
	slowest := time.Duration(0)
	for range 2 {
		for _, a := range b.Agents {
			a.Kill()
			b.injected("agent killed", 1)
			b.is.NoErr(a.Start())
			slowest = max(slowest, b.awaitRate())
		}
	}
	b.finish()
	t.Logf("slowest recovery %v", slowest)
}

// TestRestartAfterClosedConnections kills an entry that has closed a connection
// itself, which the operating system remembers for a while, and starts it again
// on the same addresses.
func TestRestartAfterClosedConnections(t *testing.T) {
	b := startBench(t, size{entries: 1, agents: 1, slots: 1})
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
