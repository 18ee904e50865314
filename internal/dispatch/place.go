package dispatch

import (
	"cmp"
	"iter"
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// placeReady places the ready tasks of a job.
func (s *State) placeReady(now gypsumtide.Millis, j *job) {
	for _, t := range j.tasks {
		if t.phase == taskReady {
			s.place(now, t)
		}
	}
}

// place sends an order for the task to the worker with the lowest cost, if that worker can
// start it soon. It reports whether an order was sent.
func (s *State) place(now gypsumtide.Millis, t *task) bool {
	if now < t.job.notBefore {
		return false
	}
	c := s.chooseNow(now, t)
	if !c.startsSoon() {
		return false
	}
	s.placeAt(now, t, c)
	return true
}

// chooseNow returns the choice with which a ready task is placed.
func (s *State) chooseNow(now gypsumtide.Millis, t *task) choice {
	return s.orIdle(now, t, s.choosePlace(now, t))
}

// maxAgentWait is the longest expected wait, in milliseconds, with which a task is
// ordered at an agent. An order is bound to one worker. Under overload, when all workers
// have queues, tasks that would wait longer stay at the entry in order of urgency, and go
// to whichever worker has capacity first. With a smaller value workers would be idle until
// the next order arrives.
const maxAgentWait = 60

// startsSoon reports whether the expected wait is short enough to order the task.
func (c *choice) startsSoon() bool { return c.worker != nil && c.estimate.wait <= maxAgentWait }

// orIdle returns the best choice among the idle workers instead of c, if the task would have
// to wait at the entry for the worker of c, although it can end in time on an idle one. This
// happens if the idle workers are slow: without it they stay idle while tasks wait. A task
// that prefers a rack keeps its choice.
func (s *State) orIdle(now gypsumtide.Millis, t *task, c choice) choice {
	j := t.job
	if c.startsSoon() || c.idleWorker == nil || j.steps[t.step].Rack != "" {
		return c
	}
	if j.started || j.stored || now+gypsumtide.Millis(c.idleEstimate.end)+orderMargin <= j.objective {
		return c.idleChoice()
	}
	return c
}

// jobsByUrgency returns the jobs in progress. Jobs with ready tasks come first, sorted by
// urgency: started jobs before others, since a job has no value until all of its tasks are
// done, then by priority and objective.
func (s *State) jobsByUrgency() []*job {
	var waiting, others []*job
	for _, j := range s.jobs {
		if j.hasReadyTask() {
			waiting = append(waiting, j)
		} else {
			others = append(others, j)
		}
	}
	slices.SortFunc(waiting, func(a, b *job) int {
		switch {
		case a.started && !b.started:
			return -1
		case b.started && !a.started:
			return 1
		}
		return cmp.Or(cmp.Compare(a.route.Priority, b.route.Priority), cmp.Compare(a.objective, b.objective), cmp.Compare(a.id, b.id))
	})
	return append(waiting, others...)
}

// choice is the worker with the lowest cost for a task.
type choice struct {
	worker   *worker
	estimate costEstimate
	// idleWorker is the worker with the lowest cost among those that could start the task
	// at once.
	idleWorker   *worker
	idleEstimate costEstimate
	// elsewhere is the candidate with the lowest cost that is not on the rack of the step. It
	// is set only if the step names a rack.
	elsewhere candidate
	// candidates is the number of workers that were compared.
	candidates int
}

// choose compares the candidate workers for the task. The choice has no worker if none of
// them accepts the task.
func (s *State) choose(now gypsumtide.Millis, t *task) choice {
	j := t.job
	step := &j.steps[t.step]
	estimate := s.costEstimator(now, t)
	var c choice
	for w := range s.candidateWorkers(t) {
		if !w.usable() || !w.suits(j.route.Service, step) || !s.withinMaxPerWorker(j, t.step, w) {
			continue
		}
		c.candidates++
		e := estimate(w)
		if step.Rack != "" && !w.hasRack(step.Rack) {
			c.elsewhere = c.elsewhere.cheaper(candidate{w, e})
		}
		if c.worker == nil || e.cost < c.estimate.cost {
			c.worker, c.estimate = w, e
		}
		if e.wait == 0 && (c.idleWorker == nil || e.cost < c.idleEstimate.cost) {
			c.idleWorker, c.idleEstimate = w, e
		}
	}
	return c
}

// costEstimator returns a function that estimates the cost of the task on a worker, with all
// that does not depend on its rack.
func (s *State) costEstimator(now gypsumtide.Millis, t *task) func(w *worker) costEstimate {
	priority, step := t.job.route.Priority, &t.job.steps[t.step]
	expected := float64(s.expectedRun(t))
	slowStart := s.slowStartApplies(now, t)
	return func(w *worker) costEstimate {
		e := w.estimateCost(s.zone, step, priority, expected, s.remoteFactor)
		if slowStart {
			e = w.withSlowStart(e, priority, step.Size)
		}
		e.cost += tieBreak(t, w)
		if t.avoidWorker == w.id {
			e.cost += avoidCost
		}
		return e
	}
}

// idleChoice returns the choice among the workers that could start the task at once.
func (c choice) idleChoice() choice {
	return choice{worker: c.idleWorker, estimate: c.idleEstimate, candidates: c.candidates}
}

// maxCandidates bounds the workers that are compared for one task. Among thousands of
// workers many are about equally good, and comparing all of them for each task would take
// most of an entry's processor time.
const maxCandidates = 64

// attemptStride is the distance in the worker list between the samples of successive
// attempts. It is prime, so that the attempts of a task reach all workers, unless their
// number is a multiple of it.
const attemptStride = 7919

// candidateWorkers returns the workers to compare for a task: all of them, or a sample if
// there are more than maxCandidates. The sample depends on the task and the attempt. It goes
// on until maxCandidates suitable workers were found, and includes unsuitable ones.
func (s *State) candidateWorkers(t *task) iter.Seq[*worker] {
	n := len(s.workerList)
	start := 0
	if n > maxCandidates {
		start = int((t.job.hash + uint64(t.name.Index)*maxCandidates + t.number*attemptStride) % uint64(n))
	}
	return func(yield func(*worker) bool) {
		found := 0
		for i := 0; i < n && found < maxCandidates; i++ {
			w := s.workerList[(start+i)%n]
			if w.usable() && w.suits(t.job.route.Service, &t.job.steps[t.step]) {
				found++
			}
			if !yield(w) {
				return
			}
		}
	}
}

// tieBreakRange is the cost difference, in milliseconds, below which workers count as equal.
const tieBreakRange = 4

// tieBreak returns a pseudo-random cost from a hash of the task and the worker, mixed with
// the finalizer of SplitMix64. It keeps entries that see the same loads from all choosing
// the same worker before its next report.
func tieBreak(t *task, w *worker) float64 {
	h := t.job.hash ^ w.hash + uint64(t.step)<<32 + uint64(t.name.Index)
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return tieBreakRange * float64((h^h>>31)>>11) / (1 << 53)
}

// placeAt orders a new run of the task at the chosen worker.
func (s *State) placeAt(now gypsumtide.Millis, t *task, c choice) {
	w := c.worker
	t.number++
	t.phase = taskOrdered
	t.worker = w.id
	t.workerIncarnation = w.report.Incarnation
	t.orderedAt = now
	s.expectWait(now, t, w)
	s.resumeFrom(t)
	w.tasks[t.ref()] = t
	w.ownRunning = w.ownRunning.Add(t.size())
	m := s.messages(w.id)
	m.Orders = append(m.Orders, s.newOrder(now, t))
	s.log.Decision("task-placed", "run", t.ref(), "worker", w.id.Agent, "candidates", c.candidates,
		"expected-ms", s.expected(t.job, t.step), "cost", math.Round(c.estimate.cost), "wait-ms", math.Round(c.estimate.wait),
		"view-age-ms", now-w.loadReportedAt, "slowness", math.Round(100*w.slowness)/100, "reported-slowness", math.Round(100*w.reportedSlowness)/100, "failures", math.Round(100*w.failureShare)/100)
}

// avoidCost, in milliseconds, keeps a task off the worker where its last run failed, was
// lost or was stopped, unless other workers are far busier.
const avoidCost = 200

// withinMaxPerWorker reports whether the step's MaxPerWorker permits another task on the
// worker.
func (s *State) withinMaxPerWorker(j *job, step int, w *worker) bool {
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

func (s *State) newOrder(now gypsumtide.Millis, t *task) wire.Order {
	j := t.job
	return s.addCheckpoint(t, wire.Order{
		Ref: t.ref(), Spec: j.spec, Size: j.steps[t.step].Size, Priority: j.route.Priority,
		JobStarted: j.started, StartWithin: max(1, s.startBy(j, t.step)-now),
		Expected: s.expectedAtWorker(t), Incarnation: t.workerIncarnation, Stored: j.stored,
	})
}

// replanJob places the ready tasks of a job that has not started. It is called after an
// order was returned unstarted, and on each tick while a task is ready. If one of the tasks
// can no longer start in time, the job is refused.
func (s *State) replanJob(now gypsumtide.Millis, j *job) {
	if s.endUnservable(now, j) {
		return
	}
	for _, t := range j.tasks {
		if t.phase != taskReady {
			continue
		}
		c := s.choosePlace(now, t)
		late := now >= s.latestStart(j, t.step)
		if c.worker == nil && (!late || s.startingUp(now) && now < s.latestUsefulStart(j, t.step)) {
			continue
		}
		if late {
			// A late answer is still useful, and a run on an idle worker delays no other job.
			c = c.idleChoice()
		}
		if c.worker == nil || late && now+gypsumtide.Millis(c.estimate.end) > s.latestUsefulEnd(j) {
			s.refuseJob(now, j, "not started in time")
			return
		}
		if c = s.orIdle(now, t, c); c.startsSoon() {
			s.placeAt(now, t, c)
		}
	}
}

// refuseJob stops the job's orders. The refusal is sent once none of them can start.
func (s *State) refuseJob(now gypsumtide.Millis, j *job, reason string) {
	answer := Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: reason, RetryAfter: s.retryAfter(j, 0)}
	j.pendingRefusal = &answer
	for _, t := range j.tasks {
		s.stopRun(t)
	}
	s.answerPendingRefusal(now, j)
}
