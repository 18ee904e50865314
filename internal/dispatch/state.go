package dispatch

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// Submission is a job with the route that it came on.
type Submission struct {
	Job   gypsumtide.JobRequest
	Route gypsumtide.QueueRoute
	// Timeout is how long the caller waits.
	Timeout gypsumtide.Millis
}

// Messages are the orders and stops for one worker.
type Messages struct {
	Orders  []wire.Order
	Stops   []gypsumtide.RunRef
	Recalls []gypsumtide.RunRef
	// Recorded and Disowned answer ends of stored jobs' runs.
	Recorded []gypsumtide.RunRef
	Disowned []gypsumtide.RunRef
}

// Effects are the messages and answers that a transition asks for.
type Effects struct {
	Messages map[WorkerID]*Messages
	Answers  map[string]Answer
	// Stored is the progress of stored jobs, to be recorded.
	Stored Progress
}

// Timing holds the intervals of a State.
type Timing struct {
	// ResumeGrace is how long an entry hopes for the session of an agent to come back.
	ResumeGrace gypsumtide.Millis
	// LostRun is the time after the loss of a session at which the runs of a
	// lost agent have ended: its lease has expired, or it has stopped them.
	LostRun gypsumtide.Millis
	// LostStoredRun is the same for the runs of stored jobs. It also covers an agent
	// that dies just before it would have stopped them, whose lease lasts from then.
	LostStoredRun gypsumtide.Millis
}

// State decides about the jobs of one entry. It performs no I/O and is not safe
// for concurrent use.
type State struct {
	began        gypsumtide.Millis
	zone         string
	remoteFactor float64
	timing       Timing
	log          gypsumtide.Recorder
	workers      map[WorkerID]*worker
	// list holds the same workers for choices.
	list     []*worker
	jobs     map[string]*job
	learner  *learner
	effects  Effects
	pressure pressure
	// moves is how many waiting orders may be recalled until the next tick.
	moves int
}

// NewState returns a State without workers.
func NewState(now gypsumtide.Millis, zone string, remoteFactor float64, timing Timing, log gypsumtide.Recorder) *State {
	return &State{
		began: now, zone: zone, remoteFactor: remoteFactor, timing: timing, log: log,
		workers: make(map[WorkerID]*worker), jobs: make(map[string]*job), learner: newLearner(),
	}
}

// Take returns the effects since the last call.
func (s *State) Take() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}

// Jobs returns the number of jobs in progress.
func (s *State) Jobs() int { return len(s.jobs) }

// Workers returns the number of workers that take orders.
func (s *State) Workers() int {
	n := 0
	for _, w := range s.list {
		if w.usable() {
			n++
		}
	}
	return n
}

// Has reports whether an ephemeral job with the id is in progress.
func (s *State) Has(id string) bool {
	j, ok := s.jobs[id]
	return ok && !j.stored
}

// Submit begins a job. The answer follows in Effects, at once for a refusal.
func (s *State) Submit(now gypsumtide.Millis, sub Submission) {
	j := newJob(now, sub)
	if other, ok := s.jobs[j.id]; ok && other.stored {
		// The tasks of two jobs with one id could not be told apart.
		s.answer(now, j, Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "a stored job has this id", RetryAfter: j.retryAfter()})
		return
	}
	run := j.chain(func(step int) gypsumtide.Millis { return s.expected(j, step) })
	j.objective = now + j.route.Objective(run)
	s.jobs[j.id] = j
	if refusal, ok := s.admit(now, j); !ok {
		s.answer(now, j, refusal)
		return
	}
	s.log.Decision("job-admitted", "job", j.id, "request", j.request, "route", j.route.Name, "tasks", len(j.tasks), "expected-ms", run,
		"objective-ms", j.objective-now, "deadline-ms", sub.Timeout, "workers", len(s.list))
	s.placeReady(now, j)
}

func (s *State) expected(j *job, step int) gypsumtide.Millis {
	return s.learner.expected(j.route.Name, j.steps[step].Estimate)
}

