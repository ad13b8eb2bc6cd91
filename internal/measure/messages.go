package measure

import "cactuspost.example/internal/structs"

// cause is why a message was sent.
type cause uint8

const (
	grantMessage cause = iota
	resultMessage
	offerMessage
	revokeMessage
	demandMessage
	ackMessage
	cancelMessage
	refusalMessage
	probeMessage
	requestMessage
	otherMessage
	causeCount
)

var causeNames = [causeCount]string{
	"grant", "result", "offer", "revoke", "demand", "ack", "cancel", "refusal", "probe", "request", "other",
}

// messages counts what went over the links of one run. A message with several
// parts counts under the first cause of the list that it has.
type messages struct {
	sent [causeCount]int
	// refused counts grants that were not started.
	refused int
	// useful counts the offers, probes and requests that led to a start.
	useful int
}

func (m *messages) total() int {
	sum := 0
	for _, n := range m.sent {
		sum += n
	}
	return sum
}

// extra counts the messages that carried neither a grant nor a result.
func (m *messages) extra() int {
	return m.total() - m.sent[grantMessage] - m.sent[resultMessage]
}

// wasted counts the messages that led to no start and brought no result, with
// the grants that were refused. Messages of acknowledgements and of demand count
// as wasted.
func (m *messages) wasted() int { return m.extra() - m.useful + m.refused }

func causeFromAgent(m *structs.FromAgent) cause {
	switch {
	case len(m.Results) > 0:
		return resultMessage
	case len(m.Refusals) > 0:
		return refusalMessage
	case m.Offered.Total() > 0:
		return offerMessage
	case m.Revoked.Total() > 0:
		return revokeMessage
	default:
		return otherMessage
	}
}

func causeFromEntry(m *structs.FromEntry) cause {
	switch {
	case len(m.Grants) > 0:
		return grantMessage
	case len(m.Cancels) > 0:
		return cancelMessage
	case m.Demand != nil:
		return demandMessage
	case len(m.Acks) > 0:
		return ackMessage
	default:
		return otherMessage
	}
}
