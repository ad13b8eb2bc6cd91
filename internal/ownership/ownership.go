// Package ownership decides which entry answers a request about a job: this one,
// the entry that owns the job, or none because the owner no longer exists.
//
// A job id contains the incarnation of the entry that issued it, and only that
// incarnation ever starts the job's tasks. Other entries forward requests to it.
// They report the job as failed themselves only if no later answer of the owner can
// contradict that: the owner has ended, or the id has expired and the owner would
// give the same answer.
package ownership

import (
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// ExpiryMargin is how long after the expiry of a job id another entry starts to
// answer for the owner. It allows for clock skew between entries.
const ExpiryMargin = 5 * time.Second

// RetryAfter is the retry delay suggested to a caller if the owner of its job is
// unreachable.
const RetryAfter = time.Second

// Verdict is the kind of a Decision.
type Verdict uint8

// The verdicts.
const (
	// Local means that this entry owns the job and answers the request.
	Local Verdict = iota
	// Ask means that the request is forwarded to the owner, Decision.Peer.
	Ask
	// Failed means that the job has failed with Decision.Failure. Every entry gives
	// this answer.
	Failed
	// Refused means that the request can't be answered at this time, for the
	// reason in Decision.Failure.
	Refused
)

// Decision says how a request about a job is answered.
type Decision struct {
	Verdict Verdict
	// Peer is set for Ask.
	Peer structs.Peer
	// Failure is set for Failed and Refused.
	Failure *failure.Failure
}

// Locate decides who answers a request about a job. The given peers are this
// entry's list of entries, which may be outdated.
func Locate(self structs.Incarnation, id structs.JobID, now time.Time, peers []structs.Peer) Decision {
	if id.Owner == self {
		return Decision{Verdict: Local}
	}
	if id.Owner == 0 {
		return Decision{Verdict: Refused, Failure: failure.New(failure.UnknownJob, failure.NotRun, "the job id was not issued by any entry")}
	}
	if now.After(id.ExpiryTime().Add(ExpiryMargin)) {
		return Decision{Verdict: Failed, Failure: failure.New(failure.Expired, failure.Unknown, "the job id has expired; another entry owned the job")}
	}
	for _, peer := range peers {
		if peer.Incarnation == id.Owner {
			return Decision{Verdict: Ask, Peer: peer}
		}
	}
	return unavailable("the entry that owns the job is not in the list of entries")
}

// OwnerStatus is the result of a request to the owner that got no answer from it.
type OwnerStatus uint8

// The values of OwnerStatus.
const (
	// Unreachable means that no reply arrived. The owner may still be running and
	// may have executed the request.
	Unreachable OwnerStatus = iota
	// OtherIncarnation means that a different incarnation replied at the owner's
	// address, which proves that the owner has ended.
	OtherIncarnation
)

// DecideUnanswered decides how to answer the caller when the owner did not.
func DecideUnanswered(status OwnerStatus) Decision {
	if status == OtherIncarnation {
		return Decision{Verdict: Failed, Failure: failure.New(failure.OwnerLost, failure.Unknown, "the entry that owned the job has ended and was replaced")}
	}
	return unavailable("the entry that owns the job is unreachable")
}

func unavailable(detail string) Decision {
	f := failure.New(failure.Unavailable, failure.Unknown, detail).WithRetry(RetryAfter)
	return Decision{Verdict: Refused, Failure: f}
}
