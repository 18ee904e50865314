package dispatch

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

func storedJob(id string, tasks int) StoredJob {
	sub := submission(id, tasks, 50, 0)
	sub.Job.Steps = append(sub.Job.Steps, sub.Job.Steps[0])
	sub.Job.Steps[1].After = []int{0}
	return StoredJob{Job: sub.Job, Route: sub.Route}
}

// onlyOrder returns the worker and the run of the only order.
func onlyOrder(e Effects) (WorkerID, gypsumtide.RunRef) {
	orders := orderedRuns(e)
	So(orders, ShouldHaveLength, 1)
	for id, refs := range orders {
		So(refs, ShouldHaveLength, 1)
		return id, refs[0]
	}
	return WorkerID{}, gypsumtide.RunRef{}
}

// Guards against stored jobs that lose an end, run a task again after its recorded end, or
// start a task while an earlier run of it may continue.
func TestStoredJob(t *testing.T) {
	done := func(ref gypsumtide.RunRef) wire.RunReport {
		return wire.RunReport{Ref: ref, End: gypsumtide.EndDone, RunTime: 50, Unrecorded: true}
	}

	Convey("A job only advances once the end of a run is recorded", t, func() {
		s := newTestState(2)
		s.Adopt(0, storedJob("a", 1))
		id, ref := onlyOrder(s.TakeEffects())
		s.HandleReport(60, id, done(ref))
		e := s.TakeEffects()
		So(e.Stored.Ends, ShouldResemble, []TaskEnd{{Ref: ref, Kind: gypsumtide.EndDone, Worker: id}})
		So(orderedRuns(e), ShouldBeEmpty)
		s.Tick(500)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.EndRecorded(510, e.Stored.Ends[0], false)
		e = s.TakeEffects()
		So(e.Messages[id].Recorded, ShouldResemble, []gypsumtide.RunRef{ref})
		_, next := onlyOrder(e)
		So(next.Task.Step, ShouldEqual, 1)
	})

	Convey("A final state closes the job, and later ends need not be recorded", t, func() {
		s := newTestState(4)
		s.Adopt(0, storedJob("a", 2))
		orders := orderedRuns(s.TakeEffects())
		reportAll(s, 60, orders, wire.RunReport{End: gypsumtide.EndFailed, Unrecorded: true})
		ends := s.TakeEffects().Stored.Ends
		So(ends, ShouldHaveLength, 2)
		s.EndRecorded(61, ends[0], true)
		So(s.Jobs(), ShouldEqual, 0)
		s.TakeEffects()
		s.EndRecorded(62, ends[1], false)
		So(s.TakeEffects().Messages[ends[1].Worker].Recorded, ShouldHaveLength, 1)
	})

	Convey("The runs of a cancelled job are stopped, and their ends need not be recorded", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := onlyOrder(s.TakeEffects())
		s.CloseJob(10, "a", "cancelled")
		So(s.TakeEffects().Messages[id].Stops, ShouldResemble, []gypsumtide.RunRef{ref})
		s.HandleReport(20, id, done(ref))
		e := s.TakeEffects()
		So(e.Stored.Ends, ShouldBeEmpty)
		So(e.Messages[id].Recorded, ShouldResemble, []gypsumtide.RunRef{ref})
	})

	// Guards against ends that a previous owner confirms as recorded: the next owner would
	// not know them, and would run the task again.
	Convey("Records of released jobs are declined, whether they are in progress or requested later", t, func() {
		s := newTestState(8)
		s.Adopt(0, storedJob("a", 2))
		orders := orderedRuns(s.TakeEffects())
		var refs []gypsumtide.RunRef
		var ids []WorkerID
		for id, list := range orders {
			for _, ref := range list {
				refs, ids = append(refs, ref), append(ids, id)
			}
		}
		s.HandleReport(60, ids[0], done(refs[0]))
		s.TakeEffects()
		s.Release(70, []string{"a"})
		e := s.TakeEffects()
		So(e.Messages[ids[0]].RecordDeclined, ShouldResemble, []gypsumtide.RunRef{refs[0]})
		So(e.Messages[ids[1]].Stops, ShouldResemble, []gypsumtide.RunRef{refs[1]})
		s.HandleReport(80, ids[1], done(refs[1]))
		So(s.TakeEffects().Messages[ids[1]].RecordDeclined, ShouldResemble, []gypsumtide.RunRef{refs[1]})
		So(s.Jobs(), ShouldEqual, 0)
	})

	Convey("A recovered job starts nothing before the runs of the previous owner have ended", t, func() {
		s := newTestState(2)
		a := storedJob("a", 2)
		a.NotBefore, a.BaseRunNumber = 1000, 1<<20
		a.Tasks = []TaskRecord{{Done: true}, {Failures: 2}}
		s.Adopt(0, a)
		s.Tick(990)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.Tick(1000)
		_, ref := onlyOrder(s.TakeEffects())
		So(ref, ShouldResemble, gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "a", Index: 1}, Number: 1<<20 + 1})
	})

	// Guards against a second run while the lost agent still has an end that may be
	// recorded.
	Convey("A stored job's run on a lost agent is retried only once the lease cannot be valid any more", t, func() {
		s := newTestState(2)
		s.timing.LostStoredRunTimeout = 2100
		s.Adopt(0, storedJob("a", 1))
		id, ref := onlyOrder(s.TakeEffects())
		s.Disconnected(100, id, "silent")
		s.Tick(100 + testTiming.LostRunTimeout)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.Tick(2190)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.Tick(2200)
		other, next := onlyOrder(s.TakeEffects())
		So(other, ShouldNotResemble, id)
		So(next.Number, ShouldEqual, ref.Number+1)
	})

	Convey("An end that an agent still holds is confirmed again, or declined if the job is unknown", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := onlyOrder(s.TakeEffects())
		s.HandleReport(60, id, done(ref))
		end := s.TakeEffects().Stored.Ends[0]
		unknown := gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "b"}, Number: 1}
		resume := wire.Resume{Complete: true, Unrecorded: []gypsumtide.RunRef{ref, unknown}}
		s.Connected(70, id, resume)
		m := s.TakeEffects().Messages[id]
		So(m.Recorded, ShouldBeEmpty)
		So(m.RecordDeclined, ShouldResemble, []gypsumtide.RunRef{unknown})
		s.EndRecorded(80, end, false)
		s.TakeEffects()
		s.Connected(90, id, resume)
		So(s.TakeEffects().Messages[id].Recorded, ShouldResemble, []gypsumtide.RunRef{ref})
	})

	// Guards against the confirmation of an end that was never recorded, although the
	// task runs again (seed 196 of TestSimulation).
	Convey("The end of a run that was counted as lost is declined", t, func() {
		s := newTestState(2)
		s.Adopt(0, storedJob("a", 1))
		id, ref := onlyOrder(s.TakeEffects())
		s.Connected(70, id, wire.Resume{})
		s.TakeEffects()
		s.Connected(90, id, wire.Resume{Complete: true, Unrecorded: []gypsumtide.RunRef{ref}})
		m := s.TakeEffects().Messages[id]
		So(m.Recorded, ShouldBeEmpty)
		So(m.RecordDeclined, ShouldResemble, []gypsumtide.RunRef{ref})
	})

	Convey("An order that is returned because the host is not marked in the worker store yet is retried on the next tick", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := onlyOrder(s.TakeEffects())
		s.HandleReport(5, id, wire.RunReport{Ref: ref, End: gypsumtide.EndNotStarted, Reason: runner.ReasonNotMarked})
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.Tick(10)
		onlyOrder(s.TakeEffects())
	})

	// Guards against a stored job that is overwritten when a caller uses its id for an
	// ephemeral one, and against callers that never get an answer.
	Convey("An ephemeral job with the id of a stored one is refused or aborted", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		s.Submit(1, submission("a", 1, 50, 0))
		So(s.TakeEffects().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(s.Jobs(), ShouldEqual, 1)
		So(s.HasEphemeral("a"), ShouldBeFalse)
		s.Submit(2, submission("b", 1, 50, 0))
		s.TakeEffects()
		s.Adopt(3, storedJob("b", 1))
		So(s.TakeEffects().Answers["b"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		So(s.Jobs(), ShouldEqual, 2)
	})

	Convey("A paused job starts nothing", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := onlyOrder(s.TakeEffects())
		So(s.Pause([]string{"a"}), ShouldEqual, 1)
		s.HandleReport(60, id, done(ref))
		So(s.Pause([]string{"a"}), ShouldEqual, 1)
		s.EndRecorded(70, s.TakeEffects().Stored.Ends[0], false)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		So(s.Pause([]string{"a"}), ShouldEqual, 0)
	})

	// All workers are full. A stored job is never refused because of that.
	Convey("A stored job waits for capacity, and its route follows the route table", t, func() {
		s := newTestState(1)
		s.UpdateLoad(0, workerID(0), loadReport(4*testCapacity))
		s.Adopt(0, storedJob("a", 1))
		s.Tick(60_000)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		So(s.Jobs(), ShouldEqual, 1)
		s.UpdateRoutes(gypsumtide.NewRouteTable(2, []gypsumtide.QueueRoute{{Name: "r", Service: "other"}}, 0))
		s.UpdateLoad(60_000, workerID(0), loadReport(0))
		s.Tick(60_010)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.UpdateRoutes(gypsumtide.NewRouteTable(3, []gypsumtide.QueueRoute{{Name: "r", Service: "stock"}}, 0))
		s.Tick(60_020)
		onlyOrder(s.TakeEffects())
	})

	// A task that reports no progress seems to stall on every worker. If it were moved each
	// time, it would never end.
	Convey("A task is moved a bounded number of times", t, func() {
		s := newTestState(8)
		s.Adopt(0, storedJob("a", 1))
		now := gypsumtide.Millis(0)
		moves := 0
		for range 3 * maxMoves {
			orders := orderedRuns(s.TakeEffects())
			if len(orders) == 0 {
				break
			}
			for id, refs := range orders {
				now += 200
				s.HandleReport(now, id, wire.RunReport{Ref: refs[0], Remaining: 5000, Stalled: true})
				if m := s.TakeEffects().Messages[id]; m != nil && len(m.Stops) == 1 {
					moves++
					s.HandleReport(now+1, id, wire.RunReport{Ref: refs[0], End: gypsumtide.EndStopped})
				}
			}
		}
		So(moves, ShouldEqual, maxMoves)
	})
}
