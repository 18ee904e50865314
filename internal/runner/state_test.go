package runner

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// discardLogger is a gypsumtide.DecisionLogger that discards all decisions.
type discardLogger struct{}

func (discardLogger) Decision(string, ...any) {}

var (
	testTiming      = Timing{Lease: 1000, OwnerGrace: 400, MaxOwnerSilence: 900, MaxOwnerLag: 900, MaxEchoAge: 450, StopRetry: 80, SyncRetry: 10}
	testIncarnation = gypsumtide.Incarnation{ID: "w-1", StartTime: 1000}
	errTimeout      = errors.New("no answer")
)

func testInfo(incarnation gypsumtide.Incarnation) gypsumtide.WorkerInfo {
	return gypsumtide.WorkerInfo{
		Incarnation: incarnation, Service: "stock", Address: "127.0.0.1:1", Capacity: gypsumtide.Size{Processors: 4000, Memory: 4000}, Seq: 1,
	}
}

func testOrder(index int) wire.Order {
	return wire.Order{
		Ref:  gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "job", Index: index}, Number: 1},
		Size: gypsumtide.Size{Processors: 1500, Memory: 64}, StartWithin: 200, Expected: 50, Incarnation: testIncarnation,
	}
}

// newSyncedState returns a State whose first sync with its worker completed at time 1.
func newSyncedState() *State {
	s := NewState(testTiming, 10, discardLogger{})
	s.SessionOpened("entry")
	s.SessionResumed(0, "entry")
	s.Heartbeat(1, testInfo(testIncarnation))
	e := s.TakeEffects()
	s.SyncAnswered(1, *e.Sync, gypsumtide.RenewResponse{StartTime: testIncarnation.StartTime, Clock: 5000}, nil)
	return s
}

func reportTexts(e Effects) []string {
	var out []string
	for _, r := range e.Reports["entry"] {
		switch {
		case r.Started:
			out = append(out, fmt.Sprint(r.Ref.Task.Index, " started"))
		case r.Queued:
			out = append(out, fmt.Sprint(r.Ref.Task.Index, " queued"))
		case r.End != "":
			out = append(out, fmt.Sprint(r.Ref.Task.Index, " ", r.End, " ", r.Reason))
		}
	}
	return out
}

// Guards against starts without free capacity or before the runs on the worker are known,
// and against orders that are neither started nor returned.
func TestStart(t *testing.T) {
	Convey("No run is started before the worker has answered the first sync", t, func() {
		s := NewState(testTiming, 10, discardLogger{})
		s.Heartbeat(1, testInfo(testIncarnation))
		s.Submit(2, "entry", testOrder(0), 2)
		So(s.TakeEffects().Starts, ShouldBeEmpty)
	})

	Convey("Orders beyond the capacity wait and are reported as queued", t, func() {
		s := newSyncedState()
		for i := range 3 {
			s.Submit(2, "entry", testOrder(i), 2)
		}
		e := s.TakeEffects()
		So(len(e.Starts), ShouldEqual, 2)
		So(reportTexts(e), ShouldResemble, []string{"2 queued"})

		Convey("and start when a run has ended", func() {
			s.StartAnswered(3, e.Starts[0], 5001, nil)
			renewal, ok := s.NextRenewal(3, 60)
			So(ok, ShouldBeTrue)
			s.RenewAnswered(60, 3, renewal, gypsumtide.RenewResponse{StartTime: 1000, Clock: 5060, Ended: []gypsumtide.RunEnd{
				{Number: 1, Ref: testOrder(0).Ref, Kind: gypsumtide.EndDone},
			}}, nil)
			e = s.TakeEffects()
			So(len(e.Starts), ShouldEqual, 1)
			So(reportTexts(e), ShouldResemble, []string{"0 done "})
		})

		Convey("and are returned when they expire", func() {
			s.Tick(300)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"2 not-started expired"})
		})
	})

	// Guards against a second run of a task: an update may arrive after its order has been
	// returned unstarted (benchmark scenario ristikko-hints, trouble-2).
	Convey("An update never creates a run", t, func() {
		s := newSyncedState()
		o := testOrder(0)
		o.Update = true
		s.Submit(2, "entry", o, 2)
		So(s.TakeEffects().Starts, ShouldBeEmpty)
	})

	// Guards against stopping a run because a recall arrives after its order was sent to
	// the worker.
	Convey("A recall does not affect a run that has been sent", t, func() {
		s := newSyncedState()
		s.Submit(2, "entry", testOrder(0), 2)
		s.TakeEffects()
		s.Recall(testOrder(0).Ref)
		e := s.TakeEffects()
		So(e.Stops, ShouldBeEmpty)
		So(reportTexts(e), ShouldBeEmpty)
	})
}

