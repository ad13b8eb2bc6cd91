// Package structs defines the data types that several packages share:
// identifiers, jobs and tasks, the configuration, and the messages between
// entry and agent. It contains conversions to text and small calculations, but
// no dispatch decisions, and it is independent of the encoding of messages.
package structs

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"cactuspost.example/internal/failure"
)

// Incarnation identifies one run of a process: a process that restarts gets a new
// one. Zero means none.
type Incarnation uint64

// String returns the incarnation as 16 hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// JobID identifies a job. The entry that owns the job issues the id before it
// accepts the tasks, and only that incarnation of the entry starts them.
type JobID struct {
	Owner Incarnation
	// Seq is the id's position among the ids that the owner has issued.
	Seq uint64
	// Expiry is when the owner fails the job if it is not complete, in
	// milliseconds of Unix time.
	Expiry int64
}

// String returns the text form of the id that callers store and send. The form is
// owner-seq-expiry, in hexadecimal.
func (id JobID) String() string {
	return id.Owner.String() + "-" + strconv.FormatUint(id.Seq, 16) + "-" + strconv.FormatInt(id.Expiry, 16)
}

// ExpiryTime returns Expiry as a time.
func (id JobID) ExpiryTime() time.Time { return time.UnixMilli(id.Expiry) }

// ParseJobID parses the output of String. For any other text it returns a failure
// of kind UnknownJob.
func ParseJobID(text string) (JobID, error) {
	errMalformed := failure.New(failure.UnknownJob, failure.NotRun, "malformed job id")
	parts := strings.Split(text, "-")
	if len(parts) != 3 || len(parts[0]) != 16 {
		return JobID{}, errMalformed
	}
	owner, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return JobID{}, errMalformed
	}
	seq, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return JobID{}, errMalformed
	}
	expiry, err := strconv.ParseInt(parts[2], 16, 64)
	if err != nil {
		return JobID{}, errMalformed
	}
	id := JobID{Owner: Incarnation(owner), Seq: seq, Expiry: expiry}
	if id.String() != text {
		return JobID{}, errMalformed
	}
	return id, nil
}

// GrantID identifies one grant of one task to an agent. Each further grant of a
// task has a higher Attempt, so that late messages about an earlier grant can be
// recognised.
type GrantID struct {
	// Owner is the entry's incarnation.
	Owner Incarnation
	// Job is the Seq of the job's id.
	Job uint64
	// Task is the task's index in the job.
	Task uint32
	// Attempt is the number of this grant among the task's grants, from 1.
	Attempt uint32
}
