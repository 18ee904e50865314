package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// checkpointOrder returns an order of a step with checkpoints.
func checkpointOrder() wire.Order {
	o := testOrder(0)
	o.Expected, o.Checkpointable, o.Submission = 1000, true, 7
	return o
}

// startOrder starts the run of an order and returns its start call.
func startOrder(s *State, o wire.Order) StartCall {
	s.Submit(2, "entry", o, 2)
	starts := s.TakeEffects().Starts
	So(starts, ShouldHaveLength, 1)
	s.StartAnswered(3, starts[0], 5001, nil)
	return starts[0]
}

// list processes an answer that lists the run of the order, and returns the reports.
func list(s *State, now gypsumtide.Millis, o wire.Order, saved string, percent int) []wire.RunReport {
	c, ok := s.NextRenewal(now, 60)
	So(ok, ShouldBeTrue)
	s.RenewAnswered(now, now, c, gypsumtide.RenewResponse{
		StartTime: 1000, Clock: 5000 + now, Running: []gypsumtide.RunProgress{{Ref: o.Ref, Percent: percent, Checkpoint: saved}},
	}, nil)
	return s.TakeEffects().Reports["entry"]
}

// endListed processes an answer that lists the end of the run, and returns the reports.
func endListed(s *State, now gypsumtide.Millis, o wire.Order, saved string, kind gypsumtide.EndKind) []wire.RunReport {
	c, ok := s.NextRenewal(now, 60)
	So(ok, ShouldBeTrue)
	s.RenewAnswered(now, now, c, gypsumtide.RenewResponse{
		StartTime: 1000, Clock: 5000 + now, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: o.Ref, Kind: kind, Checkpoint: saved}},
	}, nil)
	return s.TakeEffects().Reports["entry"]
}

// Guards against checkpoints that the entry does not get, and against frames that say nothing
// new.
func TestCheckpointReports(t *testing.T) {
	Convey("Given a run of a step with checkpoints", t, func() {
		s, o := newSyncedState(), checkpointOrder()
		So(startOrder(s, o).Order.Checkpoint, ShouldBeEmpty)
		So(list(s, 100, o, "", 10), ShouldBeEmpty)

		Convey("Each checkpoint is reported once", func() {
			So(list(s, 200, o, "one", 20), ShouldResemble, []wire.RunReport{{Ref: o.Ref, Checkpoint: "one", CheckpointPercent: 20, Submission: 7}})
			So(list(s, 260, o, "one", 26), ShouldBeEmpty)
			So(list(s, 300, o, "two", 30), ShouldHaveLength, 1)
		})
		Convey("The last one of a stopped run comes with its end", func() {
			list(s, 200, o, "one", 20)
			s.StopRun(210, o.Ref)
			So(list(s, 220, o, "two", 22), ShouldBeEmpty)
			r := endListed(s, 230, o, "three", gypsumtide.EndStopped)
			So(r, ShouldHaveLength, 1)
			So(r[0].Checkpoint, ShouldEqual, "three")
			So(r[0].CheckpointPercent, ShouldEqual, 22)
			So(r[0].Submission, ShouldEqual, 7)
		})
		Convey("That of a lost run is the last one that was listed", func() {
			list(s, 200, o, "one", 20)
			s.WorkerDeregistered(210, testIncarnation.ID)
			s.Tick(1400)
			r := s.TakeEffects().Reports["entry"]
			So(r, ShouldHaveLength, 1)
			So(r[0].End, ShouldEqual, gypsumtide.EndLost)
			So(r[0].Checkpoint, ShouldEqual, "one")
		})
		Convey("A run that is done needs none", func() {
			list(s, 200, o, "one", 20)
			So(endListed(s, 230, o, "one", gypsumtide.EndDone)[0].Checkpoint, ShouldBeEmpty)
		})
	})

	Convey("A step without checkpoints has none in any report", t, func() {
		s, o := newSyncedState(), testOrder(0)
		o.Expected = 1000
		startOrder(s, o)
		So(list(s, 200, o, "one", 20), ShouldBeEmpty)
		So(endListed(s, 230, o, "one", gypsumtide.EndStopped), ShouldResemble, []wire.RunReport{{Ref: o.Ref, End: gypsumtide.EndStopped, RunTime: 228}})
	})
}

// Guards against a resumed run that starts anew, or that is moved because it seems to stand
// still while its checkpoint is restored.
func TestResumedRun(t *testing.T) {
	resumedOrder := func() wire.Order {
		o := checkpointOrder()
		o.Checkpoint, o.Restore, o.Expected = "at 60", 250, 650
		return o
	}
	Convey("The start of a run carries the checkpoint of its order", t, func() {
		So(startOrder(newSyncedState(), resumedOrder()).Order.Checkpoint, ShouldEqual, "at 60")
	})
	Convey("The checkpoint from which a run resumes is not reported again", t, func() {
		s, o := newSyncedState(), resumedOrder()
		startOrder(s, o)
		So(list(s, 100, o, "at 60", 60), ShouldBeEmpty)
	})
	for name, base := range map[string]int{"from its checkpoint": 60, "from 0": 0} {
		Convey("A resumed run that counts its progress "+name, t, func() {
			s, o := newSyncedState(), resumedOrder()
			startOrder(s, o)
			Convey("does not stand still while it restores", func() {
				So(list(s, 100, o, "", base), ShouldBeEmpty)
				So(list(s, 250, o, "", base), ShouldBeEmpty)
			})
			Convey("stands still if it goes on for longer", func() {
				list(s, 100, o, "", base)
				r := list(s, 700, o, "", base)
				So(r, ShouldHaveLength, 1)
				So(r[0].Stalled, ShouldBeTrue)
			})
			Convey("is projected from its progress since then", func() {
				list(s, 100, o, "", base)
				list(s, 260, o, "", base+1)
				r := list(s, 460, o, "", base+5) // 50 ms for each percent.
				So(r, ShouldHaveLength, 1)
				So(r[0].Remaining, ShouldEqual, (100-base-5)*50)
			})
		})
	}
}