// Guards against reservations that are never released because a start call got no answer.
func TestOrderWithoutAnswer(t *testing.T) {
	Convey("Given a start call without an answer", t, func() {
		s := newSyncedState()
		s.Submit(2, "entry", testOrder(0), 2)
		start := s.TakeEffects().Starts[0]
		s.StartAnswered(42, start, 0, errTimeout)
		e := s.TakeEffects()

		Convey("a sync with a higher token follows, which does not renew the lease", func() {
			So(e.Sync.Request.Fence, ShouldBeGreaterThan, start.Order.Fence)
			So(e.Sync.Request.LeaseUntil, ShouldEqual, 0)
		})
		Convey("a run that is listed continues", func() {
			s.SyncAnswered(43, *e.Sync, gypsumtide.RenewResponse{StartTime: 1000, Running: []gypsumtide.RunProgress{{Ref: testOrder(0).Ref}}}, nil)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
			So(s.Running(), ShouldEqual, 1)
		})
		Convey("a run that is not listed is sent again with the higher token", func() {
			s.SyncAnswered(43, *e.Sync, gypsumtide.RenewResponse{StartTime: 1000}, nil)
			again := s.TakeEffects().Starts
			So(len(again), ShouldEqual, 1)
			So(again[0].Order.Fence, ShouldEqual, e.Sync.Request.Fence)
		})
		Convey("no run is started while the sync is open", func() {
			s.Submit(44, "entry", testOrder(1), 44)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
		})
		Convey("the run is lost once the lease must have expired", func() {
			for now := gypsumtide.Millis(50); now < 1300; now += 20 {
				s.Tick(now)
				if e := s.TakeEffects(); e.Sync != nil {
					s.SyncAnswered(now, *e.Sync, gypsumtide.RenewResponse{}, errTimeout)
				} else if got := reportTexts(e); len(got) > 0 {
					So(got, ShouldResemble, []string{"0 lost lease-expired"})
					So(now, ShouldBeGreaterThan, 2+testTiming.Lease*102/100)
				}
			}
			So(s.Running(), ShouldEqual, 0)
		})
	})
}

// Guards against an agent that confuses two incarnations of its worker. It would start
// runs beyond the capacity, or keep runs and reservations of a worker process that has
// ended.
func TestNewIncarnation(t *testing.T) {
	// Guards against starts beyond the capacity: an order in transit when the worker
	// crashed may reach its next incarnation before that one's first heartbeat.
	Convey("Orphaned runs are stopped before the first start on a new incarnation", t, func() {
		s := newSyncedState()
		next := gypsumtide.Incarnation{ID: "w-1", StartTime: 2000}
		s.Heartbeat(10, testInfo(next))
		sync := *s.TakeEffects().Sync
		o := testOrder(0)
		o.Incarnation = next
		s.Submit(11, "entry", o, 11)
		orphan := gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "old"}, Number: 1}
		s.SyncAnswered(12, sync, gypsumtide.RenewResponse{StartTime: 2000, Running: []gypsumtide.RunProgress{{Ref: orphan}}}, nil)
		e := s.TakeEffects()
		So(e.Starts, ShouldBeEmpty)
		So(e.Stops[0].Ref, ShouldResemble, orphan)
		s.Tick(40)
		sync = *s.TakeEffects().Sync
		s.SyncAnswered(41, sync, gypsumtide.RenewResponse{StartTime: 2000}, nil)
		So(len(s.TakeEffects().Starts), ShouldEqual, 1)
	})

	Convey("Runs of the previous incarnation are lost, and their reservations are released", t, func() {
		s := newSyncedState()
		s.Submit(2, "entry", testOrder(0), 2)
		s.StartAnswered(3, s.TakeEffects().Starts[0], 5001, nil)
		s.TakeEffects()
		renewal, _ := s.NextRenewal(4, 60)
		s.RenewAnswered(10, 4, renewal, gypsumtide.RenewResponse{StartTime: 2000}, nil)
		sync := *s.TakeEffects().Sync
		s.SyncAnswered(11, sync, gypsumtide.RenewResponse{StartTime: 2000}, nil)
		So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 lost worker-restarted"})
		So(s.Running(), ShouldEqual, 0)
	})

	Convey("A delayed heartbeat of an earlier incarnation does not replace the current one", t, func() {
		s := newSyncedState()
		s.Heartbeat(10, testInfo(gypsumtide.Incarnation{ID: "w-1", StartTime: 500}))
		So(s.Incarnation(), ShouldResemble, testIncarnation)
	})

	Convey("If the worker drains, waiting orders are returned and new ones rejected", t, func() {
		s := newSyncedState()
		for i := range 3 {
			s.Submit(2, "entry", testOrder(i), 2)
		}
		s.TakeEffects()
		info := testInfo(testIncarnation)
		info.Seq, info.Draining = 2, true
		s.Heartbeat(3, info)
		s.Submit(4, "entry", testOrder(7), 4)
		So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"2 not-started worker-drains", "7 not-started worker-drains"})
	})
}

