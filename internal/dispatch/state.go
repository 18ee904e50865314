package dispatch

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// Submission is a job together with the route it was submitted on.
type Submission struct {
	Job   gypsumtide.JobRequest
	Route gypsumtide.QueueRoute
	// Timeout is how long the caller waits.
	Timeout gypsumtide.Millis
}

// Messages collects what is sent to the agent of one worker.
type Messages struct {
	Orders  []wire.Order
	Stops   []gypsumtide.RunRef
	Recalls []gypsumtide.RunRef
	// Recorded lists the runs of stored jobs whose ends are recorded or need not be,
	// RecordDeclined those whose ends this entry will not record.
	Recorded       []gypsumtide.RunRef
	RecordDeclined []gypsumtide.RunRef
}

// Effects holds the output of state transitions, for the caller to carry out.
type Effects struct {
	Messages map[WorkerID]*Messages
	Answers  map[string]Answer
	// Stored is the progress of stored jobs that has to be recorded.
	Stored Progress
	// Places counts the tasks that are done by the place of their run, if their step names a
	// rack.
	Places PlaceCounts
	// LeaveVerdicts are the decisions on runs of workers that leave, to be counted.
	LeaveVerdicts []leaveVerdict
}

// Timing holds the timeouts of a State.
type Timing struct {
	// ReconnectGrace is how long the entry waits for a lost agent to reconnect before it
	// aborts the ephemeral jobs that cannot meet their deadline without that agent's runs.
	ReconnectGrace gypsumtide.Millis
	// LostRunTimeout is the time after the loss of a session from which the agent's runs
	// of ephemeral jobs count as ended: its lease has expired, or it has stopped them.
	LostRunTimeout gypsumtide.Millis
	// LostStoredRunTimeout is the same for the runs of stored jobs. It also covers an
	// agent that crashes just before it would have stopped the runs, whose lease expires
	// that much later.
	LostStoredRunTimeout gypsumtide.Millis
	// RestoreTime is the time that a run needs to restore a checkpoint.
	RestoreTime gypsumtide.Millis
}

// State is the state machine that schedules the jobs of one entry. It performs no I/O
// and is not safe for concurrent use.
type State struct {
	startedAt    gypsumtide.Millis
	zone         string
	remoteFactor float64
	timing       Timing
	log          gypsumtide.DecisionLogger
	workers      map[WorkerID]*worker
	// workerList holds the same workers in a stable order, for candidate selection.
	workerList []*worker
	jobs       map[string]*job
	estimator  *estimator
	effects    Effects
	backlog    backlog
	// evacuations is the newest set of evacuated availability zones.
	evacuations gypsumtide.Evacuations
	// evacuatedWorkers is the number of workers in evacuated zones.
	evacuatedWorkers int
	// slowStarts is the number of workers in a slow start.
	slowStarts int
	// agentsSince is the time at which the entry last went from no connected agent to some.
	agentsSince gypsumtide.Millis
	// submissions is the number of jobs submitted or adopted.
	submissions uint64
	// recallBudget is how many queued orders may still be recalled before the next tick.
	recallBudget int
	// waiting holds the ready tasks that were not placed at the last tick or since.
	waiting waitingTasks
	shares  fairShares
	// roomBuffer is reused by rooms.
	roomBuffer []workerRoom
	// locality is the state of the placement of tasks whose steps name a rack.
	locality locality
}

// NewState returns a State without workers.
func NewState(now gypsumtide.Millis, zone string, remoteFactor float64, timing Timing, log gypsumtide.DecisionLogger) *State {
	return &State{
		startedAt: now, zone: zone, remoteFactor: remoteFactor, timing: timing, log: log,
		workers: make(map[WorkerID]*worker), jobs: make(map[string]*job), estimator: newEstimator(), shares: newFairShares(),
		locality: newLocality(),
	}
}

// TakeEffects returns the effects since the last call and clears them.
func (s *State) TakeEffects() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}

// Jobs returns the number of jobs in progress.
func (s *State) Jobs() int { return len(s.jobs) }

// Workers returns the number of workers that accept orders.
func (s *State) Workers() int {
	n := 0
	for _, w := range s.workerList {
		if w.usable() {
			n++
		}
	}
	return n
}

// WorkersByService returns the number of workers of each service that accept orders. It
// returns nil while agents are still expected to connect after the start of the entry.
func (s *State) WorkersByService(now gypsumtide.Millis) map[string]int {
	if s.startingUp(now) {
		return nil
	}
	n := make(map[string]int)
	for _, w := range s.workerList {
		if w.usable() {
			n[w.report.Service]++
		}
	}
	return n
}

