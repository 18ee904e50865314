// Package job holds a job at its home: the state of its tasks, the requests
// that wait for its answer, and the rule that it ends once.
package job

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// taskState is the state of a task as the home knows it.
type taskState uint8

const (
	taskQueued taskState = iota
	// taskDispatched means sent to an agent: it may have started.
	taskDispatched
	// taskStarted means that the agent reported it as running.
	taskStarted
	taskDone
	taskUnknown
)

// Job is a submission in progress at its home. It is not safe for concurrent use.
type Job struct {
	request    *wire.Job
	digest     uint64
	epoch      uint64
	deadline   gypsumtide.Millis
	admitted   gypsumtide.Millis
	tasks      []*gypsumtide.Task
	states     []taskState
	results    []wire.TaskResult
	open       int
	done       int
	started    bool
	recovering bool
	closing    *wire.Problem
	charged    bool
	waiters    []chan wire.Answer
	ended      bool
}

// New returns a job with every task queued. The deadline is on the home's
// monotonic clock.
func New(request *wire.Job, epoch uint64, now, deadline gypsumtide.Millis) *Job {
	n := len(request.Tasks)
	j := &Job{
		request:  request,
		digest:   Digest(request),
		epoch:    epoch,
		admitted: now,
		deadline: deadline,
		tasks:    make([]*gypsumtide.Task, n),
		states:   make([]taskState, n),
		results:  make([]wire.TaskResult, n),
	}
	for i := range request.Tasks {
		t := gypsumtide.NewTask(request.Submission, uint32(i), request.Service, request.Team, n, deadline)
		t.SetSize(request.Tasks[i].Size)
		j.tasks[i] = t
	}
	return j
}

// Digest hashes what the caller asked for, without the deadline, so that a
// resubmission with other content can be told apart.
func Digest(request *wire.Job) uint64 {
	h := xxhash.New()
	write := func(s string) { _, _ = fmt.Fprintf(h, "%d:%s", len(s), s) }
	write(request.Service)
	write(request.Team)
	for i := range request.Tasks {
		write(string(request.Tasks[i].Payload))
		write(request.Tasks[i].ContentType)
	}
	return h.Sum64()
}

// Submission returns the id.
func (j *Job) Submission() gypsumtide.SubmissionID { return j.request.Submission }

// Request returns the submitted job.
func (j *Job) Request() *wire.Job { return j.request }

// Digest returns the hash of the submitted job.
func (j *Job) Digest() uint64 { return j.digest }

// Epoch returns the epoch under which the job was admitted.
func (j *Job) Epoch() uint64 { return j.epoch }

// Deadline returns the deadline on the home's monotonic clock.
func (j *Job) Deadline() gypsumtide.Millis { return j.deadline }

// Admitted returns the time of admission on the home's monotonic clock.
func (j *Job) Admitted() gypsumtide.Millis { return j.admitted }

// Tasks returns the tasks in order.
func (j *Job) Tasks() []*gypsumtide.Task { return j.tasks }

// Ended reports whether the job has its final answer.
func (j *Job) Ended() bool { return j.ended }

// Recovering reports whether the home still asks agents what they started.
func (j *Job) Recovering() bool { return j.recovering }

// SetRecovering marks the start or the end of a recovery.
func (j *Job) SetRecovering(r bool) { j.recovering = r }

// Charged reports whether the job counts against its team's limits.
func (j *Job) Charged() bool { return j.charged }

// SetCharged records that the job counts against its team's limits.
func (j *Job) SetCharged(c bool) { j.charged = c }

// Closing returns the problem that is ending the job while open tasks are settled, or nil.
func (j *Job) Closing() *wire.Problem { return j.closing }

// Wait returns a channel that receives the answer once.
func (j *Job) Wait() <-chan wire.Answer {
	ch := make(chan wire.Answer, 1)
	j.waiters = append(j.waiters, ch)
	return ch
}

// Queued reports whether task i waits at the home.
func (j *Job) Queued(i uint32) bool { return j.states[i] == taskQueued }

// Open reports whether task i is at an agent.
func (j *Job) Open(i uint32) bool {
	return j.states[i] == taskDispatched || j.states[i] == taskStarted
}

// Running reports whether task i is known to run at an agent.
func (j *Job) Running(i uint32) bool { return j.states[i] == taskStarted }

// OpenTasks returns the number of tasks at agents.
func (j *Job) OpenTasks() int { return j.open }

// Started reports whether any task is known to have started.
func (j *Job) Started() bool { return j.started }

// Dispatch marks task i as sent to an agent.
func (j *Job) Dispatch(i uint32) {
	j.states[i] = taskDispatched
	j.open++
}

// Start marks task i as running at an agent.
func (j *Job) Start(i uint32) {
	if j.states[i] == taskQueued {
		j.open++
	}
	j.states[i] = taskStarted
	j.started = true
}

// Requeue takes task i back after its agent promised that it has not started.
// It reports false if the task was not at an agent, or is known to have started.
func (j *Job) Requeue(i uint32) bool {
	if j.states[i] != taskDispatched {
		return false
	}
	j.states[i] = taskQueued
	j.open--
	return true
}

// Finish records the upstream's answer to task i.
func (j *Job) Finish(i uint32, r wire.TaskResult) {
	if j.states[i] == taskDone {
		return
	}
	if j.Open(i) {
		j.open--
	}
	j.states[i] = taskDone
	j.results[i] = r
	j.started = true
	j.done++
}

// Result returns the recorded answer to task i.
func (j *Job) Result(i uint32) wire.TaskResult { return j.results[i] }

// Lose records that task i may have started and that its result is lost.
func (j *Job) Lose(i uint32) {
	if j.Open(i) {
		j.open--
	}
	j.states[i] = taskUnknown
}

// DoneTasks returns the number of tasks with a result.
func (j *Job) DoneTasks() int { return j.done }

// Complete reports whether every task has a result.
func (j *Job) Complete() bool { return j.done == len(j.tasks) }

// Close begins to end the job with a problem. The outcome is decided when the open tasks are settled.
func (j *Job) Close(p *wire.Problem) {
	if j.closing == nil {
		j.closing = p
	}
}

// Settled reports whether no task is at an agent.
func (j *Job) Settled() bool { return j.open == 0 }

// ClosingOutcome returns the outcome that the known task states prove.
func (j *Job) ClosingOutcome() gypsumtide.Outcome {
	for _, s := range j.states {
		if s == taskUnknown {
			return gypsumtide.OutcomeUnknown
		}
	}
	switch {
	case j.started:
		return gypsumtide.OutcomeFailed
	case j.open > 0:
		return gypsumtide.OutcomeUnknown
	}
	return gypsumtide.OutcomeNotRun
}

// Answer builds the answer of a complete job.
func (j *Job) Answer() wire.Answer {
	return wire.Answer{Submission: j.Submission(), Outcome: gypsumtide.OutcomeComplete, Results: j.results}
}

// End gives the final answer to all that wait. Only the first call has an effect.
func (j *Job) End(a wire.Answer) bool {
	if j.ended {
		return false
	}
	j.ended = true
	for _, ch := range j.waiters {
		ch <- a
	}
	j.waiters = nil
	return true
}

// FailedStatus reports whether an upstream's status fails the job. Client
// errors are answers of the service and reach the caller.
func FailedStatus(status int) bool { return status >= http.StatusInternalServerError }
