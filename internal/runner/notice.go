package runner

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

const (
	// noticeTolerance is the change of the time at which the worker may end that entries
	// need not be told. The delays of heartbeats vary by less.
	noticeTolerance gypsumtide.Millis = 100
	// leavingProjectFactor is the ratio of two projections, in either direction, from which
	// the later one is reported while the worker leaves.
	leavingProjectFactor = 1.1
)

// updateNotice updates the time at which the worker may end from its newest heartbeat. A
// worker that drains without a remaining time has no such time.
func (s *State) updateNotice(now gypsumtide.Millis) {
	if !s.info.Draining || s.info.Remaining == nil {
		s.leavesAt = 0
		return
	}
	at := max(1, now+*s.info.Remaining)
	if s.leavesAt > 0 && max(at-s.leavesAt, s.leavesAt-at) <= noticeTolerance {
		return
	}
	s.leavesAt = at
	s.log.Decision("worker-leaves", "life", s.incarnation, "leaves-in-ms", *s.info.Remaining, "running", s.Running(), "waiting", len(s.queue))
}

// LeavesAt returns the time from which the worker may end, or 0 if it has not announced one.
func (s *State) LeavesAt() gypsumtide.Millis { return s.leavesAt }

// addNotice adds the remaining time of a leaving worker to its description.
func (s *State) addNotice(now gypsumtide.Millis, r *wire.WorkerReport) {
	if s.leavesAt > 0 {
		r.Leaving, r.LeavesIn, r.LeavesAt = true, max(0, s.leavesAt-now), s.leavesAt
	}
}

// projectionDue reports whether the owner of a run has to be told the projection of its total
// run time. While the worker leaves, the owner decides from it whether the run ends in time,
// so it is told the first one, and later ones that differ in either direction.
func (s *State) projectionDue(r *run, total gypsumtide.Millis) bool {
	if s.leavesAt > 0 {
		return r.projected == 0 || float64(total) >= leavingProjectFactor*float64(r.projected) || float64(total)*leavingProjectFactor <= float64(r.projected)
	}
	return float64(total) >= projectFactor*float64(max(r.order.Expected, r.projected))
}