// Service returns the service of a worker, or "" if it is not known.
func (s *State) Service(id WorkerID) string {
	if w, ok := s.workers[id]; ok {
		return w.report.Service
	}
	return ""
}

// HasEphemeral reports whether an ephemeral job with the id is in progress.
func (s *State) HasEphemeral(id string) bool {
	j, ok := s.jobs[id]
	return ok && !j.stored
}

// Submit starts an ephemeral job. No ephemeral job with the same id may be in progress.
// The answer is returned by a later TakeEffects, or by the next one if the job is refused
// on admission.
func (s *State) Submit(now gypsumtide.Millis, sub Submission) {
	j := newJob(now, sub)
	s.numberSubmission(j)
	if other, ok := s.jobs[j.id]; ok && other.stored {
		// Task names contain the job id, so the tasks of both jobs would get the same names.
		s.answer(now, j, Answer{Outcome: gypsumtide.OutcomeNotRun, Reason: "a stored job has this id", RetryAfter: s.retryAfter(j, 0)})
		return
	}
	expectedTime := j.criticalPath(func(step int) gypsumtide.Millis { return s.expected(j, step) })
	j.objective = now + j.route.Objective(expectedTime)
	s.jobs[j.id] = j
	if s.endUnservable(now, j) {
		return
	}
	if refusal, ok := s.admit(now, j); !ok {
		s.answer(now, j, refusal)
		return
	}
	s.log.Decision("job-admitted", "job", j.id, "request", j.request, "route", j.route.Name, "tasks", len(j.tasks), "expected-ms", expectedTime,
		"objective-ms", j.objective-now, "deadline-ms", sub.Timeout, "workers", len(s.workerList))
	s.placeReady(now, j)
	s.waiting.add(now, j)
}

// expected returns the expected run time of a step's task on an average worker.
func (s *State) expected(j *job, step int) gypsumtide.Millis {
	return s.estimator.expected(j.route.Name, j.steps[step].Estimate)
}

// answer records the final answer of a job and removes the job.
func (s *State) answer(now gypsumtide.Millis, j *job, a Answer) {
	if s.effects.Answers == nil {
		s.effects.Answers = make(map[string]Answer)
	}
	s.effects.Answers[j.id] = a
	if s.jobs[j.id] == j {
		delete(s.jobs, j.id)
	}
	s.log.Decision("job-answered", "job", j.id, "request", j.request, "route", j.route.Name, "outcome", a.Outcome, "reason", a.Reason,
		"took-ms", now-j.arrivedAt, "objective-ms", j.objective-j.arrivedAt, "retry-after-ms", a.RetryAfter, "tasks", len(j.tasks))
}

// Cancel aborts an ephemeral job that its caller has cancelled or disconnected from.
func (s *State) Cancel(now gypsumtide.Millis, id, reason string) {
	if j, ok := s.jobs[id]; ok && !j.stored {
		s.abort(now, j, reason)
	}
}

// AbortEphemeral aborts all ephemeral jobs because the entry is shutting down.
func (s *State) AbortEphemeral(now gypsumtide.Millis) {
	for _, j := range s.jobs {
		if !j.stored {
			s.abort(now, j, "entry-stops")
		}
	}
}

// abort answers the job at once and stops its runs. The outcome is unknown if any task
// has started or may have started. A start that was only presumed does not count once all
// orders have come back unstarted.
func (s *State) abort(now gypsumtide.Millis, j *job, reason string) {
	outcome := gypsumtide.OutcomeUnknown
	if !j.mayHaveRun && !j.hasPlacedTask() {
		outcome = gypsumtide.OutcomeNotRun
	}
	for _, t := range j.tasks {
		s.stopRun(t)
	}
	s.answer(now, j, Answer{Outcome: outcome, Reason: reason})
}

// messages returns the messages for the agent of a worker, to add to them.
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

// stopRun tells the agent to stop the task's run or discard its order.
func (s *State) stopRun(t *task) {
	if !t.placed() || t.stopping {
		return
	}
	t.stopping = true
	m := s.messages(t.worker)
	m.Stops = append(m.Stops, t.ref())
}

