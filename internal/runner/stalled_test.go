package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against a worker that hangs and is mistaken for one with a long task. Its
// runs were abandoned instead of moved to other hosts, and it kept getting new ones.
func TestStalledRun(t *testing.T) {
	Convey("Given a run that has started", t, func() {
		s := newSyncedState()
		s.Submit(2, "entry", testOrder(0), 2)
		ref := testOrder(0).Ref
		start := s.TakeEffects().Starts[0]
		s.StartAnswered(3, start, 5002, nil)
		progress := func(now gypsumtide.Millis, percent int) {
			call, ok := s.NextRenewal(now-1, 60)
			So(ok, ShouldBeTrue)
			s.RenewAnswered(now, now-1, call, gypsumtide.RenewResponse{
				StartTime: testIncarnation.StartTime, Clock: 5000 + now, Running: []gypsumtide.RunProgress{{Ref: ref, Percent: percent}},
			}, nil)
		}

		Convey("Without progress it is reported as stalled, and the worker as slow", func() {
			progress(30, 0)
			So(s.TakeEffects().Reports, ShouldBeEmpty)
			progress(62, 0)
			reports := s.TakeEffects().Reports["entry"]
			So(reports, ShouldHaveLength, 1)
			So(reports[0].Stalled, ShouldBeTrue)
			So(s.health.Slowness(62), ShouldBeGreaterThan, 1.4)
		})
		Convey("A long task that makes progress is reported with its remaining time only", func() {
			progress(30, 2)
			progress(62, 4)
			reports := s.TakeEffects().Reports["entry"]
			So(reports, ShouldNotBeEmpty)
			for _, r := range reports {
				So(r.Stalled, ShouldBeFalse)
				So(r.Remaining, ShouldBeGreaterThan, 1000)
			}
		})
		Convey("A task that stops making progress halfway is reported as stalled", func() {
			progress(30, 50)
			progress(55, 50)
			for _, r := range s.TakeEffects().Reports["entry"] {
				So(r.Stalled, ShouldBeFalse)
			}
			progress(150, 50)
			reports := s.TakeEffects().Reports["entry"]
			So(reports, ShouldHaveLength, 1)
			So(reports[0].Stalled, ShouldBeTrue)
		})
	})
}
