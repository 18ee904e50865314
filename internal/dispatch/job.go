// Package dispatch decides at an entry where the tasks of jobs run, when an
// ephemeral job is refused, and when a run is tried elsewhere.
package dispatch

import (
	"log/slog"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// WorkerID identifies an agent's incarnation. A new incarnation knows nothing of
// the runs of the one before, and has ended them before it takes orders.
type WorkerID struct {
	Agent       string
	Incarnation string
}

// LogValue implements slog.LogValuer.
func (id WorkerID) LogValue() slog.Value { return slog.StringValue(id.Agent + "/" + id.Incarnation) }

// taskPhase is the progress of a task.
type taskPhase uint8

const (
	// taskBlocked waits for an earlier step.
	taskBlocked taskPhase = iota
	// taskReady has no run.
	taskReady
	// taskOrdered has a run that starts at once unless the agent says that it waits.
	taskOrdered
	// taskQueued has an order that waits at its agent.
	taskQueued
	taskRunning
	// taskEnded has a run that has ended, and whose end is being recorded.
	taskEnded
	taskDone
)

// task is a task of a job.
type task struct {
	job     *job
	name    gypsumtide.TaskName
	step    int
	phase   taskPhase
	number  uint64
	worker  WorkerID
	life    gypsumtide.Incarnation
	ordered gypsumtide.Millis
	// hurried is set once the agent knows that the job has begun.
	hurried bool
	// recalled is the time of the last recall of the order.
	recalled gypsumtide.Millis
	started  gypsumtide.Millis
	// ran is the run time of the run that was done.
	ran gypsumtide.Millis
	// ends is the projected end of a run that takes longer than expected, or 0.
	ends gypsumtide.Millis
	// moves counts the runs that were stopped to be tried elsewhere.
	moves int
	// failures counts runs that ended failed.
	failures int
	// avoid is the worker of the last run that failed or stood still.
	avoid WorkerID
	// end is the end that is being recorded, recorded has the runs whose ends are.
	end      wire.RunReport
	recorded []uint64
	// stopping is set while a run is being stopped to be tried elsewhere, or
	// because the job has ended.
	stopping bool
}

func (t *task) ref() gypsumtide.RunRef {
	return gypsumtide.RunRef{Task: t.name, Number: t.number}
}

// placed reports whether the task has an order or a run.
func (t *task) placed() bool {
	return t.phase == taskOrdered || t.phase == taskQueued || t.phase == taskRunning
}

// size returns the declared size of the task.
func (t *task) size() gypsumtide.Size { return t.job.steps[t.step].Size }

// Answer is the final answer to a submission.
type Answer struct {
	Outcome gypsumtide.Outcome
	// Reason is for logs and the body of refusals.
	Reason string
	// RetryAfter is when a refused caller may return.
	RetryAfter gypsumtide.Millis
}

// job is a submission in progress.
type job struct {
	id       string
	request  string
	spec     string
	route    gypsumtide.QueueRoute
	steps    []gypsumtide.JobStep
	tasks    []*task
	undone   []int
	hash     uint64
	arrived  gypsumtide.Millis
	deadline gypsumtide.Millis
	// objective is the time by which the job is on time.
	objective gypsumtide.Millis
	// begun is set once a task has started, or must have for want of a report that
	// it waits.
	begun bool
	// ending is the answer that is given once no task can start any more.
	ending *Answer
	// stored is set for a job that outlives its caller's connection. Nothing of it is
	// started before notBefore.
	stored    bool
	notBefore gypsumtide.Millis
	// closed is set once a stored job has a final state.
	closed bool
}

func newJob(now gypsumtide.Millis, s Submission) *job {
	j := &job{
		id: s.Job.ID, request: s.Job.Request, spec: s.Job.Spec, route: s.Route, steps: s.Job.Steps,
		arrived: now, deadline: now + s.Timeout, undone: make([]int, len(s.Job.Steps)), hash: xxhash.Sum64String(s.Job.ID),
	}
	for i, step := range j.steps {
		j.undone[i] = step.Tasks
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

// chain returns the longest expected run time of steps that depend on each other.
func (j *job) chain(expected func(step int) gypsumtide.Millis) gypsumtide.Millis {
	ends := make([]gypsumtide.Millis, len(j.steps))
	var longest gypsumtide.Millis
	for i, step := range j.steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += expected(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// release makes the tasks of steps ready whose earlier steps are done.
func (j *job) release() {
	for _, t := range j.tasks {
		if t.phase != taskBlocked {
			continue
		}
		ready := true
		for _, before := range j.steps[t.step].After {
			ready = ready && j.undone[before] == 0
		}
		if ready {
			t.phase = taskReady
		}
	}
}

func (j *job) done() bool {
	for _, n := range j.undone {
		if n > 0 {
			return false
		}
	}
	return true
}

// ready reports whether a task has no run.
func (j *job) ready() bool {
	for _, t := range j.tasks {
		if t.phase == taskReady {
			return true
		}
	}
	return false
}

// open reports whether a run of a task may exist.
func (j *job) open() bool {
	for _, t := range j.tasks {
		if t.placed() {
			return true
		}
	}
	return false
}
