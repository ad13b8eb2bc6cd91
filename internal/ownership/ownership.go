// Package ownership decides who answers a request about a job: this entry, the
// entry that owns the job, or nobody any more.
//
// A job's id names the incarnation that issued it, and only that incarnation
// ever starts its tasks. Any other entry passes requests on to it. The answer
// "failed" is given in its place only when no later answer of the owner can
// contradict it: when the owner itself is gone, or when the id has expired and
// the owner would say nothing else.
package ownership

import (
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// ExpiryMargin is how long after an id's expiry other entries answer in the
// owner's place. It allows for clocks that differ.
const ExpiryMargin = 5 * time.Second

// RetryAfter is when a caller asks again whose job's owner can't be reached.
const RetryAfter = time.Second

// Verdict says who answers.
type Verdict uint8

// The verdicts.
const (
	// Local means that this entry owns the job.
	Local Verdict = iota
	// Ask means that the entry at Decision.Peer owns the job.
	Ask
	// Failed means that the job has failed, whoever is asked: Decision.Failure.
	Failed
	// Refused means that the request can't be answered now: Decision.Failure.
	Refused
)

// Decision is the result of Locate and Conclude.
type Decision struct {
	Verdict Verdict
	// Peer is set for Ask.
	Peer structs.Peer
	// Failure is set for Failed and Refused.
	Failure *failure.Failure
}

// Locate decides who answers a request about a job. Peers is the list of
// entries as this one knows it; it may be old.
func Locate(self structs.Incarnation, id structs.JobID, now time.Time, peers []structs.Peer) Decision {
	if id.Owner == self {
		return Decision{Verdict: Local}
	}
	if id.Owner == 0 {
		return Decision{Verdict: Refused, Failure: failure.New(failure.UnknownJob, failure.NotRun, "no entry issued this id")}
	}
	if now.After(id.ExpiryTime().Add(ExpiryMargin)) {
		return Decision{Verdict: Failed, Failure: failure.New(failure.Expired, failure.Unknown, "the job's lifetime has ended at another entry")}
	}
	for _, peer := range peers {
		if peer.Incarnation == id.Owner {
			return Decision{Verdict: Ask, Peer: peer}
		}
	}
	return unavailable("the entry that owns the job is not in the list of entries")
}

// OwnerStatus is what came of asking the owner.
type OwnerStatus uint8

// The replies.
const (
	// Unreachable means that no reply arrived; the owner may be alive, and may
	// have carried out the request.
	Unreachable OwnerStatus = iota
	// OtherIncarnation means that another incarnation answers at the owner's
	// address, so that the owner has ended.
	OtherIncarnation
)

// DecideUnanswered decides what the caller is told when the owner did not answer.
func DecideUnanswered(status OwnerStatus) Decision {
	if status == OtherIncarnation {
		return Decision{Verdict: Failed, Failure: failure.New(failure.OwnerLost, failure.Unknown, "the entry that owned the job has ended")}
	}
	return unavailable("the entry that owns the job can't be reached")
}

func unavailable(detail string) Decision {
	f := failure.New(failure.Unavailable, failure.Unknown, detail).WithRetry(RetryAfter)
	return Decision{Verdict: Refused, Failure: f}
}
