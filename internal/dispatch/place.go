package dispatch

import (
	"math"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Limits of admission.
const (
	// lateFactor times the objective is the latest time at which an answer is
	// still useful.
	lateFactor = 3
	// hopelessFactor times the time until the deadline is the expected run time
	// from which a job is refused. Estimates are often off by half.
	hopelessFactor = 1.6
	// orderMargin is the time for an order to reach its agent and for the answer
	// to come back.
	orderMargin gypsumtide.Millis = 6
	// stillFactor times the expected run time is when a run counts as standing
	// still, if its worker is slow too.
	stillFactor = 3
	// stillSlowness is the slowness of a worker whose runs are moved.
	stillSlowness = 3.0
	// minStill keeps short runs from being moved for a hiccup.
	minStill gypsumtide.Millis = 100
)

// admit decides whether a job can be served usefully. Load pattern: a crest
// above the capacity, where a job that is admitted without hope of its
// objective takes room from jobs that could meet theirs.
func (s *State) admit(now gypsumtide.Millis, j *job) (Answer, bool) {
	for i := range j.steps {
		if float64(s.expected(j, i)) > hopelessFactor*float64(j.deadline-now) {
			return Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "cannot end before the deadline", RetryAfter: retryAfter}, false
		}
		if len(j.steps[i].After) > 0 {
			continue
		}
		best, usable := s.bestWait(j, i)
		if !usable && s.starting(now) {
			continue
		}
		if best > float64(s.latestStart(j, i)-now) {
			return s.refusal(usable), false
		}
	}
	return Answer{}, true
}

// bestWait returns the shortest expected wait for a step, and whether any
// worker takes its tasks.
func (s *State) bestWait(j *job, step int) (float64, bool) {
	best, usable := math.Inf(1), false
	for _, w := range s.workers {
		if w.usable() && w.suits(j.route.Service, &j.steps[step]) {
			usable = true
			best = min(best, w.wait(j.steps[step].Size, j.route.Priority))
		}
	}
	return best, usable
}

// startingTime is how long after its start an entry expects agents to connect.
// Load pattern: all hosts return after a loss of power, and callers arrive
// before the first session.
const startingTime gypsumtide.Millis = 3000

func (s *State) starting(now gypsumtide.Millis) bool { return now-s.began < startingTime }

// refusal describes why no worker is free, and when callers may return.
func (s *State) refusal(usable bool) Answer {
	a := Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "no worker is free in time", RetryAfter: retryAfter}
	if !usable {
		a.Reason = "no worker takes such tasks"
		a.RetryAfter = retryWithoutWorkers
	}
	return a
}

// Times after which refused callers may return.
const (
	retryAfter          gypsumtide.Millis = 1000
	retryWithoutWorkers gypsumtide.Millis = 2000
)

// latestStart returns the latest start of a step's task for a job that has not
// begun and is to meet its objective.
func (s *State) latestStart(j *job, step int) gypsumtide.Millis {
	return max(j.arrived+minQueue, j.objective-s.expected(j, step)-orderMargin)
}

// minQueue is the shortest time for which a task may wait.
const minQueue gypsumtide.Millis = 15

// lastUseful returns the latest start with which an answer is still useful.
func (s *State) lastUseful(j *job, step int) gypsumtide.Millis {
	end := min(j.arrived+lateFactor*(j.objective-j.arrived), j.deadline)
	return end - s.expected(j, step) - orderMargin
}

// startBy returns the latest useful start of a task.
func (s *State) startBy(j *job, step int) gypsumtide.Millis {
	if !j.begun {
		return min(s.latestStart(j, step), j.deadline)
	}
	return j.deadline
}

// placeReady orders the ready tasks of a job.
func (s *State) placeReady(now gypsumtide.Millis, j *job) {
	for _, t := range j.tasks {
		if t.phase == taskReady {
			s.place(now, t)
		}
	}
}

// place orders a run of the task at the worker where it ends first.
func (s *State) place(now gypsumtide.Millis, t *task) bool {
	c := s.choose(t)
	if c.worker == nil {
		return false
	}
	s.orderAt(now, t, c)
	return true
}

// choice is the worker with the least cost for a task.
type choice struct {
	worker     *worker
	estimate   estimate
	candidates int
}

// choose returns the worker where the task ends first.
func (s *State) choose(t *task) choice {
	j := t.job
	step := &j.steps[t.step]
	expected := float64(s.expected(j, t.step))
	var c choice
	for _, w := range s.workers {
		if !w.usable() || !w.suits(j.route.Service, step) || !s.apart(j, t.step, w) {
			continue
		}
		c.candidates++
		e := w.estimate(s.zone, step, j.route.Priority, expected, s.remoteFactor)
		e.cost += scatter(t, w)
		if t.avoid == w.id {
			e.cost += avoidCost
		}
		if c.worker == nil || e.cost < c.estimate.cost {
			c.worker, c.estimate = w, e
		}
	}
	return c
}

// scatterWidth is the cost difference below which workers count as equal.
const scatterWidth = 4

