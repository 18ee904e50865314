package dispatch

import (
	"math"

	"gypsumtide"
)

// Limits of runs that stand still.
const (
	// stillFactor times the expected run time is when a run counts as standing
	// still, if its worker is slow too.
	stillFactor = 3
	// stillSlowness is the slowness of a worker whose runs are moved.
	stillSlowness = 3.0
	// minStill keeps short runs from being moved for a hiccup.
	minStill gypsumtide.Millis = 100
	// maxMoves bounds the moves of a task. One that seems to stand still everywhere
	// has to end where it is.
	maxMoves = 3
)

// standsStill reports whether a run should be tried elsewhere: it takes several
// times the expected time, and its worker is slow with other runs as well.
// Long runs on a sound worker are long by themselves.
func (s *State) standsStill(now gypsumtide.Millis, t *task) bool {
	w, ok := s.workers[t.worker]
	if !ok {
		return false
	}
	expected := s.expected(t.job, t.step)
	return t.moves < maxMoves && w.reportedSlowness >= stillSlowness && now-max(t.ordered, t.started) > max(minStill, stillFactor*expected)
}

// move has a run stopped, to be tried elsewhere.
func (s *State) move(now gypsumtide.Millis, t *task, reason string) {
	s.log.Decision("run-moved", "run", t.ref(), "worker", t.worker, "reason", reason,
		"ordered-ms", now-t.ordered, "ends-in-ms", max(0, t.ends-now))
	t.avoid = t.worker
	t.moves++
	s.stop(t)
}

// moveAfter is how long an order may wait at an agent before another worker
// with room is preferred.
const moveAfter gypsumtide.Millis = 8

// freeWorkers returns the number of workers that seem to have room for a task.
func (s *State) freeWorkers() int {
	n := 0
	for _, w := range s.list {
		if w.usable() && w.load(math.MaxInt).Processors < w.report.Capacity.Processors-freeRoom {
			n++
		}
	}
	return n
}

// freeRoom is the part of a worker that makes it worth a look for waiting
// orders, in thousandths of a core.
const freeRoom = 1000

// moveWaiting recalls an order that waits although another worker has room.
// Load pattern: several entries choose the same worker before its next report.
func (s *State) moveWaiting(now gypsumtide.Millis, t *task) {
	if w, ok := s.workers[t.worker]; !ok || !w.connected {
		return
	}
	c := s.choose(t)
	if c.worker == nil || c.worker.id == t.worker || c.estimate.wait > 0 {
		return
	}
	t.recalled = now
	s.moves--
	m := s.messages(t.worker)
	m.Recalls = append(m.Recalls, t.ref())
}

// projected takes the time that a long run has left. The run is tried elsewhere
// if it would end sooner there; the job is given up if it cannot end in time.
func (s *State) projected(now gypsumtide.Millis, t *task, left gypsumtide.Millis, still bool) {
	j := t.job
	t.ends = now + left
	if s.jobs[j.id] != j || t.stopping || j.ending != nil {
		return
	}
	elsewhere := s.leftElsewhere(now, t, still)
	if t.moves < maxMoves && elsewhere < float64(left)*(1-movePayment) {
		reason := "faster-elsewhere"
		if still {
			reason = "stands-still"
		}
		s.move(now, t, reason)
		return
	}
	if !j.stored && min(float64(left), elsewhere) > giveUpFactor*float64(j.deadline-now) {
		s.abandon(now, j, "cannot-end-in-time")
	}
}

const (
	// giveUpFactor is the projected time left relative to the time until the
	// deadline from which a job is given up.
	giveUpFactor = 1.1
	// movePayment is the part of the time left that a move must at least save.
	movePayment = 0.5
	// moveDelay is the time until a stopped run has been started elsewhere.
	moveDelay = 15
)

// leftElsewhere returns the time to the end of a task that is tried again on
// another worker. The work stays the same and only the workers differ, unless
// the run stands still: then its worker is at fault, and the expected time holds.
func (s *State) leftElsewhere(now gypsumtide.Millis, t *task, still bool) float64 {
	w, ok := s.workers[t.worker]
	if !ok {
		return math.Inf(1)
	}
	before := t.avoid
	t.avoid = w.id
	c := s.choose(t)
	t.avoid = before
	if c.worker == nil || c.worker == w {
		return math.Inf(1)
	}
	work := float64(t.ends-max(t.ordered, t.started)) / w.slowness
	if still {
		work = float64(s.expected(t.job, t.step))
	}
	return moveDelay + c.estimate.wait + work*c.worker.slowness
}
