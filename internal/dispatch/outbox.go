package dispatch

import "cactuspost.example/internal/structs"

// message returns the message to the agent that is being collected.
func (s *session) message() *structs.FromEntry {
	if s.pending == nil {
		s.pending = &structs.FromEntry{}
		s.pool.unsent = append(s.pool.unsent, s)
	}
	return s.pending
}

// release tells a leaving agent that it may go: the entry holds no grant there.
// Until then the agent stays, since a grant may be on the way to it.
func (s *session) release() {
	if s.state != sessionStates.Leaving || s.link == 0 || s.released || len(s.granted) > 0 {
		return
	}
	s.released = true
	s.message().Released = true
}

// flushPool emits the collected messages. Only the sessions that have one are
// looked at: there may be hundreds, and a batch concerns a few.
func (c *Core) flushPool(p *pool) {
	kept := p.unsent[:0]
	for _, s := range p.unsent {
		c.flushSession(s)
		if s.pending != nil {
			kept = append(kept, s)
		}
	}
	clear(p.unsent[len(kept):])
	p.unsent = kept
}

// flushSession emits the collected message. A message of acknowledgements
// alone waits for others to travel with.
func (c *Core) flushSession(s *session) {
	if s.pending == nil {
		return
	}
	if s.link == 0 {
		s.pending = nil
		return
	}
	if onlyAcks(s.pending) && c.acksMayWait(s) {
		return
	}
	c.countSent(s.pending)
	c.emit(&Send{Link: s.link, Message: s.pending})
	s.pending = nil
}

// acksMayWait reports whether acknowledgements can wait for other messages. A
// leaving agent ends when it has them all.
func (c *Core) acksMayWait(s *session) bool {
	return s.state == sessionStates.Up && c.now.Sub(s.firstAckAt) < c.tuning.AckDelay && len(s.pending.Acks) < maxAcks
}

// maxAcks bounds the acknowledgements that wait for company.
const maxAcks = 64

func onlyAcks(m *structs.FromEntry) bool {
	return m.Welcome == nil && m.Config == nil && m.Peers == nil && m.Demand == nil &&
		len(m.Grants) == 0 && len(m.Cancels) == 0 && !m.Leaving && !m.Released && !m.Heartbeat
}
