package operations

import "testing"

// TestAgentWhoseSeedsAreGoneFindsTheEntries restarts an agent whose settings name
// an address where nobody answers; the entries are registered in the store.
func TestAgentWhoseSeedsAreGoneFindsTheEntries(t *testing.T) {
	p := newPlace(t)
	side := p.site.AgentNodes[0]
	side.Kill()
	p.is.NoErr(side.Reseed([]string{p.site.Store.Address()})) // it speaks another protocol
	p.is.NoErr(side.Start())
	p.awaitServed()
}