// scatter spreads the choices of entries that see the same loads, so that they
// do not all choose the same worker before its next report.
func scatter(t *task, w *worker) float64 {
	h := t.job.hash ^ w.hash + uint64(t.step)<<32 + uint64(t.name.Index)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return scatterWidth * float64((h^h>>31)>>11) / (1 << 53)
}

func (s *State) orderAt(now gypsumtide.Millis, t *task, c choice) {
	w := c.worker
	t.number++
	t.phase = taskOrdered
	t.worker = w.id
	t.life = w.report.Life
	t.ordered = now
	w.tasks[t.ref()] = t
	w.running = w.running.Plus(t.size())
	m := s.messages(w.id)
	m.Orders = append(m.Orders, s.order(now, t))
	s.log.Decision("task-placed", "run", t.ref(), "worker", w.id.Agent, "candidates", c.candidates,
		"expected-ms", s.expected(t.job, t.step), "cost", math.Round(c.estimate.cost), "wait-ms", math.Round(c.estimate.wait),
		"view-age-ms", now-w.reported, "slowness", math.Round(100*w.slowness)/100, "reported-slowness", math.Round(100*w.reportedSlowness)/100, "failures", math.Round(100*w.failureShare)/100)
}

// avoidCost keeps a task from the worker where its last run failed, unless
// others are far busier. The unit is milliseconds.
const avoidCost = 200

// apart reports whether the step's bound of tasks on one worker permits another one.
func (s *State) apart(j *job, step int, w *worker) bool {
	bound := j.steps[step].MaxPerWorker
	if bound == 0 {
		return true
	}
	n := 0
	for _, t := range j.tasks {
		if t.step == step && t.worker == w.id && t.placed() {
			n++
		}
	}
	return n < bound
}

func (s *State) order(now gypsumtide.Millis, t *task) wire.Order {
	j := t.job
	return wire.Order{
		Ref: t.ref(), Spec: j.spec, Size: j.steps[t.step].Size, Priority: j.route.Priority,
		Begun: j.begun, StartWithin: max(1, s.startBy(j, t.step)-now),
		Expected: s.expected(j, t.step), Life: t.life,
	}
}

// replan decides about a job that has not begun when an order came back
// unstarted: another worker, or the refusal of the job.
func (s *State) replan(now gypsumtide.Millis, j *job) {
	for _, t := range j.tasks {
		if t.phase != taskReady {
			continue
		}
		c := s.choose(t)
		late := now >= s.latestStart(j, t.step)
		if c.worker == nil && (!late || s.starting(now) && now < s.lastUseful(j, t.step)) {
			continue
		}
		if c.worker == nil || late && (c.estimate.wait > 0 || now >= s.lastUseful(j, t.step)) {
			s.refuse(now, j, "not started in time")
			return
		}
		s.orderAt(now, t, c)
	}
}

// refuse recalls the job's orders. The answer follows when none can start.
func (s *State) refuse(now gypsumtide.Millis, j *job, reason string) {
	answer := Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: reason, RetryAfter: retryAfter}
	j.ending = &answer
	for _, t := range j.tasks {
		s.stop(t)
	}
	s.finishEnding(now, j)
}

// standsStill reports whether a run should be tried elsewhere: it takes several
// times the expected time, and its worker is slow with other runs as well.
// Long runs on a sound worker are long by themselves.
func (s *State) standsStill(now gypsumtide.Millis, t *task) bool {
	w, ok := s.workers[t.worker]
	if !ok {
		return false
	}
	expected := s.expected(t.job, t.step)
	return w.reportedSlowness >= stillSlowness && now-max(t.ordered, t.started) > max(minStill, stillFactor*expected)
}

// move has a run stopped, to be tried elsewhere.
func (s *State) move(now gypsumtide.Millis, t *task, reason string) {
	s.log.Decision("run-moved", "run", t.ref(), "worker", t.worker, "reason", reason,
		"ordered-ms", now-t.ordered, "ends-in-ms", max(0, t.ends-now))
	t.avoid = t.worker
	s.stop(t)
}

// moveAfter is how long an order may wait at an agent before another worker
// with room is preferred.
const moveAfter gypsumtide.Millis = 8

// freeWorkers returns the number of workers that seem to have room for a task.
func (s *State) freeWorkers() int {
	n := 0
	for _, w := range s.workers {
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
func (s *State) projected(now gypsumtide.Millis, t *task, left gypsumtide.Millis) {
	j := t.job
	t.ends = now + left
	if s.jobs[j.id] != j || t.stopping || j.ending != nil {
		return
	}
	if s.movePays(now, t) {
		s.move(now, t, "faster-elsewhere")
		return
	}
	if float64(left) > giveUpFactor*float64(j.deadline-now) {
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

// movePays reports whether a run would end much sooner on another worker. The
// work of a run stays the same; only the workers differ.
func (s *State) movePays(now gypsumtide.Millis, t *task) bool {
	w, ok := s.workers[t.worker]
	if !ok {
		return false
	}
	c := s.choose(t)
	if c.worker == nil || c.worker.id == t.worker {
		return false
	}
	work := float64(t.ends-max(t.ordered, t.started)) / w.slowness
	left := float64(t.ends - now)
	return moveDelay+c.estimate.wait+work*c.worker.slowness < left*(1-movePayment)
}
