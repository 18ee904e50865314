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

// newStoredRunState returns a State with a run of a stored job in progress.
func newStoredRunState() *State {
	s := newSyncedState()
	s.StoredJobsMarkSaved()
	s.Submit(2, "entry", storedOrder(0), 2)
	s.StartAnswered(3, s.TakeEffects().Starts[0], 5001, nil)
	s.TakeEffects()
	return s
}

// endRun processes a renew response that lists the end of the run.
func endRun(s *State, now gypsumtide.Millis, kind gypsumtide.EndKind) {
	c, ok := s.NextRenewal(now, 60)
	So(ok, ShouldBeTrue)
	s.RenewAnswered(now, now, c, gypsumtide.RenewResponse{
		StartTime: testIncarnation.StartTime, Clock: 5000 + now, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: storedOrder(0).Ref, Kind: kind}},
	}, nil)
}

// nextAcknowledged returns the number that the next renew call acknowledges, and
// whether the call renews the lease.
func nextAcknowledged(s *State, now gypsumtide.Millis) (uint64, bool) {
	c, ok := s.NextRenewal(now, 60)
	So(ok, ShouldBeTrue)
	return c.Request.Acknowledged, c.Request.LeaseUntil > 0
}

// Guards against a second run of a stored job's task: the worker must keep listing
// its end until the owner has recorded it.
func TestUnrecordedEnds(t *testing.T) {
	Convey("The end of a stored job's run is acknowledged once it is recorded", t, func() {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndDone)
		So(s.TakeEffects().Reports["entry"][0].Unrecorded, ShouldBeTrue)
		n, renews := nextAcknowledged(s, 61)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeTrue)
		So(s.UnrecordedEnds("entry"), ShouldHaveLength, 1)
		s.EndsRecorded([]gypsumtide.RunRef{storedOrder(0).Ref})
		n, _ = nextAcknowledged(s, 62)
		So(n, ShouldEqual, 1)
	})

	Convey("An end that is listed again is reported once", t, func() {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndDone)
		s.TakeEffects()
		endRun(s, 61, gypsumtide.EndDone)
		So(s.TakeEffects().Reports, ShouldBeEmpty)
	})

	Convey("The end of a stopped run needs no record", t, func() {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndStopped)
		n, _ := nextAcknowledged(s, 61)
		So(n, ShouldEqual, 1)
	})

	Convey("During the owner's grace period, the end is kept and the lease renewed", t, func() {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndDone)
		s.SessionClosed(100, "entry")
		s.Tick(400)
		n, renews := nextAcknowledged(s, 401)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeTrue)
	})

	// The owner will retry the task on another host, which is permitted only if the
	// lease has expired before the end is acknowledged.
	Convey("After the grace period, the lease expires before the end is acknowledged", t, func() {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndDone)
		s.SessionClosed(100, "entry")
		s.Tick(500)
		So(s.WorkerReport(500).Accepting, ShouldBeFalse)
		n, renews := nextAcknowledged(s, 501)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeFalse)
		s.Tick(1100)
		n, _ = nextAcknowledged(s, 1101)
		So(n, ShouldEqual, 0)
		s.Tick(1200)
		n, renews = nextAcknowledged(s, 1201)
		So(n, ShouldEqual, 1)
		So(renews, ShouldBeTrue)
		So(s.WorkerReport(1201).Accepting, ShouldBeTrue)
	})

	Convey("An owner that reconnects before the lease expires may still record the end", t, func() {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndDone)
		s.SessionClosed(100, "entry")
		s.Tick(500)
		So(s.SessionOpened("entry"), ShouldBeTrue)
		So(s.resumeMessage("entry", true).Unrecorded, ShouldHaveLength, 1)
		s.SessionResumed(510, "entry")
		s.Tick(520)
		So(s.WorkerReport(520).Accepting, ShouldBeTrue)
	})

	Convey("If the owner declines to record the end, the lease expires first", t, func() {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndFailed)
		s.RecordsDeclined(70, []gypsumtide.RunRef{storedOrder(0).Ref})
		_, renews := nextAcknowledged(s, 71)
		So(renews, ShouldBeFalse)
		s.Tick(1200)
		n, _ := nextAcknowledged(s, 1201)
		So(n, ShouldEqual, 1)
	})
}

