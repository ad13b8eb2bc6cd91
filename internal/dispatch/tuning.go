package dispatch

import (
	"cmp"
	"time"
)

// Tuning holds the parameters of the scheduling policy. Most zero values select a
// default, see withDefaults. Tests and measurements that scale task run times scale
// these as well.
type Tuning struct {
	// LongTaskThreshold is the run time from which a kind counts as long.
	LongTaskThreshold time.Duration
	// InitialEstimate is the run time assumed for an unknown kind. It is small: the
	// estimate of a slower kind is raised while its first tasks run, and a job that
	// can't start in time after that is shed.
	InitialEstimate time.Duration
	// DemandDelay is how long the first task waits before a demand is sent to
	// agents without unused credits. It is also the minimum interval between
	// requests for unused credits.
	DemandDelay time.Duration
	// DemandDoublingTime is the wait of the first task after which twice as many
	// credits are requested as the waiting tasks need.
	DemandDoublingTime time.Duration
	// AgentGrace is the grace period in which a lost agent may reconnect.
	AgentGrace time.Duration
	// ProbationPeriod is how long a worker gets no work when it goes on probation
	// for the first time. It doubles with each further time in a row.
	ProbationPeriod time.Duration
	// ScanPeriod is the interval between scans of sessions and running tasks.
	ScanPeriod time.Duration
	// AckDelay is how long an acknowledgement is held back to be sent together with
	// other messages.
	AckDelay time.Duration
	// QueueDepth is the maximum number of this entry's grants without a credit in
	// the queue of an agent with divided slots. Zero disables queueing at agents.
	QueueDepth int
	// DrainAcceptPeriod is how long a draining entry still accepts jobs of callers
	// that wait for the answer, DrainFinishPeriod the time by which these must end.
	// Both start at Stop.
	DrainAcceptPeriod time.Duration
	DrainFinishPeriod time.Duration
	// MaxWaitingBytes bounds the total payload size of the tasks that wait at this
	// entry.
	MaxWaitingBytes int
	// MaxJobs bounds the number of job IDs kept in memory.
	MaxJobs int
	// Estimates is the source of run time estimates.
	Estimates EstimateSource
}

// EstimateSource is a method of estimating a task's run time.
type EstimateSource uint8

const (
	// Observed uses the observed mean of each kind, and a mean that is robust
	// against stragglers to tell long kinds from short ones. The initial estimate
	// is raised as soon as a running task exceeds it.
	Observed EstimateSource = iota
	// Declared uses the run time that the caller declares.
	Declared
	// Averaged uses the observed mean of each kind for both purposes.
	Averaged
	// Corrected starts each kind with a small estimate and only raises it when a
	// task exceeds it. It performed worse in the comparison in docs/decisions.md and
	// is kept so that the comparison can be repeated.
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
