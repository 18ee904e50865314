// Package job holds a job at its home: the state of its tasks, the requests
// that wait for its answer, and the rule that it ends once.
package job

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/chart"
	"gypsumtide/internal/wire"
)

// The states and events of the charts that the code names.
var (
	queued     = chart.Task.MustState("queued")
	dispatched = chart.Task.MustState("dispatched")
	running    = chart.Task.MustState("running")
	unknown    = chart.Task.MustState("unknown")

	dispatch     = chart.Task.MustEvent("dispatch")
	start        = chart.Task.MustEvent("start")
	notStarted   = chart.Task.MustEvent("not-started")
	finish       = chart.Task.MustEvent("finish")
	fail         = chart.Task.MustEvent("fail")
	lose         = chart.Task.MustEvent("lose")
	foundRunning = chart.Task.MustEvent("found-running")
	foundDone    = chart.Task.MustEvent("found-done")
	foundFailed  = chart.Task.MustEvent("found-failed")
	foundLost    = chart.Task.MustEvent("found-lost")
	cancel       = chart.Task.MustEvent("cancel")
	move         = chart.Task.MustEvent("move")

	jobStart = chart.Job.MustEvent("start")
	jobMove  = chart.Job.MustEvent("move")
	// jobEnds holds the event that ends a job with an outcome.
	jobEnds = map[gypsumtide.Outcome]chart.Event{
		gypsumtide.OutcomeComplete: chart.Job.MustEvent("complete"),
		gypsumtide.OutcomeFailed:   chart.Job.MustEvent("fail"),
		gypsumtide.OutcomeNotRun:   chart.Job.MustEvent("refuse"),
		gypsumtide.OutcomeUnknown:  chart.Job.MustEvent("lose"),
	}
)

// openIn holds 1 for the states of a task that is at an agent.
var openIn = func() []int {
	open := make([]int, len(chart.Task.States()))
	open[dispatched], open[running] = 1, 1
	return open
}()

