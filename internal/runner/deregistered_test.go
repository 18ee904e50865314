package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against a second run of a task while a worker that has deregistered still executes
// the first one (TestSimulationSlow).
func TestDeregisteredWorkerStillRuns(t *testing.T) {
	Convey("Given a run on a worker that deregisters", t, func() {
		s := newSyncedState()
		s.EchoReceived("entry", 1)
		s.Submit(2, "entry", testOrder(0), 2)
		s.StartAnswered(3, s.TakeEffects().Starts[0], 5003, nil)
		s.WorkerDeregistered(100, testIncarnation.ID)
		e := s.TakeEffects()
		So(reportTexts(e), ShouldBeEmpty)
		So(e.Stops, ShouldHaveLength, 1)
		So(e.Sync, ShouldNotBeNil)
		So(s.WorkerReport(100).Accepting, ShouldBeFalse)

		Convey("It ends when the worker lists it as ended", func() {
			s.SyncAnswered(101, *e.Sync, gypsumtide.RenewResponse{
				StartTime: testIncarnation.StartTime, Clock: 5101, Running: []gypsumtide.RunProgress{{Ref: testOrder(0).Ref}},
			}, nil)
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			s.Tick(130)
			s.SyncAnswered(131, *s.TakeEffects().Sync, gypsumtide.RenewResponse{
				StartTime: testIncarnation.StartTime, Clock: 5131, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: testOrder(0).Ref, Kind: gypsumtide.EndStopped}},
			}, nil)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 stopped "})
			So(s.Incarnation().ID, ShouldBeEmpty)
		})
		// Guards against entries that retry the runs of the agent's earlier incarnation.
		Convey("The worker is kept while it lists a run that the agent has not ordered", func() {
			orphan := gypsumtide.RunProgress{Ref: testOrder(1).Ref}
			ended := []gypsumtide.RunEnd{{Number: 1, Ref: testOrder(0).Ref, Kind: gypsumtide.EndStopped}}
			s.SyncAnswered(101, *e.Sync, gypsumtide.RenewResponse{
				StartTime: testIncarnation.StartTime, Clock: 5101, Running: []gypsumtide.RunProgress{orphan}, Ended: ended,
			}, nil)
			So(s.Incarnation(), ShouldResemble, testIncarnation)
			s.Tick(130)
			s.SyncAnswered(131, *s.TakeEffects().Sync, gypsumtide.RenewResponse{StartTime: testIncarnation.StartTime, Clock: 5131, Ended: ended}, nil)
			So(s.Incarnation().ID, ShouldBeEmpty)
			So(s.WorkerReport(131).EarlierRunsEnded, ShouldBeFalse)
		})
		Convey("It is lost when the worker does not answer and the lease has expired", func() {
			s.SyncAnswered(101, *e.Sync, gypsumtide.RenewResponse{}, errTimeout)
			s.Tick(900)
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			s.Tick(1100)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 lost lease-expired"})
			So(s.Incarnation().ID, ShouldBeEmpty)
		})
	})
}
