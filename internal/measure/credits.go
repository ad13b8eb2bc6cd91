package measure

import "cactuspost.example/internal/structs"

// creditQueue is the FIFO queue of unused credits of one class on one link. It is
// used to determine which offers led to a start.
type creditQueue []*offer

// offer is a message that offered credits.
type offer struct {
	// creditsOnly is set if the message carried neither results nor refusals. Only
	// such a message counts as an offer.
	creditsOnly bool
	used        bool
}

const (
	anyCredit = iota
	shortCredit
)

// trackCredits records the credits that a message offers and revokes.
func (c *connection) trackCredits(m *structs.FromAgent) {
	o := &offer{creditsOnly: causeFromAgent(m) == offerMessage}
	c.credits[anyCredit].update(o, m.Offered.Any, m.Revoked.Any)
	c.credits[shortCredit].update(o, m.Offered.Short, m.Revoked.Short)
}

func (q *creditQueue) update(o *offer, offered, revoked uint32) {
	*q = (*q)[:len(*q)-min(len(*q), int(revoked))]
	for range offered {
		*q = append(*q, o)
	}
}

// useCredit consumes the credit of a started grant and returns the number of
// messages that the start shows to be useful: 1 for the first start that uses an
// offer sent in a message of its own, otherwise 0.
func (a *agentNode) useCredit(g structs.Grant) int {
	class := anyCredit
	if g.Reserved {
		class = shortCredit
	}
	c := a.connectionTo(g.ID.Owner)
	if c == nil || len(c.credits[class]) == 0 {
		return 0
	}
	o := c.credits[class][0]
	c.credits[class] = c.credits[class][1:]
	if !o.creditsOnly || o.used {
		return 0
	}
	o.used = true
	return 1
}

func (a *agentNode) connectionTo(owner structs.Incarnation) *connection {
	for _, c := range a.connections {
		if !c.closed && peerOf(c.entry.index).Incarnation == owner {
			return c
		}
	}
	return nil
}
