package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
)

const (
	// workerFailureSmoothing is the weight of a new outcome in a worker's share of
	// failures, poolFailureSmoothing that in its pool's.
	workerFailureSmoothing = 0.2
	poolFailureSmoothing   = 0.02
	// minOutcomes is the number of outcomes before a worker can be judged.
	minOutcomes = 3
	// maxFailureRate is the share of failures from which a worker is suspect.
	maxFailureRate = 0.45
	// outlierFactor is how many times the pool's share a suspect's has to be, so
	// that a caller's bad tasks don't empty the pool.
	outlierFactor = 2
	// maxEjectedFraction bounds the workers of a pool that are on probation.
	maxEjectedFraction = 0.34
	// maxProbationDoublings bounds the doublings of the cooling period.
	maxProbationDoublings = 5
	// slownessSmoothing is the weight of a new run time in a worker's slowness,
	// once it has had slownessPriorSamples and more of them.
	slownessSmoothing    = 0.05
	slownessPriorSamples = 8
)

func (c *Core) fireHealth(s *session, e chart.Event) {
	healthChart.Fire(&s.health, e, healthStep{core: c, session: s})
}

func (s *session) countOutcome(failed float64) {
	s.outcomeCount++
	s.failureRate += workerFailureSmoothing * (failed - s.failureRate)
	s.pool.failureRate += poolFailureSmoothing * (failed - s.pool.failureRate)
}

// shouldEject decides on a failure that is not counted yet.
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

func (c *Core) startProbation(s *session) {
	s.probationEnd = c.now.Add(c.tuning.ProbationPeriod * time.Duration(1<<min(s.probationCount, maxProbationDoublings)))
	s.probationCount++
	c.happened(event.WorkerOnProbation, s.endpoint, "")
}

func (c *Core) resetFailures(s *session) {
	s.failureRate = 0
	s.outcomeCount = 0
	s.probationCount = 0
	c.happened(event.WorkerForgiven, s.endpoint, "")
}

// learnSlowness compares a run time with what its kind takes elsewhere.
func (s *session) learnSlowness(k *kind, run time.Duration) {
	if k.samples < minOutcomes {
		return
	}
	ratio := math.Log(math.Max(run.Seconds(), 1e-6)) - k.logMean
	weight := max(slownessSmoothing, 1/float64(slownessPriorSamples+s.slownessSamples))
	s.slownessSamples++
	s.logSlowness += weight * (ratio - s.logSlowness)
}
