package dispatch

import (
	"math"

	"gypsumtide"
	"gypsumtide/internal/placement"
)

// slowStartWait returns the expected wait in milliseconds for a task of the size on a worker
// of which only a share is used. An idle worker always takes one task.
func (w *worker) slowStartWait(load, size gypsumtide.Size) float64 {
	if load == (gypsumtide.Size{}) {
		return w.waitBehind(load, size)
	}
	// A part that is rounded down to none would count as one that the worker does not have.
	part := func(n int64) int64 { return int64(math.Ceil(w.usedShare * float64(n))) }
	c := w.report.Capacity
	return waitForRoom(gypsumtide.Size{Processors: part(c.Processors), Memory: part(c.Memory), Accelerators: part(c.Accelerators)}, load, size)
}

// beginSlowStart begins the slow start of a worker at the end of an evacuation.
func (s *State) beginSlowStart(now gypsumtide.Millis, w *worker) {
	s.endSlowStart(w)
	w.usedShare, w.slowStartAt = placement.SlowStartShare(0), now
	s.slowStarts++
}

// endSlowStart lets a worker be used fully.
func (s *State) endSlowStart(w *worker) {
	if w.usedShare < 1 {
		w.usedShare = 1
		s.slowStarts--
	}
}

// updateSlowStarts sets the shares of the workers in a slow start.
func (s *State) updateSlowStarts(now gypsumtide.Millis) {
	if s.slowStarts == 0 {
		return
	}
	for _, w := range s.workerList {
		if w.usedShare == 1 {
			continue
		}
		if share := placement.SlowStartShare(now - w.slowStartAt); share < 1 {
			w.usedShare = share
			continue
		}
		s.endSlowStart(w)
	}
}

// slowStartApplies reports whether the slow start applies to a task. It does not if the task
// can wait no longer, or if no other worker takes such tasks.
func (s *State) slowStartApplies(now gypsumtide.Millis, t *task) bool {
	if s.slowStarts == 0 || now >= s.latestStart(t.job, t.step) {
		return false
	}
	for _, w := range s.workerList {
		if w.usedShare == 1 && w.usable() && w.suits(t.job.route.Service, &t.job.steps[t.step]) {
			return true
		}
	}
	return false
}

// withSlowStart returns the estimate with the wait for the share of the worker's capacity that
// is used.
func (w *worker) withSlowStart(e costEstimate, priority int, size gypsumtide.Size) costEstimate {
	if w.usedShare == 1 {
		return e
	}
	e.delay(w, w.slowStartWait(w.load(priority), size)-e.wait)
	return e
}
