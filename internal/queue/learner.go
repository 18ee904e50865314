package queue

import (
	"math"
	"math/bits"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumtide"
)

// RunTimeEstimatorOptions configure a RunTimeEstimator. The zero value of a field selects its default.
type RunTimeEstimatorOptions struct {
	// Threshold separates short from long run times.
	Threshold gypsumtide.Millis
	// MinObservations is the number of observations from which declared run times are ignored.
	MinObservations int
	// Quantile of the observed run times is compared with the threshold.
	Quantile float64
}

const (
	defaultThreshold = gypsumtide.Millis(1000)
	defaultEnough    = 20
	defaultQuantile  = 0.8
)

const (
	// maxRunTime bounds the histograms. Longer run times count as this one.
	maxRunTime = gypsumtide.Millis(3_600_000)
	// windowSize is the number of observations after which older ones fade:
	// estimates cover the last one to two windows.
	windowSize = 512
	// mergeEvery is the number of observations after which quantiles are
	// computed again, because that costs some microseconds.
	mergeEvery = 64
	// classifyEvery is the number of observations between two looks at the quantile.
	classifyEvery = 16
	// backToShort is the part of the threshold below which a long service
	// becomes short again, so that a service near the threshold keeps its class.
	backToShort = 0.8
	// slowestQuantile was the best of 0.5, 0.8, 0.9 and 0.95 in trials of
	// admission at 10 times capacity: a job whose slowest task is late wastes all of its slots.
	slowestQuantile = 0.95
	// speedGain is the weight of a new observation in an agent's relative run time.
	speedGain = 0.1
	// maxSpeed bounds one observation, so that a single straggler does not
	// mark its agent as slow.
	maxSpeed = 10.0
)

// RunTimeEstimator estimates run times of services and agents from results. It is not
// safe for concurrent use.
type RunTimeEstimator struct {
	o        RunTimeEstimatorOptions
	services map[string]*service
	agents   map[string]float64
}

type service struct {
	window *hdrhistogram.WindowedHistogram
	merged *hdrhistogram.Histogram
	// mergedAt is the number of observations in merged.
	mergedAt int
	// slowest holds estimates by the bit length of the number of tasks, 0 if unknown.
	slowest [17]gypsumtide.Millis
	count   int
	mean    float64
	granted int
	class   gypsumtide.Class
}

// NewRunTimeEstimator returns a RunTimeEstimator without observations.
func NewRunTimeEstimator(o RunTimeEstimatorOptions) *RunTimeEstimator {
	if o.Threshold <= 0 {
		o.Threshold = defaultThreshold
	}
	if o.MinObservations <= 0 {
		o.MinObservations = defaultEnough
	}
	if o.Quantile <= 0 || o.Quantile >= 1 {
		o.Quantile = defaultQuantile
	}
	return &RunTimeEstimator{o: o, services: map[string]*service{}, agents: map[string]float64{}}
}

func (l *RunTimeEstimator) service(name string) *service {
	s := l.services[name]
	if s == nil {
		s = &service{}
		l.services[name] = s
	}
	return s
}

// Classify returns the class of a task of the service. The declared run time,
// 0 if none, counts only until enough run times have been observed. Until then
// at most that many open tasks are short on the strength of a hint, or of none,
// and the rest are long, so that a wrong hint occupies few of the slots
// reserved for short work.
func (l *RunTimeEstimator) Classify(name string, declared gypsumtide.Millis) gypsumtide.Class {
	class := l.Class(name, declared)
	if s := l.service(name); s.count < l.o.MinObservations && class == gypsumtide.ClassShort {
		s.granted++
	}
	return class
}

// Class returns what Classify would return, without counting a task.
func (l *RunTimeEstimator) Class(name string, declared gypsumtide.Millis) gypsumtide.Class {
	s := l.service(name)
	if s.count >= l.o.MinObservations {
		return s.class
	}
	if declared > l.o.Threshold || s.granted >= l.o.MinObservations {
		return gypsumtide.ClassLong
	}
	return gypsumtide.ClassShort
}