// Guards against runs that continue for an entry that no longer exists. They would
// overlap with the runs of the resubmitted job.
func TestDisconnectedOwner(t *testing.T) {
	Convey("Runs of an entry without a session are stopped after the grace period", t, func() {
		s := newSyncedState()
		s.Submit(2, "entry", testOrder(0), 2)
		s.StartAnswered(3, s.TakeEffects().Starts[0], 5001, nil)
		s.TakeEffects()
		s.SessionClosed(100, "entry")
		s.Tick(499)
		So(s.TakeEffects().Stops, ShouldBeEmpty)
		s.Tick(501)
		So(len(s.TakeEffects().Stops), ShouldEqual, 1)
	})

	Convey("Runs of an entry that reconnects continue", t, func() {
		s := newSyncedState()
		s.Submit(2, "entry", testOrder(0), 2)
		s.TakeEffects()
		s.SessionClosed(100, "entry")
		s.SessionOpened("entry")
		s.Tick(499)
		s.SessionResumed(499, "entry")
		s.Tick(600)
		So(s.TakeEffects().Stops, ShouldBeEmpty)
		So(s.RunsOf("entry"), ShouldResemble, []gypsumtide.RunRef{testOrder(0).Ref})
	})

	// Guards against a grace period that begins again with each session of which the entry
	// has not noticed anything.
	Convey("Sessions that the entry does not resume do not extend the grace period", t, func() {
		s := newSyncedState()
		s.EchoReceived("entry", 90)
		s.Submit(90, "entry", testOrder(0), 90)
		s.StartAnswered(91, s.TakeEffects().Starts[0], 5091, nil)
		s.SessionClosed(100, "entry")
		s.SessionOpened("entry")
		s.EchoReceived("entry", 440)
		s.SessionClosed(450, "entry")
		s.SessionOpened("entry")
		s.Tick(501)
		So(s.TakeEffects().Stops, ShouldHaveLength, 1)
		So(s.HasOwner("entry"), ShouldBeTrue)
	})
}

// Guards against an entry that concludes that an order never arrived although the
// agent ran it and then removed the entry's state.
func TestOwnerRemoval(t *testing.T) {
	Convey("An owner is kept until it has been disconnected for the grace period", t, func() {
		s := newSyncedState()
		s.SessionClosed(100, "entry")
		So(s.SessionOpened("entry"), ShouldBeTrue)
		s.SessionClosed(200, "entry")
		s.Tick(700)
		So(s.SessionOpened("entry"), ShouldBeFalse)
	})

	// Guards against refusing a job that has run: the agent's message that it has removed
	// the entry's state may be lost with its session before the entry reads it.
	Convey("Reports count as incomplete until the owner has resumed a session", t, func() {
		s := NewState(testTiming, 10, discardLogger{})
		So(s.SessionOpened("entry"), ShouldBeFalse)
		s.SessionClosed(10, "entry")
		So(s.SessionOpened("entry"), ShouldBeFalse)
		s.SessionResumed(20, "entry")
		s.SessionClosed(30, "entry")
		So(s.SessionOpened("entry"), ShouldBeTrue)
	})
}

// Guards against reports that are lost with the session on which they were queued. The
// entry then refused jobs as not run although they had run, and tasks ran twice
// (benchmark scenario mahoe-pegs-grown).
func TestOutbox(t *testing.T) {
	Convey("Reports stay until they are acknowledged", t, func() {
		var o outbox
		o.add([]wire.RunReport{{Started: true}, {End: gypsumtide.EndDone}})
		o.add([]wire.RunReport{{End: gypsumtide.EndFailed}})
		o.acknowledge(2)
		So(len(o.pending), ShouldEqual, 1)
		So(o.pending[0].Number, ShouldEqual, 3)
		o.acknowledge(3)
		So(o.pending, ShouldBeEmpty)
	})
}
