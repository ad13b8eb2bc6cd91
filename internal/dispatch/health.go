package dispatch

import (
	"math"
	"time"

	"cactuspost.example/internal/chart"
	"cactuspost.example/internal/event"
)

const (
	// outcomeSmoothing is the weight of a new outcome in a worker's share of
	// failures, poolSmoothing that in its pool's.
	outcomeSmoothing = 0.2
	poolSmoothing    = 0.02
	// minOutcomes is the number of outcomes before a worker can be judged.
	minOutcomes = 3
	// failureBound is the share of failures from which a worker is suspect.
	failureBound = 0.45
	// standsOut is how many times the pool's share a suspect's has to be, so
	// that a caller's bad tasks don't empty the pool.
	standsOut = 2
	// ejectedShare bounds the workers of a pool that are on probation.
	ejectedShare = 0.34
	// maxCoolings bounds the doublings of the cooling period.
	maxCoolings = 5
	// slownessSmoothing is the weight of a new run time in a worker's slowness,
	// once it has had slownessStart and more of them.
	slownessSmoothing = 0.05
	slownessStart     = 8
)

func (c *Core) fireHealth(s *session, e chart.Event) {
	healthChart.Fire(&s.health, e, healthStep{core: c, session: s})
}

func (s *session) countOutcome(failed float64) {
	s.outcomes++
	s.failures += outcomeSmoothing * (failed - s.failures)
	s.pool.failures += poolSmoothing * (failed - s.pool.failures)
}

// shouldEject decides on a failure that is not counted yet.
func (c *Core) shouldEject(s *session) bool {
	next := s.failures + outcomeSmoothing*(1-s.failures)
	if s.outcomes+1 < minOutcomes || next < failureBound || next < standsOut*s.pool.failures {
		return false
	}
	ejected := 1
	for _, other := range s.pool.sessions {
		if other.health != healthStates.Healthy {
			ejected++
		}
	}
	return float64(ejected) <= math.Max(1, ejectedShare*float64(len(s.pool.sessions)))
}

func (c *Core) startCooling(s *session) {
	s.coolingEnd = c.now.Add(c.tuning.Cooling * time.Duration(1<<min(s.coolings, maxCoolings)))
	s.coolings++
	c.happened(event.WorkerOnProbation, s.endpoint, "")
}

func (c *Core) forgive(s *session) {
	s.failures = 0
	s.outcomes = 0
	s.coolings = 0
	c.happened(event.WorkerForgiven, s.endpoint, "")
}

// learnSlowness compares a run time with what its kind takes elsewhere.
func (s *session) learnSlowness(k *kind, run time.Duration) {
	if k.samples < minOutcomes {
		return
	}
	ratio := math.Log(math.Max(run.Seconds(), 1e-6)) - k.logMean
	weight := max(slownessSmoothing, 1/float64(slownessStart+s.timings))
	s.timings++
	s.logSlowness += weight * (ratio - s.logSlowness)
}
