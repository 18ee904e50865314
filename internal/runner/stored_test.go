package runner

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

func storedOrder(index int) wire.Order {
	o := testOrder(index)
	o.Stored = true
	return o
}

// storedState returns an open State with a run of a stored job in progress.
func storedState() *State {
	s := openState()
	s.MarkSaved()
	s.Submit(2, "entry", storedOrder(0))
	s.StartAnswered(3, s.TakeEffects().Starts[0], 5001, nil)
	s.TakeEffects()
	return s
}

// endRun lets the worker list the end of the run, in answer to a hold.
func endRun(s *State, now gypsumtide.Millis, kind gypsumtide.EndKind) {
	c, ok := s.NextRenewal(now, 60)
	So(ok, ShouldBeTrue)
	s.RenewAnswered(now, now, c, gypsumtide.RenewResponse{
		StartTime: testLife.StartTime, Clock: 5000 + now, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: storedOrder(0).Ref, Kind: kind}},
	}, nil)
}

// acknowledged returns what the next hold acknowledges, and whether it renews the lease.
func acknowledged(s *State, now gypsumtide.Millis) (uint64, bool) {
	c, ok := s.NextRenewal(now, 60)
	So(ok, ShouldBeTrue)
	return c.Request.Acknowledged, c.Request.LeaseUntil > 0
}

// Guards against a second run of a stored task: its end must stay in the worker's
// list until the owner has recorded it.
func TestUnrecordedEnds(t *testing.T) {
	Convey("The end of a stored job's run is acknowledged once it is recorded", t, func() {
		s := storedState()
		endRun(s, 60, gypsumtide.EndDone)
		So(s.TakeEffects().Reports["entry"][0].Unrecorded, ShouldBeTrue)
		n, renews := acknowledged(s, 61)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeTrue)
		So(s.UnrecordedEnds("entry"), ShouldHaveLength, 1)
		s.EndsRecorded([]gypsumtide.RunRef{storedOrder(0).Ref})
		n, _ = acknowledged(s, 62)
		So(n, ShouldEqual, 1)
	})

	Convey("An end that is listed again is reported once", t, func() {
		s := storedState()
		endRun(s, 60, gypsumtide.EndDone)
		s.TakeEffects()
		endRun(s, 61, gypsumtide.EndDone)
		So(s.TakeEffects().Reports, ShouldBeEmpty)
	})

	Convey("A stopped run and a run of an ephemeral job need no record", t, func() {
		s := storedState()
		endRun(s, 60, gypsumtide.EndStopped)
		n, _ := acknowledged(s, 61)
		So(n, ShouldEqual, 1)
	})

	Convey("While the owner is away for less than the grace, the end is kept and the lease renewed", t, func() {
		s := storedState()
		endRun(s, 60, gypsumtide.EndDone)
		s.SessionClosed(100, "entry")
		s.Tick(400)
		n, renews := acknowledged(s, 401)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeTrue)
	})

	// The owner will try the task elsewhere. That is permitted only if the lease
	// has expired before the end is acknowledged.
	Convey("When the owner stays away, the lease expires before the end is acknowledged", t, func() {
		s := storedState()
		endRun(s, 60, gypsumtide.EndDone)
		s.SessionClosed(100, "entry")
		s.Tick(500)
		So(s.Report(500).Accepting, ShouldBeFalse)
		n, renews := acknowledged(s, 501)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeFalse)
		s.Tick(1100)
		n, _ = acknowledged(s, 1101)
		So(n, ShouldEqual, 0)
		s.Tick(1200)
		n, renews = acknowledged(s, 1201)
		So(n, ShouldEqual, 1)
		So(renews, ShouldBeTrue)
		So(s.Report(1201).Accepting, ShouldBeTrue)
	})

	Convey("An owner that comes back in time may still record the end", t, func() {
		s := storedState()
		endRun(s, 60, gypsumtide.EndDone)
		s.SessionClosed(100, "entry")
		s.Tick(500)
		So(s.SessionOpened("entry"), ShouldBeTrue)
		So(s.resume("entry", true).Unrecorded, ShouldHaveLength, 1)
		s.Tick(520)
		So(s.Report(520).Accepting, ShouldBeTrue)
	})

	Convey("An owner that disowns the end lets the lease expire", t, func() {
		s := storedState()
		endRun(s, 60, gypsumtide.EndFailed)
		s.RecordsDeclined(70, []gypsumtide.RunRef{storedOrder(0).Ref})
		_, renews := acknowledged(s, 71)
		So(renews, ShouldBeFalse)
		s.Tick(1200)
		n, _ := acknowledged(s, 1201)
		So(n, ShouldEqual, 1)
	})
}