// answer ends a job.
func (s *State) answer(now gypsumtide.Millis, j *job, a Answer) {
	if s.effects.Answers == nil {
		s.effects.Answers = make(map[string]Answer)
	}
	s.effects.Answers[j.id] = a
	if s.jobs[j.id] == j {
		delete(s.jobs, j.id)
	}
	s.log.Decision("job-answered", "job", j.id, "request", j.request, "route", j.route.Name, "outcome", a.Outcome, "reason", a.Reason,
		"took-ms", now-j.arrived, "objective-ms", j.objective-j.arrived, "retry-after-ms", a.RetryAfter, "tasks", len(j.tasks))
}

// Cancel ends a job whose caller has gone or has cancelled it.
func (s *State) Cancel(now gypsumtide.Millis, id, reason string) {
	if j, ok := s.jobs[id]; ok && !j.stored {
		s.abandon(now, j, reason)
	}
}

// GiveUp ends all jobs because the entry stops.
func (s *State) GiveUp(now gypsumtide.Millis) {
	for _, j := range s.jobs {
		if !j.stored {
			s.abandon(now, j, "entry-stops")
		}
	}
}

// abandon answers at once and stops what the job has open.
func (s *State) abandon(now gypsumtide.Millis, j *job, reason string) {
	outcome := gypsumtide.OutcomeUnknown
	if !j.begun && !j.open() {
		outcome = gypsumtide.OutcomeNotRun
	}
	for _, t := range j.tasks {
		s.stop(t)
	}
	s.answer(now, j, Answer{Outcome: outcome, Reason: reason})
}

func (s *State) messages(id WorkerID) *Messages {
	if s.effects.Messages == nil {
		s.effects.Messages = make(map[WorkerID]*Messages)
	}
	m, ok := s.effects.Messages[id]
	if !ok {
		m = &Messages{}
		s.effects.Messages[id] = m
	}
	return m
}

// stop asks for the end of a task's run.
func (s *State) stop(t *task) {
	if !t.placed() || t.stopping {
		return
	}
	t.stopping = true
	m := s.messages(t.worker)
	m.Stops = append(m.Stops, t.ref())
}

// Report takes an agent's report on a run.
func (s *State) Report(now gypsumtide.Millis, id WorkerID, r wire.RunReport) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	t, ok := w.tasks[r.Ref]
	if !ok {
		if r.Unrecorded {
			s.disown(id, r.Ref)
		}
		return
	}
	switch {
	case r.Queued:
		s.queued(now, t)
		return
	case r.Started:
		s.started(now, t)
		return
	case r.End == "":
		s.projected(now, t, r.Remaining, r.Stalled)
		return
	}
	s.leave(w, t)
	if t.job.stored && r.End.Conclusive() {
		s.record(t, r)
		return
	}
	s.ended(now, t, r)
}

// queued takes that an order waits at its agent.
func (s *State) queued(now gypsumtide.Millis, t *task) {
	if t.phase != taskOrdered {
		return
	}
	if w, ok := s.workers[t.worker]; ok {
		w.running = w.running.Sub(t.size())
		w.queued(t.job.route.Priority).add(t.size())
	}
	t.phase = taskQueued
	if t.job.begun {
		s.hurry(now, t.job)
	}
}

func (s *State) started(now gypsumtide.Millis, t *task) {
	if t.phase != taskQueued {
		return
	}
	t.phase = taskRunning
	t.started = now
	j := t.job
	if w, ok := s.workers[t.worker]; ok {
		w.queued(j.route.Priority).remove(t.size())
		w.running = w.running.Add(t.size())
	}
	s.begin(now, j)
}

// begin notes that a task of the job has started. A refusal would not be true
// any more.
func (s *State) begin(now gypsumtide.Millis, j *job) {
	if j.begun || s.jobs[j.id] != j {
		return
	}
	j.begun = true
	if j.stored {
		s.effects.Stored.Begun = append(s.effects.Stored.Begun, j.id)
	}
	if j.ending != nil {
		s.log.Decision("refusal-withdrawn", "job", j.id)
		j.ending = nil
	}
	s.hurry(now, j)
}

// presumeStarted is the time after which an order without a report that it
// waits has started.
const presumeStarted gypsumtide.Millis = 10

// hurry tells the agents that the waiting tasks of a job go first, since a
// partly served job is worth nothing.
func (s *State) hurry(now gypsumtide.Millis, j *job) {
	for _, t := range j.tasks {
		if t.phase == taskQueued && !t.stopping && !t.hurried {
			t.hurried = true
			m := s.messages(t.worker)
			o := s.order(now, t)
			o.Update = true
			o.Spec = ""
			m.Orders = append(m.Orders, o)
		}
	}
}