// HandleReport processes an agent's report on a run.
func (s *State) HandleReport(now gypsumtide.Millis, id WorkerID, r wire.RunReport) {
	w, ok := s.workers[id]
	if !ok {
		return
	}
	t, ok := w.tasks[r.Ref]
	if !ok {
		if r.Unrecorded {
			s.declineRecord(id, r.Ref)
		}
		return
	}
	s.keepCheckpoint(t, r)
	switch {
	case r.Queued:
		s.handleQueued(now, t)
		return
	case r.Started:
		s.handleStarted(now, t)
		return
	case r.End == "" && r.Checkpoint != "":
		return
	case r.End == "":
		s.updateProjection(now, t, r.Remaining, r.Stalled)
		return
	}
	s.logInconclusiveEnd(now, t, r)
	s.removeRun(w, t)
	if r.Reason == runner.ReasonZoneEvacuated {
		// The agent's description of its worker may be in the same frame, after this report.
		w.report.Accepting = false
	}
	if t.job.stored && r.End.Conclusive() {
		s.recordEnd(t, r)
		return
	}
	s.handleEnd(now, t, r)
}

// logInconclusiveEnd logs why a run counts as over although its task is neither done nor
// failed, and what was known of the run until then.
func (s *State) logInconclusiveEnd(now gypsumtide.Millis, t *task, r wire.RunReport) {
	if r.End.Conclusive() {
		return
	}
	kind := "run-lost"
	if r.End == gypsumtide.EndNotStarted && t.phase != taskRunning {
		kind = "run-returned"
	}
	s.log.Decision(kind, "run", t.ref(), "worker", t.worker, "end", r.End, "reason", r.Reason, "phase", t.phase.String(),
		"ordered-ms", now-t.orderedAt, "report", r.Number)
}

// handleQueued processes the report that an order is waiting in its agent's queue.
func (s *State) handleQueued(now gypsumtide.Millis, t *task) {
	if t.phase != taskOrdered {
		return
	}
	if w, ok := s.workers[t.worker]; ok {
		w.ownRunning = w.ownRunning.Sub(t.size())
		w.ownQueue(t.job.route.Priority).add(t.size())
	}
	t.phase = taskQueued
	if t.job.started {
		s.expedite(now, t.job)
	}
}

// handleStarted processes the report that a queued order has started.
func (s *State) handleStarted(now gypsumtide.Millis, t *task) {
	if t.phase != taskQueued {
		return
	}
	t.phase = taskRunning
	t.startedAt = now
	s.observeWait(now, t, true)
	j := t.job
	j.mayHaveRun = true
	if w, ok := s.workers[t.worker]; ok {
		w.ownQueue(j.route.Priority).remove(t.size())
		w.ownRunning = w.ownRunning.Add(t.size())
	}
	s.markStarted(now, j)
}

// markStarted notes that a task of the job has started. A pending refusal is
// withdrawn, because it would wrongly tell the caller that nothing has run.
func (s *State) markStarted(now gypsumtide.Millis, j *job) {
	if j.started || s.jobs[j.id] != j {
		return
	}
	j.started = true
	if j.stored {
		s.effects.Stored.Started = append(s.effects.Stored.Started, j.id)
	}
	if j.pendingRefusal != nil {
		s.log.Decision("refusal-withdrawn", "job", j.id)
		j.pendingRefusal = nil
	}
	s.expedite(now, j)
}

// presumedStartDelay is the time after which an order counts as started if its agent
// has not reported it as queued.
const presumedStartDelay gypsumtide.Millis = 10

// expedite tells the agents to start the queued tasks of a job first. A job has no
// value to its caller until all of its tasks are done.
func (s *State) expedite(now gypsumtide.Millis, j *job) {
	for _, t := range j.tasks {
		if t.phase == taskQueued && !t.stopping && !t.expedited {
			t.expedited = true
			m := s.messages(t.worker)
			o := s.newOrder(now, t)
			o.Update = true
			o.Spec, o.Checkpoint = "", ""
			m.Orders = append(m.Orders, o)
		}
	}
}

// removeRun removes a task's run from a worker and from the worker's accounted load.
func (s *State) removeRun(w *worker, t *task) {
	delete(w.tasks, t.ref())
	t.releaseMove()
	if t.phase == taskQueued {
		w.ownQueue(t.job.route.Priority).remove(t.size())
		return
	}
	w.ownRunning = w.ownRunning.Sub(t.size())
}

