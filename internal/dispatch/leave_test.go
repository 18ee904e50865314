package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// leavingReport returns the report of worker n, which drains and ends in the given time, or
// without a bound if that is negative.
func leavingReport(n int, leavesIn gypsumtide.Millis) wire.WorkerReport {
	r := zoneReport(n, "z")
	r.Accepting = false
	if leavesIn >= 0 {
		r.Leaving, r.LeavesIn = true, leavesIn
	}
	return r
}

// newBusyState returns a State with n workers and a job of which all tasks run on worker 0.
// Their expected run time is estimate.
func newBusyState(n, tasks int, estimate gypsumtide.Millis) (*State, []gypsumtide.RunRef) {
	s := newTestState(n)
	for i := 1; i < n; i++ {
		s.UpdateLoad(0, workerID(i), loadReport(testCapacity))
	}
	s.Submit(0, submission("a", tasks, estimate, 0))
	runs := orderedRuns(s.TakeEffects())[workerID(0)]
	So(runs, ShouldHaveLength, tasks)
	for i := 1; i < n; i++ {
		s.UpdateLoad(0, workerID(i), loadReport(0))
	}
	s.Tick(20)
	return s, runs
}

// stoppedRuns returns the runs that the agents are told to stop.
func stoppedRuns(e Effects) []gypsumtide.RunRef {
	var stops []gypsumtide.RunRef
	for _, m := range e.Messages {
		stops = append(stops, m.Stops...)
	}
	return stops
}

// Guards against runs that end with their worker although they could have been moved in
// time, and against moves that gain nothing.
func TestLeaveVerdict(t *testing.T) {
	for _, c := range []struct {
		name  string
		times leaveTimes
		want  leaveVerdict
	}{
		{"ends well before the worker is gone", leaveTimes{end: 900, leavesAt: 1000, room: true, endElsewhere: 950, deadline: 1500}, leaveEndsInTime},
		{"ends so late that its report may be lost", leaveTimes{end: 960, leavesAt: 1000, room: true, endElsewhere: 1200, deadline: 1500}, leaveMoves},
		{"ends too late here", leaveTimes{end: 1400, leavesAt: 1000, room: true, endElsewhere: 1500, deadline: 1500}, leaveMoves},
		{"ends after the deadline elsewhere", leaveTimes{end: 1400, leavesAt: 1000, room: true, endElsewhere: 1501, deadline: 1500}, leaveTooLate},
		{"no room elsewhere", leaveTimes{end: 1400, leavesAt: 1000, deadline: 1500}, leaveNoRoom},
	} {
		Convey("Verdict on a run on a worker that leaves: "+c.name, t, func() {
			So(c.times.verdict(), ShouldEqual, c.want)
		})
	}
}

