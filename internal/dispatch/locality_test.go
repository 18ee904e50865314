package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// rackReport returns the report of a worker on the rack.
func rackReport(n int, rack string, accepting bool) wire.WorkerReport {
	return wire.WorkerReport{
		Incarnation: incarnationOf(n), Service: "stock", Zone: "z", Labels: []string{rack},
		Capacity: gypsumtide.Size{Processors: testCapacity, Memory: 65536}, Accepting: accepting,
	}
}

// newRackState returns a State with an idle worker for each name of a rack.
func newRackState(racks ...string) *State {
	s := newTestState(len(racks))
	for i, rack := range racks {
		s.UpdateWorker(0, workerID(i), rackReport(i, rack, true))
	}
	return s
}

func rackSubmission(id string, tasks int, estimate gypsumtide.Millis) Submission {
	sub := submission(id, tasks, estimate, 0)
	sub.Job.Steps[0].Rack = "r"
	return sub
}

// ordersByRack returns the number of tasks that were ordered on each rack.
func ordersByRack(s *State) map[string]int {
	n := make(map[string]int)
	for id, refs := range orderedRuns(s.TakeEffects()) {
		n[s.workers[id].report.Labels[0]] += len(refs)
	}
	return n
}

// fill reports a load on the first workers, so that tasks of submission have to wait on them.
func fill(s *State, now gypsumtide.Millis, workers int, booked int64, waiting int64) {
	for i := range workers {
		r := loadReport(booked)
		if waiting > 0 {
			r.Waiting = []wire.WaitingLoad{{Size: wire.SizeArray{Processors: waiting}}}
		}
		s.UpdateLoad(now, workerID(i), r)
	}
}

// Half a task of testCapacity's ten is missing, so a task waits 13 ms.
const almostFull = testCapacity - 800

// decisionRecorder is a gypsumtide.DecisionLogger that keeps the lines of one kind.
type decisionRecorder struct {
	kind  string
	lines []map[string]any
}

func (r *decisionRecorder) Decision(kind string, keysAndValues ...any) {
	if kind != r.kind {
		return
	}
	line := make(map[string]any)
	for i := 0; i+1 < len(keysAndValues); i += 2 {
		line[fmt.Sprint(keysAndValues[i])] = keysAndValues[i+1]
	}
	r.lines = append(r.lines, line)
}

