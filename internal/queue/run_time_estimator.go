package queue

import (
	"math"
	"math/bits"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumtide"
)

// RunTimeEstimatorOptions configure a RunTimeEstimator. The zero value of a field selects
// its default.
type RunTimeEstimatorOptions struct {
	// Threshold is the run time above which a task is long.
	Threshold gypsumtide.Millis
	// MinObservations is the number of observed run times of a service from which on
	// its declared run time is ignored.
	MinObservations int
	// Quantile is the quantile of the observed run times that is compared with the
	// threshold.
	Quantile float64
}

const (
	defaultThreshold = gypsumtide.Millis(1000)
	// defaultMinObservations also bounds how many tasks of a service with a wrong or
	// missing declared run time occupy slots reserved for short tasks.
	defaultMinObservations = 20
	// defaultQuantile makes a service long if more than a fifth of its tasks are, so that
	// a few stragglers do not make it long.
	defaultQuantile = 0.8
)

const (
	// maxRunTime is the upper bound of the histograms. Longer run times are recorded
	// as maxRunTime.
	maxRunTime = gypsumtide.Millis(3_600_000)
	// windowSize is the number of observations after which the histogram window
	// rotates: quantiles cover the last one to two windows.
	windowSize = 512
	// mergeInterval is the number of observations after which the windows are merged
	// again for quantiles, since a merge costs some microseconds. After few observations
	// they are merged sooner.
	mergeInterval = 64
	// classifyInterval is the number of observations after which a service is
	// classified again.
	classifyInterval = 16
	// shortAgainFactor is the fraction of the threshold below which a long service
	// becomes short again. The hysteresis keeps the class of a service near the
	// threshold stable.
	shortAgainFactor = 0.8
	// slowestQuantile is the probability with which the estimate of Slowest holds. It
	// is high because a job whose slowest task is late wastes all of its slots.
	slowestQuantile = 0.95
	// slownessSmoothing is the weight of a new observation in an agent's slowness.
	slownessSmoothing = 0.1
	// maxSlowness bounds each observation, so that a single straggler does not make
	// its agent count as slow.
	maxSlowness = 10.0
)

// RunTimeEstimator estimates the run times of services and the slowness of agents from
// the run times of finished tasks. It is not safe for concurrent use.
type RunTimeEstimator struct {
	opts     RunTimeEstimatorOptions
	services map[string]*service
	slowness map[string]float64
}

// service holds the observed run times of a service.
type service struct {
	window *hdrhistogram.WindowedHistogram
	merged *hdrhistogram.Histogram
	// mergedAt is the value of count at the last merge.
	mergedAt int
	// slowest caches the estimates of Slowest by the bit length of the number of tasks
	// less one; 0 means not computed.
	slowest [17]gypsumtide.Millis
	// count is the number of observed run times.
	count int
	// mean is a moving average over about windowSize run times.
	mean float64
	// openShort estimates how many tasks are open that were classified as short before
	// enough run times had been observed. Each observed run time reduces it by 1.
	openShort int
	class     gypsumtide.Class
}

// NewRunTimeEstimator returns a RunTimeEstimator without observations.
func NewRunTimeEstimator(o RunTimeEstimatorOptions) *RunTimeEstimator {
	if o.Threshold <= 0 {
		o.Threshold = defaultThreshold
	}
	if o.MinObservations <= 0 {
		o.MinObservations = defaultMinObservations
	}
	if o.Quantile <= 0 || o.Quantile >= 1 {
		o.Quantile = defaultQuantile
	}
	return &RunTimeEstimator{opts: o, services: map[string]*service{}, slowness: map[string]float64{}}
}

func (e *RunTimeEstimator) service(serviceName string) *service {
	s := e.services[serviceName]
	if s == nil {
		s = &service{}
		e.services[serviceName] = s
	}
	return s
}

// Classify returns the class of a new task of the service. The declared run time, 0 if
// there is none, is used only until MinObservations run times have been observed. Until
// then at most MinObservations open tasks are short and the rest are long, so that a
// wrong or missing declaration occupies few of the slots reserved for short tasks.
func (e *RunTimeEstimator) Classify(serviceName string, declared gypsumtide.Millis) gypsumtide.Class {
	class := e.Class(serviceName, declared)
	if s := e.service(serviceName); s.count < e.opts.MinObservations && class == gypsumtide.ClassShort {
		s.openShort++
	}
	return class
}

// Class returns what Classify would return, without counting the task as open.
func (e *RunTimeEstimator) Class(serviceName string, declared gypsumtide.Millis) gypsumtide.Class {
	s := e.service(serviceName)
	if s.count >= e.opts.MinObservations {
		return s.class
	}
	if declared > e.opts.Threshold || s.openShort >= e.opts.MinObservations {
		return gypsumtide.ClassLong
	}
	return gypsumtide.ClassShort
}