// Guards against ends of stored jobs that a restarted agent acknowledges before
// anybody has recorded them.
func TestEndsOfEarlierAgent(t *testing.T) {
	// restarted returns the State of a new agent whose worker lists an end of a run
	// that the agent before has started.
	restarted := func(remember func(s *State)) *State {
		s := NewState(testTiming, 10, silent{})
		s.SessionOpened("entry")
		remember(s)
		s.Heartbeat(1, testInfo(testLife))
		s.SyncAnswered(2, *s.TakeEffects().Sync, gypsumtide.RenewResponse{
			StartTime: testLife.StartTime, Clock: 5000, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: storedOrder(0).Ref, Kind: gypsumtide.EndDone}},
		}, nil)
		return s
	}
	for _, c := range []struct {
		name     string
		remember func(s *State)
		lapses   bool
	}{
		{"no stored jobs", func(s *State) { s.MarkLoaded(0, false) }, false},
		{"stored jobs", func(s *State) { s.MarkLoaded(0, true) }, true},
		{"the memory cannot be read", func(*State) {}, true},
	} {
		Convey("Memory: "+c.name, t, func() {
			s := restarted(c.remember)
			So(s.Report(3).EarlierRunsEnded, ShouldEqual, !c.lapses)
			n, renews := acknowledged(s, 3)
			So(renews, ShouldEqual, !c.lapses)
			So(n == 0, ShouldEqual, c.lapses)
			s.Tick(1200)
			So(s.Report(1200).EarlierRunsEnded, ShouldBeTrue)
			n, _ = acknowledged(s, 1201)
			So(n, ShouldEqual, 1)
		})
	}

	// Guards against a worker that is closed for a second after each restart of its
	// agent while the store is slow, although there are no stored jobs.
	Convey("Ends that were kept until the memory was read are acknowledged if it tells of no stored jobs", t, func() {
		s := restarted(func(*State) {})
		So(s.Report(3).Accepting, ShouldBeFalse)
		s.MarkLoaded(4, false)
		So(s.Report(4).Accepting, ShouldBeTrue)
		n, renews := acknowledged(s, 5)
		So(n, ShouldEqual, 1)
		So(renews, ShouldBeTrue)
	})

	Convey("The first run of a stored job waits until the memory tells of it", t, func() {
		s := openState()
		s.Submit(2, "entry", storedOrder(0))
		e := s.TakeEffects()
		So(e.Starts, ShouldBeEmpty)
		So(e.Reports["entry"][0].Reason, ShouldEqual, ReasonNotMarked)
		So(e.SaveMark, ShouldBeTrue)
		s.MarkSaved()
		s.Submit(3, "entry", storedOrder(0))
		So(s.TakeEffects().Starts, ShouldHaveLength, 1)
	})

	// Guards against a run in the next life of the worker whose end is acknowledged at
	// once: an order for the life before was carried out late (seed 26 of TestSimulation).
	Convey("An unknown end in a new life may be one of a stored job", t, func() {
		s := openState()
		s.MarkLoaded(0, false)
		s.MarkSaved()
		s.Heartbeat(5, testInfo(gypsumtide.Incarnation{ID: "w-1", StartTime: 2000}))
		s.SyncAnswered(6, *s.TakeEffects().Sync, gypsumtide.RenewResponse{
			StartTime: 2000, Clock: 1, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: storedOrder(0).Ref, Kind: gypsumtide.EndDone}},
		}, nil)
		n, renews := acknowledged(s, 7)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeFalse)
	})
}