// Guards against runs that are lost with a worker that leaves, run twice, or moved for nothing.
func TestLeavingWorker(t *testing.T) {
	Convey("A run that ends before its worker is gone goes on", t, func() {
		s, runs := newBusyState(2, 1, 500)
		s.UpdateWorker(30, workerID(0), leavingReport(0, 1000))
		s.Tick(40)
		So(s.TakeEffects().Messages, ShouldBeEmpty)

		Convey("until its projection says that it does not", func() {
			s.HandleReport(300, workerID(0), wire.RunReport{Ref: runs[0], Remaining: 800})
			So(s.TakeEffects().Messages, ShouldBeEmpty)
			s.Tick(310)
			So(stoppedRuns(s.TakeEffects()), ShouldResemble, runs)
		})
	})

	Convey("A run that does not is stopped, and begins elsewhere only when its end is confirmed", t, func() {
		s, runs := newBusyState(2, 1, 500)
		s.UpdateWorker(30, workerID(0), leavingReport(0, 300))
		s.Tick(40)
		e := s.TakeEffects()
		So(stoppedRuns(e), ShouldResemble, runs)
		So(orderedRuns(e), ShouldBeEmpty)
		for now := gypsumtide.Millis(50); now < 330; now += 10 {
			s.Tick(now)
		}
		e = s.TakeEffects()
		So(stoppedRuns(e), ShouldBeEmpty)
		So(orderedRuns(e), ShouldBeEmpty)
		s.HandleReport(340, workerID(0), wire.RunReport{Ref: runs[0], End: gypsumtide.EndStopped})
		So(orderedRuns(s.TakeEffects())[workerID(1)], ShouldHaveLength, 1)
		So(s.workers[workerID(1)].incoming, ShouldResemble, gypsumtide.Size{})
	})

	Convey("A run without a report of its end is retried when it is lost with the agent", t, func() {
		s, _ := newBusyState(2, 1, 200)
		s.UpdateWorker(30, workerID(0), leavingReport(0, 100))
		s.Tick(40)
		s.Disconnected(140, workerID(0), "test")
		s.TakeEffects()
		s.Tick(140 + testTiming.LostRunTimeout - 10)
		So(orderedRuns(s.TakeEffects()), ShouldBeEmpty)
		s.Tick(140 + testTiming.LostRunTimeout)
		So(orderedRuns(s.TakeEffects())[workerID(1)], ShouldHaveLength, 1)
	})

	Convey("A run that would end after the deadline elsewhere stays", t, func() {
		s, _ := newBusyState(2, 1, 900)
		s.UpdateWorker(700, workerID(0), leavingReport(0, 100))
		s.Tick(710)
		So(s.TakeEffects().Messages, ShouldBeEmpty)
		So(s.jobs["a"].tasks[0].leaveVerdict, ShouldEqual, leaveTooLate)
	})

	Convey("A run stays while there is no room elsewhere, and moves when there is", t, func() {
		s, runs := newBusyState(2, 1, 500)
		full := loadReport(testCapacity)
		full.Waiting = []wire.WaitingLoad{{Size: wire.SizeArray{Processors: testCapacity}}}
		s.UpdateLoad(30, workerID(1), full)
		s.UpdateWorker(30, workerID(0), leavingReport(0, 300))
		s.Tick(40)
		So(s.TakeEffects().Messages, ShouldBeEmpty)
		s.UpdateLoad(90, workerID(1), loadReport(0))
		s.Tick(100)
		So(stoppedRuns(s.TakeEffects()), ShouldResemble, runs)
	})

	Convey("A worker that drains without a bound keeps its runs", t, func() {
		s, _ := newBusyState(2, 1, 500)
		s.UpdateWorker(30, workerID(0), leavingReport(0, -1))
		s.Tick(40)
		So(s.TakeEffects().Messages, ShouldBeEmpty)
	})

	Convey("A worker that stays after all keeps its runs", t, func() {
		s, _ := newBusyState(2, 1, 500)
		s.UpdateWorker(30, workerID(0), leavingReport(0, 300))
		s.UpdateWorker(35, workerID(0), zoneReport(0, "z"))
		s.Tick(40)
		So(s.TakeEffects().Messages, ShouldBeEmpty)
	})

	Convey("A task that has been moved off stalled workers is moved all the same, and that does not count", t, func() {
		s, runs := newBusyState(2, 1, 500)
		s.jobs["a"].tasks[0].moves = maxMoves
		s.UpdateWorker(30, workerID(0), leavingReport(0, 300))
		s.Tick(40)
		So(stoppedRuns(s.TakeEffects()), ShouldResemble, runs)
		So(s.jobs["a"].tasks[0].moves, ShouldEqual, maxMoves)
	})

	Convey("A run of a stored job moves, however late it ends elsewhere", t, func() {
		s := newTestState(2)
		sub := submission("a", 1, 5000, 0)
		s.Adopt(0, StoredJob{Job: sub.Job, Route: sub.Route})
		orders := orderedRuns(s.TakeEffects())
		s.Tick(20)
		for id := range orders {
			n := 0
			if id == workerID(1) {
				n = 1
			}
			s.UpdateWorker(30, id, leavingReport(n, 300))
		}
		s.TakeEffects()
		s.Tick(40)
		So(stoppedRuns(s.TakeEffects()), ShouldHaveLength, 1)
	})
}

