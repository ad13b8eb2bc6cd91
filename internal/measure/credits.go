package measure

import "cactuspost.example/internal/structs"

// creditLine holds the unused credits of one class on one link in the order of
// their offers. It finds out which offers led to a start.
type creditLine []*offer

// offer is a message that offered credits.
type offer struct {
	// alone is set if the message brought nothing else.
	alone bool
	used  bool
}

const (
	anyCredit = iota
	shortCredit
)

// noteCredits follows the credits that a message offers and takes back.
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

// useCredit returns the number of messages that a start proves useful: one, if
// it is the first to use a credit of an offer that was sent alone.
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
