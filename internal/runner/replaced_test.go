package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against a second run of a task while a worker still executes the first one, after
// another worker or another writer has announced itself to the same agent.
func TestReplacedWorkerStillRuns(t *testing.T) {
	Convey("Given a run and the heartbeat of a worker with another id", t, func() {
		other := gypsumtide.Incarnation{ID: "w-2", StartTime: testIncarnation.StartTime + 500}
		s := newSyncedState()
		s.EchoReceived("entry", 100)
		s.Submit(100, "entry", testOrder(0), 100)
		s.StartAnswered(101, s.TakeEffects().Starts[0], 5101, nil)
		s.Heartbeat(200, testInfo(other))
		sync := s.TakeEffects().Sync
		So(sync.Incarnation, ShouldResemble, other)

		Convey("The run is not lost when the other worker does not list it, but when the lease of its own has expired", func() {
			s.SyncAnswered(201, *sync, gypsumtide.RenewResponse{StartTime: other.StartTime, Clock: 10}, nil)
			s.Tick(1270)
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			s.Tick(1280)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 lost worker-replaced"})
			So(s.Running(), ShouldEqual, 0)
		})
		Convey("The run is not lost when a third worker answers at the address", func() {
			s.SyncAnswered(201, *sync, gypsumtide.RenewResponse{}, gypsumtide.ErrOtherWorker)
			s.Tick(1270)
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			s.Tick(1280)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 lost worker-replaced"})
		})
		Convey("The run goes on if the first worker announces itself again", func() {
			s.SyncAnswered(201, *sync, gypsumtide.RenewResponse{}, errTimeout)
			s.Heartbeat(300, testInfo(testIncarnation))
			s.Tick(320)
			s.SyncAnswered(321, *s.TakeEffects().Sync, gypsumtide.RenewResponse{
				StartTime: testIncarnation.StartTime, Clock: 5321, Running: []gypsumtide.RunProgress{{Ref: testOrder(0).Ref, Percent: 10}},
			}, nil)
			s.Tick(2000)
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			So(s.Running(), ShouldEqual, 1)
		})
	})
}