// Guards against runs of a leaving worker that are all stopped because of the same free
// capacity, and against all of them going to one worker.
func TestManyLeavingRuns(t *testing.T) {
	Convey("No more runs are stopped than other workers have room for, urgent ones first", t, func() {
		s := newTestState(2)
		s.UpdateLoad(0, workerID(1), loadReport(testCapacity))
		s.Submit(0, submission("low", 4, 500, 1))
		s.Submit(0, submission("high", 2, 500, 0))
		So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 6)
		s.Tick(20)
		// Two tasks fit, and a wait of 60 ms is accepted for two more.
		s.UpdateLoad(30, workerID(1), loadReport(testCapacity-2*1600))
		s.UpdateWorker(30, workerID(0), leavingReport(0, 300))
		s.Tick(40)
		stops := stoppedRuns(s.TakeEffects())
		So(len(stops), ShouldBeBetween, 1, 5)
		So(stops[0].Task.Job, ShouldEqual, "high")
		So(stops[1].Task.Job, ShouldEqual, "high")
		s.Tick(50)
		s.Tick(100)
		So(stoppedRuns(s.TakeEffects()), ShouldBeEmpty)
	})

	Convey("The runs of a worker are spread over the others", t, func() {
		s, runs := newBusyState(6, 10, 500)
		s.UpdateWorker(30, workerID(0), leavingReport(0, 300))
		s.Tick(40)
		So(stoppedRuns(s.TakeEffects()), ShouldHaveLength, 10)
		for i := 1; i < 6; i++ {
			So(s.workers[workerID(i)].incoming.Processors, ShouldBeLessThanOrEqualTo, 4*1600)
		}
		for _, ref := range runs {
			s.HandleReport(60, workerID(0), wire.RunReport{Ref: ref, End: gypsumtide.EndStopped})
		}
		perWorker := orderedRuns(s.TakeEffects())
		total := 0
		for _, refs := range perWorker {
			So(len(refs), ShouldBeLessThanOrEqualTo, 4)
			total += len(refs)
		}
		So(total, ShouldEqual, 10)
	})
}

// Guards against a move that is delayed or fails because entry and agent understand the
// notice differently: the states of both are run against each other.
func TestNoticeOfAgent(t *testing.T) {
	Convey("The agent's notice moves the run, and the agent's end of it allows the next one", t, func() {
		s := newZonedState("a", "b")
		s.UpdateLoad(0, workerID(1), loadReport(testCapacity/2))
		s.Submit(0, submission("a", 1, 500, 0))
		first := orderedRuns(s.TakeEffects())
		So(first[workerID(0)], ShouldHaveLength, 1)
		agent := newZonedAgent("a")
		agent.Submit(2, "entry", orderOf(first[workerID(0)][0]), 2)
		start := agent.TakeEffects().Starts[0]
		agent.StartAnswered(3, start, 5001, nil)

		remaining := gypsumtide.Millis(300)
		info := agent.Info()
		info.Seq, info.Draining, info.Remaining = info.Seq+1, true, &remaining
		agent.Heartbeat(40, info)
		report := agent.WorkerReport(45)
		So(fmt.Sprint(report.Leaving, report.LeavesIn), ShouldEqual, "true 295")
		s.UpdateWorker(46, workerID(0), report)
		s.Tick(50)
		stops := stoppedRuns(s.TakeEffects())
		So(stops, ShouldHaveLength, 1)
		agent.StopRun(52, stops[0])
		So(agent.TakeEffects().Stops, ShouldHaveLength, 1)
		renewal, _ := agent.NextRenewal(53, 60)
		agent.RenewAnswered(55, 53, renewal, gypsumtide.RenewResponse{StartTime: renewal.Incarnation.StartTime, Clock: 5055, Ended: []gypsumtide.RunEnd{
			{Number: 1, Ref: stops[0], Kind: gypsumtide.EndStopped},
		}}, nil)
		reports := agent.TakeEffects().Reports[runner.Owner("entry")]
		So(reports, ShouldHaveLength, 1)
		s.HandleReport(56, workerID(0), reports[0])
		So(orderedRuns(s.TakeEffects())[workerID(1)], ShouldHaveLength, 1)
	})
}
