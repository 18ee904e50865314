package dispatch

import (
	"math"

	"gypsumtide"
)

// Parameters of the worker speeds.
const (
	// speedWeight is the weight of one run in a worker's moving average.
	speedWeight = 0.08
	// reportedSlownessThreshold is the slowness in an agent's report from which the report
	// takes precedence over the learned speed. The report includes runs in progress, so it
	// is the first to show that a worker has become slow, but it is affected by estimation
	// errors.
	reportedSlownessThreshold = 2.0
	// maxLogSpeedSample bounds a single sample.
	maxLogSpeedSample = 1.5
)

// speed is the learned run time of one incarnation of a worker relative to other workers,
// as a natural logarithm.
type speed struct {
	workerIncarnation gypsumtide.Incarnation
	log               float64
}

// updateSlowness updates the expected run time relative to an average worker.
func (w *worker) updateSlowness() {
	switch {
	case w.reportedSlowness >= reportedSlownessThreshold:
		w.slowness = w.reportedSlowness
	case w.speed.workerIncarnation != w.report.Incarnation:
		w.slowness = 1
	default:
		w.slowness = math.Exp(w.speed.log)
	}
}

// updateSpeeds compares the run times of the tasks of a completed step. The tasks have
// about the same amount of work, so differences come from the workers, whatever the error
// of the estimate.
func (s *State) updateSpeeds(j *job, step int) {
	sum, n := 0.0, 0
	for _, t := range j.tasks {
		if w := s.workerOf(t, step); w != nil {
			sum += math.Log(float64(t.runTime)) - w.speed.log
			n++
		}
	}
	if n < 2 {
		return
	}
	mean := sum / float64(n)
	for _, t := range j.tasks {
		if w := s.workerOf(t, step); w != nil {
			sample := min(maxLogSpeedSample, max(-maxLogSpeedSample, math.Log(float64(t.runTime))-mean))
			w.speed.log += speedWeight * (sample - w.speed.log)
			w.updateSlowness()
		}
	}
}

// workerOf returns the worker that ran the task, if the task belongs to the step and is
// done, and the worker is still the same incarnation.
func (s *State) workerOf(t *task, step int) *worker {
	w, ok := s.workers[t.worker]
	if !ok || t.step != step || t.phase != taskDone || t.runTime <= 0 || w.report.Incarnation != t.workerIncarnation {
		return nil
	}
	if w.speed.workerIncarnation != t.workerIncarnation {
		w.speed = speed{workerIncarnation: t.workerIncarnation}
	}
	return w
}
