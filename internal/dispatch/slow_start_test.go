package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/placement"
	"gypsumtide/internal/wire"
)

// Guards against waiting work that all goes to the workers of a returned zone, and against work
// that is delayed although it has nowhere else to go.
func TestSlowStart(t *testing.T) {
	// A worker has room for 10 tasks of 1600.
	Convey("Given a zone whose evacuation has ended while the workers of the other one are full", t, func() {
		s := newZonedState("a", "b")
		s.SetEvacuations(0, evacuated(7, "a"))
		full := loadReport(2 * testCapacity)
		s.UpdateLoad(0, workerID(1), full)
		s.SetEvacuations(1000, evacuated(8))
		placed := func(now gypsumtide.Millis, jobs int) int {
			for i := range jobs {
				s.Submit(now, submission(fmt.Sprint(now, "-", i), 1, 200, 0))
			}
			return len(orderedRuns(s.TakeEffects())[workerID(0)])
		}

		Convey("Tasks use about a quarter of it at first, and all of it after a second", func() {
			So(placed(1000, 20), ShouldBeBetweenOrEqual, 2, 4)
			s.Tick(1050)
			So(len(orderedRuns(s.TakeEffects())), ShouldBeLessThanOrEqualTo, 1)
		})
		Convey("After a second it is used like any other", func() {
			s.Tick(2000)
			So(s.slowStarts, ShouldEqual, 0)
			So(placed(2000, 20), ShouldBeGreaterThanOrEqualTo, 10)
		})
		Convey("An idle worker gets a task that is larger than the share", func() {
			sub := submission("large", 1, 200, 0)
			sub.Job.Steps[0].Size.Processors = testCapacity
			s.Submit(1000, sub)
			So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 1)
		})
		Convey("No job is refused because of it: a task that can wait no longer is placed", func() {
			So(placed(1000, 8), ShouldBeLessThan, 8)
			n := 0
			for now := gypsumtide.Millis(1010); now < 1300; now += 10 {
				s.Tick(now)
				e := s.TakeEffects()
				So(e.Answers, ShouldBeEmpty)
				n += len(orderedRuns(e)[workerID(0)])
			}
			So(n, ShouldBeGreaterThanOrEqualTo, 4)
			for _, j := range s.jobs {
				So(j.hasReadyTask(), ShouldBeFalse)
			}
		})
		Convey("Workers of the other zone are not limited", func() {
			s.UpdateLoad(1000, workerID(1), loadReport(0))
			So(s.workers[workerID(1)].usedShare, ShouldEqual, 1)
		})
		Convey("Another evacuation ends it", func() {
			s.SetEvacuations(1100, evacuated(9, "a"))
			So(s.slowStarts, ShouldEqual, 0)
		})
		Convey("So does the removal of its workers", func() {
			s.Disconnected(1100, workerID(0), "test")
			s.Tick(1900)
			So(s.slowStarts, ShouldEqual, 1)
			s.removeWorker(1900, s.workers[workerID(0)], "test")
			So(s.slowStarts, ShouldEqual, 0)
		})
	})

	Convey("Work that no other worker takes is not delayed", t, func() {
		s := newZonedState("a", "b")
		s.UpdateWorker(0, workerID(0), zoneReport(0, "a", "rare"))
		s.SetEvacuations(0, evacuated(7, "a"))
		s.SetEvacuations(1000, evacuated(8))
		sub := submission("rare", 10, 200, 0)
		sub.Job.Steps[0].Label = "rare"
		s.Submit(1000, sub)
		So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 10)
	})
}

