package dispatch

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
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
			So(s.slowStarts, ShouldBeEmpty)
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
			So(s.workers[workerID(1)].share, ShouldEqual, 1)
		})
		Convey("Another evacuation ends it", func() {
			s.SetEvacuations(1100, evacuated(9, "a"))
			So(s.slowStarts, ShouldBeEmpty)
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
