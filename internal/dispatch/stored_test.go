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

// one returns the only order and its worker.
func one(e Effects) (WorkerID, gypsumtide.RunRef) {
	orders := ordered(e)
	So(orders, ShouldHaveLength, 1)
	for id, refs := range orders {
		So(refs, ShouldHaveLength, 1)
		return id, refs[0]
	}
	return WorkerID{}, gypsumtide.RunRef{}
}

func TestStoredJob(t *testing.T) {
	done := func(ref gypsumtide.RunRef) wire.RunReport {
		return wire.RunReport{Ref: ref, End: gypsumtide.EndDone, RunTime: 50, Unrecorded: true}
	}

	Convey("What follows from an end waits until it is recorded", t, func() {
		s := newTestState(2)
		s.Adopt(0, storedJob("a", 1))
		id, ref := one(s.Take())
		s.Report(60, id, done(ref))
		e := s.Take()
		So(e.Stored.Ends, ShouldResemble, []TaskEnd{{Ref: ref, Kind: gypsumtide.EndDone, Worker: id}})
		So(ordered(e), ShouldBeEmpty)
		s.Tick(500)
		So(ordered(s.Take()), ShouldBeEmpty)
		s.Recorded(510, e.Stored.Ends[0], false)
		e = s.Take()
		So(e.Messages[id].Recorded, ShouldResemble, []gypsumtide.RunRef{ref})
		_, next := one(e)
		So(next.Task.Step, ShouldEqual, 1)
	})

	Convey("A final state ends the job, and later ends need no record", t, func() {
		s := newTestState(4)
		s.Adopt(0, storedJob("a", 2))
		orders := ordered(s.Take())
		reportAll(s, 60, orders, wire.RunReport{End: gypsumtide.EndFailed, Unrecorded: true})
		ends := s.Take().Stored.Ends
		So(ends, ShouldHaveLength, 2)
		s.Recorded(61, ends[0], true)
		So(s.Jobs(), ShouldEqual, 0)
		s.Take()
		s.Recorded(62, ends[1], false)
		So(s.Take().Messages[ends[1].Worker].Recorded, ShouldHaveLength, 1)
	})

	Convey("A cancelled job's runs are stopped, and their ends need no record", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := one(s.Take())
		s.Close(10, "a", "cancelled")
		So(s.Take().Messages[id].Stops, ShouldResemble, []gypsumtide.RunRef{ref})
		s.Report(20, id, done(ref))
		e := s.Take()
		So(e.Stored.Ends, ShouldBeEmpty)
		So(e.Messages[id].Recorded, ShouldResemble, []gypsumtide.RunRef{ref})
	})

	// Guards against ends that a former owner confirms: the next owner would not
	// know them, and would run the task again.
	Convey("Ends of released jobs are disowned, recorded or not", t, func() {
		s := newTestState(8)
		s.Adopt(0, storedJob("a", 2))
		orders := ordered(s.Take())
		var refs []gypsumtide.RunRef
		var ids []WorkerID
		for id, list := range orders {
			for _, ref := range list {
				refs, ids = append(refs, ref), append(ids, id)
			}
		}
		s.Report(60, ids[0], done(refs[0]))
		s.Take()
		s.Release(70, []string{"a"})
		e := s.Take()
		So(e.Messages[ids[0]].Disowned, ShouldResemble, []gypsumtide.RunRef{refs[0]})
		So(e.Messages[ids[1]].Stops, ShouldResemble, []gypsumtide.RunRef{refs[1]})
		s.Report(80, ids[1], done(refs[1]))
		So(s.Take().Messages[ids[1]].Disowned, ShouldResemble, []gypsumtide.RunRef{refs[1]})
		So(s.Jobs(), ShouldEqual, 0)
	})

	Convey("A recovered job starts nothing before the runs of the former owner have ended", t, func() {
		s := newTestState(2)
		a := storedJob("a", 2)
		a.NotBefore, a.FirstRun = 1000, 1<<20
		a.Tasks = []TaskRecord{{Done: true}, {Failures: 2}}
		s.Adopt(0, a)
		s.Tick(990)
		So(ordered(s.Take()), ShouldBeEmpty)
		s.Tick(1000)
		_, ref := one(s.Take())
		So(ref, ShouldResemble, gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "a", Index: 1}, Number: 1<<20 + 1})
	})

	// Guards against a run elsewhere while the lost agent still keeps an end that
	// counts.
	Convey("A stored run of a lost agent is tried elsewhere only when the lease has expired over its end", t, func() {
		s := newTestState(2)
		s.timing.LostStoredRun = 2100
		s.Adopt(0, storedJob("a", 1))
		id, ref := one(s.Take())
		s.Disconnected(100, id, "silent")
		s.Tick(100 + testTiming.LostRun)
		So(ordered(s.Take()), ShouldBeEmpty)
		s.Tick(2190)
		So(ordered(s.Take()), ShouldBeEmpty)
		s.Tick(2200)
		other, next := one(s.Take())
		So(other, ShouldNotResemble, id)
		So(next.Number, ShouldEqual, ref.Number+1)
	})

	Convey("An end that an agent still keeps is confirmed again, or disowned if the job is not here", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := one(s.Take())
		s.Report(60, id, done(ref))
		end := s.Take().Stored.Ends[0]
		unknown := gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "b"}, Number: 1}
		resume := wire.Resume{Complete: true, Unrecorded: []gypsumtide.RunRef{ref, unknown}}
		s.Connected(70, id, resume)
		m := s.Take().Messages[id]
		So(m.Recorded, ShouldBeEmpty)
		So(m.Disowned, ShouldResemble, []gypsumtide.RunRef{unknown})
		s.Recorded(80, end, false)
		s.Take()
		s.Connected(90, id, resume)
		So(s.Take().Messages[id].Recorded, ShouldResemble, []gypsumtide.RunRef{ref})
	})

	// Guards against the confirmation of an end that nobody has recorded: the task
	// runs again (seed 196 of TestSimulation).
	Convey("The end of a run that was taken for lost is disowned", t, func() {
		s := newTestState(2)
		s.Adopt(0, storedJob("a", 1))
		id, ref := one(s.Take())
		s.Connected(70, id, wire.Resume{})
		s.Take()
		s.Connected(90, id, wire.Resume{Complete: true, Unrecorded: []gypsumtide.RunRef{ref}})
		m := s.Take().Messages[id]
		So(m.Recorded, ShouldBeEmpty)
		So(m.Disowned, ShouldResemble, []gypsumtide.RunRef{ref})
	})

	Convey("An order that has to wait for the agent's memory is tried with the next tick", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := one(s.Take())
		s.Report(5, id, wire.RunReport{Ref: ref, End: gypsumtide.EndNotStarted, Reason: runner.ReasonNotMarked})
		So(ordered(s.Take()), ShouldBeEmpty)
		s.Tick(10)
		one(s.Take())
	})

	// Guards against a stored job that is lost from the entry's list when a caller
	// uses its id for an ephemeral one, and against callers that wait in vain.
	Convey("An ephemeral job with the id of a stored one is refused or given up", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		s.Submit(1, submission("a", 1, 50, 0))
		So(s.Take().Answers["a"].Outcome, ShouldEqual, gypsumtide.OutcomeNotRun)
		So(s.Jobs(), ShouldEqual, 1)
		So(s.Has("a"), ShouldBeFalse)
		s.Submit(2, submission("b", 1, 50, 0))
		s.Take()
		s.Adopt(3, storedJob("b", 1))
		So(s.Take().Answers["b"].Outcome, ShouldEqual, gypsumtide.OutcomeUnknown)
		So(s.Jobs(), ShouldEqual, 2)
	})

	Convey("A paused job starts nothing", t, func() {
		s := newTestState(1)
		s.Adopt(0, storedJob("a", 1))
		id, ref := one(s.Take())
		So(s.Pause([]string{"a"}), ShouldEqual, 1)
		s.Report(60, id, done(ref))
		So(s.Pause([]string{"a"}), ShouldEqual, 1)
		s.Recorded(70, s.Take().Stored.Ends[0], false)
		So(ordered(s.Take()), ShouldBeEmpty)
		So(s.Pause([]string{"a"}), ShouldEqual, 0)
	})

	// Load pattern: all workers are full. A stored job is never refused for that.
	Convey("A stored job waits for room and its route follows the table", t, func() {
		s := newTestState(1)
		s.ObserveLoad(0, workerID(0), loadReport(4*testCapacity))
		s.Adopt(0, storedJob("a", 1))
		s.Tick(60_000)
		So(ordered(s.Take()), ShouldBeEmpty)
		So(s.Jobs(), ShouldEqual, 1)
		s.Reroute(gypsumtide.NewRouteTable(2, []gypsumtide.QueueRoute{{Name: "r", Service: "other"}}, 0))
		s.ObserveLoad(60_000, workerID(0), loadReport(0))
		s.Tick(60_010)
		So(ordered(s.Take()), ShouldBeEmpty)
		s.Reroute(gypsumtide.NewRouteTable(3, []gypsumtide.QueueRoute{{Name: "r", Service: "stock"}}, 0))
		s.Tick(60_020)
		one(s.Take())
	})

	// Load pattern: a task whose progress cannot be seen seems to stand still on
	// every worker. Moved each time, it would never end.
	Convey("A task is moved a bounded number of times", t, func() {
		s := newTestState(8)
		s.Adopt(0, storedJob("a", 1))
		now := gypsumtide.Millis(0)
		moves := 0
		for range 3 * maxMoves {
			orders := ordered(s.Take())
			if len(orders) == 0 {
				break
			}
			for id, refs := range orders {
				now += 200
				s.Report(now, id, wire.RunReport{Ref: refs[0], Remaining: 5000, Stalled: true})
				if m := s.Take().Messages[id]; m != nil && len(m.Stops) == 1 {
					moves++
					s.Report(now+1, id, wire.RunReport{Ref: refs[0], End: gypsumtide.EndStopped})
				}
			}
		}
		So(moves, ShouldEqual, maxMoves)
	})
}
