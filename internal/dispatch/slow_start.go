package dispatch

import (
	"gypsumtide"
	"gypsumtide/internal/placement"
)

// slowStartTime is how long the workers of a zone whose evacuation has ended are not used
// fully.
const slowStartTime = placement.SlowStartTime

// limitedWait returns the expected wait in milliseconds for a task of the size on a worker
// of which only a share is used. An idle worker always takes one task.
func (w *worker) limitedWait(load, size gypsumtide.Size) float64 {
	if load == (gypsumtide.Size{}) {
		return w.waitBehind(load, size)
	}
	part := func(n int64) int64 { return int64(w.share * float64(n)) }
	c := w.report.Capacity
	return expectedWait(gypsumtide.Size{Processors: part(c.Processors), Memory: part(c.Memory), Accelerators: part(c.Accelerators)}, load, size)
}

// updateSlowStarts sets the shares of the workers in zones whose evacuation ended less than
// slowStartTime ago.
func (s *State) updateSlowStarts(now gypsumtide.Millis) {
	s.slowStartNow = now
	if len(s.slowStarts) == 0 {
		return
	}
	for _, w := range s.workerList {
		s.updateShare(now, w)
	}
	for zone, begin := range s.slowStarts {
		if now-begin >= slowStartTime {
			delete(s.slowStarts, zone)
		}
	}
}

func (s *State) updateShare(now gypsumtide.Millis, w *worker) {
	w.share = 1
	if begin, ok := s.slowStarts[w.report.Zone]; ok {
		w.share = placement.SlowStartShare(now - begin)
	}
}

// limitsShares reports whether the slow start applies to a task. It does not if the task
// can wait no longer, or if no other worker takes such tasks.
func (s *State) limitsShares(t *task) bool {
	if len(s.slowStarts) == 0 || s.slowStartNow >= s.latestStart(t.job, t.step) {
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
