package dispatch

import (
	"math"

	"gypsumtide"
)

// Thresholds for stalled runs.
const (
	// stallFactor times the expected run time is when a run counts as stalled if its
	// worker is slow as well.
	stallFactor = 3
	// stallSlowness is the reported slowness from which stalled counts a worker as slow.
	stallSlowness = 3.0
	// minStallTime keeps short runs from being moved after a short delay.
	minStallTime gypsumtide.Millis = 100
	// maxMoves bounds the moves of a task. A task that seems to stall on every worker
	// has to finish where it is.
	maxMoves = 3
)

// stalled reports whether a run should be retried on another worker: it takes several
// times the expected time, and its worker is slow with other runs as well. A long run on
// a healthy worker would take just as long elsewhere. A run in an evacuated zone cannot start
// there again, so it is not stopped unless another worker takes the task.
func (s *State) stalled(now gypsumtide.Millis, t *task) bool {
	w, ok := s.workers[t.worker]
	if !ok {
		return false
	}
	expected := s.expected(t.job, t.step)
	if t.moves >= maxMoves || w.reportedSlowness < stallSlowness || now-max(t.orderedAt, t.startedAt) <= max(minStallTime, stallFactor*expected) {
		return false
	}
	return !w.evacuated || s.choose(now, t).worker != nil
}

// moveRun stops a run, so that the task is retried on another worker.
func (s *State) moveRun(now gypsumtide.Millis, t *task, reason string, details ...any) {
	s.log.Decision("run-moved", append([]any{"run", t.ref(), "worker", t.worker, "reason", reason,
		"ordered-ms", now - t.orderedAt, "ends-in-ms", max(0, t.projectedEnd-now)}, details...)...)
	t.avoidWorker = t.worker
	if reason != reasonWorkerLeaves { // A worker that leaves says nothing about the task.
		t.moves++
	}
	s.stopRun(t)
}

// recallDelay is how long an order may wait at an agent before it is recalled in favour
// of a worker with free capacity.
const recallDelay gypsumtide.Millis = 8

// countFreeWorkers returns the number of workers that appear to have free capacity.
func (s *State) countFreeWorkers() int {
	n := 0
	for _, w := range s.workerList {
		if w.usable() && w.load(math.MaxInt).Processors < w.report.Capacity.Processors-minFreeProcessors {
			n++
		}
	}
	return n
}

// minFreeProcessors is the free capacity, in thousandths of a core, above which a worker
// counts as free in countFreeWorkers.
const minFreeProcessors = 1000

// recallQueued recalls a queued order if another worker could start it at once. This
// happens when several entries choose the same worker before its next load report.
func (s *State) recallQueued(now gypsumtide.Millis, t *task) {
	if w, ok := s.workers[t.worker]; !ok || !w.connected {
		return
	}
	c := s.choosePlace(now, t)
	if c.worker == nil || c.worker.id == t.worker || c.estimate.wait > 0 {
		return
	}
	t.recalledAt = now
	s.recallBudget--
	m := s.messages(t.worker)
	m.Recalls = append(m.Recalls, t.ref())
}

// updateProjection processes the projected remaining time of a long run. The run is
// moved if it would end much sooner on the best other worker. An ephemeral job is aborted
// if the run can end in time on neither worker.
func (s *State) updateProjection(now gypsumtide.Millis, t *task, remaining gypsumtide.Millis, stalled bool) {
	j := t.job
	t.projectedEnd, t.stalled = now+remaining, stalled
	if s.jobs[j.id] != j || t.stopping || j.pendingRefusal != nil {
		return
	}
	elsewhere := s.remainingElsewhere(now, t)
	if t.moves < maxMoves && elsewhere < float64(remaining)*(1-minMoveSaving) {
		reason := "faster-elsewhere"
		if stalled {
			reason = "stands-still"
		}
		s.moveRun(now, t, reason)
		return
	}
	if !j.stored && min(float64(remaining), elsewhere) > abortFactor*float64(j.deadline-now) {
		s.abort(now, j, "cannot-end-in-time")
	}
}

const (
	// abortFactor is the projected remaining time, relative to the time until the
	// deadline, above which a job is aborted.
	abortFactor = 1.1
	// minMoveSaving is the share of the remaining time that a move has to save.
	minMoveSaving = 0.5
	// moveDelay is the time in milliseconds from stopping a run to its start elsewhere.
	moveDelay = 15
)

// remainingElsewhere returns the time in milliseconds to the end of a task if it is retried
// on another worker, or infinity if there is none. The projected run time is scaled by the
// slowness of the two workers. If the run makes no progress, its worker is at fault and the
// expected run time, scaled by the slowness of the other worker, is used instead.
func (s *State) remainingElsewhere(now gypsumtide.Millis, t *task) float64 {
	w, ok := s.workers[t.worker]
	if !ok {
		return math.Inf(1)
	}
	c := s.chooseOther(now, t, w)
	if c.worker == nil || c.worker == w {
		return math.Inf(1)
	}
	return moveDelay + c.estimate.wait + s.runTimeElsewhere(t, w, c.worker)
}
