package operations

import "testing"

// TestAgentWhoseSeedsAreGoneFindsTheEntries restarts an agent whose only seed
// is not the address of an entry. The agent must find the entries through the
// store, where they are registered.
func TestAgentWhoseSeedsAreGoneFindsTheEntries(t *testing.T) {
	p := newTestSite(t)
	node := p.site.AgentNodes[0]
	node.Kill()
	p.is.NoErr(node.Reseed([]string{p.site.Store.Address()})) // the store does not speak the agents' protocol
	p.is.NoErr(node.Start())
	p.awaitServed()
}
