package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// testStopCall is the time within which a worker carries out a stop.
const testStopCall gypsumtide.Millis = 50

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

	// Guards against a run that goes on after its caller has submitted the job to another
	// entry, because the first entry is behind a link that delays all it sends and receives.
	Convey("Given an ephemeral and a stored run of an entry whose frames arrive ever later", t, func() {
		s := newSyncedState()
		s.EchoReceived("entry", 100)
		stored := testOrder(1)
		stored.Stored = true
		for _, o := range []wire.Order{testOrder(0), stored} {
			s.Submit(100, "entry", o, 100)
		}
		for _, c := range s.TakeEffects().Starts {
			s.StartAnswered(101, c, 5101, nil)
		}
		s.EchoReceived("entry", 200)

		Convey("The ephemeral run is stopped when the newest echo is as old as the callers' patience", func() {
			s.Tick(1090)
			So(s.TakeEffects().Stops, ShouldBeEmpty)
			s.Tick(1100)
			stops := s.TakeEffects().Stops
			So(stops, ShouldHaveLength, 1)
			So(stops[0].Ref, ShouldResemble, testOrder(0).Ref)
		})
		Convey("A newer echo lets both go on", func() {
			s.EchoReceived("entry", 300)
			s.Tick(1100)
			So(s.TakeEffects().Stops, ShouldBeEmpty)
		})
	})

	// docs/platform.md, "The bound on a job that is submitted again".
	Convey("A run ends before its caller may have submitted the job to another entry", t, func() {
		const resubmitted gypsumtide.Millis = 1300
		timing := NewTiming(1000)
		So(max(timing.MaxOwnerLag, timing.MaxOwnerSilence)+stopTime, ShouldBeLessThan, resubmitted)
		So(timing.MaxEchoAge, ShouldBeLessThan, timing.MaxOwnerLag)
		So(stopTime, ShouldBeGreaterThanOrEqualTo, idleTickInterval+testStopCall)
	})

	Convey("An entry does not retry a lost run before the agent must have stopped it, however short the lease is", t, func() {
		for _, lease := range []gypsumtide.Millis{100, 500, 1000, 5000} {
			So(LostRunTimeout(lease), ShouldBeGreaterThanOrEqualTo, maxOwnerSilence+stopTime)
			So(LostRunTimeout(lease), ShouldBeGreaterThan, lease+lease/50)
		}
	})
}
