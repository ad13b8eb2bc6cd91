package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
)

const (
	// workerFailureSmoothing is the weight of a new outcome in a worker's failure
	// rate, poolFailureSmoothing the weight in that of its pool.
	workerFailureSmoothing = 0.2
	poolFailureSmoothing   = 0.02
	// minOutcomes is the number of samples below which neither a worker's health
	// nor a kind's run time is assessed.
	minOutcomes = 3
	// maxFailureRate is the failure rate from which a worker may go on probation.
	maxFailureRate = 0.45
	// outlierFactor is the minimum ratio of the worker's failure rate to that of
	// its pool. Without it, a caller whose tasks all fail would put every worker
	// on probation.
	outlierFactor = 2
	// maxEjectedFraction limits the workers of a pool that are not healthy at the
	// same time. One worker is always allowed.
	maxEjectedFraction = 0.34
	// maxProbationDoublings limits the exponential growth of the probation period.
	maxProbationDoublings = 5
	// slownessSmoothing is the minimum weight of a new run time in a worker's
	// slowness. The weight starts at 1/slownessPriorSamples and falls with each
	// run time.
	slownessSmoothing    = 0.05
	slownessPriorSamples = 8
)

func (c *Core) fireHealth(s *session, e chart.Event) {
	healthChart.Fire(&s.health, e, healthContext{core: c, session: s})
}

func (s *session) countOutcome(failed float64) {
	s.outcomeCount++
	s.failureRate += workerFailureSmoothing * (failed - s.failureRate)
	s.pool.failureRate += poolFailureSmoothing * (failed - s.pool.failureRate)
}

// shouldEject reports whether one more failure, not yet counted, puts the worker on
// probation.
func (c *Core) shouldEject(s *session) bool {
	rate := s.failureRate + workerFailureSmoothing*(1-s.failureRate)
	if s.outcomeCount+1 < minOutcomes || rate < maxFailureRate || rate < outlierFactor*s.pool.failureRate {
		return false
	}
	ejected := 1
	for _, other := range s.pool.sessions {
		if other.health != healthStates.Healthy {
			ejected++
		}
	}
	return float64(ejected) <= math.Max(1, maxEjectedFraction*float64(len(s.pool.sessions)))
}

// startProbation starts a probation period. Its length doubles each time, until the
// worker is healthy again.
func (c *Core) startProbation(s *session) {
	s.probationEnd = c.now.Add(c.tuning.ProbationPeriod * time.Duration(1<<min(s.probationCount, maxProbationDoublings)))
	s.probationCount++
	c.logEvent(event.WorkerOnProbation, s.endpoint, "")
}

func (c *Core) resetFailures(s *session) {
	s.failureRate = 0
	s.outcomeCount = 0
	s.probationCount = 0
	c.logEvent(event.WorkerOffProbation, s.endpoint, "")
}

// learnSlowness updates the worker's slowness with the ratio of a run time to the
// mean of its kind over all workers.
func (s *session) learnSlowness(k *kind, run time.Duration) {
	if k.samples < minOutcomes {
		return
	}
	logRatio := math.Log(math.Max(run.Seconds(), 1e-6)) - k.logMean
	weight := max(slownessSmoothing, 1/float64(slownessPriorSamples+s.slownessSamples))
	s.slownessSamples++
	s.logSlowness += weight * (logRatio - s.logSlowness)
}
