package dispatch

import (
	"maps"
	"math"
	"slices"

	"gypsumtide"
	"gypsumtide/internal/explain"
)

// This file tells where a job would go, without submitting it. docs/design/explain-job.md
// has the reasons.

// Explain returns what would happen to a submission at the time now. It leaves the state
// exactly as it is. A stored job is taken to be owned by this entry.
func (s *State) Explain(now gypsumtide.Millis, sub Submission, stored bool) explain.Job {
	if s.HasEphemeral(sub.Job.ID) && !stored {
		return explain.Job{ID: sub.Job.ID, InProgress: true}
	}
	return s.scratch().explainJob(now, sub, stored)
}

// ExplainWorkers describes the workers that the entry knows.
func (s *State) ExplainWorkers() explain.Workers {
	return explain.Workers{Known: len(s.workerList), Usable: s.Workers(), EvacuatedZones: slices.Clone(s.evacuations.Zones)}
}

// silentLogger is a gypsumtide.DecisionLogger that discards all decisions.
type silentLogger struct{}

// Decision implements gypsumtide.DecisionLogger.
func (silentLogger) Decision(string, ...any) {}

// scratch returns a copy of the state in which a job can be submitted without effect on the
// original. Jobs in progress and their tasks are shared, since a submission does not change
// them, and so is what is learned from the ends of runs.
func (s *State) scratch() *State {
	c := *s
	c.log, c.effects = silentLogger{}, Effects{}
	c.jobs, c.waiting, c.roomBuffer = maps.Clone(s.jobs), slices.Clone(s.waiting), nil
	c.shares.routes = make(map[string]*routeShare, len(s.shares.routes))
	for name, r := range s.shares.routes {
		share := *r
		c.shares.routes[name] = &share
	}
	copies := make(map[*worker]*worker, len(s.workerList))
	copyOf := func(w *worker) *worker {
		if copies[w] == nil {
			x := *w
			x.ownWaiting, x.tasks = slices.Clone(w.ownWaiting), maps.Clone(w.tasks)
			copies[w] = &x
		}
		return copies[w]
	}
	c.workerList = mapWorkers(s.workerList, copyOf)
	c.workers = make(map[WorkerID]*worker, len(s.workers))
	for id, w := range s.workers {
		c.workers[id] = copyOf(w)
	}
	c.locality.racks = make(map[rackKey][]*worker, len(s.locality.racks))
	for key, workers := range s.locality.racks {
		c.locality.racks[key] = mapWorkers(workers, copyOf)
	}
	c.locality.waiting = make(map[rackKey][]queuedLoad, len(s.locality.waiting))
	for key, loads := range s.locality.waiting {
		c.locality.waiting[key] = slices.Clone(loads)
	}
	return &c
}

func mapWorkers(workers []*worker, copyOf func(*worker) *worker) []*worker {
	out := make([]*worker, len(workers))
	for i, w := range workers {
		out[i] = copyOf(w)
	}
	return out
}

// explainJob submits the job to a scratch copy of a state, and returns the decisions.
func (s *State) explainJob(now gypsumtide.Millis, sub Submission, stored bool) explain.Job {
	e := explain.Job{ID: sub.Job.ID, Stored: stored}
	if stored {
		sub.Timeout = math.MaxInt32
	}
	j := newJob(now, sub)
	j.stored = stored
	j.objective = now + j.route.Objective(j.criticalPath(func(step int) gypsumtide.Millis { return s.expected(j, step) }))
	if !stored {
		e.Admission = s.explainAdmission(now, j)
	}
	s.jobs[j.id] = j
	for i := range j.steps {
		if len(j.steps[i].After) > 0 {
			continue
		}
		e.Steps = append(e.Steps, s.explainStep(now, j, i))
	}
	if !stored && !e.Admission.Admitted {
		return e
	}
	for i := range e.Steps {
		s.explainTasks(now, j, &e.Steps[i])
	}
	return e
}

// explainAdmission returns the decision about the admission of an ephemeral job, with the
// checks of Submit.
func (s *State) explainAdmission(now gypsumtide.Millis, j *job) *explain.Admission {
	e := &explain.Admission{Objective: j.objective - now, Deadline: j.deadline - now}
	refuse := func(a Answer) *explain.Admission {
		e.Reason, e.RetryAfter = a.Reason, a.RetryAfter
		return e
	}
	if other, ok := s.jobs[j.id]; ok && other.stored {
		return refuse(Answer{Reason: "a stored job has this id", RetryAfter: s.retryAfter(j, 0)})
	}
	if s.unservable(now, j) {
		return refuse(Answer{Reason: reasonZoneEvacuated, RetryAfter: s.retryAfter(j, 0)})
	}
	refusal, ok := s.admit(now, j)
	if !ok {
		return refuse(refusal)
	}
	e.Admitted = true
	return e
}

// explainWait returns the expected wait that admission compares for a step, or nil if no
// worker accepts its tasks.
func (s *State) explainWait(j *job, step int) *gypsumtide.Millis {
	rooms := s.rooms(j, step)
	if len(rooms) == 0 {
		return nil
	}
	wait := min(waitForAll(rooms, s.tasksUntilStarted(j, step)), maxExpectedWait)
	ms := gypsumtide.Millis(math.Round(wait))
	return &ms
}