// Guards against tasks that leave their rack although it serves them sooner, and against those
// that wait for it without gain.
func TestRackPays(t *testing.T) {
	Convey("A task runs on a loaded rack that can start it at once", t, func() {
		s := newRackState("r", "x")
		fill(s, 0, 1, 14_000, 0)
		s.Submit(0, rackSubmission("a", 1, 50))
		So(ordersByRack(s), ShouldResemble, map[string]int{"r": 1})
	})
	Convey("A task waits for a full rack while that is shorter than the longer run", t, func() {
		s := newRackState("r", "x")
		fill(s, 0, 1, almostFull, 0)
		s.Submit(0, rackSubmission("a", 1, 50))
		So(ordersByRack(s), ShouldResemble, map[string]int{"r": 1})
	})
	Convey("but not for one that is full for longer", t, func() {
		s := newRackState("r", "x")
		fill(s, 0, 1, testCapacity, 6400)
		s.Submit(0, rackSubmission("a", 1, 50))
		So(ordersByRack(s), ShouldResemble, map[string]int{"x": 1})
	})
	Convey("and not if it would then miss an objective that it meets elsewhere", t, func() {
		s := newRackState("r", "x")
		fill(s, 0, 1, almostFull, 0)
		sub := rackSubmission("a", 1, 50)
		sub.Route.Allowance = 20
		s.Submit(0, sub)
		So(ordersByRack(s), ShouldResemble, map[string]int{"x": 1})
	})
	Convey("nor if its job would be refused before, since all workers have queues", t, func() {
		for backlog, rack := range map[float64]string{0: "r", 1: "x"} {
			s := newRackState("r", "x")
			s.backlog.average = backlog
			fill(s, 0, 1, almostFull+480, 0)
			s.Submit(0, rackSubmission("a", 1, 50))
			So(ordersByRack(s), ShouldResemble, map[string]int{rack: 1})
		}
	})
	Convey("nor if it would then end too late to be useful", t, func() {
		for timeout, n := range map[gypsumtide.Millis]int{1500: 0, 1000: 1} {
			s := newRackState("r", "x")
			s.remoteFactor = 2
			fill(s, 0, 1, testCapacity, 6400)
			sub := rackSubmission("a", 1, 400)
			sub.Timeout = timeout
			s.Submit(0, sub)
			So(ordersByRack(s)["x"], ShouldEqual, n)
		}
	})
	// The longer run takes capacity from others only if none is idle.
	Convey("A task waits beyond its own gain if others would lose by its longer run", t, func() {
		for backlog, rack := range map[float64]string{0: "x", 1: "r"} {
			s := newRackState("r", "x")
			s.backlog.average = backlog
			fill(s, 0, 1, testCapacity+400, 0)
			sub := rackSubmission("a", 1, 50)
			sub.Route.Allowance = 500
			s.Submit(0, sub)
			So(ordersByRack(s), ShouldResemble, map[string]int{rack: 1})
		}
	})
	// The load of the rack has changed since the order.
	Convey("A queued order leaves a rack that has become full for long", t, func() {
		s := newRackState("r", "x")
		recorder := &decisionRecorder{kind: "placement-wait"}
		s.log = recorder
		fill(s, 0, 1, almostFull, 0)
		s.Submit(0, rackSubmission("a", 1, 50))
		orders := orderedRuns(s.TakeEffects())
		So(orders[workerID(0)], ShouldHaveLength, 1)
		reportAll(s, 2, orders, wire.RunReport{Queued: true})
		s.Tick(10)
		So(s.TakeEffects().Messages, ShouldBeEmpty)
		fill(s, 15, 1, testCapacity, 6400)
		s.Tick(20)
		So(s.TakeEffects().Messages[workerID(0)].Recalls, ShouldHaveLength, 1)
		reportAll(s, 22, orders, wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "recalled"})
		orders = orderedRuns(s.TakeEffects())
		So(orders[workerID(1)], ShouldHaveLength, 1)
		reportAll(s, 100, orders, wire.RunReport{End: gypsumtide.EndDone, RunTime: 75})
		Convey("which is logged and counted", func() {
			So(s.TakeEffects().Places, ShouldEqual, PlaceCounts{placeElsewhereAfterWait: 1})
			So(recorder.lines, ShouldHaveLength, 2)
			So(recorder.lines[0]["place"], ShouldEqual, "rack")
			So(recorder.lines[1]["place"], ShouldEqual, "elsewhere")
			So(recorder.lines[1]["waited-ms"], ShouldEqual, gypsumtide.Millis(22))
		})
	})
	// A run that takes longer because of its rack says nothing about estimates and workers.
	Convey("A longer run elsewhere changes neither the estimate nor the slowness of its worker", t, func() {
		s := newRackState("r", "x")
		fill(s, 0, 1, testCapacity-1600, 0)
		s.Submit(0, rackSubmission("a", 2, 100))
		messages := s.TakeEffects().Messages
		So(messages, ShouldHaveLength, 2)
		for n, runTime := range []gypsumtide.Millis{100, 150} {
			order := messages[workerID(n)].Orders[0]
			So(order.Expected, ShouldEqual, runTime)
			s.HandleReport(150, workerID(n), wire.RunReport{Ref: order.Ref, End: gypsumtide.EndDone, RunTime: runTime})
		}
		So(s.estimator.expected("r", 10_000), ShouldBeBetween, 9990, 10_010)
		So(s.workers[workerID(0)].slowness, ShouldAlmostEqual, 1, 0.001)
		So(s.workers[workerID(1)].slowness, ShouldAlmostEqual, 1, 0.001)
	})
}

// Guards against tasks that wait for a rack without usable workers.
func TestRackGone(t *testing.T) {
	for name, leave := range map[string]func(s *State, n int){
		"draining or evacuated": func(s *State, n int) { s.UpdateWorker(5, workerID(n), rackReport(n, "r", false)) },
		"disconnected":          func(s *State, n int) { s.Disconnected(5, workerID(n), "closed") },
	} {
		Convey("The tasks of a rack go elsewhere once its workers are "+name, t, func() {
			s := newRackState("r", "r", "x")
			fill(s, 0, 2, almostFull, 0)
			s.Submit(0, rackSubmission("a", 1, 50))
			So(ordersByRack(s), ShouldResemble, map[string]int{"r": 1})
			leave(s, 0)
			leave(s, 1)
			s.Submit(6, rackSubmission("b", 1, 50))
			So(ordersByRack(s), ShouldResemble, map[string]int{"x": 1})
		})
		Convey("A task that waits at the entry goes elsewhere at the next tick once they are "+name, t, func() {
			s := newRackState("r", "x")
			s.remoteFactor = 2
			fill(s, 0, 1, testCapacity, 6400)
			s.Submit(0, rackSubmission("a", 1, 400))
			So(ordersByRack(s), ShouldBeEmpty)
			leave(s, 0)
			s.Tick(10)
			So(ordersByRack(s), ShouldResemble, map[string]int{"x": 1})
		})
	}
}

