// Package dispatch schedules the tasks of jobs at an entry: it places them on workers,
// refuses ephemeral jobs that cannot be served in time, and moves runs to other workers.
//
// An entry is a server process that accepts jobs from callers. It reaches each worker
// through the agent on the worker's host (package runner), which opens a session to the
// entry. An order asks the agent for one run of a task. It waits at the agent until the
// worker has free capacity, and can be recalled until then.
//
// An ephemeral job ends with the connections of its callers. A stored job is kept in a log
// by package stored, which passes it to Adopt. The owner of a stored job is the entry that
// runs it at present. If a run of such a job completes its task or fails, this takes effect
// only after the ProgressRecorder has recorded it and EndRecorded has been called.
package dispatch

import (
	"log/slog"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// WorkerID identifies a worker by its agent and the agent's incarnation. A new
// incarnation has no knowledge of the runs of the previous one, and stops them before it
// starts any.
type WorkerID struct {
	Agent       string
	Incarnation string
}

// LogValue implements slog.LogValuer.
func (id WorkerID) LogValue() slog.Value { return slog.StringValue(id.Agent + "/" + id.Incarnation) }

// taskPhase is the state of a task.
type taskPhase uint8

const (
	// taskBlocked is waiting for an earlier step.
	taskBlocked taskPhase = iota
	// taskReady can be placed and has no run.
	taskReady
	// taskOrdered has an order that the agent has not reported as queued. Such an order
	// starts at once, without a report.
	taskOrdered
	// taskQueued has an order that is waiting in its agent's queue.
	taskQueued
	// taskRunning has a run whose order was queued before.
	taskRunning
	// taskEnded has a run whose end is being recorded.
	taskEnded
	taskDone
)

// taskPhaseNames has the names of the phases in logs.
var taskPhaseNames = [...]string{"blocked", "ready", "ordered", "queued", "running", "ended", "done"}

// String returns the name used in logs.
func (p taskPhase) String() string { return taskPhaseNames[p] }

// task is a task of a job with the state of its latest run.
type task struct {
	job   *job
	name  gypsumtide.TaskName
	step  int
	phase taskPhase
	// number is the run number of the latest order, or higher if numbers have been
	// skipped. The next order gets the next number.
	number            uint64
	worker            WorkerID
	workerIncarnation gypsumtide.Incarnation
	// orderedAt is the time of the latest order.
	orderedAt gypsumtide.Millis
	// expedited is set once the agent has been told to start the order first.
	expedited bool
	// recalledAt is the time at which the order was last recalled.
	recalledAt gypsumtide.Millis
	// startedAt is the time at which a queued order was reported as started.
	startedAt gypsumtide.Millis
	// runTime is the run time of the successful run.
	runTime gypsumtide.Millis
	// projectedEnd is when a run that takes longer than expected should end, or 0.
	projectedEnd gypsumtide.Millis
	// stalled is set if the last projection was that of a run without progress.
	stalled bool
	// moves counts the runs that were stopped to be retried on another worker, other than
	// those on workers that leave.
	moves int
	// wait is the task's wait for the rack of its step.
	wait rackWait
	// leaveVerdict is the last decision on the run while its worker leaves, and leaveCheckedAt
	// the time at which other workers were last compared for it. moveTarget is the worker on
	// which room is reserved until the run has ended, if any.
	leaveVerdict   leaveVerdict
	leaveCheckedAt gypsumtide.Millis
	moveTarget     *worker
	// checkpoint is the newest checkpoint of the task, resumedFrom the one from which its
	// present run was resumed.
	checkpoint, resumedFrom checkpoint
	// failures counts the failed runs.
	failures int
	// avoidWorker is the worker of the last run that failed, was lost or was stopped.
	avoidWorker WorkerID
	// end is the end that is being recorded. recordedRuns lists the numbers of the runs
	// whose ends have been recorded.
	end          wire.RunReport
	recordedRuns []uint64
	// stopping is set once the agent has been told to stop the run, to retry it on
	// another worker or because the job has ended or is to be refused.
	stopping bool
}

func (t *task) ref() gypsumtide.RunRef {
	return gypsumtide.RunRef{Task: t.name, Number: t.number}
}

// placed reports whether the task has an order or a run at a worker.
func (t *task) placed() bool {
	return t.phase == taskOrdered || t.phase == taskQueued || t.phase == taskRunning
}

// size returns the declared size of the task.
func (t *task) size() gypsumtide.Size { return t.job.steps[t.step].Size }

// Answer is the final answer to a submission.
type Answer struct {
	Outcome gypsumtide.Outcome
	// Reason appears in logs, in the metric of refusals, and in the response to a caller
	// whose job was refused or has an unknown outcome.
	Reason string
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter gypsumtide.Millis
}

// job is a job in progress.
type job struct {
	id string
	// request identifies the submission in the caller's own logs.
	request string
	// submission numbers the submissions at this entry.
	submission uint64
	spec       string
	route      gypsumtide.QueueRoute
	steps      []gypsumtide.JobStep
	tasks      []*task
	// unfinished is the number of tasks of each step that are not done.
	unfinished []int
	// hash is a hash of the id. It spreads jobs over workers and retries over time.
	hash      uint64
	arrivedAt gypsumtide.Millis
	deadline  gypsumtide.Millis
	// objective is the latest time at which the job is still on time.
	objective gypsumtide.Millis
	// started is set once a task has started or may have run, or is presumed to have
	// started because its agent has not reported it as queued.
	started bool
	// mayHaveRun is set once a start has been reported, or a run has ended that is not known
	// to be unstarted. Unlike started it excludes presumed starts.
	mayHaveRun bool
	// pendingRefusal is the answer to give once no task can start any more.
	pendingRefusal *Answer
	// stored is set for a job that outlives its caller's connection. None of its tasks
	// starts before notBefore.
	stored    bool
	notBefore gypsumtide.Millis
	// closed is set once a stored job has reached a final state.
	closed bool
}

func newJob(now gypsumtide.Millis, s Submission) *job {
	j := &job{
		id: s.Job.ID, request: s.Job.Request, spec: s.Job.Spec, route: s.Route, steps: s.Job.Steps,
		arrivedAt: now, deadline: now + s.Timeout, unfinished: make([]int, len(s.Job.Steps)), hash: xxhash.Sum64String(s.Job.ID),
	}
	for i, step := range j.steps {
		j.unfinished[i] = step.Tasks
		phase := taskReady
		if len(step.After) > 0 {
			phase = taskBlocked
		}
		for k := range step.Tasks {
			name := gypsumtide.TaskName{Job: j.id, Step: i, Index: k}
			j.tasks = append(j.tasks, &task{job: j, name: name, step: i, phase: phase})
		}
	}
	return j
}

// task returns the task with the name, or nil if the job has none.
func (j *job) task(name gypsumtide.TaskName) *task {
	i, ok := gypsumtide.TaskIndex(j.steps, name)
	if !ok {
		return nil
	}
	return j.tasks[i]
}

// criticalPath returns the expected run time of the longest chain of dependent steps.
func (j *job) criticalPath(expected func(step int) gypsumtide.Millis) gypsumtide.Millis {
	ends := make([]gypsumtide.Millis, len(j.steps))
	var longest gypsumtide.Millis
	for i, step := range j.steps {
		for _, dependency := range step.After {
			ends[i] = max(ends[i], ends[dependency])
		}
		ends[i] += expected(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// unblockTasks marks as ready the blocked tasks whose preceding steps are done.
func (j *job) unblockTasks() {
	for _, t := range j.tasks {
		if t.phase != taskBlocked {
			continue
		}
		ready := true
		for _, dependency := range j.steps[t.step].After {
			ready = ready && j.unfinished[dependency] == 0
		}
		if ready {
			t.phase = taskReady
		}
	}
}

func (j *job) allDone() bool {
	for _, n := range j.unfinished {
		if n > 0 {
			return false
		}
	}
	return true
}

// hasReadyTask reports whether a task is waiting to be placed.
func (j *job) hasReadyTask() bool {
	for _, t := range j.tasks {
		if t.phase == taskReady {
			return true
		}
	}
	return false
}

// hasPlacedTask reports whether any task has an order or a run at a worker.
func (j *job) hasPlacedTask() bool {
	for _, t := range j.tasks {
		if t.placed() {
			return true
		}
	}
	return false
}