// Guards against a busy worker that seems idle during the slow start, because the used part of a
// small capacity is rounded down to none.
func TestSlowStartOfSmallCapacity(t *testing.T) {
	Convey("A worker does not seem free while its only accelerator, or one of three, is missing", t, func() {
		for _, accelerators := range []int64{1, 2, 3} {
			s := newZonedState("a", "b")
			r := zoneReport(0, "a")
			r.Capacity.Accelerators = accelerators
			s.UpdateWorker(0, workerID(0), r)
			s.UpdateLoad(0, workerID(0), &wire.LoadReport{Booked: wire.SizeArray{Processors: 1600, Accelerators: accelerators}, Slowness: 1})
			s.SetEvacuations(0, evacuated(7, "a"))
			s.SetEvacuations(1000, evacuated(8))
			size := gypsumtide.Size{Processors: 1600, Memory: 64, Accelerators: 1}
			w := s.workers[workerID(0)]
			So(w.slowStartWait(w.load(0), size), ShouldBeGreaterThanOrEqualTo, w.waitBehind(w.load(0), size))
			So(w.waitBehind(w.load(0), size), ShouldBeGreaterThan, 0)
		}
	})
}

// Guards against a refusal although the returned zone has room.
func TestSlowStartBetweenTicks(t *testing.T) {
	Convey("An order that is returned between two ticks, after its latest start, goes to the returned zone", t, func() {
		s := newZonedState("a", "b")
		s.SetEvacuations(0, evacuated(7, "a"))
		s.SetEvacuations(900, evacuated(8))
		s.UpdateLoad(900, workerID(0), loadReport(testCapacity/2))
		s.Tick(1000)
		s.Submit(1000, submission("a", 1, 50, 0))
		first := orderedRuns(s.TakeEffects())
		So(first[workerID(1)], ShouldHaveLength, 1)
		reportAll(s, 1001, first, wire.RunReport{Queued: true})
		s.UpdateLoad(1001, workerID(1), loadReport(testCapacity))
		last := s.latestStart(s.jobs["a"], 0)
		s.Tick(last - 5)
		s.TakeEffects()
		reportAll(s, last+1, first, wire.RunReport{End: gypsumtide.EndNotStarted, Reason: "expired"})
		e := s.TakeEffects()
		So(e.Answers, ShouldBeEmpty)
		So(orderedRuns(e)[workerID(0)], ShouldHaveLength, 1)
	})
}

// Guards against a burst of tasks to a worker whose agent alone knew of the evacuation, or unblocks
// starts long after this entry knows its end.
func TestSlowStartOfWorker(t *testing.T) {
	blocked := func(version uint64) wire.WorkerReport {
		r := zoneReport(0, "a")
		r.Accepting, r.ZoneEvacuated, r.EvacuationsVersion = false, true, version
		return r
	}
	Convey("Given two zones and an agent that blocks starts", t, func() {
		s := newZonedState("a", "b")
		w := s.workers[workerID(0)]

		Convey("A zone that only the agent knew as evacuated returns by slow start", func() {
			s.SetEvacuations(0, evacuated(4))
			s.UpdateWorker(1, workerID(0), blocked(5))
			So(s.Workers(), ShouldEqual, 1)
			s.SetEvacuations(1000, evacuated(6))
			s.UpdateWorker(1001, workerID(0), zoneReport(0, "a"))
			So(w.usable(), ShouldBeTrue)
			So(w.usedShare, ShouldEqual, placement.SlowStartShare(0))
		})
		Convey("A worker whose agent unblocks late has its own slow start", func() {
			s.SetEvacuations(0, evacuated(4, "a"))
			s.UpdateWorker(1, workerID(0), blocked(4))
			s.SetEvacuations(1000, evacuated(6))
			s.Tick(2500)
			So(w.usable(), ShouldBeFalse)
			s.UpdateWorker(2501, workerID(0), zoneReport(0, "a"))
			So(w.usedShare, ShouldEqual, placement.SlowStartShare(0))
			s.Tick(3501)
			So(w.usedShare, ShouldEqual, 1)
			So(s.slowStarts, ShouldEqual, 0)
		})
		Convey("Reports during the slow start do not begin it again", func() {
			s.SetEvacuations(0, evacuated(4, "a"))
			s.SetEvacuations(1000, evacuated(6))
			s.Tick(1500)
			s.UpdateWorker(1500, workerID(0), zoneReport(0, "a"))
			So(w.usedShare, ShouldEqual, placement.SlowStartShare(500))
		})
	})
}
