package dispatch

import (
	"math"

	"gypsumtide"
)

// Learning of worker speeds.
const (
	// speedWeight is the weight of one run in a worker's average.
	speedWeight = 0.08
	// slowReport is the slowness in an agent's report that goes before the
	// learned speed. It also counts runs in progress, so it shows first that a
	// worker has become slow, but it follows the errors of the estimates.
	slowReport = 2.0
	// maxLogSpeed bounds a single sample.
	maxLogSpeed = 1.5
)

// speed is the learned run time of one life of a worker relative to the others.
type speed struct {
	life gypsumtide.Incarnation
	log  float64
}

// updateSlowness sets the expected run time relative to an average worker.
func (w *worker) updateSlowness() {
	switch {
	case w.reportedSlowness >= slowReport:
		w.slowness = w.reportedSlowness
	case w.speed.life != w.report.Incarnation:
		w.slowness = 1
	default:
		w.slowness = math.Exp(w.speed.log)
	}
}

// learnSpeeds compares the tasks of a step that is done. They have about the
// same work, so what differs is the workers; the estimate's error does not matter.
func (s *State) learnSpeeds(j *job, step int) {
	sum, n := 0.0, 0
	for _, t := range j.tasks {
		if w := s.ranAt(t, step); w != nil {
			sum += math.Log(float64(t.ran)) - w.speed.log
			n++
		}
	}
	if n < 2 {
		return
	}
	mean := sum / float64(n)
	for _, t := range j.tasks {
		if w := s.ranAt(t, step); w != nil {
			sample := min(maxLogSpeed, max(-maxLogSpeed, math.Log(float64(t.ran))-mean))
			w.speed.log += speedWeight * (sample - w.speed.log)
			w.updateSlowness()
		}
	}
}

// ranAt returns the worker that ran a task of the step, if it is still in the
// same life.
func (s *State) ranAt(t *task, step int) *worker {
	w, ok := s.workers[t.worker]
	if !ok || t.step != step || t.phase != taskDone || t.ran <= 0 || w.report.Incarnation != t.life {
		return nil
	}
	if w.speed.life != t.life {
		w.speed = speed{life: t.life}
	}
	return w
}