// Guards against a restarted agent that acknowledges ends of stored jobs before an
// entry has recorded them.
func TestEndsOfEarlierAgent(t *testing.T) {
	// restarted returns the State of a new agent whose worker lists the end of a run
	// that an earlier incarnation of the agent started.
	restarted := func(loadMark func(s *State)) *State {
		s := NewState(testTiming, 10, discardLogger{})
		s.SessionOpened("entry")
		loadMark(s)
		s.Heartbeat(1, testInfo(testIncarnation))
		s.SyncAnswered(2, *s.TakeEffects().Sync, gypsumtide.RenewResponse{
			StartTime: testIncarnation.StartTime, Clock: 5000, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: storedOrder(0).Ref, Kind: gypsumtide.EndDone}},
		}, nil)
		return s
	}
	for _, c := range []struct {
		name     string
		loadMark func(s *State)
		expires  bool
	}{
		{"the host is not marked", func(s *State) { s.StoredJobsMarkLoaded(0, false) }, false},
		{"the host is marked", func(s *State) { s.StoredJobsMarkLoaded(0, true) }, true},
		{"the mark has not been read", func(*State) {}, true},
	} {
		Convey("Worker store: "+c.name, t, func() {
			s := restarted(c.loadMark)
			So(s.WorkerReport(3).EarlierRunsEnded, ShouldEqual, !c.expires)
			n, renews := nextAcknowledged(s, 3)
			So(renews, ShouldEqual, !c.expires)
			So(n == 0, ShouldEqual, c.expires)
			s.Tick(1200)
			So(s.WorkerReport(1200).EarlierRunsEnded, ShouldBeTrue)
			n, _ = nextAcknowledged(s, 1201)
			So(n, ShouldEqual, 1)
		})
	}

	// Guards against a worker that accepts no runs for a second after each restart of
	// its agent while the store is slow, although there are no stored jobs.
	Convey("Ends kept until the mark was loaded are acknowledged if the host is not marked", t, func() {
		s := restarted(func(*State) {})
		So(s.WorkerReport(3).Accepting, ShouldBeFalse)
		s.StoredJobsMarkLoaded(4, false)
		So(s.WorkerReport(4).Accepting, ShouldBeTrue)
		n, renews := nextAcknowledged(s, 5)
		So(n, ShouldEqual, 1)
		So(renews, ShouldBeTrue)
	})

	Convey("The first run of a stored job waits until the host is marked", t, func() {
		s := newSyncedState()
		s.Submit(2, "entry", storedOrder(0), 2)
		e := s.TakeEffects()
		So(e.Starts, ShouldBeEmpty)
		So(e.Reports["entry"][0].Reason, ShouldEqual, ReasonNotMarked)
		So(e.SaveStoredJobsMark, ShouldBeTrue)
		s.StoredJobsMarkSaved()
		s.Submit(3, "entry", storedOrder(0), 3)
		So(s.TakeEffects().Starts, ShouldHaveLength, 1)
	})

	// Guards against acknowledging an end at once because its run is unknown: the new
	// incarnation of the worker had executed an order for the previous one late
	// (seed 26 of TestSimulation).
	Convey("An unknown end of a new incarnation may belong to a stored job", t, func() {
		s := newSyncedState()
		s.StoredJobsMarkLoaded(0, false)
		s.StoredJobsMarkSaved()
		s.Heartbeat(5, testInfo(gypsumtide.Incarnation{ID: "w-1", StartTime: 2000}))
		s.SyncAnswered(6, *s.TakeEffects().Sync, gypsumtide.RenewResponse{
			StartTime: 2000, Clock: 1, Ended: []gypsumtide.RunEnd{{Number: 1, Ref: storedOrder(0).Ref, Kind: gypsumtide.EndDone}},
		}, nil)
		n, renews := nextAcknowledged(s, 7)
		So(n, ShouldEqual, 0)
		So(renews, ShouldBeFalse)
	})
}

// Guards against a second run of a stored job's task whose order for the previous incarnation
// of the worker was executed and completed in the next one: the agent counted the run as lost,
// since its sync acknowledged the end by the number of an earlier end.
func TestEndInNextIncarnation(t *testing.T) {
	next := gypsumtide.Incarnation{ID: testIncarnation.ID, StartTime: testIncarnation.StartTime + 1000}
	first, second := storedOrder(0), storedOrder(1)
	// endsAfter returns the ends of the next incarnation that the worker lists in its answer.
	endsAfter := func(acknowledged uint64) []gypsumtide.RunEnd {
		ends := []gypsumtide.RunEnd{{Number: 1, Ref: second.Ref, Kind: gypsumtide.EndDone}}
		return ends[min(acknowledged, 1):]
	}
	// restarted returns a State with an acknowledged end and a second run, whose order reached
	// the worker after its restart. The answer to a renew call shows the restart.
	restarted := func() *State {
		s := newStoredRunState()
		endRun(s, 60, gypsumtide.EndDone)
		s.EndsRecorded([]gypsumtide.RunRef{first.Ref})
		c, _ := s.NextRenewal(61, 60)
		So(c.Request.Acknowledged, ShouldEqual, 1)
		s.Submit(62, "entry", second, 62)
		s.StartAnswered(63, s.TakeEffects().Starts[0], 1, nil)
		s.RenewAnswered(121, 61, c, gypsumtide.RenewResponse{StartTime: next.StartTime, Clock: 60, Ended: endsAfter(c.Request.Acknowledged)}, nil)
		return s
	}
	// answerSyncs answers the calls of the open sync, and returns the reports.
	answerSyncs := func(s *State, running []gypsumtide.RunProgress, ends func(acknowledged uint64) []gypsumtide.RunEnd) []string {
		var reports []string
		for range 3 {
			e := s.TakeEffects()
			reports = append(reports, reportTexts(e)...)
			if e.Sync == nil {
				break
			}
			s.SyncAnswered(123, *e.Sync, gypsumtide.RenewResponse{StartTime: next.StartTime, Clock: 62, Running: running, Ended: ends(e.Sync.Request.Acknowledged)}, nil)
		}
		return reports
	}

	Convey("The end of a run that the next incarnation completed is reported", t, func() {
		s := restarted()
		So(answerSyncs(s, nil, endsAfter), ShouldResemble, []string{"1 done "})
		So(s.UnrecordedEnds("entry"), ShouldResemble, []gypsumtide.RunRef{second.Ref})
		n, _ := nextAcknowledged(s, 124)
		So(n, ShouldEqual, 0)
	})

	noEnds := func(uint64) []gypsumtide.RunEnd { return nil }

	Convey("A run that the next incarnation has not executed is lost", t, func() {
		So(answerSyncs(restarted(), nil, noEnds), ShouldResemble, []string{"1 lost worker-restarted"})
	})

	Convey("A run that the next incarnation is executing continues", t, func() {
		s := restarted()
		So(answerSyncs(s, []gypsumtide.RunProgress{{Ref: second.Ref}}, noEnds), ShouldBeEmpty)
		So(s.Running(), ShouldEqual, 1)
		So(s.orphans, ShouldBeEmpty)
	})
}