// explainStep returns the explanation of a step before its tasks are placed.
func (s *State) explainStep(now gypsumtide.Millis, j *job, step int) explain.Step {
	e := explain.Step{Step: step, Expected: s.expected(j, step), Wait: s.explainWait(j, step), Allowed: s.allowedWait(j, step)}
	for _, w := range s.workerList {
		if n := leftOut(&e.LeftOut, j.route.Service, &j.steps[step], w); n != nil {
			*n++
			continue
		}
		e.Accepting++
	}
	return e
}

// leftOut returns the counter of the first reason for which a worker takes no task of the
// step, or nil if there is none.
func leftOut(l *explain.LeftOut, service string, step *gypsumtide.JobStep, w *worker) *int {
	unlabelled := *step
	unlabelled.Label = ""
	switch {
	case w.report.Service != service:
		return &l.OtherService
	case !w.suits(service, &unlabelled):
		return &l.TooSmall
	case !w.suits(service, step):
		return &l.LabelMissing
	case w.evacuated:
		return &l.ZoneEvacuated
	case !w.connected:
		return &l.NotConnected
	case !w.usable():
		return &l.NotAccepting
	}
	return nil
}

// maxExplainedTasks bounds the tasks of a step that are placed for an explanation, and so the
// time for which real submissions wait for it. Ephemeral jobs have at most 32 tasks.
const maxExplainedTasks = 128

// explainTasks places the tasks of a step like placeReady, and adds the choices to the
// explanation.
func (s *State) explainTasks(now gypsumtide.Millis, j *job, e *explain.Step) {
	for _, t := range j.tasks {
		switch {
		case t.step != e.Step:
		case len(e.Tasks) == maxExplainedTasks:
			e.OmittedTasks++
		default:
			e.Tasks = append(e.Tasks, s.explainTask(now, t))
		}
	}
	for _, w := range s.workerList {
		if w.usable() && w.suits(j.route.Service, &j.steps[e.Step]) && !s.withinMaxPerWorker(j, e.Step, w) {
			e.LeftOut.LimitPerWorker++
		}
	}
}

// explainTask places a task like place, and returns the choice.
func (s *State) explainTask(now gypsumtide.Millis, t *task) explain.Task {
	compared := s.recordPlaces()
	c := s.chooseNow(now, t)
	e := explain.Task{Index: t.name.Index, Candidates: c.candidates, Ordered: c.startsSoon()}
	if c.worker != nil {
		e.Worker, e.Zone = c.worker.id.Agent, c.worker.report.Zone
		e.Wait, e.End, e.Cost = round(c.estimate.wait), round(c.estimate.end), round(c.estimate.cost)
	}
	e.Rack = s.explainRack(t.job.steps[t.step].Rack, c, compared())
	if e.Ordered {
		s.placeAt(now, t, c)
	}
	return e
}

// recordPlaces records the next comparison of a rack with other places. The function that it
// returns ends the recording, and returns the places, or nil if none were compared.
func (s *State) recordPlaces() func() *places {
	rule := s.locality.rule
	var compared *places
	s.locality.rule = func(s *State, now gypsumtide.Millis, t *task, p places) bool {
		compared = &p
		return rule(s, now, t, p)
	}
	return func() *places {
		s.locality.rule = rule
		return compared
	}
}

// explainRack returns the decision about the rack that a step names, or nil if it names none.
func (s *State) explainRack(rack string, c choice, p *places) *explain.RackDecision {
	if rack == "" {
		return nil
	}
	d := &explain.RackDecision{Rack: rack, OnRack: c.worker != nil && c.worker.hasRack(rack)}
	switch {
	case c.worker == nil:
		d.Reason = "no worker accepts the task"
	case s.remoteFactor <= 1:
		d.Reason = "the rack makes no difference"
	case p == nil && d.OnRack:
		d.Reason = "only workers of the rack accept the task"
	case p == nil:
		d.Reason = "no worker of the rack accepts the task"
	case d.OnRack:
		d.Reason = "the rack pays"
	case p.onRack.estimate.wait > max(0, p.bound, p.elsewhere.estimate.wait):
		d.Reason = "the wait for the rack exceeds its bound"
	default:
		d.Reason = "it ends earlier elsewhere"
	}
	if p != nil {
		d.Comparison = &explain.RackComparison{
			RackWait: round(p.onRack.estimate.wait), RackEnd: round(p.onRack.estimate.end),
			ElsewhereWait: round(p.elsewhere.estimate.wait), ElsewhereEnd: round(p.elsewhere.estimate.end),
			CostToOthers: round(p.costToOthers), JobEnd: round(p.jobEnd), Bound: round(p.bound),
		}
	}
	return d
}

// round returns a number of milliseconds as an integer. Infinite ones become the largest
// value that all readers of JSON represent.
func round(ms float64) int64 { return int64(math.Round(max(0, min(ms, math.MaxInt32)))) }

// Explain returns what would happen to a submission now.
func (d *Dispatcher) Explain(sub Submission, stored bool) explain.Job {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Explain(d.clock.Now(), sub, stored)
}

// ExplainWorkers describes the workers that the entry knows.
func (d *Dispatcher) ExplainWorkers() explain.Workers {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.ExplainWorkers()
}
