package measure

import "cactuspost.example/internal/structs"

// cause is the reason why a message was sent.
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

// messageCounts counts the messages of one run by cause. A message that carries
// several things counts under the first that applies in causeFromAgent or
// causeFromEntry.
type messageCounts struct {
	sent [causeCount]int
	// refusedGrants is the number of grants that agents refused.
	refusedGrants int
	// useful is the number of offers, probes and requests that led to a start.
	useful int
}

func (m *messageCounts) total() int {
	sum := 0
	for _, n := range m.sent {
		sum += n
	}
	return sum
}

// extra returns the number of messages that carried neither a grant nor a result.
func (m *messageCounts) extra() int {
	return m.total() - m.sent[grantMessage] - m.sent[resultMessage]
}

// wasted returns the number of messages that neither led to a start nor carried a
// result, plus the number of refused grants. Messages that carry only
// acknowledgements or demand count as wasted.
func (m *messageCounts) wasted() int { return m.extra() - m.useful + m.refusedGrants }

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
