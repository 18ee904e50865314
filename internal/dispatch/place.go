package dispatch

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

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
	if now < t.job.notBefore {
		return false
	}
	c := s.choose(t)
	if !c.near() {
		return false
	}
	s.orderAt(now, t, c)
	return true
}

// maxAgentWait is the longest expected wait of an order at an agent. Load
// pattern: a crest at which all workers have queues. An order there is bound to
// one worker; a task that would wait longer is kept at the entry, in order of
// urgency, and goes to whichever worker has room first. Shorter queues would
// leave workers idle until the next order arrives.
const maxAgentWait = 60

// near reports whether the task can be expected to start soon.
func (c *choice) near() bool { return c.worker != nil && c.estimate.wait <= maxAgentWait }

// ranked returns the jobs in progress. Those with tasks to be placed come first
// and in order: begun jobs, since a partly served job is worth nothing, then by
// priority and objective.
func (s *State) ranked() []*job {
	var waiting, others []*job
	for _, j := range s.jobs {
		if j.ready() {
			waiting = append(waiting, j)
		} else {
			others = append(others, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int {
		switch {
		case a.begun && !b.begun:
			return -1
		case b.begun && !a.begun:
			return 1
		}
		return cmp.Or(cmp.Compare(a.route.Priority, b.route.Priority), cmp.Compare(a.objective, b.objective), cmp.Compare(a.id, b.id))
	})
	return append(waiting, others...)
}

// choice is the worker with the least cost for a task.
type choice struct {
	worker   *worker
	estimate estimate
	// idle is the worker with the least cost of those that have room now.
	idle         *worker
	idleEstimate estimate
	candidates   int
}

// choose returns the worker where the task ends first.
func (s *State) choose(t *task) choice {
	j := t.job
	step := &j.steps[t.step]
	expected := float64(s.expected(j, t.step))
	var c choice
	for w := range s.sample(t) {
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
		if e.wait == 0 && (c.idle == nil || e.cost < c.idleEstimate.cost) {
			c.idle, c.idleEstimate = w, e
		}
	}
	return c
}

// withRoom returns the choice among the workers that have room now.
func (c choice) withRoom() choice {
	return choice{worker: c.idle, estimate: c.idleEstimate, candidates: c.candidates}
}

// maxCandidates bounds the workers that are compared for one task. Load pattern:
// thousands of workers, of which many are about equally good; comparing all of
// them for each task would take most of an entry's processor time.
const maxCandidates = 64

// tryStep is how far apart in the list the samples of two tries begin: a prime,
// so that the tries of a task meet all workers whatever their number.
const tryStep = 7919

// sample returns the workers to compare for a task: all of them, or different
// ones for each try of each task. A sample in which none suits is extended.
func (s *State) sample(t *task) iter.Seq[*worker] {
	n := len(s.list)
	begin := 0
	if n > maxCandidates {
		begin = int((t.job.hash + uint64(t.name.Index)*maxCandidates + t.number*tryStep) % uint64(n))
	}
	return func(yield func(*worker) bool) {
		found := 0
		for i := 0; i < n && found < maxCandidates; i++ {
			w := s.list[(begin+i)%n]
			if w.usable() && w.suits(t.job.route.Service, &t.job.steps[t.step]) {
				found++
			}
			if !yield(w) {
				return
			}
		}
	}
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
	t.life = w.report.Incarnation
	t.ordered = now
	w.tasks[t.ref()] = t
	w.running = w.running.Add(t.size())
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
		JobStarted: j.begun, StartWithin: max(1, s.startBy(j, t.step)-now),
		Expected: s.expected(j, t.step), Incarnation: t.life, Stored: j.stored,
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
		if late {
			// A late answer from a slow worker with room displaces nothing.
			c = c.withRoom()
		}
		if c.worker == nil || late && now+gypsumtide.Millis(c.estimate.end) > s.usefulEnd(j) {
			s.refuse(now, j, "not started in time")
			return
		}
		if c.near() {
			s.orderAt(now, t, c)
		}
	}
}

// refuse recalls the job's orders. The answer follows when none can start.
func (s *State) refuse(now gypsumtide.Millis, j *job, reason string) {
	answer := Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: reason, RetryAfter: j.retryAfter()}
	j.ending = &answer
	for _, t := range j.tasks {
		s.stop(t)
	}
	s.finishEnding(now, j)
}