// leave removes a task's run from a worker.
func (s *State) leave(w *worker, t *task) {
	delete(w.tasks, t.ref())
	if t.phase == taskQueued {
		w.queued(t.job.route.Priority).remove(t.size())
		return
	}
	w.running = w.running.Sub(t.size())
}

// ended takes the end of a run at the task's worker.
func (s *State) ended(now gypsumtide.Millis, t *task, r wire.RunReport) {
	j := t.job
	t.phase = taskReady
	t.stopping = false
	t.hurried = false
	t.ends = 0
	current := s.jobs[j.id] == j
	switch r.End {
	case gypsumtide.EndDone:
		t.phase = taskDone
		t.ran = r.RunTime
		if w, ok := s.workers[t.worker]; ok {
			s.learner.observe(j.route.Name, j.steps[t.step].Estimate, r.RunTime, w.slowness)
		}
		if j.undone[t.step]--; j.undone[t.step] == 0 {
			s.learnSpeeds(j, t.step)
		}
	case gypsumtide.EndFailed:
		t.failures++
		t.avoid = t.worker
	case gypsumtide.EndNotStarted:
		if r.Reason == runner.ReasonOldRun {
			t.number += numberStep
		}
	default:
		t.avoid = t.worker
	}
	if r.End != gypsumtide.EndNotStarted {
		// A refusal would not be true any more.
		j.begun = true
		j.ending = nil
	}
	if current {
		s.advance(now, j, t, r)
	}
}

// numberStep is added to the number of a run when the worker has seen a higher
// one, from an earlier submission of the same job at another entry.
const numberStep = 64

// advance decides what follows from the end of a run.
func (s *State) advance(now gypsumtide.Millis, j *job, t *task, r wire.RunReport) {
	switch {
	case j.stored:
		s.advanceStored(now, j, t, r)
	case j.done():
		s.answer(now, j, Answer{Outcome: gypsumtide.OutcomeComplete})
	case j.ending != nil:
		s.finishEnding(now, j)
	case t.phase == taskDone:
		j.release()
		s.placeReady(now, j)
	case t.failures >= max(1, j.route.Attempts):
		s.fail(now, j, fmt.Sprintf("task %s failed %d times", t.name, t.failures))
	case r.End == gypsumtide.EndNotStarted && !j.begun:
		s.replan(now, j)
	default:
		s.placeReady(now, j)
	}
}

// fail answers that the job has failed.
func (s *State) fail(now gypsumtide.Millis, j *job, reason string) {
	for _, t := range j.tasks {
		s.stop(t)
	}
	s.answer(now, j, Answer{Outcome: gypsumtide.OutcomeFailed, Reason: reason})
}

// finishEnding gives the answer of a refused job once no task can start any more.
func (s *State) finishEnding(now gypsumtide.Millis, j *job) {
	if !j.open() {
		s.answer(now, j, *j.ending)
	}
}

// Tick ends jobs whose time is over and moves runs that stand still.
func (s *State) Tick(now gypsumtide.Millis) {
	s.settleLost(now)
	s.pressure.observe(now, s.waitingShare())
	s.moves = s.freeWorkers()
	for _, j := range s.ranked() {
		s.check(now, j)
	}
}

func (s *State) check(now gypsumtide.Millis, j *job) {
	if now >= j.deadline {
		s.abandon(now, j, "deadline")
		return
	}
	if j.ending != nil {
		return
	}
	for _, t := range j.tasks {
		switch {
		case t.phase == taskReady && !j.begun && !j.stored:
			s.replan(now, j)
		case t.phase == taskReady:
			s.place(now, t)
		case t.phase == taskOrdered && !j.begun && now-t.ordered >= presumeStarted:
			s.begin(now, j)
		case t.phase == taskQueued && !t.stopping && s.moves > 0 && now-max(t.ordered, t.recalled) >= moveAfter:
			s.moveWaiting(now, t)
		case t.placed() && t.phase != taskQueued && !t.stopping && s.standsStill(now, t):
			s.move(now, t, "stands-still")
		}
		if s.jobs[j.id] != j {
			return
		}
	}
}