// Observe records the run time of a finished task.
func (l *RunTimeEstimator) Observe(name, agent string, runTime gypsumtide.Millis) {
	runTime = min(max(runTime, 1), maxRunTime)
	s := l.service(name)
	if s.window == nil {
		s.window = hdrhistogram.NewWindowed(2, 1, int64(maxRunTime), 2)
	}
	if s.count > 0 {
		l.observeAgent(agent, float64(runTime)/s.mean)
	}
	if s.count%windowSize == windowSize-1 {
		s.window.Rotate()
	}
	// The value is inside the range of the histogram.
	_ = s.window.Current.RecordValue(int64(runTime))
	s.granted = max(0, s.granted-1)
	s.count++
	s.mean += (float64(runTime) - s.mean) / float64(min(s.count, windowSize))
	if s.count >= l.o.MinObservations && (s.count == l.o.MinObservations || s.count%classifyEvery == 0) {
		s.class = l.classOf(s)
	}
}

func (l *RunTimeEstimator) classOf(s *service) gypsumtide.Class {
	limit := float64(l.o.Threshold)
	if s.class == gypsumtide.ClassLong && s.count > l.o.MinObservations {
		limit *= backToShort
	}
	if float64(s.quantile(l.o.Quantile)) > limit {
		return gypsumtide.ClassLong
	}
	return gypsumtide.ClassShort
}

func (s *service) quantile(q float64) gypsumtide.Millis {
	if s.merged == nil || s.count-s.mergedAt >= min(mergeEvery, 1+s.mergedAt/8) {
		s.merged, s.mergedAt = s.window.Merge(), s.count
		clear(s.slowest[:])
	}
	return gypsumtide.Millis(s.merged.ValueAtQuantile(q * 100))
}

func (l *RunTimeEstimator) observeAgent(agent string, ratio float64) {
	ratio = min(ratio, maxSpeed)
	if speed, ok := l.agents[agent]; ok {
		ratio = speed + speedGain*(ratio-speed)
	} else {
		ratio = 1 + speedGain*(ratio-1)
	}
	l.agents[agent] = ratio
}

// HasEnoughObservations reports whether enough run times of the service have been observed.
func (l *RunTimeEstimator) HasEnoughObservations(name string) bool {
	s := l.services[name]
	return s != nil && s.count >= l.o.MinObservations
}

// Mean returns the mean run time of the service, or 0 without observations.
func (l *RunTimeEstimator) Mean(name string) gypsumtide.Millis {
	if s := l.services[name]; s != nil {
		return gypsumtide.Millis(s.mean)
	}
	return 0
}

// Quantile returns a quantile between 0 and 1 of the recent run times of the
// service, or 0 without observations.
func (l *RunTimeEstimator) Quantile(name string, q float64) gypsumtide.Millis {
	if s := l.services[name]; s != nil && s.count > 0 {
		return s.quantile(q)
	}
	return 0
}

// Slowest returns the run time that the slowest of n tasks of the service
// exceeds in one of twenty cases, or 0 without observations.
func (l *RunTimeEstimator) Slowest(name string, n int) gypsumtide.Millis {
	s := l.services[name]
	if s == nil || s.count == 0 || n <= 0 {
		return 0
	}
	i := min(bits.Len(uint(n-1)), len(s.slowest)-1)
	if s.slowest[i] == 0 || s.count-s.mergedAt >= mergeEvery {
		s.slowest[i] = s.quantile(math.Pow(slowestQuantile, 1/float64(int(1)<<i)))
	}
	return s.slowest[i]
}

// Slowness returns an agent's run time relative to the pool for
// AgentView.SetSlowness: 1 is average, 5 is five times slower.
func (l *RunTimeEstimator) Slowness(agent string) float64 {
	if s, ok := l.agents[agent]; ok {
		return s
	}
	return 1
}

// Forget drops what is known of an agent that left or was replaced.
func (l *RunTimeEstimator) Forget(agent string) { delete(l.agents, agent) }
