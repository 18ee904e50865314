package runner

import (
	"math"

	"gypsumtide"
)

// workerClock estimates the worker's clock, which is independent of the agent's.
type workerClock struct {
	local  gypsumtide.Millis
	remote gypsumtide.Millis
}

func (c *workerClock) set(now, remote gypsumtide.Millis) {
	c.local, c.remote = now, remote
}

// after returns the time on the worker's clock d after now, or 0 if that clock is
// unknown.
func (c *workerClock) after(now, d gypsumtide.Millis) gypsumtide.Millis {
	if c.remote == 0 {
		return 0
	}
	return c.remote + (now - c.local) + d
}

// Parameters of the health averages.
const (
	// slownessWeight and failureWeight are the weights of a new sample.
	slownessWeight = 0.05
	failureWeight  = 0.25
	// outlierWeight replaces slownessWeight if the logarithm of the ratio of actual to
	// expected run time is above outlierLogRatio. An estimation error cannot explain such
	// a run, and its higher weight shows within a few runs that a worker has become slow.
	outlierLogRatio = 1.1
	outlierWeight   = 0.15
	// healthHalfLife is the half-life of the averages. They decay so that a worker
	// that gets no runs is tried again.
	healthHalfLife gypsumtide.Millis = 2500
	// overdueFactor is the ratio of elapsed to expected run time from which a run is
	// sampled before its end.
	overdueFactor = 2
	// maxSlowness limits a single sample, and 1/maxSlowness is its minimum.
	maxSlowness = 20
)

// health keeps moving averages of the slowness and the failures of the worker's runs.
type health struct {
	logSlowness float64
	slownessAt  gypsumtide.Millis
	failures    float64
	failuresAt  gypsumtide.Millis
}

func decay(v float64, since gypsumtide.Millis) float64 {
	return v * math.Exp2(-float64(since)/float64(healthHalfLife))
}

// Slowness returns the average ratio of actual to expected run time; 1 is as expected.
func (h *health) Slowness(now gypsumtide.Millis) float64 {
	return math.Exp(decay(h.logSlowness, now-h.slownessAt))
}

// FailureShare returns the share of recent runs that failed or that the worker refused to
// start.
func (h *health) FailureShare(now gypsumtide.Millis) float64 {
	return decay(h.failures, now-h.failuresAt)
}

func (h *health) addFailure(now gypsumtide.Millis) { h.sampleFailure(now, 1) }

// sampleFailure adds a sample to the failure share: 1 for a run that failed or that the
// worker refused to start, 0 for one that is done.
func (h *health) sampleFailure(now gypsumtide.Millis, sample float64) {
	h.failures = h.FailureShare(now)*(1-failureWeight) + sample*failureWeight
	h.failuresAt = now
}

// sampleSlowness adds the ratio of a run's total to its expected run time, once for
// each run.
func (h *health) sampleSlowness(now gypsumtide.Millis, r *run, total float64) {
	if r.sampled || r.order.Expected <= 0 {
		return
	}
	r.sampled = true
	logRatio := math.Log(min(maxSlowness, max(1.0/maxSlowness, total/float64(r.order.Expected))))
	weight := slownessWeight
	if logRatio > outlierLogRatio {
		weight = outlierWeight
	}
	h.logSlowness = decay(h.logSlowness, now-h.slownessAt)*(1-weight) + logRatio*weight
	h.slownessAt = now
}

// sampleEnd adds the result and the run time of a run that has ended.
func (h *health) sampleEnd(now gypsumtide.Millis, r *run, kind gypsumtide.EndKind) {
	switch kind {
	case gypsumtide.EndDone:
		h.sampleFailure(now, 0)
		h.sampleSlowness(now, r, float64(now-r.startedAt))
	case gypsumtide.EndFailed:
		h.addFailure(now)
	}
}

// sampleProgress samples the projected run time of an overdue run, or the maximum
// slowness for a stalled run.
func (h *health) sampleProgress(now gypsumtide.Millis, r *run) {
	elapsed := float64(now - r.startedAt)
	switch {
	case r.stalled(now):
		h.sampleSlowness(now, r, maxSlowness*float64(r.order.Expected))
	case elapsed >= overdueFactor*float64(r.order.Expected):
		h.sampleSlowness(now, r, elapsed*100/float64(max(r.percent, 1)))
	}
}

// sampleOverdue samples the elapsed time of a run that has taken several times its
// expected time.
func (h *health) sampleOverdue(now gypsumtide.Millis, r *run) {
	elapsed := float64(now - r.startedAt)
	if elapsed >= 2*overdueFactor*float64(r.order.Expected) {
		h.sampleSlowness(now, r, elapsed)
	}
}
