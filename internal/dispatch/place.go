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
	usable := false
	for i := range j.steps {
		if len(j.steps[i].After) > 0 {
			continue
		}
		best := math.Inf(1)
		for _, w := range s.workers {
			if !w.usable() || !w.suits(j.route.Service, &j.steps[i]) {
				continue
			}
			usable = true
			best = min(best, w.wait(j.steps[i].Size))
		}
		latest := s.latestStart(j, i) - now
		if best > float64(latest) {
			return s.refusal(best, usable), false
		}
	}
	return Answer{}, true
}

// refusal describes a refusal whose caller may return after the expected wait.
func (s *State) refusal(wait float64, usable bool) Answer {
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
	j := t.job
	step := &j.steps[t.step]
	expected := float64(s.expected(j, t.step))
	var best *worker
	var chosen estimate
	candidates := 0
	for _, w := range s.workers {
		if !w.usable() || !w.suits(j.route.Service, step) || !s.apart(j, t.step, w) {
			continue
		}
		candidates++
		e := w.estimate(s.zone, step, expected, s.remoteFactor)
		if t.avoid == w.id {
			e.cost += avoidCost
		}
		if best == nil || e.cost < chosen.cost || e.cost == chosen.cost && w.id.Agent < best.id.Agent {
			best, chosen = w, e
		}
	}
	if best == nil {
		return false
	}
	t.number++
	t.phase = taskOrdered
	t.worker = best.id
	t.life = best.report.Life
	t.ordered = now
	best.tasks[t.ref()] = t
	best.own = best.own.Plus(step.Size)
	m := s.messages(best.id)
	m.Orders = append(m.Orders, s.order(now, t))
	s.log.Decision("task-placed", "run", t.ref(), "worker", best.id.Agent, "candidates", candidates,
		"cost", math.Round(chosen.cost), "wait-ms", math.Round(chosen.wait), "view-age-ms", now-best.reported,
		"slowness", best.report.Slowness, "failures", best.report.FailureShare)
	return true
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
		if t.step == step && t.worker == w.id && (t.phase == taskOrdered || t.phase == taskRunning) {
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
		if now >= s.latestStart(j, t.step) || !s.place(now, t) {
			s.refuse(now, j, "not started in time")
			return
		}
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
	return now-t.started > max(minStill, stillFactor*expected) && w.report.Slowness >= stillSlowness
}
