package dispatch

import (
	"math"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Guards against a report of one agent after which no task is placed on the others.
func TestOddAgentReports(t *testing.T) {
	huge := wire.SizeArray{Processors: math.MaxInt64, Memory: math.MaxInt64}
	loads := map[string]wire.LoadReport{
		"slowness that is not a number":      {Slowness: float32(math.NaN())},
		"infinite slowness":                  {Slowness: float32(math.Inf(1))},
		"negative slowness":                  {Slowness: -1},
		"failure share that is not a number": {Slowness: 1, FailureShare: float32(math.NaN())},
		"load that overflows":                {Slowness: 1, Booked: huge},
		"negative load":                      {Slowness: 1, FromPeer: wire.SizeArray{Processors: -1}},
		"waiting load that overflows":        {Slowness: 1, Waiting: []wire.WaitingLoad{{Size: huge}, {Size: huge}}},
	}
	for name, load := range loads {
		Convey("A load report is ignored: "+name, t, func() {
			s := newTestState(1)
			before := s.workers[workerID(0)].loadReportedAt
			s.UpdateLoad(before+1, workerID(0), &load)
			So(s.workers[workerID(0)].loadReportedAt, ShouldEqual, before)
			s.Submit(2, submission("a", 1, 50, 0))
			So(orderedRuns(s.TakeEffects())[workerID(0)], ShouldHaveLength, 1)
		})
	}
	Convey("A worker report with a capacity out of range is ignored", t, func() {
		s := newTestState(1)
		s.UpdateWorker(1, workerID(0), wire.WorkerReport{Service: "stock", Capacity: gypsumtide.Size{Processors: math.MaxInt64}, Accepting: true})
		So(s.workers[workerID(0)].report.Capacity.Processors, ShouldEqual, testCapacity)
	})
	// Guards against a notice after which no run seems to end in time.
	Convey("A worker report with a remaining time out of range is ignored", t, func() {
		for _, leavesIn := range []gypsumtide.Millis{-1, math.MaxInt64} {
			s := newTestState(1)
			s.UpdateWorker(1, workerID(0), leavingReport(0, 50))
			r := zoneReport(0, "z")
			r.Leaving, r.LeavesIn = true, leavesIn
			s.UpdateWorker(2, workerID(0), r)
			So(s.workers[workerID(0)].leavesAt, ShouldEqual, 51)
		}
	})
}
