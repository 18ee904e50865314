package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// announce sends a heartbeat of a worker that drains with the given time left, or without a
// bound if that is negative.
func announce(s *State, now gypsumtide.Millis, remaining gypsumtide.Millis) {
	info := s.Info()
	info.Seq, info.Draining, info.Remaining = info.Seq+1, true, nil
	if remaining >= 0 {
		info.Remaining = &remaining
	}
	s.Heartbeat(now, info)
}

// Guards against a notice that entries do not get or get with each heartbeat.
func TestNotice(t *testing.T) {
	Convey("Given a worker that drains with a remaining time", t, func() {
		s := newSyncedState()
		before := s.WorkerReport(5)
		announce(s, 10, 2000)
		r := s.WorkerReport(20)
		So(r.Accepting, ShouldBeFalse)
		So(r.Leaving, ShouldBeTrue)
		So(r.LeavesIn, ShouldEqual, 1990)
		So(r.Equal(&before), ShouldBeFalse)

		Convey("The report is the same while heartbeats confirm the time", func() {
			announce(s, 310, 1750)
			later := s.WorkerReport(320)
			So(later.LeavesIn, ShouldEqual, 1690)
			So(later.Equal(&r), ShouldBeTrue)
		})
		Convey("A change is reported in either direction", func() {
			announce(s, 310, 1000)
			earlier := s.WorkerReport(320)
			So(earlier.LeavesIn, ShouldEqual, 990)
			So(earlier.Equal(&r), ShouldBeFalse)
			announce(s, 610, 3000)
			So(s.WorkerReport(620).LeavesIn, ShouldEqual, 2990)
		})
		Convey("The time left is not negative after it has passed", func() {
			late := s.WorkerReport(3000)
			So(late.Leaving, ShouldBeTrue)
			So(late.LeavesIn, ShouldEqual, 0)
		})
		Convey("A heartbeat without it ends the notice", func() {
			announce(s, 310, -1)
			So(s.WorkerReport(320).Leaving, ShouldBeFalse)
			So(s.WorkerReport(320).Accepting, ShouldBeFalse)
		})
		Convey("A new incarnation of the worker does not leave", func() {
			s.Heartbeat(310, testInfo(gypsumtide.Incarnation{ID: "w-1", StartTime: 2000}))
			So(s.WorkerReport(320).Leaving, ShouldBeFalse)
		})
		Convey("Neither does a worker that has deregistered", func() {
			s.WorkerDeregistered(310, testIncarnation.ID)
			s.SyncAnswered(312, *s.TakeEffects().Sync, gypsumtide.RenewResponse{StartTime: testIncarnation.StartTime, Clock: 5312}, nil)
			So(s.Incarnation(), ShouldResemble, gypsumtide.Incarnation{})
			So(s.WorkerReport(320).Leaving, ShouldBeFalse)
		})
	})

	Convey("A draining worker without a remaining time is reported as before", t, func() {
		s := newSyncedState()
		announce(s, 10, -1)
		So(s.WorkerReport(20).Leaving, ShouldBeFalse)
		So(s.WorkerReport(20).Accepting, ShouldBeFalse)
	})

	// The time counts from a heartbeat of unknown age.
	Convey("A time left that was saved is not used", t, func() {
		s := NewState(testTiming, 10, discardLogger{})
		info, remaining := testInfo(testIncarnation), gypsumtide.Millis(2000)
		info.Draining, info.Remaining = true, &remaining
		s.RestoreWorker(1, info)
		So(s.WorkerReport(2).Leaving, ShouldBeFalse)
	})
}

// Guards against decisions on estimates that are off by nearly half although the progress of
// the runs is known.
func TestProjectionsWhileWorkerLeaves(t *testing.T) {
	Convey("While the worker leaves, projections are reported once and when they have changed", t, func() {
		s := newSyncedState()
		o := testOrder(0)
		o.Expected = 1000
		s.Submit(2, "entry", o, 2)
		s.StartAnswered(3, s.TakeEffects().Starts[0], 5001, nil)
		projections := func(now gypsumtide.Millis, percent int) int {
			c, _ := s.NextRenewal(now, 60)
			s.RenewAnswered(now, now, c, gypsumtide.RenewResponse{StartTime: 1000, Clock: 5000 + now, Running: []gypsumtide.RunProgress{{Ref: o.Ref, Percent: percent}}}, nil)
			return len(s.TakeEffects().Reports["entry"])
		}
		So(projections(102, 10), ShouldEqual, 0)
		announce(s, 110, 2000)
		s.TakeEffects()
		So(projections(202, 20), ShouldEqual, 1)
		So(projections(302, 30), ShouldEqual, 0)
		So(projections(402, 60), ShouldEqual, 1)
	})
}
