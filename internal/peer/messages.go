// Package peer carries requests about a job between entries: from the one that
// a caller reached to the one that owns the job. The protocol is connect-go;
// this is the only package that knows its encoding. A passed-on request names
// the owner by the job's id, and the answering entry names its own incarnation,
// so that an answer of another incarnation is never taken for the owner's.
package peer

import (
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Action is what a caller asks of its job's owner.
type Action uint8

// The actions.
const (
	// Await asks for the job's answer.
	Await Action = iota
	// Submit brings the job's tasks.
	Submit
	// Cancel withdraws the job.
	Cancel
)

// Request is one passed-on request of a caller.
type Request struct {
	Job    structs.JobID
	Team   string
	Action Action
	// Wait is how long the caller waits for the job's end.
	Wait time.Duration
	// Service, Needs and Tasks are set for Submit.
	Service string
	Needs   structs.Needs
	Tasks   []structs.Task
}

// Response is the reply to a Request. If Incarnation is not the job's owner,
// the rest is not set; else either Answer or Refusal is.
type Response struct {
	Incarnation structs.Incarnation
	Answer      *structs.Answer
	Refusal     *failure.Failure
}