// Observe records the run time of a finished task.
func (e *RunTimeEstimator) Observe(serviceName, agent string, runTime gypsumtide.Millis) {
	runTime = min(max(runTime, 1), maxRunTime)
	s := e.service(serviceName)
	if s.window == nil {
		s.window = hdrhistogram.NewWindowed(2, 1, int64(maxRunTime), 2)
	}
	if s.count > 0 {
		e.updateSlowness(agent, float64(runTime)/s.mean)
	}
	if s.count%windowSize == windowSize-1 {
		s.window.Rotate()
	}
	// RecordValue cannot fail: the value is inside the range of the histogram.
	_ = s.window.Current.RecordValue(int64(runTime))
	s.openShort = max(0, s.openShort-1)
	s.count++
	s.mean += (float64(runTime) - s.mean) / float64(min(s.count, windowSize))
	if s.count >= e.opts.MinObservations && (s.count == e.opts.MinObservations || s.count%classifyInterval == 0) {
		s.class = e.classOf(s)
	}
}

// classOf compares a quantile of the service's run times with the threshold.
func (e *RunTimeEstimator) classOf(s *service) gypsumtide.Class {
	threshold := float64(e.opts.Threshold)
	if s.class == gypsumtide.ClassLong && s.count > e.opts.MinObservations {
		threshold *= shortAgainFactor
	}
	if float64(s.quantile(e.opts.Quantile)) > threshold {
		return gypsumtide.ClassLong
	}
	return gypsumtide.ClassShort
}

// quantile returns the quantile q of the merged windows. It merges them again if
// enough run times have been observed since the last merge.
func (s *service) quantile(q float64) gypsumtide.Millis {
	if s.merged == nil || s.count-s.mergedAt >= min(mergeInterval, 1+s.mergedAt/8) {
		s.merged, s.mergedAt = s.window.Merge(), s.count
		clear(s.slowest[:])
	}
	return gypsumtide.Millis(s.merged.ValueAtQuantile(q * 100))
}

// updateSlowness updates an agent's slowness with the ratio of a run time to the mean
// of its service.
func (e *RunTimeEstimator) updateSlowness(agent string, ratio float64) {
	ratio = min(ratio, maxSlowness)
	if current, ok := e.slowness[agent]; ok {
		ratio = current + slownessSmoothing*(ratio-current)
	} else {
		ratio = 1 + slownessSmoothing*(ratio-1)
	}
	e.slowness[agent] = ratio
}

// HasEnoughObservations reports whether at least MinObservations run times of the
// service have been observed.
func (e *RunTimeEstimator) HasEnoughObservations(serviceName string) bool {
	s := e.services[serviceName]
	return s != nil && s.count >= e.opts.MinObservations
}

// Mean returns the mean of the recent run times of the service, or 0 without
// observations.
func (e *RunTimeEstimator) Mean(serviceName string) gypsumtide.Millis {
	if s := e.services[serviceName]; s != nil {
		return gypsumtide.Millis(s.mean)
	}
	return 0
}

// Quantile returns the quantile q, between 0 and 1, of the recent run times of the
// service, or 0 without observations.
func (e *RunTimeEstimator) Quantile(serviceName string, q float64) gypsumtide.Millis {
	if s := e.services[serviceName]; s != nil && s.count > 0 {
		return s.quantile(q)
	}
	return 0
}

// Slowest returns the run time that the slowest of n tasks of the service exceeds with
// an estimated probability of at most one in twenty, or 0 without observations. More than
// 65,536 tasks count as 65,536.
func (e *RunTimeEstimator) Slowest(serviceName string, n int) gypsumtide.Millis {
	s := e.services[serviceName]
	if s == nil || s.count == 0 || n <= 0 {
		return 0
	}
	bucket := min(bits.Len(uint(n-1)), len(s.slowest)-1)
	if s.slowest[bucket] == 0 || s.count-s.mergedAt >= mergeInterval {
		s.slowest[bucket] = s.quantile(math.Pow(slowestQuantile, 1/float64(int(1)<<bucket)))
	}
	return s.slowest[bucket]
}

// Slowness returns an agent's run times relative to the mean of their services, for
// AgentView.SetSlowness: 1 is average, 5 is five times slower.
func (e *RunTimeEstimator) Slowness(agent string) float64 {
	if s, ok := e.slowness[agent]; ok {
		return s
	}
	return 1
}

// Forget removes the slowness of an agent that has left or was replaced.
func (e *RunTimeEstimator) Forget(agent string) { delete(e.slowness, agent) }
