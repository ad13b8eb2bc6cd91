package dispatch

import (
	"math"
	"time"
)

// kindKey names a kind of task within its service.
type kindKey struct{ service, kind string }

// kind holds what is learnt about the run times of like tasks.
type kind struct {
	name    string
	samples int
	// mean is the smoothed run time in seconds, logMean that of its logarithm,
	// which a few stragglers hardly move.
	mean    float64
	logMean float64
	// correctedEstimate is the estimate of source Corrected, in seconds.
	correctedEstimate float64
}

const (
	// runTimeSmoothing is the weight of a new run time in a kind's means.
	runTimeSmoothing = 0.05
	// evenlyAveragedSamples is the number of run times that are averaged evenly.
	evenlyAveragedSamples = 20
	// maxKinds bounds the kinds that are told apart; others share one estimate.
	maxKinds = 10_000
)

func (c *Core) kind(service, name string) *kind {
	key := kindKey{service, name}
	k := c.kinds[key]
	if k != nil {
		return k
	}
	if len(c.kinds) >= maxKinds {
		key = kindKey{service: service}
		if k = c.kinds[key]; k != nil {
			return k
		}
	}
	k = &kind{name: name, correctedEstimate: c.tuning.InitialEstimate.Seconds()}
	c.kinds[key] = k
	return k
}

// observe learns from the run time of a successful task.
func (k *kind) observe(run time.Duration) {
	seconds := max(run.Seconds(), 1e-6)
	k.samples++
	weight := max(runTimeSmoothing, 1/float64(min(k.samples, evenlyAveragedSamples)))
	k.mean += weight * (seconds - k.mean)
	k.logMean += weight * (math.Log(seconds) - k.logMean)
	k.correctedEstimate = max(k.correctedEstimate, seconds)
}

// raiseEstimate corrects the kind for a task that still runs after the given time.
func (k *kind) raiseEstimate(elapsed time.Duration) {
	seconds := elapsed.Seconds()
	for k.correctedEstimate < seconds {
		k.correctedEstimate *= 2
	}
	if k.samples == 0 {
		k.mean = max(k.mean, seconds)
		k.logMean = math.Log(k.mean)
	}
}

// estimate returns the expected slot time of a task.
func (c *Core) estimate(k *kind, declared time.Duration) time.Duration {
	switch {
	case c.tuning.Estimates == Declared && declared > 0:
		return declared
	case c.tuning.Estimates == Corrected:
		return time.Duration(k.correctedEstimate * float64(time.Second))
	case k.mean == 0:
		return c.tuning.InitialEstimate
	default:
		return time.Duration(k.mean * float64(time.Second))
	}
}

// isLong reports whether tasks of a kind count as long. A kind that was never
// seen does: a batch of it could fill the short reserve before its first end.
func (c *Core) isLong(k *kind, declared time.Duration) bool {
	if c.tuning.Estimates != Observed {
		return c.estimate(k, declared) >= c.tuning.LongTaskThreshold
	}
	return k.samples < minOutcomes || math.Exp(k.logMean) >= c.tuning.LongTaskThreshold.Seconds()
}
