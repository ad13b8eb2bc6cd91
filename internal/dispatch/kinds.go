package dispatch

import (
	"math"
	"time"
)

// kindKey identifies a kind of task within its service.
type kindKey struct{ service, kind string }

// kind holds the run time statistics of the tasks of one kind.
type kind struct {
	name    string
	samples int
	// mean is the smoothed run time in seconds. logMean is the smoothed logarithm
	// of the run time, which is robust against a few stragglers.
	mean    float64
	logMean float64
	// correctedEstimate is the estimate for Corrected, in seconds.
	correctedEstimate float64
}

const (
	// runTimeSmoothing is the minimum weight of a new run time in a kind's means.
	runTimeSmoothing = 0.05
	// evenlyAveragedSamples is the number of run times that get equal weight before
	// exponential smoothing starts.
	evenlyAveragedSamples = 20
	// maxKinds bounds the kinds with an estimate of their own. Any further kinds
	// share one estimate per service.
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

// observe adds the run time of a successful task.
func (k *kind) observe(run time.Duration) {
	seconds := max(run.Seconds(), 1e-6)
	k.samples++
	weight := max(runTimeSmoothing, 1/float64(min(k.samples, evenlyAveragedSamples)))
	k.mean += weight * (seconds - k.mean)
	k.logMean += weight * (math.Log(seconds) - k.logMean)
	k.correctedEstimate = max(k.correctedEstimate, seconds)
}

// raiseEstimate raises the estimates for a task that is still running after the
// elapsed time.
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

// estimate returns the expected run time of a task, from the configured source.
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

// isLong reports whether tasks of a kind count as long. An unknown kind does: a
// batch of its tasks could fill the slots reserved for short tasks before the
// first of them has ended.
func (c *Core) isLong(k *kind, declared time.Duration) bool {
	if c.tuning.Estimates != Observed {
		return c.estimate(k, declared) >= c.tuning.LongTaskThreshold
	}
	return k.samples < minOutcomes || math.Exp(k.logMean) >= c.tuning.LongTaskThreshold.Seconds()
}
