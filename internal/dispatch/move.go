package dispatch

import (
	"math"

	"gypsumtide"
)

// Limits of runs that stand still.
const (
	// stillFactor times the expected run time is when a run counts as standing
	// still, if its worker is slow too.
	stallFactor = 3
	// stillSlowness is the slowness of a worker whose runs are moved.
	stallSlowness = 3.0
	// minStill keeps short runs from being moved for a hiccup.
	minStallTime gypsumtide.Millis = 100
	// maxMoves bounds the moves of a task. One that seems to stand still everywhere
	// has to end where it is.
	maxMoves = 3
)

// standsStill reports whether a run should be tried elsewhere: it takes several
// times the expected time, and its worker is slow with other runs as well.
// Long runs on a sound worker are long by themselves.
func (s *State) stalled(now gypsumtide.Millis, t *task) bool {
	w, ok := s.workers[t.worker]
	if !ok {
		return false
	}
	expected := s.expected(t.job, t.step)
	return t.moves < maxMoves && w.reportedSlowness >= stallSlowness && now-max(t.ordered, t.started) > max(minStallTime, stallFactor*expected)
}

// move has a run stopped, to be tried elsewhere.
func (s *State) moveRun(now gypsumtide.Millis, t *task, reason string) {
	s.log.Decision("run-moved", "run", t.ref(), "worker", t.worker, "reason", reason,
		"ordered-ms", now-t.ordered, "ends-in-ms", max(0, t.projectedEnd-now))
	t.avoidWorker = t.worker
	t.moves++
	s.stopRun(t)
}

// moveAfter is how long an order may wait at an agent before another worker
// with room is preferred.
const recallDelay gypsumtide.Millis = 8

// freeWorkers returns the number of workers that seem to have room for a task.
func (s *State) countFreeWorkers() int {
	n := 0
	for _, w := range s.workerList {
		if w.usable() && w.load(math.MaxInt).Processors < w.report.Capacity.Processors-minFreeProcessors {
			n++
		}
	}
	return n
}

// freeRoom is the part of a worker that makes it worth a look for waiting
// orders, in thousandths of a core.
const minFreeProcessors = 1000

// moveWaiting recalls an order that waits although another worker has room.
// Load pattern: several entries choose the same worker before its next report.
func (s *State) recallQueued(now gypsumtide.Millis, t *task) {
	if w, ok := s.workers[t.worker]; !ok || !w.connected {
		return
	}
	c := s.choose(t)
	if c.worker == nil || c.worker.id == t.worker || c.estimate.wait > 0 {
		return
	}
	t.recalled = now
	s.recallBudget--
	m := s.messages(t.worker)
	m.Recalls = append(m.Recalls, t.ref())
}

// projected takes the time that a long run has left. The run is tried elsewhere
// if it would end sooner there; the job is given up if it cannot end in time.
func (s *State) updateProjection(now gypsumtide.Millis, t *task, remaining gypsumtide.Millis, stalled bool) {
	j := t.job
	t.projectedEnd = now + remaining
	if s.jobs[j.id] != j || t.stopping || j.pendingRefusal != nil {
		return
	}
	elsewhere := s.remainingElsewhere(now, t, stalled)
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
	// giveUpFactor is the projected time left relative to the time until the
	// deadline from which a job is given up.
	abortFactor = 1.1
	// movePayment is the part of the time left that a move must at least save.
	minMoveSaving = 0.5
	// moveDelay is the time until a stopped run has been started elsewhere.
	moveDelay = 15
)

// leftElsewhere returns the time to the end of a task that is tried again on
// another worker. The work stays the same and only the workers differ, unless
// the run stands still: then its worker is at fault, and the expected time holds.
func (s *State) remainingElsewhere(now gypsumtide.Millis, t *task, stalled bool) float64 {
	w, ok := s.workers[t.worker]
	if !ok {
		return math.Inf(1)
	}
	before := t.avoidWorker
	t.avoidWorker = w.id
	c := s.choose(t)
	t.avoidWorker = before
	if c.worker == nil || c.worker == w {
		return math.Inf(1)
	}
	work := float64(t.projectedEnd-max(t.ordered, t.started)) / w.slowness
	if stalled {
		work = float64(s.expected(t.job, t.step))
	}
	return moveDelay + c.estimate.wait + work*c.worker.slowness
}
