// Package peer forwards requests about a job between entries, from the entry that
// received the caller's request to the entry that owns the job. It uses the
// Connect RPC protocol; no other package depends on the encoding. A forwarded
// request identifies the owner by the job's id, and the reply contains the
// incarnation of the entry that sent it, so that the reply of another incarnation
// is not mistaken for the owner's.
package peer

import (
	"time"

	"cactuspost.example/internal/failure"
	"cactuspost.example/internal/structs"
)

// Action is the operation that a caller requests for a job.
type Action uint8

// The actions.
const (
	// Await requests the job's answer.
	Await Action = iota
	// Submit submits the job's tasks.
	Submit
	// Cancel cancels the job.
	Cancel
)

// Request is a caller's request as forwarded to the job's owner.
type Request struct {
	Job    structs.JobID
	Team   string
	Action Action
	// Wait is how long the caller waits for the job to end.
	Wait time.Duration
	// Service, Needs and Tasks are set only for Submit.
	Service string
	Needs   structs.Needs
	Tasks   []structs.Task
}

// Response is the reply to a Request. Either Answer or Refusal is set if
// Incarnation is that of the job's owner; otherwise neither is.
type Response struct {
	Incarnation structs.Incarnation
	Answer      *structs.Answer
	Refusal     *failure.Failure
}
