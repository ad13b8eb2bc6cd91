package operations

import "testing"

// TestAgentWhoseSeedsAreGoneFindsTheEntries restarts an agent whose only seed
// is not the address of an entry. The agent must find the entries through the
// store, where they are registered.
func TestAgentWhoseSeedsAreGoneFindsTheEntries(t *testing.T) {
	s := newTestSite(t)
	node := s.site.AgentNodes[0]
	node.Kill()
	s.is.NoErr(node.Reseed([]string{s.site.Store.Address()})) // the store does not speak the agents' protocol
	s.is.NoErr(node.Start())
	s.awaitServed()
}