// Guards against a rack with a queue that is longer than what pays, while others are idle.
func TestManyTasksForRack(t *testing.T) {
	Convey("The tasks of a wide job fill their rack, and the rest go elsewhere at once", t, func() {
		s := newRackState("r", "r", "x", "x", "x", "x")
		s.Submit(0, rackSubmission("a", 30, 50))
		n := ordersByRack(s)
		So(n["r"], ShouldBeBetweenOrEqual, 20, 26)
		So(n["r"]+n["x"], ShouldEqual, 30)
	})
	// Tasks that wait at the entry are in no report.
	Convey("Each task that waits at the entry makes the wait of the next one longer", t, func() {
		s := newRackState("r", "x", "x", "x", "x")
		s.remoteFactor = 2
		s.Submit(0, rackSubmission("own", 10, 100))
		So(ordersByRack(s), ShouldResemble, map[string]int{"r": 10})
		fill(s, 0, 1, 0, 6400)
		for i := range 30 {
			s.Submit(0, rackSubmission(fmt.Sprint(i), 1, 400))
		}
		waiting := 30 - ordersByRack(s)["x"]
		So(waiting, ShouldBeBetween, 2, 15)
		Convey("the more so if other entries have more of the load of the rack", func() {
			t := s.jobs["29"].tasks[0]
			before := s.waitBehindWaiting(t, rackKey{"stock", "r"})
			s.workers[workerID(0)].otherBooked.Processors += 8000
			s.workers[workerID(0)].ownRunning.Processors -= 8000
			So(s.waitBehindWaiting(t, rackKey{"stock", "r"}), ShouldBeGreaterThan, 1.2*before)
		})
		Convey("and stays valid when it is considered again in the same tick", func() {
			s.Tick(10)
			held := len(s.locality.waiting[rackKey{"stock", "r"}])
			for _, j := range s.jobsByUrgency() {
				s.placeReady(10, j)
			}
			So(s.locality.waiting[rackKey{"stock", "r"}], ShouldHaveLength, held)
		})
	})
}

// Guards against a job that is late because its last task waits, and against a longer run for
// a task whose job ends later anyway.
func TestLastTask(t *testing.T) {
	// newStartedJob returns the state with one of two tasks of a job running elsewhere and the
	// other one ready, which would wait 38 ms for the rack.
	newStartedJob := func(projected gypsumtide.Millis) *State {
		s := newRackState("r", "x")
		sub := rackSubmission("a", 2, 50)
		sub.Route.Allowance = 500
		s.UpdateWorker(0, workerID(0), rackReport(0, "r", false))
		s.Submit(0, sub)
		refs := orderedRuns(s.TakeEffects())[workerID(1)]
		s.Tick(12)
		s.HandleReport(13, workerID(1), wire.RunReport{Ref: refs[0], Remaining: projected})
		s.UpdateWorker(13, workerID(0), rackReport(0, "r", true))
		fill(s, 13, 1, testCapacity+800, 0)
		s.TakeEffects()
		s.Tick(14)
		s.backlog.average = 1
		s.HandleReport(14, workerID(1), wire.RunReport{Ref: refs[1], End: gypsumtide.EndNotStarted, Reason: "recalled"})
		return s
	}
	Convey("The last task of a job does not wait, even if its longer run delays other jobs", t, func() {
		So(ordersByRack(newStartedJob(62)), ShouldResemble, map[string]int{"x": 1})
	})
	Convey("It waits if the job's other tasks take longer", t, func() {
		So(ordersByRack(newStartedJob(110)), ShouldResemble, map[string]int{"r": 1})
	})
}

// Guards against a wait that is estimated from the size of the queue alone.
func TestExpectedWait(t *testing.T) {
	Convey("The wait for a worker is short if its runs end soon", t, func() {
		waits := make([]float64, 0, 2)
		for _, estimate := range []gypsumtide.Millis{100, 800} {
			s := newRackState("r")
			s.Submit(0, rackSubmission("a", 10, estimate))
			s.Submit(90, rackSubmission("b", 1, 50))
			waits = append(waits, s.correctedWait(90, s.jobs["b"].tasks[0], s.workers[workerID(0)]))
		}
		So(waits[0], ShouldAlmostEqual, 25, 0.1)
		So(waits[1], ShouldAlmostEqual, 710, 0.1)
	})
	// More urgent tasks that arrive later go first.
	Convey("The wait is corrected by those that orders of the priority have had", t, func() {
		waits := make(waitCorrections)
		for range 200 {
			waits.observe(2, 20, 80, true)
		}
		So(waits.correction(2), ShouldBeBetween, 3.5, 4)
		So(waits.correction(0), ShouldEqual, 1)
		for i := range 400 {
			waits.observe(1, 20, 20, i%2 == 0)
		}
		So(waits.correction(1), ShouldBeBetween, 1.9, 2.1)
	})
}

// Guards against a change of the placement of jobs that name no rack.
func TestWithoutRack(t *testing.T) {
	Convey("A task without a rack goes to the worker of the lowest cost, whatever waits for a rack", t, func() {
		s := newRackState("r", "r", "x", "x", "y")
		s.remoteFactor = 2
		for i := range 5 {
			s.UpdateLoad(0, workerID(i), loadReport(int64(3000*i)))
		}
		fill(s, 0, 2, testCapacity, 6400)
		for i := range 10 {
			s.Submit(0, rackSubmission(fmt.Sprint("rack-", i), 1, 400))
		}
		s.Submit(0, submission("a", 1, 50, 0))
		c := s.choosePlace(1, s.jobs["a"].tasks[0])
		So(c, ShouldEqual, s.choose(1, s.jobs["a"].tasks[0]))
		So(c.elsewhere.worker, ShouldBeNil)
	})
}
