package dispatch

import "cactuspost.example/internal/structs"

// outgoingMessage returns the next message to the agent, which flushSession sends.
func (s *session) outgoingMessage() *structs.FromEntry {
	if s.outgoing == nil {
		s.outgoing = &structs.FromEntry{}
		s.pool.unsent = append(s.pool.unsent, s)
	}
	return s.outgoing
}

// releaseAgent tells a leaving agent that it may exit, once it has no grants of
// this entry. The agent waits for that, since a grant may be in flight to it.
func (s *session) releaseAgent() {
	if s.state != sessionStates.Leaving || s.link == 0 || s.released || len(s.granted) > 0 {
		return
	}
	s.released = true
	s.outgoingMessage().Released = true
}

// flushPool emits the outgoing messages. It visits only the sessions that have
// one, since a pool may have hundreds of sessions and a batch affects few of
// them.
func (c *Core) flushPool(p *pool) {
	kept := p.unsent[:0]
	for _, s := range p.unsent {
		c.flushSession(s)
		if s.outgoing != nil {
			kept = append(kept, s)
		}
	}
	clear(p.unsent[len(kept):])
	p.unsent = kept
}

// flushSession emits the outgoing message. A message with nothing but
// acknowledgements is delayed, to be combined with later parts.
func (c *Core) flushSession(s *session) {
	if s.outgoing == nil {
		return
	}
	if s.link == 0 {
		s.outgoing = nil
		return
	}
	if onlyAcks(s.outgoing) && c.acksMayWait(s) {
		return
	}
	c.countSent(s.outgoing)
	c.emit(&Send{Link: s.link, Message: s.outgoing})
	s.outgoing = nil
}

// acksMayWait reports whether acknowledgements can be delayed. Those to a leaving
// agent are not, since it exits only when it has received them all.
func (c *Core) acksMayWait(s *session) bool {
	return s.state == sessionStates.Up && c.now.Sub(s.firstAckAt) < c.tuning.AckDelay && len(s.outgoing.Acks) < maxDelayedAcks
}

// maxDelayedAcks is the number of delayed acknowledgements at which they are
// sent.
const maxDelayedAcks = 64

func onlyAcks(m *structs.FromEntry) bool {
	return m.Welcome == nil && m.Config == nil && m.Peers == nil && m.Demand == nil &&
		len(m.Grants) == 0 && len(m.Cancels) == 0 && !m.Leaving && !m.Released && !m.Heartbeat && !m.ConfigWanted
}
