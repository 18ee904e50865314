package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against two runs of a task. An agent that had been suspended for two
// seconds started the orders in its queue when it resumed, although their entry
// had already retried them on other hosts.
func TestSuspendedAgent(t *testing.T) {
	Convey("Given a full worker and an order that may wait for seconds", t, func() {
		s := newSyncedState()
		s.EchoReceived("entry", 100)
		for i := range 3 {
			o := testOrder(i)
			o.StartWithin = 5000
			s.Submit(100, "entry", o, 100)
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
				StartTime: testIncarnation.StartTime, Clock: 5000 + now, Running: []gypsumtide.RunProgress{{Ref: testOrder(1).Ref, Percent: 50}},
				Ended: []gypsumtide.RunEnd{{Number: 1, Ref: testOrder(0).Ref, Kind: gypsumtide.EndDone}},
			}, nil)
		}

		Convey("It starts when capacity is free and the entry's echo is recent", func() {
			end(200)
			So(s.TakeEffects().Starts, ShouldHaveLength, 1)
		})
		Convey("If the entry's last echo is two seconds old, it waits for a recent one", func() {
			end(2200)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
			s.EchoReceived("entry", 2190)
			s.Tick(2220)
			So(s.TakeEffects().Starts, ShouldHaveLength, 1)
		})
		// Guards against starting an order too early on a new session: the entry accepts
		// the session before it learns which orders the agent holds (scenario
		// "suspended", seed 372653826478).
		Convey("On a new session it waits until the entry has compared the held orders", func() {
			s.SessionClosed(2190, "entry")
			s.SessionOpened("entry")
			s.EchoReceived("entry", 2200)
			end(2205)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
			s.SessionResumed(2210, "entry")
			So(s.TakeEffects().Starts, ShouldHaveLength, 1)
		})
		Convey("An echo that arrived before the suspension is not recent enough", func() {
			s.EchoReceived("entry", 150)
			end(2200)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
		})
	})
}
