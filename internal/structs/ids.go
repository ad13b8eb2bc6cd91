// Package structs holds the types that the parts of the system share:
// identifiers, jobs and tasks, the configuration, and the messages between
// entry and agent. It has no behaviour beyond text forms, and it does not know
// how messages are encoded.
package structs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cactuspost.example/internal/failure"
)

// Incarnation is unique to one life of a process. Zero means none.
type Incarnation uint64

// String returns 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// JobID names a submission. It is issued by the entry that owns the job, before
// the job's tasks are sent, and only that incarnation ever starts them.
type JobID struct {
	Owner Incarnation
	// Seq counts the ids that the owner has issued.
	Seq uint64
	// Expiry is when the owner gives up the job, in milliseconds of Unix time.
	Expiry int64
}

// String returns the form in which callers keep the id.
func (id JobID) String() string {
	return id.Owner.String() + "-" + strconv.FormatUint(id.Seq, 16) + "-" + strconv.FormatInt(id.Expiry, 16)
}

// ExpiryTime returns Expiry as a time.
func (id JobID) ExpiryTime() time.Time { return time.UnixMilli(id.Expiry) }

// ParseJobID reads the form of String. It returns a failure of kind UnknownJob
// for anything else.
func ParseJobID(text string) (JobID, error) {
	unknown := failure.New(failure.UnknownJob, failure.NotRun, "not a job id")
	parts := strings.Split(text, "-")
	if len(parts) != 3 || len(parts[0]) != 16 {
		return JobID{}, unknown
	}
	owner, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return JobID{}, unknown
	}
	seq, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return JobID{}, unknown
	}
	expiry, err := strconv.ParseInt(parts[2], 16, 64)
	if err != nil {
		return JobID{}, unknown
	}
	id := JobID{Owner: Incarnation(owner), Seq: seq, Expiry: expiry}
	if id.String() != text {
		return JobID{}, unknown
	}
	return id, nil
}

// GrantID names one grant of one task to an agent. A task that is granted again
// after a refusal gets the next attempt, so that late messages are told apart.
type GrantID struct {
	// Owner is the entry's incarnation.
	Owner Incarnation
	// Job is the Seq of the job's id.
	Job uint64
	// Task is the task's index in the job.
	Task uint32
	// Attempt counts the grants of this task, from 1.
	Attempt uint32
}
