// Package leased decides how tasks are started, watched and stopped at a worker
// that runs them under one lease.
//
// Everything that runs at the worker ends when the lease runs out, so the agent
// renews it with each look at the worker. Orders carry a fencing token, and the
// number of the run that they are about. An order without an answer may still be
// carried out later; the charts order and tenure say what follows from that.
//
// Core is a pure state machine in the manner of package agent: Step takes a
// message and a time and collects effects. One goroutine owns it.
package leased

import (
	"time"

	"cactuspost.example/internal/structs"
)

// RunID names one run at the worker.
type RunID struct {
	// Task is the name by which the worker knows the task.
	Task string
	// Number counts the runs of the task; it only rises.
	Number uint64
}

// Message is an input of Core.
type Message interface{ isMessage() }

// Start asks for a run of a granted task.
type Start struct{ Grant structs.Grant }

// Stop asks for the end of the run of a grant.
type Stop struct{ Grant structs.GrantID }

// StartAnswered brings the worker's answer to a start order.
type StartAnswered struct {
	Run    RunID
	Result CallResult
}

// StopAnswered brings the worker's answer to a stop order.
type StopAnswered struct {
	Run    RunID
	Result CallResult
}

// PollAnswered brings the worker's answer to a look.
type PollAnswered struct {
	Result CallResult
	// SentAt is when the look was sent.
	SentAt time.Time
	Report Report
}

func (*Start) isMessage()         {}
func (*Stop) isMessage()          {}
func (*StartAnswered) isMessage() {}
func (*StopAnswered) isMessage()  {}
func (*PollAnswered) isMessage()  {}

// CallResult is what became of a call of the worker.
type CallResult uint8

// The verdicts.
const (
	// Done means that the worker has carried out the order.
	Done CallResult = iota
	// Full means that the worker has no room for the run.
	Full
	// Late means that the lease in the order had run out on arrival.
	Late
	// Outdated means that the worker knows a higher run of the task.
	Outdated
	// Unhealthy means that the worker takes no orders at the moment.
	Unhealthy
	// Invalid means that the worker could not make sense of the order.
	Invalid
	// Fenced means that the worker knows a higher fencing token.
	Fenced
	// Replaced means that another life of the worker answers.
	Replaced
	// ConnectionRefused means that the worker accepts no connection.
	ConnectionRefused
	// Unanswered means that the outcome of the call is unknown.
	Unanswered
)

var callResultNames = [...]string{
	"done", "full", "late", "outdated", "unhealthy", "invalid", "fenced", "replaced", "unreached", "unanswered",
}

// String returns the text form, as in logs.
func (v CallResult) String() string { return callResultNames[v] }

// Report is what the worker says of its runs.
type Report struct {
	// Clock is the worker's steady clock at the answer, since its start.
	Clock time.Duration
	// Born tells the lives of the worker apart.
	Born    int64
	Running []RunID
	Ended   []End
}

// End is the end of a run.
type End struct {
	// Serial counts the ends of a life of the worker, from 1.
	Serial uint64
	Run    RunID
	Reason EndReason
}

// EndReason says how a run ended.
type EndReason uint8

// The ways in which a run ends.
const (
	// Completed means that the task is done.
	Completed EndReason = iota
	// Failed means that the task ended with an error.
	Failed
	// Stopped means that the run was stopped by an order.
	Stopped
	// LeaseExpired means that the lease ran out.
	LeaseExpired
	// GangEnded means that another member of the run's gang ended.
	GangEnded
)

// Effect is an output of Core.
type Effect interface{ isEffect() }

// SendStart orders a run. StartAnswered follows.
type SendStart struct {
	Run     RunID
	Payload []byte
	Token   uint64
	// Until is the end of the lease on the worker's clock.
	Until time.Duration
}

// SendStop orders the end of a run. StopAnswered follows.
type SendStop struct {
	Run   RunID
	Token uint64
}

// SendPoll asks for the worker's lists and renews the lease. Looked follows.
type SendPoll struct {
	// Token is zero while the agent has none.
	Token uint64
	// Until is the end of the lease on the worker's clock; zero leaves it.
	Until time.Duration
	// LastSeen is the serial of the last end that was taken note of.
	LastSeen uint64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Exited reports the end of a run, or that it never started.
type Exited struct {
	Grant   structs.GrantID
	Task    string
	Outcome structs.Outcome
	// Full is set with NotSent if the worker had no room.
	Full    bool
	RunTime time.Duration
	Detail  string
}

// AvailabilityChanged says whether the worker takes orders.
type AvailabilityChanged struct{ Up bool }

// WorkerLost says that the worker's life has ended or that another agent serves it.
type WorkerLost struct{ Cause CallResult }

func (*SendStart) isEffect()           {}
func (*SendStop) isEffect()            {}
func (*SendPoll) isEffect()            {}
func (*Exited) isEffect()              {}
func (*AvailabilityChanged) isEffect() {}
func (*WorkerLost) isEffect()          {}
