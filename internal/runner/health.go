package runner

import (
	"math"

	"gypsumtide"
)

// workerClock estimates the worker's clock, which runs apart from ours.
type workerClock struct {
	local  gypsumtide.Millis
	remote gypsumtide.Millis
}

func (c *workerClock) set(now, remote gypsumtide.Millis) {
	c.local, c.remote = now, remote
}

// after returns the worker's time d from now, or 0 if its clock is unknown.
func (c *workerClock) after(now, d gypsumtide.Millis) gypsumtide.Millis {
	if c.remote == 0 {
		return 0
	}
	return c.remote + (now - c.local) + d
}

// Weights and half-lives of the health averages.
const (
	slownessWeight = 0.05
	failureWeight  = 0.25
	// A run that takes longer than any error of an estimate explains weighs more,
	// so that a worker that has become slow shows within a few runs. outlierLogRatio is the
	// logarithm of the ratio.
	outlierLogRatio = 1.1
	outlierWeight   = 0.15
	// healthHalfLife is the time after which half of an average is forgotten, so
	// that a worker which gets no runs is tried again.
	healthHalfLife gypsumtide.Millis = 2500
	// overdueFactor is the run time relative to the expected one from which a run
	// counts before its end.
	overdueFactor = 2
	// maxSlowness bounds a single sample.
	maxSlowness = 20
)

// health averages how the worker's runs went.
type health struct {
	logSlowness float64
	slownessAt  gypsumtide.Millis
	failures    float64
	failuresAt  gypsumtide.Millis
}

func decay(v float64, since gypsumtide.Millis) float64 {
	return v * math.Exp2(-float64(since)/float64(healthHalfLife))
}

// Slowness returns the run time relative to the expected one; 1 is average.
func (h *health) Slowness(now gypsumtide.Millis) float64 {
	return math.Exp(decay(h.logSlowness, now-h.slownessAt))
}

// FailureShare returns the recent share of runs that failed.
func (h *health) FailureShare(now gypsumtide.Millis) float64 {
	return decay(h.failures, now-h.failuresAt)
}

func (h *health) addFailure(now gypsumtide.Millis) { h.sampleFailure(now, 1) }

func (h *health) sampleFailure(now gypsumtide.Millis, v float64) {
	h.failures = h.FailureShare(now)*(1-failureWeight) + v*failureWeight
	h.failuresAt = now
}

func (h *health) sampleSlowness(now gypsumtide.Millis, r *run, total float64) {
	if r.sampled || r.order.Expected <= 0 {
		return
	}
	r.sampled = true
	ratio := math.Log(min(maxSlowness, max(1.0/maxSlowness, total/float64(r.order.Expected))))
	weight := slownessWeight
	if ratio > outlierLogRatio {
		weight = outlierWeight
	}
	h.logSlowness = decay(h.logSlowness, now-h.slownessAt)*(1-weight) + ratio*weight
	h.slownessAt = now
}

func (h *health) sampleEnd(now gypsumtide.Millis, r *run, kind gypsumtide.EndKind) {
	switch kind {
	case gypsumtide.EndDone:
		h.sampleFailure(now, 0)
		h.sampleSlowness(now, r, float64(now-r.started))
	case gypsumtide.EndFailed:
		h.addFailure(now)
	}
}

// sampleProgress samples the projected run time of a run that takes longer than
// expected, or makes no sampleProgress.
func (h *health) sampleProgress(now gypsumtide.Millis, r *run) {
	elapsed := float64(now - r.started)
	switch {
	case r.stalled(now):
		h.sampleSlowness(now, r, maxSlowness*float64(r.order.Expected))
	case elapsed >= overdueFactor*float64(r.order.Expected):
		h.sampleSlowness(now, r, elapsed*100/float64(max(r.percent, 1)))
	}
}

// sampleOverdue samples a run that has taken several times the expected time.
func (h *health) sampleOverdue(now gypsumtide.Millis, r *run) {
	elapsed := float64(now - r.started)
	if elapsed >= 2*overdueFactor*float64(r.order.Expected) {
		h.sampleSlowness(now, r, elapsed)
	}
}
