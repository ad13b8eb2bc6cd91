package dispatch

import (
	"cmp"
	"time"
)

// Tuning holds the constants of the policy. Tests and measurements that scale
// task times scale these with them.
type Tuning struct {
	// LongTaskThreshold is the typical run time from which a kind counts as long.
	LongTaskThreshold time.Duration
	// InitialEstimate is the run time assumed for a kind that was never seen. It
	// is small: a kind that takes longer is corrected as its first tasks run,
	// and a job that then can not start in time is shed.
	InitialEstimate time.Duration
	// DemandDelay is how long the first waiting task waits before every agent of
	// the pool is told; it also separates requests for unused credits.
	DemandDelay time.Duration
	// DemandDoublingTime is how long the first waiting task waits until twice as many
	// credits are asked for as tasks wait.
	DemandDoublingTime time.Duration
	// AgentGrace is how long a lost agent may take to come back.
	AgentGrace time.Duration
	// ProbationPeriod is how long a worker on probation gets no work, the first time.
	ProbationPeriod time.Duration
	// ScanPeriod separates the scans of sessions and running tasks.
	ScanPeriod time.Duration
	// AckDelay is how long an acknowledgement waits for a grant to travel with.
	AckDelay time.Duration
	// QueueDepth is the number of grants without a credit that may wait at an
	// agent with divided slots.
	QueueDepth int
	// DrainAcceptPeriod is how long an entry that is leaving still takes jobs of waiting
	// callers, DrainFinishPeriod how long these may take; both count from Stop.
	DrainAcceptPeriod time.Duration
	DrainFinishPeriod time.Duration
	// MaxWaitingBytes bounds the payloads that wait at this entry.
	MaxWaitingBytes int
	// MaxJobs bounds the job ids that are remembered.
	MaxJobs int
	// Estimates chooses where run times come from.
	Estimates EstimateSource
}

// EstimateSource is a way to foretell a task's run time.
type EstimateSource uint8

const (
	// Observed learns a robust mean per kind and corrects a kind's first
	// estimate as soon as a running task exceeds it.
	Observed EstimateSource = iota
	// Declared trusts the caller's figure.
	Declared
	// Averaged learns the arithmetic mean per kind, without correction.
	Averaged
	// Corrected starts each kind with a small estimate and only ever extends it
	// when a task overruns: correction without prediction. It lost the trial in
	// docs/decisions.md and is kept to repeat it.
	Corrected
)

func (t Tuning) withDefaults() Tuning {
	t.LongTaskThreshold = cmp.Or(t.LongTaskThreshold, 1500*time.Millisecond)
	t.InitialEstimate = cmp.Or(t.InitialEstimate, 50*time.Millisecond)
	t.DemandDelay = cmp.Or(t.DemandDelay, 10*time.Millisecond)
	t.DemandDoublingTime = cmp.Or(t.DemandDoublingTime, 100*time.Millisecond)
	t.AgentGrace = cmp.Or(t.AgentGrace, 10*time.Second)
	t.ProbationPeriod = cmp.Or(t.ProbationPeriod, 2*time.Second)
	t.ScanPeriod = cmp.Or(t.ScanPeriod, 100*time.Millisecond)
	t.AckDelay = cmp.Or(t.AckDelay, 3*time.Second)
	t.MaxWaitingBytes = cmp.Or(t.MaxWaitingBytes, 64<<20)
	t.MaxJobs = cmp.Or(t.MaxJobs, 200_000)
	return t
}