// Job is a submission in progress at its home. It is not safe for concurrent use.
type Job struct {
	request    *wire.Job
	digest     uint64
	epoch      uint64
	deadline   gypsumtide.Millis
	admitted   gypsumtide.Millis
	tasks      []*gypsumtide.Task
	state      chart.State
	states     []chart.State
	results    []wire.TaskResult
	open       int
	done       int
	started    int
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
		state:    chart.Job.Initial(),
		states:   make([]chart.State, n),
		results:  make([]wire.TaskResult, n),
	}
	for i := range request.Tasks {
		t := gypsumtide.NewTask(request.Submission, uint32(i), request.Service, request.Team, n, deadline)
		t.SetSize(request.Tasks[i].Size)
		j.tasks[i] = t
		j.states[i] = chart.Task.Initial()
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

// State returns the name of the job's state.
func (j *Job) State() string { return chart.Job.StateName(j.state) }

// TaskState returns the name of the state of task i.
func (j *Job) TaskState(i uint32) string { return chart.Task.StateName(j.states[i]) }

// Recovering reports whether the home still asks agents what they started.
func (j *Job) Recovering() bool { return j.recovering }

// SetRecovering marks the start or the end of a recovery.
func (j *Job) SetRecovering(r bool) { j.recovering = r }

// Charged reports whether the job counts against its team's limits.
func (j *Job) Charged() bool { return j.charged }

// SetCharged records that the job counts against its team's limits.
func (j *Job) SetCharged(c bool) { j.charged = c }

// ClosingProblem returns the problem that is ending the job while open tasks are settled, or nil.
func (j *Job) ClosingProblem() *wire.Problem { return j.closing }

// Wait returns a channel that receives the answer once.
func (j *Job) Wait() <-chan wire.Answer {
	ch := make(chan wire.Answer, 1)
	j.waiters = append(j.waiters, ch)
	return ch
}

// Queued reports whether task i waits at the home.
func (j *Job) Queued(i uint32) bool { return j.states[i] == queued }

// Open reports whether task i is at an agent.
func (j *Job) Open(i uint32) bool {
	return j.states[i] == dispatched || j.states[i] == running
}

// Running reports whether task i is known to run at an agent.
func (j *Job) Running(i uint32) bool { return j.states[i] == running }

// OpenTasks returns the number of tasks at agents.
func (j *Job) OpenTasks() int { return j.open }

// Started reports whether any task is known to have started.
func (j *Job) Started() bool { return j.started > 0 }

// fire takes a transition of task i. An event that the state rejects changes
// nothing: it is a repeat, or comes after the task or the job has ended.
func (j *Job) fire(i uint32, e chart.Event) bool {
	from := j.states[i]
	to, ok := chart.Task.Step(from, e)
	if !ok || j.ended {
		return false
	}
	j.states[i] = to
	j.open += openIn[to] - openIn[from]
	return true
}

// begin notes that a task is known to have started.
func (j *Job) begin() {
	j.started++
	if j.started == 1 {
		j.state, _ = chart.Job.Step(j.state, jobStart)
	}
}

// at returns found for a task that waits here, of which a recovery has found
// that an earlier home started it, and e for any other.
func (j *Job) at(i uint32, e, found chart.Event) chart.Event {
	if j.states[i] == queued {
		return found
	}
	return e
}

// Dispatch marks task i as sent to an agent.
func (j *Job) Dispatch(i uint32) { j.fire(i, dispatch) }

// Start marks task i as running at an agent.
func (j *Job) Start(i uint32) {
	if j.fire(i, j.at(i, start, foundRunning)) {
		j.begin()
	}
}

// Requeue takes task i back after its agent promised that it has not started.
// An agent that had reported it as running takes that back if the upstream
// refused the task. It reports false if the task was not at an agent.
func (j *Job) Requeue(i uint32) bool {
	wasRunning := j.states[i] == running
	if !j.fire(i, notStarted) {
		return false
	}
	if wasRunning {
		j.started--
	}
	return true
}

// Finish records the upstream's answer to task i.
func (j *Job) Finish(i uint32, r wire.TaskResult) {
	e := j.at(i, finish, foundDone)
	if FailedStatus(r.Status) {
		e = j.at(i, fail, foundFailed)
	}
	wasRunning := j.states[i] == running
	if !j.fire(i, e) {
		return
	}
	j.results[i] = r
	j.done++
	if !wasRunning {
		j.begin()
	}
}

// Result returns the recorded answer to task i.
func (j *Job) Result(i uint32) wire.TaskResult { return j.results[i] }

// MarkLost records that task i may have started and that its result is lost.
func (j *Job) MarkLost(i uint32) {
	j.fire(i, j.at(i, lose, foundLost))
}

// DoneTasks returns the number of tasks with a result.
func (j *Job) DoneTasks() int { return j.done }

// Complete reports whether every task has a result.
func (j *Job) Complete() bool { return j.done == len(j.tasks) }

// SetClosingProblem begins to end the job with a problem. The outcome is decided when the open tasks are settled.
func (j *Job) SetClosingProblem(p *wire.Problem) {
	if j.closing == nil {
		j.closing = p
	}
}

// Settled reports whether no task is at an agent.
func (j *Job) Settled() bool { return j.open == 0 }

// ClosingOutcome returns the outcome that the known task states prove.
func (j *Job) ClosingOutcome() gypsumtide.Outcome {
	for _, s := range j.states {
		if s == unknown {
			return gypsumtide.OutcomeUnknown
		}
	}
	switch {
	case j.started > 0:
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

// End gives the final answer to all that wait and returns it. Only the first
// call has an effect. An answer that the chart does not permit, as complete
// before any task started, would be false and becomes outcome-unknown.
func (j *Job) End(a wire.Answer) (wire.Answer, bool) {
	if j.Ended() {
		return a, false
	}
	e, known := jobEnds[a.Outcome]
	taskEvent := cancel
	if a.Moved {
		e, taskEvent, known = jobMove, move, true
	}
	next, ok := chart.Job.Step(j.state, e)
	if !known || !ok {
		a = wire.Answer{Submission: j.Submission(), Outcome: gypsumtide.OutcomeUnknown, Problem: &wire.Problem{
			Type: "internal", Status: http.StatusInternalServerError, Step: "end job",
			Detail: fmt.Sprintf("a job in state %s cannot end as %q", j.State(), a.Outcome),
		}}
		next, _ = chart.Job.Step(j.state, jobEnds[a.Outcome])
	}
	if a.Outcome != gypsumtide.OutcomeComplete {
		for i := range j.states {
			j.fire(uint32(i), taskEvent)
		}
	}
	j.state, j.ended = next, true
	for _, ch := range j.waiters {
		ch <- a
	}
	j.waiters = nil
	return a, true
}

// FailedStatus reports whether an upstream's status fails the job. Client
// errors are answers of the service and reach the caller.
func FailedStatus(status int) bool { return status >= http.StatusInternalServerError }