// handleEnd processes the end of a task's run.
func (s *State) handleEnd(now gypsumtide.Millis, t *task, r wire.RunReport) {
	j := t.job
	t.phase = taskReady
	t.stopping = false
	t.expedited = false
	t.projectedEnd, t.stalled, t.leaveVerdict = 0, false, leaveUndecided
	inProgress := s.jobs[j.id] == j
	switch r.End {
	case gypsumtide.EndDone:
		t.phase = taskDone
		t.runTime = r.RunTime
		if w, ok := s.workers[t.worker]; ok {
			s.recordPlace(t, w, r.RunTime)
			if t.resumedFrom.data == "" {
				s.estimator.observe(j.route.Name, j.steps[t.step].Estimate, r.RunTime, w.slowness*s.placeFactor(t, w))
			}
		}
		if t.resumedFrom.data != "" {
			t.runTime = 0 // It is not comparable with that of a whole run.
		}
		if j.unfinished[t.step]--; j.unfinished[t.step] == 0 {
			s.learnSlowness(j, t.step)
		}
	case gypsumtide.EndFailed:
		t.failures++
		s.dropFailedCheckpoint(t)
		t.avoidWorker = t.worker
	case gypsumtide.EndNotStarted:
		s.observeWait(now, t, false)
		if r.Reason == runner.ReasonStaleRun {
			t.number += runNumberGap
		}
	default:
		t.avoidWorker = t.worker
	}
	if r.End != gypsumtide.EndNotStarted {
		// Something may have run, so a pending refusal is withdrawn.
		j.started, j.mayHaveRun = true, true
		j.pendingRefusal = nil
	}
	if inProgress {
		s.advanceJob(now, j, t, r)
	}
}

// runNumberGap is added to the run number of a task when the worker has already ended a
// run with this or a higher number, from an earlier submission of the same job at another
// entry.
const runNumberGap = 64

// advanceJob answers a job or continues it after one of its runs has ended.
func (s *State) advanceJob(now gypsumtide.Millis, j *job, t *task, r wire.RunReport) {
	switch {
	case j.stored:
		s.advanceStoredJob(now, j, t, r)
	case j.allDone():
		s.answer(now, j, Answer{Outcome: gypsumtide.OutcomeComplete})
	case j.pendingRefusal != nil:
		s.answerPendingRefusal(now, j)
	case t.phase == taskDone:
		j.unblockTasks()
		s.placeReady(now, j)
	case t.failures >= max(1, j.route.Attempts):
		s.failJob(now, j, fmt.Sprintf("task %s failed %d times", t.name, t.failures))
	case r.End == gypsumtide.EndNotStarted && !j.started:
		s.replanJob(now, j)
	default:
		s.placeReady(now, j)
	}
}

// failJob stops the job's remaining runs and answers that the job has failed.
func (s *State) failJob(now gypsumtide.Millis, j *job, reason string) {
	for _, t := range j.tasks {
		s.stopRun(t)
	}
	s.answer(now, j, Answer{Outcome: gypsumtide.OutcomeFailed, Reason: reason})
}

// answerPendingRefusal sends the refusal of a job if none of its orders can start any
// more.
func (s *State) answerPendingRefusal(now gypsumtide.Millis, j *job) {
	if !j.hasPlacedTask() {
		s.answer(now, j, *j.pendingRefusal)
	}
}

// Tick performs the periodic work: it expires lost agents, aborts jobs past their
// deadline, places waiting tasks or refuses their jobs, recalls queued orders that another
// worker could start at once, and stops stalled runs so that their tasks are retried.
func (s *State) Tick(now gypsumtide.Millis) {
	s.expireLostAgents(now)
	s.updateSlowStarts(now)
	s.backlog.update(now, s.waitingShare())
	s.shares.update(now, s.backlog.average)
	s.recallBudget = s.countFreeWorkers()
	s.refreshLocality()
	s.moveLeavingRuns(now)
	for _, j := range s.jobsByUrgency() {
		s.checkJob(now, j)
	}
	s.waiting = s.waiting[:0]
	for _, j := range s.jobs {
		s.waiting.add(now, j)
	}
}

// checkJob performs the periodic work on one job.
func (s *State) checkJob(now gypsumtide.Millis, j *job) {
	if now >= j.deadline {
		s.abort(now, j, "deadline")
		return
	}
	if j.pendingRefusal != nil {
		return
	}
	for _, t := range j.tasks {
		switch {
		case t.phase == taskReady && !j.started && !j.stored:
			s.replanJob(now, j)
		case t.phase == taskReady && s.endUnservable(now, j):
		case t.phase == taskReady:
			s.place(now, t)
		case t.phase == taskOrdered && !j.started && now-t.orderedAt >= presumedStartDelay:
			s.markStarted(now, j)
		case t.phase == taskQueued && !t.stopping && s.recallBudget > 0 && now-max(t.orderedAt, t.recalledAt) >= recallDelay:
			s.recallQueued(now, t)
		case t.placed() && t.phase != taskQueued && !t.stopping && s.stalled(now, t):
			s.moveRun(now, t, "stands-still")
		}
		if s.jobs[j.id] != j {
			return
		}
	}
}
