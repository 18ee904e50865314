package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against two runs of a task: an agent that was suspended for two seconds
// started the orders in its queue when it woke, while their entry had long tried
// them elsewhere.
func TestSuspendedAgent(t *testing.T) {
	Convey("Given a full worker and an order that waits for seconds", t, func() {
		s := openState()
		s.EchoReceived("entry", 100)
		for i := range 3 {
			o := testOrder(i)
			o.StartWithin = 5000
			s.Submit(100, "entry", o)
		}
		starts := s.TakeEffects().Starts
		So(starts, ShouldHaveLength, 2)
		for _, c := range starts {
			s.StartAnswered(101, c, 5101, nil)
		}
		end := func(now gypsumtide.Millis) {
			call, ok := s.NextRenewal(now, 60)
			So(ok, ShouldBeTrue)
			s.RenewAnswered(now, now, call, gypsumtide.RenewResponse{
				StartTime: testLife.StartTime, Clock: 5000 + now, Running: []gypsumtide.RunProgress{{Ref: testOrder(1).Ref, Percent: 50}},
				Ended: []gypsumtide.RunEnd{{Number: 1, Ref: testOrder(0).Ref, Kind: gypsumtide.EndDone}},
			}, nil)
		}

		Convey("It starts when there is room and the entry has heard from the agent lately", func() {
			end(200)
			So(s.TakeEffects().Starts, ShouldHaveLength, 1)
		})
		Convey("After a gap it waits until the entry has heard from the agent again", func() {
			end(2200)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
			s.EchoReceived("entry", 2190)
			s.Tick(2220)
			So(s.TakeEffects().Starts, ShouldHaveLength, 1)
		})
		// Guards against the fault of the hunted day suspended, seed 372653826478: the
		// entry accepted a new session, and only then learnt which orders are held.
		Convey("On a new session it waits until the entry has compared what the agent holds", func() {
			s.SessionClosed(2190, "entry")
			s.SessionOpened("entry")
			s.EchoReceived("entry", 2200)
			end(2205)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
			s.SessionResumed(2210, "entry")
			So(s.TakeEffects().Starts, ShouldHaveLength, 1)
		})
		Convey("What the entry had heard before the gap does not count", func() {
			s.EchoReceived("entry", 150)
			end(2200)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
		})
	})
}
