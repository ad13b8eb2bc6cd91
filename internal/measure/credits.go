package measure

import "cactuspost.example/internal/structs"

// creditLine is the FIFO queue of unused credits of one class on one link. It is
// used to determine which offers led to a start.
type creditLine []*offer

// offer is a message that offered credits.
type offer struct {
	// alone is set if the message carried neither results nor refusals. Only such
	// a message counts as an offer.
	alone bool
	used  bool
}

const (
	anyCredit = iota
	shortCredit
)

// noteCredits records the credits that a message offers and revokes.
func (w *wire) noteCredits(m *structs.FromAgent) {
	o := &offer{alone: causeFromAgent(m) == offerMessage}
	w.credits[anyCredit].change(o, m.Offered.Any, m.Revoked.Any)
	w.credits[shortCredit].change(o, m.Offered.Short, m.Revoked.Short)
}

func (l *creditLine) change(o *offer, offered, revoked uint32) {
	*l = (*l)[:len(*l)-min(len(*l), int(revoked))]
	for range offered {
		*l = append(*l, o)
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
	w := a.wireOf(g.ID.Owner)
	if w == nil || len(w.credits[class]) == 0 {
		return 0
	}
	o := w.credits[class][0]
	w.credits[class] = w.credits[class][1:]
	if !o.alone || o.used {
		return 0
	}
	o.used = true
	return 1
}

func (a *agentNode) wireOf(owner structs.Incarnation) *wire {
	for _, w := range a.wires {
		if !w.closed && peerOf(w.entry.index).Incarnation == owner {
			return w
		}
	}
	return nil
}
