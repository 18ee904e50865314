package dispatch

import (
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// checkpointTiming is testTiming with a restore time.
func checkpointTiming() Timing {
	timing := testTiming
	timing.RestoreTime = 250
	return timing
}

// submissionWithCheckpoints returns a job of one task, whose step has checkpoints.
func submissionWithCheckpoints(estimate gypsumtide.Millis) Submission {
	sub := submission("a", 1, estimate, 0)
	sub.Job.Steps[0].Checkpointable = true
	return sub
}

// newCheckpointState returns a State with two workers that runs a job, and the order of its
// task and the worker that got it.
func newCheckpointState(sub Submission) (*State, WorkerID, wire.Order) {
	s := newTestState(2)
	s.timing = checkpointTiming()
	s.Submit(0, sub)
	id, o := singleOrder(s.TakeEffects())
	s.Tick(20)
	s.TakeEffects()
	return s, id, o
}

// singleOrder returns the only order and its worker.
func singleOrder(e Effects) (WorkerID, wire.Order) {
	So(orderedRuns(e), ShouldHaveLength, 1)
	for id, m := range e.Messages {
		if len(m.Orders) == 1 {
			return id, m.Orders[0]
		}
	}
	So("orders", ShouldEqual, "one order")
	return WorkerID{}, wire.Order{}
}

// saved returns the report of a checkpoint of the order's run, with which it ends unless end
// is empty.
func saved(o wire.Order, data string, percent int, end gypsumtide.EndKind) wire.RunReport {
	return wire.RunReport{Ref: o.Ref, End: end, Checkpoint: data, CheckpointPercent: percent, Submission: o.Submission}
}

// Guards against work that is done again although it was saved.
func TestCheckpoints(t *testing.T) {
	Convey("Given a run of a step with checkpoints", t, func() {
		s, id, o := newCheckpointState(submissionWithCheckpoints(800))
		So(o.Checkpointable, ShouldBeTrue)
		So(o.Checkpoint, ShouldBeEmpty)
		So(o.Expected, ShouldEqual, 800)

		Convey("The checkpoint of a stopped run goes to the next one, which is expected to take the rest", func() {
			s.HandleReport(500, id, saved(o, "at 75", 75, gypsumtide.EndStopped))
			_, next := singleOrder(s.TakeEffects())
			So(next.Checkpoint, ShouldEqual, "at 75")
			So(next.Expected, ShouldEqual, 200+250)
			So(next.Restore, ShouldEqual, 250)

			Convey("and neither estimates nor slowness are learned from that", func() {
				before := s.estimator.expected("r", 800)
				s.HandleReport(700, s.jobs["a"].tasks[0].worker, wire.RunReport{Ref: next.Ref, End: gypsumtide.EndDone, RunTime: 10})
				So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeComplete)
				So(s.estimator.expected("r", 800), ShouldEqual, before)
			})
			Convey("and is used again if that run ends without a newer one", func() {
				s.HandleReport(700, s.jobs["a"].tasks[0].worker, wire.RunReport{Ref: next.Ref, End: gypsumtide.EndLost})
				_, third := singleOrder(s.TakeEffects())
				So(third.Checkpoint, ShouldEqual, "at 75")
			})
			// The checkpoint may be the cause of the failure.
			Convey("unless it fails", func() {
				s.HandleReport(700, s.jobs["a"].tasks[0].worker, saved(next, "at 75", 75, gypsumtide.EndFailed))
				_, third := singleOrder(s.TakeEffects())
				So(third.Checkpoint, ShouldBeEmpty)
				So(third.Expected, ShouldEqual, 800)
			})
			Convey("and an update of its order does not repeat it", func() {
				s.HandleReport(510, s.jobs["a"].tasks[0].worker, wire.RunReport{Ref: next.Ref, Queued: true})
				for _, m := range s.TakeEffects().Messages {
					for _, u := range m.Orders {
						So(u.Update && u.Checkpoint == "", ShouldBeTrue)
					}
				}
			})
		})

		Convey("A run that is lost with its agent resumes from the last checkpoint that was seen", func() {
			s.jobs["a"].deadline = 5000
			s.HandleReport(300, id, saved(o, "first", 30, ""))
			s.HandleReport(400, id, saved(o, "second", 40, ""))
			So(s.TakeEffects().Messages, ShouldBeEmpty)
			So(s.jobs["a"].tasks[0].projectedEnd, ShouldEqual, 0)
			s.Disconnected(420, id, "test")
			s.Tick(420 + testTiming.LostRunTimeout)
			_, next := singleOrder(s.TakeEffects())
			So(next.Checkpoint, ShouldEqual, "second")
		})

		Convey("A checkpoint that is too long is not kept", func() {
			s.HandleReport(300, id, saved(o, "first", 30, ""))
			s.HandleReport(400, id, saved(o, strings.Repeat("x", gypsumtide.MaxCheckpointBytes+1), 50, gypsumtide.EndStopped))
			_, next := singleOrder(s.TakeEffects())
			So(next.Checkpoint, ShouldEqual, "first")
		})

		// Guards against a worker that is sent the checkpoint of another submission: the run of
		// the first one ends after the second one has got the same name and number.
		Convey("A job that is submitted again starts without a checkpoint", func() {
			s.HandleReport(300, id, saved(o, "old", 30, ""))
			s.Cancel(400, "a", "caller-gone")
			s.TakeEffects()
			s.Submit(1700, submissionWithCheckpoints(800))
			_, again := singleOrder(s.TakeEffects())
			So(again.Ref, ShouldResemble, o.Ref)
			So(again.Checkpoint, ShouldBeEmpty)
			worker := s.jobs["a"].tasks[0].worker
			s.HandleReport(1710, worker, saved(o, "old", 60, ""))
			s.HandleReport(1720, worker, saved(o, "older", 70, gypsumtide.EndStopped))
			_, third := singleOrder(s.TakeEffects())
			So(third.Checkpoint, ShouldBeEmpty)
		})
	})

	Convey("A step without checkpoints has none, and its orders are as before", t, func() {
		s, id, o := newCheckpointState(submission("a", 1, 800, 0))
		So(o, ShouldResemble, wire.Order{Ref: o.Ref, Spec: "s", Size: o.Size, StartWithin: o.StartWithin, Expected: 800, Incarnation: o.Incarnation})
		s.HandleReport(500, id, wire.RunReport{Ref: o.Ref, End: gypsumtide.EndStopped, Checkpoint: "x", CheckpointPercent: 75, Submission: s.jobs["a"].submission})
		_, next := singleOrder(s.TakeEffects())
		So(next.Checkpoint, ShouldBeEmpty)
		So(next.Checkpointable, ShouldBeFalse)
		So(next.Expected, ShouldEqual, 800)
	})
}

