package dispatch

import (
	"cmp"
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Parameters of the moves of runs off workers that leave.
const (
	// leaveMargin is the time before a worker may be gone by which a run must have ended
	// there. It covers the report of the end and the delay of the notice.
	leaveMargin gypsumtide.Millis = 50
	// leaveRecheck is the time after which a run that is not moved is considered again. Each
	// time compares up to maxCandidates workers.
	leaveRecheck gypsumtide.Millis = 50
	// reasonWorkerLeaves is the reason of a move in logs.
	reasonWorkerLeaves = "worker-leaves"
)

// leaveVerdict says what happens to a run on a worker that leaves.
type leaveVerdict uint8

const (
	// leaveUndecided is the verdict of a run that has not been considered yet.
	leaveUndecided leaveVerdict = iota
	// leaveEndsInTime means that the run ends before the worker is gone.
	leaveEndsInTime
	// leaveMoves means that the run is stopped and retried on another worker.
	leaveMoves
	// leaveNoRoom means that no other worker could start the task soon.
	leaveNoRoom
	// leaveTooLate means that the task would end after the deadline of its job on any
	// other worker.
	leaveTooLate
)

// leaveVerdictNames has the names of the verdicts in logs and metrics.
var leaveVerdictNames = [...]string{"undecided", "ends-in-time", "moved", "no-room", "too-late-elsewhere"}

// String returns the name used in logs and metrics.
func (v leaveVerdict) String() string { return leaveVerdictNames[v] }

// leaveTimes are the times that decide whether a run stays on a worker that leaves.
type leaveTimes struct {
	// end is the time of the run's projected or expected end, leavesAt the time from which
	// the worker may be gone.
	end, leavesAt gypsumtide.Millis
	// room is set if another worker could start the task soon. endElsewhere is when the
	// task would end there.
	room         bool
	endElsewhere gypsumtide.Millis
	deadline     gypsumtide.Millis
}

// verdict decides whether the run stays or moves. A move that does not let the job end in
// time gains nothing, and the worker may stay longer than it has announced.
func (t *leaveTimes) verdict() leaveVerdict {
	switch {
	case t.endsInTime():
		return leaveEndsInTime
	case !t.room:
		return leaveNoRoom
	case t.endElsewhere > t.deadline:
		return leaveTooLate
	}
	return leaveMoves
}

// endsInTime reports whether the run ends before the worker is gone.
func (t *leaveTimes) endsInTime() bool { return t.end+leaveMargin <= t.leavesAt }

// updateNotice sets the time from which a worker may be gone from its agent's report.
func (s *State) updateNotice(now gypsumtide.Millis, w *worker, r *wire.WorkerReport) {
	if !r.Leaving {
		w.leavesAt = 0
		return
	}
	at := max(1, now+r.LeavesIn)
	if w.leavesAt == 0 || max(at-w.leavesAt, w.leavesAt-at) > leaveMargin {
		s.log.Decision("worker-leaves", "worker", w.id, "life", r.Incarnation, "leaves-in-ms", r.LeavesIn, "runs", len(w.tasks))
	}
	w.leavesAt = at
}

// moveLeavingRuns moves the runs that do not end before their worker is gone and can end in
// time elsewhere. The runs of urgent jobs go first, since room may be scarce.
func (s *State) moveLeavingRuns(now gypsumtide.Millis) {
	var tasks []*task
	for _, w := range s.workerList {
		if w.leavesAt == 0 || !w.connected {
			continue
		}
		for _, t := range w.tasks {
			if s.leaveCheckDue(now, t) {
				tasks = append(tasks, t)
			}
		}
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.job.route.Priority, b.job.route.Priority), cmp.Compare(a.job.objective, b.job.objective),
			cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.step, b.step), cmp.Compare(a.name.Index, b.name.Index))
	})
	for _, t := range tasks {
		s.checkLeavingRun(now, t)
	}
}

