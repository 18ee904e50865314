// Package job implements the state of a job at its home, the entry that dispatches
// its tasks: the states of the tasks, the requests that wait for the answer, and the
// rule that the job ends only once.
package job

import (
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"gypsumtide"
	"gypsumtide/internal/chart"
	"gypsumtide/internal/wire"
)

// States and events of the state charts that the code refers to.
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
	// moveTask and moveJob are the events of a task and a job that end because their
	// entry is no longer the home of the job.
	moveTask = chart.Task.MustEvent("move")

	startJob = chart.Job.MustEvent("start")
	moveJob  = chart.Job.MustEvent("move")
	// endEventByOutcome maps an outcome to the event that ends a job with it.
	endEventByOutcome = map[gypsumtide.Outcome]chart.Event{
		gypsumtide.OutcomeComplete: chart.Job.MustEvent("complete"),
		gypsumtide.OutcomeFailed:   chart.Job.MustEvent("fail"),
		gypsumtide.OutcomeNotRun:   chart.Job.MustEvent("refuse"),
		gypsumtide.OutcomeUnknown:  chart.Job.MustEvent("lose"),
	}
)

// openCountByState maps a task state to 1 if a task in that state is at an agent, and to 0
// otherwise.
var openCountByState = func() []int {
	open := make([]int, len(chart.Task.States()))
	open[dispatched], open[running] = 1, 1
	return open
}()

// Job is the state of a submitted job at its home. It is not safe for concurrent use.
type Job struct {
	request   *wire.Job
	digest    uint64
	epoch     uint64
	deadline  gypsumtide.Millis
	createdAt gypsumtide.Millis
	tasks     []*gypsumtide.Task
	state     chart.State
	// taskStates and results are indexed by the number of the task.
	taskStates []chart.State
	results    []wire.TaskResult
	openTasks  int
	doneTasks  int
	// startedTasks counts the tasks known to have started, including those that have
	// ended.
	startedTasks   int
	recovering     bool
	closingProblem *wire.Problem
	charged        bool
	// waiters receive the final answer.
	waiters []chan wire.Answer
	ended   bool
}

// New returns a job, not admitted yet, with all its tasks queued. The times are on the
// monotonic clock of the home.
func New(request *wire.Job, epoch uint64, now, deadline gypsumtide.Millis) *Job {
	n := len(request.Tasks)
	j := &Job{
		request:    request,
		digest:     Digest(request),
		epoch:      epoch,
		createdAt:  now,
		deadline:   deadline,
		tasks:      make([]*gypsumtide.Task, n),
		state:      chart.Job.Initial(),
		taskStates: make([]chart.State, n),
		results:    make([]wire.TaskResult, n),
	}
	for i := range request.Tasks {
		t := gypsumtide.NewTask(request.Submission, uint32(i), request.Service, request.Team, n, deadline)
		t.SetSize(request.Tasks[i].Size)
		j.tasks[i] = t
		j.taskStates[i] = chart.Task.Initial()
	}
	return j
}

// Digest returns a hash of the service, the team, and the payloads and content types of
// the tasks of a request. It tells a resubmission from a different request that uses the
// same id. The deadline and the declared sizes and run times are not included.
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

// Submission returns the submission id.
func (j *Job) Submission() gypsumtide.SubmissionID { return j.request.Submission }

// Request returns the submitted job.
func (j *Job) Request() *wire.Job { return j.request }

// Digest returns the hash of the submitted job that the function Digest computes.
func (j *Job) Digest() uint64 { return j.digest }

// Epoch returns the epoch of the shard when the home received the job.
func (j *Job) Epoch() uint64 { return j.epoch }

// Deadline returns the deadline on the monotonic clock of the home.
func (j *Job) Deadline() gypsumtide.Millis { return j.deadline }

// CreatedAt returns the time at which the home received the job, on its monotonic clock.
func (j *Job) CreatedAt() gypsumtide.Millis { return j.createdAt }

// Tasks returns the tasks in the order of the request.
func (j *Job) Tasks() []*gypsumtide.Task { return j.tasks }

