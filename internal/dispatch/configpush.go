package dispatch

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Agents keep a copy of the configuration for entries that can't reach its source. One
// copy is enough, and a large document takes a small machine a noticeable time to send or
// to decode. So a few entries send it to an agent at once, others later if it still has
// an older one.

const (
	// firstPushers is the number of entries that send a new configuration or a new list of
	// entries to an agent at once. Several may be lost or cut off.
	firstPushers = 4
	// configPushDelay is how long the others wait for the agent to report the revision,
	// and configPushSpacing how much longer each of them waits than the one before.
	configPushDelay   = time.Second
	configPushSpacing = 50 * time.Millisecond
)

// pushConfig sends the configuration to an agent that has an older one, at once or after
// a delay.
func (c *Core) pushConfig(s *session) {
	s.configDueAt = time.Time{}
	if s.link == 0 || s.revision >= c.revision() {
		return
	}
	if rank := c.pushRank(s.endpoint); rank >= firstPushers {
		s.configDueAt = c.now.Add(configPushDelay + time.Duration(rank-firstPushers)*configPushSpacing)
		return
	}
	s.outgoingMessage().Config = c.doc
}

// pushDueConfig sends the configuration whose delay is over if the agent still has an
// older one.
func (c *Core) pushDueConfig(s *session) {
	if s.configDueAt.IsZero() || c.now.Before(s.configDueAt) {
		return
	}
	s.configDueAt = time.Time{}
	if s.link != 0 && s.revision < c.revision() {
		s.outgoingMessage().Config = c.doc
	}
}

// pushRank returns the number of entries that send a configuration to an endpoint before
// this one. The order is a hash of both, so that it differs between endpoints.
func (c *Core) pushRank(endpoint string) int {
	weight := func(incarnation uint64) uint64 {
		var id [8]byte
		binary.LittleEndian.PutUint64(id[:], incarnation)
		return xxhash.Sum64(append(id[:], endpoint...))
	}
	own := weight(uint64(c.self.Incarnation))
	rank := 0
	for _, p := range c.peers {
		if p.Incarnation != c.self.Incarnation && weight(uint64(p.Incarnation)) < own {
			rank++
		}
	}
	return rank
}