// Guards against runs that are lost although their saved work lets them end in time
// elsewhere, and against the opposite if the restoration takes too long.
func TestMoveWithCheckpoint(t *testing.T) {
	for _, c := range []struct {
		name    string
		restore gypsumtide.Millis
		percent int
		moves   bool
	}{
		{"most of the work is saved", 250, 70, true},
		{"little work is saved", 250, 10, false},
		{"the restoration takes too long", 700, 70, false},
		{"nothing is saved", 250, 0, false},
	} {
		Convey("A run of 900 ms that is to end at 1,500 ms, at 700 ms: "+c.name, t, func() {
			s, id, o := newCheckpointState(submissionWithCheckpoints(900))
			s.timing.RestoreTime = c.restore
			if c.percent > 0 {
				s.HandleReport(690, id, saved(o, "x", c.percent, ""))
			}
			n := 0
			if id == workerID(1) {
				n = 1
			}
			s.UpdateWorker(700, id, leavingReport(n, 100))
			s.Tick(710)
			So(len(stoppedRuns(s.TakeEffects())) == 1, ShouldEqual, c.moves)
		})
	}

	// A run that takes seven times as long as expected is moved by its projection, and what
	// is left after its checkpoint follows from that too.
	Convey("The rest of a resumed run follows from its projection", t, func() {
		s, id, o := newCheckpointState(submissionWithCheckpoints(100))
		task, w := s.jobs["a"].tasks[0], s.workers[id]
		s.HandleReport(400, id, saved(o, "x", 50, ""))
		task.projectedEnd = 800
		So(s.runTimeElsewhere(task, w, w), ShouldAlmostEqual, 400+250, 1)
		task.resumedFrom = checkpoint{data: "y", percent: 20}
		task.projectedEnd = 250 + 640
		So(s.runTimeElsewhere(task, w, w), ShouldAlmostEqual, 400+250, 1)
	})
}

// Guards against checkpoints of stored jobs that are lost with their owner.
func TestStoredCheckpoints(t *testing.T) {
	Convey("A checkpoint of a stored job is recorded, and used by its next owner", t, func() {
		sub := submissionWithCheckpoints(800)
		s := newTestState(1)
		s.timing = checkpointTiming()
		s.Adopt(0, StoredJob{Job: sub.Job, Route: sub.Route})
		id, o := singleOrder(s.TakeEffects())
		s.HandleReport(500, id, saved(o, "at 75", 75, ""))
		progress := s.TakeEffects().Stored
		So(progress.Checkpoints, ShouldResemble, []TaskCheckpoint{{Task: o.Ref.Task, Data: "at 75", Percent: 75}})

		next := newTestState(1)
		next.timing = checkpointTiming()
		next.Adopt(0, StoredJob{Job: sub.Job, Route: sub.Route, Tasks: []TaskRecord{{Checkpoint: "at 75", CheckpointPercent: 75}}})
		_, resumed := singleOrder(next.TakeEffects())
		So(resumed.Checkpoint, ShouldEqual, "at 75")
		So(resumed.Expected, ShouldEqual, 450)
	})
}