// leaveCheckDue reports whether it must be decided whether a run stays on its worker. An
// order that has not started is returned by the agent.
func (s *State) leaveCheckDue(now gypsumtide.Millis, t *task) bool {
	j := t.job
	if s.jobs[j.id] != j || t.stopping || j.pendingRefusal != nil {
		return false
	}
	started := t.phase == taskRunning || t.phase == taskOrdered && now-t.orderedAt >= presumedStartDelay
	return started && (t.leaveVerdict == leaveUndecided || t.leaveVerdict == leaveEndsInTime || now-t.leaveCheckedAt >= leaveRecheck)
}

// checkLeavingRun decides whether a run on a worker that leaves stays there, and moves it
// otherwise.
func (s *State) checkLeavingRun(now gypsumtide.Millis, t *task) {
	w := s.workers[t.worker]
	times := leaveTimes{end: s.endHere(now, t, w), leavesAt: w.leavesAt, deadline: t.job.deadline}
	var c choice
	if !times.endsInTime() {
		t.leaveCheckedAt = now
		c = s.chooseOther(now, t, w)
		if times.room = c.startsSoon() && c.worker != w; times.room {
			times.endElsewhere = now + moveDelay + gypsumtide.Millis(math.Ceil(c.estimate.wait+s.runTimeElsewhere(t, w, c.worker)))
		}
	}
	verdict := times.verdict()
	if verdict == t.leaveVerdict {
		return
	}
	t.leaveVerdict = verdict
	s.effects.LeaveVerdicts = append(s.effects.LeaveVerdicts, verdict)
	details := []any{"leaves-in-ms", w.leavesAt - now, "end-here-ms", times.end - now, "end-elsewhere-ms", max(0, times.endElsewhere-now), "deadline-ms", times.deadline - now}
	if verdict != leaveMoves {
		s.log.Decision("run-stays", append([]any{"run", t.ref(), "worker", t.worker, "reason", verdict.String()}, details...)...)
		return
	}
	s.reserveMove(t, c.worker)
	s.moveRun(now, t, reasonWorkerLeaves, append([]any{"target", c.worker.id.Agent}, details...)...)
}

// endHere returns the time at which a run ends on its worker: the projected one, or the
// expected one if there is no projection.
func (s *State) endHere(now gypsumtide.Millis, t *task, w *worker) gypsumtide.Millis {
	if t.projectedEnd > 0 {
		return max(now, t.projectedEnd)
	}
	expected := s.runTimeFrom(t.resumedFrom, float64(s.expected(t.job, t.step)), w.slowness*s.placeFactor(t, w))
	return max(now, t.runStart()+gypsumtide.Millis(math.Ceil(expected)))
}

// runTimeElsewhere returns the run time in milliseconds of a new run of the task on another
// worker. The projection of the present run takes precedence over the estimate.
func (s *State) runTimeElsewhere(t *task, w, other *worker) float64 {
	work := float64(s.expected(t.job, t.step))
	if t.projectedEnd > 0 && !t.stalled {
		work = s.wholeWork(t, float64(t.projectedEnd-t.runStart()), w.slowness*s.placeFactor(t, w))
	}
	return s.runTimeFrom(t.checkpoint, work, other.slowness*s.placeFactor(t, other))
}

// runStart returns the time at which the task's run started.
func (t *task) runStart() gypsumtide.Millis { return max(t.orderedAt, t.startedAt) }

// chooseOther returns the best choice for the task with a penalty for its worker w, which it
// may still be.
func (s *State) chooseOther(now gypsumtide.Millis, t *task, w *worker) choice {
	avoided := t.avoidWorker
	t.avoidWorker = w.id
	c := s.choose(now, t)
	t.avoidWorker = avoided
	return c
}

// reserveMove counts the task in the load of the worker that is to run it next, until its
// present run has ended. Otherwise all runs of a leaving worker would count on the same room.
func (s *State) reserveMove(t *task, w *worker) {
	w.incoming = w.incoming.Add(t.size())
	t.moveTarget = w
}

// releaseMove ends the reservation of a move.
func (t *task) releaseMove() {
	if t.moveTarget != nil {
		t.moveTarget.incoming = t.moveTarget.incoming.Sub(t.size())
		t.moveTarget = nil
	}
}
