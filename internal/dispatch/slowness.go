package dispatch

import (
	"math"

	"gypsumtide"
)

// Parameters of the slowness of workers.
const (
	// slownessWeight is the weight of one run in a worker's learned slowness.
	slownessWeight = 0.08
	// reportedSlownessThreshold is the slowness in an agent's report from which the report
	// takes precedence over the learned slowness. The report includes runs in progress, so it
	// is the first to show that a worker has become slow, but it is affected by estimation
	// errors.
	reportedSlownessThreshold = 2.0
	// maxLogSlownessSample bounds the absolute value of a single sample of logSlowness.
	maxLogSlownessSample = 1.5
)

// learnedSlowness is the run time of one incarnation of a worker relative to that of other
// workers, learned from the tasks of completed steps. logSlowness is its natural logarithm.
type learnedSlowness struct {
	workerIncarnation gypsumtide.Incarnation
	logSlowness       float64
}

// updateSlowness sets the worker's slowness from the agent's report, or from the learned
// slowness if that belongs to the worker's present incarnation.
func (w *worker) updateSlowness() {
	switch {
	case w.reportedSlowness >= reportedSlownessThreshold:
		w.slowness = w.reportedSlowness
	case w.learned.workerIncarnation != w.report.Incarnation:
		w.slowness = 1
	default:
		w.slowness = math.Exp(w.learned.logSlowness)
	}
}

// learnSlowness updates the learned slowness of the workers from the run times of the tasks
// of a completed step. The tasks have about the same amount of work, so differences come
// from the workers, whatever the error of the estimate.
func (s *State) learnSlowness(j *job, step int) {
	sum, n := 0.0, 0
	for _, t := range j.tasks {
		if w := s.workerOf(t, step); w != nil {
			sum += math.Log(float64(t.runTime)/s.placeFactor(t, w)) - w.learned.logSlowness
			n++
		}
	}
	if n < 2 {
		return
	}
	mean := sum / float64(n)
	for _, t := range j.tasks {
		if w := s.workerOf(t, step); w != nil {
			sample := min(maxLogSlownessSample, max(-maxLogSlownessSample, math.Log(float64(t.runTime)/s.placeFactor(t, w))-mean))
			w.learned.logSlowness += slownessWeight * (sample - w.learned.logSlowness)
			w.updateSlowness()
		}
	}
}

// workerOf returns the worker that ran the task. It returns nil unless the task belongs to
// the step and is done, and the worker is still the same incarnation. It discards what was
// learned from the runs of another incarnation.
func (s *State) workerOf(t *task, step int) *worker {
	w, ok := s.workers[t.worker]
	if !ok || t.step != step || t.phase != taskDone || t.runTime <= 0 || w.report.Incarnation != t.workerIncarnation {
		return nil
	}
	if w.learned.workerIncarnation != t.workerIncarnation {
		w.learned = learnedSlowness{workerIncarnation: t.workerIncarnation}
	}
	return w
}
