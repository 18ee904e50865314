package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against a run that goes on after its entry has retried it, because the agent noticed
// the loss of the session late.
func TestOwnerLossNoticedLate(t *testing.T) {
	Convey("Given a run of an entry whose newest echo is old when the loss is noticed", t, func() {
		s := newSyncedState()
		s.EchoReceived("entry", 100)
		s.Submit(100, "entry", testOrder(0), 100)
		s.StartAnswered(101, s.TakeEffects().Starts[0], 5101, nil)
		s.SessionClosed(980, "entry")

		Convey("It is stopped when the echo is as old as the entry's patience, not later", func() {
			s.Tick(990)
			So(s.TakeEffects().Stops, ShouldBeEmpty)
			s.Tick(1000)
			So(s.TakeEffects().Stops, ShouldHaveLength, 1)
		})
	})

	Convey("An entry does not retry a lost run before the agent must have stopped it, however short the lease is", t, func() {
		for _, lease := range []gypsumtide.Millis{100, 500, 1000, 5000} {
			So(LostRunTimeout(lease), ShouldBeGreaterThanOrEqualTo, maxOwnerSilence+stopTime)
			So(LostRunTimeout(lease), ShouldBeGreaterThan, lease+lease/50)
		}
	})
}
