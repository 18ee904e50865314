package dispatch

import (
	"math"

	"gypsumtide"
)

// Learning of run times.
const (
	// correctionWeight is the weight of a new run in the average.
	correctionWeight = 0.02
	// defaultEstimate is used for steps without an estimate before any run has ended.
	defaultEstimate gypsumtide.Millis = 100
	// maxCorrection bounds the effect of a single run.
	maxCorrection = 8
)

// learner corrects the callers' estimates of run times by route. Estimates
// are off in the same direction for all jobs of a route.
type learner struct {
	logCorrection map[string]float64
}

func newLearner() *learner { return &learner{logCorrection: make(map[string]float64)} }

// expected returns the expected run time on an average worker.
func (l *learner) expected(route string, estimate gypsumtide.Millis) gypsumtide.Millis {
	if estimate <= 0 {
		estimate = defaultEstimate
	}
	return max(1, gypsumtide.Millis(float64(estimate)*math.Exp(l.logCorrection[route])))
}

// observe takes the run time of a task that ended on a worker of the given slowness.
func (l *learner) observe(route string, estimate, ran gypsumtide.Millis, slowness float64) {
	if estimate <= 0 || ran <= 0 || slowness <= 0 {
		return
	}
	r := float64(ran) / slowness / float64(estimate)
	r = min(maxCorrection, max(1.0/maxCorrection, r))
	l.logCorrection[route] += (math.Log(r) - l.logCorrection[route]) * correctionWeight
}
