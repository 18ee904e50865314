package job

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against an outcome that the task states do not prove, such as not-run
// when a task may have started.
func TestOutcome(t *testing.T) {
	okResult, failedResult := wire.TaskResult{Status: 200}, wire.TaskResult{Status: 500}
	for _, c := range []struct {
		name      string
		apply     func(j *Job)
		outcome   gypsumtide.Outcome
		taskState string
		open      int
	}{
		{"queued", func(*Job) {}, gypsumtide.OutcomeNotRun, "queued", 0},
		{"dispatched", func(j *Job) { j.Dispatch(0) }, gypsumtide.OutcomeUnknown, "dispatched", 1},
		{"dispatched twice", func(j *Job) { j.Dispatch(0); j.Dispatch(0) }, gypsumtide.OutcomeUnknown, "dispatched", 1},
		{"requeued", func(j *Job) { j.Dispatch(0); j.Requeue(0) }, gypsumtide.OutcomeNotRun, "queued", 0},
		{"started", func(j *Job) { j.Dispatch(0); j.Start(0); j.Start(0) }, gypsumtide.OutcomeFailed, "running", 1},
		{"refused by the upstream", func(j *Job) { j.Dispatch(0); j.Start(0); j.Requeue(0) }, gypsumtide.OutcomeNotRun, "queued", 0},
		{"done", func(j *Job) { j.Dispatch(0); j.Finish(0, okResult); j.Finish(0, okResult); j.Requeue(0); j.MarkLost(0) }, gypsumtide.OutcomeFailed, "done", 0},
		{"failed", func(j *Job) { j.Dispatch(0); j.Start(0); j.Finish(0, failedResult) }, gypsumtide.OutcomeFailed, "failed", 0},
		{"lost", func(j *Job) { j.Dispatch(0); j.MarkLost(0); j.Finish(0, okResult) }, gypsumtide.OutcomeUnknown, "unknown", 0},
		{"found running", func(j *Job) { j.Start(0) }, gypsumtide.OutcomeFailed, "running", 1},
		{"found done", func(j *Job) { j.Finish(0, okResult) }, gypsumtide.OutcomeFailed, "done", 0},
		{"found lost", func(j *Job) { j.MarkLost(0) }, gypsumtide.OutcomeUnknown, "unknown", 0},
	} {
		Convey(c.name, t, func() {
			j := New(newRequest(2), 1, 0, 100)
			c.apply(j)
			So(j.ClosingOutcome(), ShouldEqual, c.outcome)
			So(j.TaskState(0), ShouldEqual, c.taskState)
			So(j.OpenTasks(), ShouldEqual, c.open)
		})
	}
}

// Guards against a second answer, a change of the job after its end, and an answer
// that the state chart does not permit and that is sent nevertheless.
func TestEnd(t *testing.T) {
	for _, c := range []struct {
		answer     wire.Answer
		finishTask bool
		want       gypsumtide.Outcome
		state      string
		taskState  string
	}{
		{wire.Answer{Outcome: gypsumtide.OutcomeComplete}, true, gypsumtide.OutcomeComplete, "complete", "done"},
		{wire.Answer{Outcome: gypsumtide.OutcomeComplete}, false, gypsumtide.OutcomeUnknown, "unknown", "cancelled"},
		{wire.Answer{Outcome: gypsumtide.OutcomeFailed}, false, gypsumtide.OutcomeUnknown, "unknown", "cancelled"},
		{wire.Answer{Outcome: gypsumtide.OutcomeExpired}, false, gypsumtide.OutcomeUnknown, "unknown", "cancelled"},
		{wire.Answer{Outcome: gypsumtide.OutcomeNotRun}, false, gypsumtide.OutcomeNotRun, "not-run", "cancelled"},
		{wire.Answer{Moved: true}, false, "", "moved", "moved"},
	} {
		Convey(string(c.answer.Outcome)+" as answer ends the job in state "+c.state, t, func() {
			j := New(newRequest(1), 1, 0, 100)
			if c.finishTask {
				j.Dispatch(0)
				j.Finish(0, wire.TaskResult{Status: 200})
			}
			ch := j.Subscribe()
			answer, ended := j.End(c.answer)
			So(ended, ShouldBeTrue)
			So(answer.Outcome, ShouldEqual, c.want)
			So(<-ch, ShouldResemble, answer)
			So(j.Ended(), ShouldBeTrue)
			So(j.State(), ShouldEqual, c.state)
			_, endedAgain := j.End(wire.Answer{Moved: true})
			So(endedAgain, ShouldBeFalse)
			j.Dispatch(0)
			j.Finish(0, wire.TaskResult{Status: 500})
			So(j.State(), ShouldEqual, c.state)
			So(j.TaskState(0), ShouldEqual, c.taskState)
		})
	}
}

// Guards against counters that disagree with the task states, and against a
// not-run outcome after a task has started, with calls in any order.
func TestCounters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(newRequest(3), 1, 0, 100)
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			i := rapid.Uint32Range(0, 2).Draw(t, "task")
			switch rapid.IntRange(0, 4).Draw(t, "report") {
			case 0:
				j.Dispatch(i)
			case 1:
				j.Start(i)
			case 2:
				j.Requeue(i)
			case 3:
				j.Finish(i, wire.TaskResult{Status: rapid.SampledFrom([]int{200, 500}).Draw(t, "status")})
			case 4:
				j.MarkLost(i)
			}
			count := make(map[string]int)
			for k := range uint32(3) {
				count[j.TaskState(k)]++
			}
			done := count["done"] + count["failed"]
			if j.OpenTasks() != count["dispatched"]+count["running"] || j.DoneTasks() != done || j.Complete() != (done == 3) {
				t.Fatalf("open %d, done %d, states %v", j.OpenTasks(), j.DoneTasks(), count)
			}
			if j.ClosingOutcome() == gypsumtide.OutcomeNotRun && count["queued"] != 3 {
				t.Fatalf("not-run with states %v", count)
			}
		}
	})
}
