package dispatch

import (
	"math"

	"gypsumtide"
	"gypsumtide/internal/placement"
)

// slowStartTime is how long the workers of a zone are not used fully after its evacuation.
const slowStartTime = placement.SlowStartTime

// limitedWait returns the expected wait in milliseconds for a task of the size on a worker
// of which only a share is used. An idle worker always takes one task.
func (w *worker) limitedWait(load, size gypsumtide.Size) float64 {
	wait := w.waitBehind(load, size)
	if load == (gypsumtide.Size{}) {
		return wait
	}
	// A part that is rounded down to none would count as one that the worker does not have.
	part := func(n int64) int64 { return int64(math.Ceil(w.share * float64(n))) }
	c := w.report.Capacity
	return max(wait, expectedWait(gypsumtide.Size{Processors: part(c.Processors), Memory: part(c.Memory), Accelerators: part(c.Accelerators)}, load, size))
}

// beginSlowStart begins the slow start of a worker at the end of an evacuation.
func (s *State) beginSlowStart(now gypsumtide.Millis, w *worker) {
	s.endSlowStart(w)
	w.share, w.slowStartAt = placement.SlowStartShare(0), now
	s.slowStarts++
}

// endSlowStart lets a worker be used fully.
func (s *State) endSlowStart(w *worker) {
	if w.share < 1 {
		w.share = 1
		s.slowStarts--
	}
}

// updateSlowStarts sets the shares of the workers in a slow start.
func (s *State) updateSlowStarts(now gypsumtide.Millis) {
	if s.slowStarts == 0 {
		return
	}
	for _, w := range s.workerList {
		if w.share == 1 {
			continue
		}
		if share := placement.SlowStartShare(now - w.slowStartAt); share < 1 {
			w.share = share
			continue
		}
		s.endSlowStart(w)
	}
}

// limitsShares reports whether the slow start applies to a task. It does not if the task
// can wait no longer, or if no other worker takes such tasks.
func (s *State) limitsShares(now gypsumtide.Millis, t *task) bool {
	if s.slowStarts == 0 || now >= s.latestStart(t.job, t.step) {
		return false
	}
	for _, w := range s.workerList {
		if w.share == 1 && w.usable() && w.suits(t.job.route.Service, &t.job.steps[t.step]) {
			return true
		}
	}
	return false
}

// limitShare returns the estimate with the wait for the share of the worker's capacity that
// is used.
func (w *worker) limitShare(e costEstimate, priority int, size gypsumtide.Size) costEstimate {
	if w.share == 1 {
		return e
	}
	extra := w.limitedWait(w.load(priority), size) - e.wait
	e.wait += extra
	e.end += extra
	e.cost += extra
	return e
}
