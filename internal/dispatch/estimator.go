package dispatch

import (
	"math"

	"gypsumtide"
)

// Parameters of the run time correction.
const (
	// correctionWeight is the weight of a new run in the moving average.
	correctionWeight = 0.02
	// defaultEstimate is used for steps without an estimate.
	defaultEstimate gypsumtide.Millis = 100
	// maxCorrection bounds the deviation of a single run from its estimate.
	maxCorrection = 8
)

// estimator corrects the callers' run time estimates with a factor per route, since
// estimates are off in the same direction for all jobs of a route.
type estimator struct {
	// logCorrection holds the natural logarithm of the factor for each route.
	logCorrection map[string]float64
}

func newEstimator() *estimator { return &estimator{logCorrection: make(map[string]float64)} }

// expected returns the expected run time on an average worker.
func (e *estimator) expected(route string, estimate gypsumtide.Millis) gypsumtide.Millis {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return max(1, gypsumtide.Millis(float64(estimate)*math.Exp(e.logCorrection[route])))
}

// observe updates the correction with the run time of a task on a worker of the given
// slowness. A task without an estimate does not count.
func (e *estimator) observe(route string, estimate, runTime gypsumtide.Millis, slowness float64) {
	if estimate <= 0 || runTime <= 0 || slowness <= 0 {
		return
	}
	ratio := float64(runTime) / slowness / float64(estimate)
	ratio = min(maxCorrection, max(1.0/maxCorrection, ratio))
	e.logCorrection[route] += (math.Log(ratio) - e.logCorrection[route]) * correctionWeight
}