// Ended reports whether the job has ended.
func (j *Job) Ended() bool { return j.ended }

// State returns the name of the state of the job.
func (j *Job) State() string { return chart.Job.StateName(j.state) }

// TaskState returns the name of the state of task i.
func (j *Job) TaskState(i uint32) string { return chart.Task.StateName(j.taskStates[i]) }

// Recovering reports whether the home is still asking agents which tasks of the
// job they have started.
func (j *Job) Recovering() bool { return j.recovering }

// SetRecovering sets whether the home is still asking agents which tasks of the job
// they have started.
func (j *Job) SetRecovering(recovering bool) { j.recovering = recovering }

// Charged reports whether the job counts against the limits of its team.
func (j *Job) Charged() bool { return j.charged }

// SetCharged sets whether the job counts against the limits of its team.
func (j *Job) SetCharged(charged bool) { j.charged = charged }

// ClosingProblem returns the problem because of which the home is ending the job, or nil
// if there is none.
func (j *Job) ClosingProblem() *wire.Problem { return j.closingProblem }

// Subscribe returns a new channel that receives the final answer once. It must be called
// before the job ends.
func (j *Job) Subscribe() <-chan wire.Answer {
	ch := make(chan wire.Answer, 1)
	j.waiters = append(j.waiters, ch)
	return ch
}

// Queued reports whether task i is waiting at the home.
func (j *Job) Queued(i uint32) bool { return j.taskStates[i] == queued }

// Open reports whether task i is at an agent, in the state dispatched or running:
// neither its result nor its loss is known, and it has not been queued again.
func (j *Job) Open(i uint32) bool {
	return j.taskStates[i] == dispatched || j.taskStates[i] == running
}

// Running reports whether task i is known to be running at an agent.
func (j *Job) Running(i uint32) bool { return j.taskStates[i] == running }

// OpenTasks returns the number of tasks that are open in the sense of Open.
func (j *Job) OpenTasks() int { return j.openTasks }

// Started reports whether any task is known to have started.
func (j *Job) Started() bool { return j.startedTasks > 0 }

// applyEvent applies an event to task i and reports whether the state of the task
// accepts it. A rejected event changes nothing: it is a repeat, arrives after the task
// or the job has ended, or is the cancel event of a task that is at an agent.
func (j *Job) applyEvent(i uint32, e chart.Event) bool {
	from := j.taskStates[i]
	to, ok := chart.Task.Step(from, e)
	if !ok || j.ended {
		return false
	}
	j.taskStates[i] = to
	j.openTasks += openCountByState[to] - openCountByState[from]
	return true
}

// markStarted counts a task that is known to have started. The first one moves
// the job to the state running.
func (j *Job) markStarted() {
	j.startedTasks++
	if j.startedTasks == 1 {
		j.state, _ = chart.Job.Step(j.state, startJob)
	}
}

// eventFor returns found if task i is queued here, and usual otherwise. A report about a
// queued task means that a recovery has found the task, which an earlier home had
// dispatched.
func (j *Job) eventFor(i uint32, usual, found chart.Event) chart.Event {
	if j.taskStates[i] == queued {
		return found
	}
	return usual
}

// Dispatch marks task i as sent to an agent.
func (j *Job) Dispatch(i uint32) { j.applyEvent(i, dispatch) }

// Start marks task i as running at an agent.
func (j *Job) Start(i uint32) {
	if j.applyEvent(i, j.eventFor(i, start, foundRunning)) {
		j.markStarted()
	}
}

// Requeue queues task i again after its agent has reported it as not started. The
// agent may have reported it as running before, if the upstream then refused the
// task. Requeue returns false and changes nothing if the task was not at an agent or the
// job has ended.
func (j *Job) Requeue(i uint32) bool {
	wasRunning := j.taskStates[i] == running
	if !j.applyEvent(i, notStarted) {
		return false
	}
	if wasRunning {
		j.startedTasks--
	}
	return true
}

