package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
)

// Guards against an entry that retries the runs of an agent's earlier incarnation
// on other hosts while the worker still executes them.
func TestEarlierRunsEnded(t *testing.T) {
	Convey("Given a new agent whose worker still has a run of an earlier incarnation", t, func() {
		s := NewState(testTiming, 10, discardLogger{})
		s.SessionOpened("entry")
		s.Heartbeat(1, testInfo(testIncarnation))
		So(s.WorkerReport(1).EarlierRunsEnded, ShouldBeFalse)
		sync := *s.TakeEffects().Sync
		orphan := gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "old"}, Number: 1}
		s.SyncAnswered(2, sync, gypsumtide.RenewResponse{
			StartTime: testIncarnation.StartTime, Clock: 5000, Running: []gypsumtide.RunProgress{{Ref: orphan}},
		}, nil)
		So(s.WorkerReport(2).Accepting, ShouldBeTrue)
		So(s.WorkerReport(2).EarlierRunsEnded, ShouldBeFalse)

		Convey("The earlier runs have ended when the worker lists none of them", func() {
			s.Tick(40)
			sync = *s.TakeEffects().Sync
			s.SyncAnswered(41, sync, gypsumtide.RenewResponse{
				StartTime: testIncarnation.StartTime, Clock: 5040, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: orphan, Kind: gypsumtide.EndStopped}},
			}, nil)
			So(s.WorkerReport(41).EarlierRunsEnded, ShouldBeTrue)
		})
		Convey("A later sync does not reset EarlierRunsEnded, but a new worker incarnation does", func() {
			s.Tick(40)
			s.SyncAnswered(41, *s.TakeEffects().Sync, gypsumtide.RenewResponse{StartTime: testIncarnation.StartTime, Clock: 5040}, nil)
			s.beginSync(50)
			So(s.WorkerReport(50).EarlierRunsEnded, ShouldBeTrue)
			s.Heartbeat(60, testInfo(gypsumtide.Incarnation{ID: testIncarnation.ID, StartTime: testIncarnation.StartTime + 1}))
			So(s.WorkerReport(60).EarlierRunsEnded, ShouldBeFalse)
		})
	})
}