// Finish records the response of the upstream to task i.
func (j *Job) Finish(i uint32, result wire.TaskResult) {
	e := j.eventFor(i, finish, foundDone)
	if FailedStatus(result.Status) {
		e = j.eventFor(i, fail, foundFailed)
	}
	wasRunning := j.taskStates[i] == running
	if !j.applyEvent(i, e) {
		return
	}
	j.results[i] = result
	j.doneTasks++
	if !wasRunning {
		j.markStarted()
	}
}

// Result returns the response recorded for task i.
func (j *Job) Result(i uint32) wire.TaskResult { return j.results[i] }

// MarkLost records that task i may have started and that its result is lost, so
// that its outcome is unknown.
func (j *Job) MarkLost(i uint32) {
	j.applyEvent(i, j.eventFor(i, lose, foundLost))
}

// DoneTasks returns the number of tasks that have a result.
func (j *Job) DoneTasks() int { return j.doneTasks }

// Complete reports whether all tasks have a result.
func (j *Job) Complete() bool { return j.doneTasks == len(j.tasks) }

// SetClosingProblem sets the problem because of which the home is ending the job. The
// states of the tasks at the end decide the outcome; see ClosingOutcome. Only the first
// call has an effect.
func (j *Job) SetClosingProblem(p *wire.Problem) {
	if j.closingProblem == nil {
		j.closingProblem = p
	}
}

// HasNoOpenTasks reports whether no task is open.
func (j *Job) HasNoOpenTasks() bool { return j.openTasks == 0 }

// ClosingOutcome returns the outcome of a job that ends with a problem, which claims no
// more than the task states prove: OutcomeUnknown if the result of a task is lost, or
// else OutcomeFailed if a task is known to have started, OutcomeUnknown if one may have
// started, and OutcomeNotRun otherwise.
func (j *Job) ClosingOutcome() gypsumtide.Outcome {
	for _, s := range j.taskStates {
		if s == unknown {
			return gypsumtide.OutcomeUnknown
		}
	}
	switch {
	case j.startedTasks > 0:
		return gypsumtide.OutcomeFailed
	case j.openTasks > 0:
		return gypsumtide.OutcomeUnknown
	}
	return gypsumtide.OutcomeNotRun
}

// Answer returns the answer for a job of which all tasks have a result.
func (j *Job) Answer() wire.Answer {
	return wire.Answer{Submission: j.Submission(), Outcome: gypsumtide.OutcomeComplete, Results: j.results}
}

// End ends the job and sends the final answer to all channels returned by Subscribe. It
// returns the answer sent and true; a call after the end changes nothing and returns its
// argument and false. An answer that the state chart does not permit, such as complete
// before any task has started, would be false and is replaced by one with
// OutcomeUnknown.
func (j *Job) End(answer wire.Answer) (wire.Answer, bool) {
	if j.Ended() {
		return answer, false
	}
	e, known := endEventByOutcome[answer.Outcome]
	taskEvent := cancel
	if answer.Moved {
		e, taskEvent, known = moveJob, moveTask, true
	}
	next, ok := chart.Job.Step(j.state, e)
	if !known || !ok {
		answer = wire.Answer{Submission: j.Submission(), Outcome: gypsumtide.OutcomeUnknown, Problem: &wire.Problem{
			Type: "internal", Status: http.StatusInternalServerError, Step: "end job",
			Detail: fmt.Sprintf("a job in state %s cannot end as %q", j.State(), answer.Outcome),
		}}
		next, _ = chart.Job.Step(j.state, endEventByOutcome[answer.Outcome])
	}
	if answer.Outcome != gypsumtide.OutcomeComplete {
		for i := range j.taskStates {
			j.applyEvent(uint32(i), taskEvent)
		}
	}
	j.state, j.ended = next, true
	for _, ch := range j.waiters {
		ch <- answer
	}
	j.waiters = nil
	return answer, true
}

// FailedStatus reports whether an HTTP status of the upstream means that the task, and
// with it the job, has failed. Client errors (4xx) do not: they are responses of the
// service and go to the caller.
func FailedStatus(status int) bool { return status >= http.StatusInternalServerError }
