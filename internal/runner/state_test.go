package runner

import (
	"errors"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// silent drops decision lines.
type silent struct{}

func (silent) Decision(string, ...any) {}

var (
	testTiming = Timing{Lease: 1000, OwnerGrace: 400, MaxEchoAge: 450, StopRetry: 80, SyncRetry: 10}
	testLife   = gypsumtide.Incarnation{ID: "w-1", StartTime: 1000}
	errTimeout = errors.New("no answer")
)

func testInfo(life gypsumtide.Incarnation) gypsumtide.WorkerInfo {
	return gypsumtide.WorkerInfo{
		Incarnation: life, Service: "stock", Address: "127.0.0.1:1", Capacity: gypsumtide.Size{Processors: 4000, Memory: 4000}, Seq: 1,
	}
}

func testOrder(index int) wire.Order {
	return wire.Order{
		Ref:  gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "job", Index: index}, Number: 1},
		Size: gypsumtide.Size{Processors: 1500, Memory: 64}, StartWithin: 200, Expected: 50, Incarnation: testLife,
	}
}

// openState returns a State whose worker is known and synced at time 1.
func openState() *State {
	s := NewState(testTiming, 10, silent{})
	s.SessionOpened("entry")
	s.SessionResumed(0, "entry")
	s.Heartbeat(1, testInfo(testLife))
	e := s.TakeEffects()
	s.SyncAnswered(1, *e.Sync, gypsumtide.RenewResponse{StartTime: testLife.StartTime, Clock: 5000}, nil)
	return s
}

func ends(e Effects) []string {
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

func TestStart(t *testing.T) {
	Convey("Nothing is sent before the worker has answered the first sync", t, func() {
		s := NewState(testTiming, 10, silent{})
		s.Heartbeat(1, testInfo(testLife))
		s.Submit(2, "entry", testOrder(0))
		So(s.TakeEffects().Starts, ShouldBeEmpty)
	})

	Convey("Orders beyond the capacity wait and are announced", t, func() {
		s := openState()
		for i := range 3 {
			s.Submit(2, "entry", testOrder(i))
		}
		e := s.TakeEffects()
		So(len(e.Starts), ShouldEqual, 2)
		So(ends(e), ShouldResemble, []string{"2 queued"})

		Convey("and start when a run has ended", func() {
			s.StartAnswered(3, e.Starts[0], 5001, nil)
			c, ok := s.NextRenewal(3, 60)
			So(ok, ShouldBeTrue)
			s.RenewAnswered(60, 3, c, gypsumtide.RenewResponse{StartTime: 1000, Clock: 5060, Ended: []gypsumtide.RunEnd{
				{Number: 1, Ref: testOrder(0).Ref, Kind: gypsumtide.EndDone},
			}}, nil)
			e = s.TakeEffects()
			So(len(e.Starts), ShouldEqual, 1)
			So(ends(e), ShouldResemble, []string{"0 done "})
		})

		Convey("and come back when their time is over", func() {
			s.Tick(300)
			So(ends(s.TakeEffects()), ShouldResemble, []string{"2 not-started expired"})
		})
	})

	// Guards against a second run of a task: an update that arrived after its order
	// had come back unstarted created a run (ristikko-hints trouble-2).
	Convey("An update never creates a run", t, func() {
		s := openState()
		o := testOrder(0)
		o.Update = true
		s.Submit(2, "entry", o)
		So(s.TakeEffects().Starts, ShouldBeEmpty)
	})

	// Guards against runs that are stopped because a recall crossed their start.
	Convey("A recall leaves a run alone that has been sent", t, func() {
		s := openState()
		s.Submit(2, "entry", testOrder(0))
		s.TakeEffects()
		s.Recall(testOrder(0).Ref)
		e := s.TakeEffects()
		So(e.Stops, ShouldBeEmpty)
		So(ends(e), ShouldBeEmpty)
	})
}

// Guards against bookings that stay when an order gets no answer.
func TestOrderWithoutAnswer(t *testing.T) {
	Convey("Given an order without an answer", t, func() {
		s := openState()
		s.Submit(2, "entry", testOrder(0))
		start := s.TakeEffects().Starts[0]
		s.StartAnswered(42, start, 0, errTimeout)
		e := s.TakeEffects()

		Convey("a sync with a higher token follows, which does not renew the lease", func() {
			So(e.Sync.Request.Fence, ShouldBeGreaterThan, start.Order.Fence)
			So(e.Sync.Request.LeaseUntil, ShouldEqual, 0)
		})
		Convey("a run that is listed goes on", func() {
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
		Convey("nothing is sent while the sync is open", func() {
			s.Submit(44, "entry", testOrder(1))
			So(s.TakeEffects().Starts, ShouldBeEmpty)
		})
		Convey("the run is lost once the lease must have expired", func() {
			for now := gypsumtide.Millis(50); now < 1300; now += 20 {
				s.Tick(now)
				if e := s.TakeEffects(); e.Sync != nil {
					s.SyncAnswered(now, *e.Sync, gypsumtide.RenewResponse{}, errTimeout)
				} else if got := ends(e); len(got) > 0 {
					So(got, ShouldResemble, []string{"0 lost lease-expired"})
					So(now, ShouldBeGreaterThan, 2+testTiming.Lease*102/100)
				}
			}
			So(s.Running(), ShouldEqual, 0)
		})
	})
}

func TestNewLife(t *testing.T) {
	// Guards against starts over the capacity: an order that was on its way when the
	// worker died may reach the next life before its first heartbeat.
	Convey("Runs of nobody are stopped before the first start in a new life", t, func() {
		s := openState()
		next := gypsumtide.Incarnation{ID: "w-1", StartTime: 2000}
		s.Heartbeat(10, testInfo(next))
		sync := *s.TakeEffects().Sync
		o := testOrder(0)
		o.Incarnation = next
		s.Submit(11, "entry", o)
		stray := gypsumtide.RunRef{Task: gypsumtide.TaskName{Job: "old"}, Number: 1}
		s.SyncAnswered(12, sync, gypsumtide.RenewResponse{StartTime: 2000, Running: []gypsumtide.RunProgress{{Ref: stray}}}, nil)
		e := s.TakeEffects()
		So(e.Starts, ShouldBeEmpty)
		So(e.Stops[0].Ref, ShouldResemble, stray)
		s.Tick(40)
		sync = *s.TakeEffects().Sync
		s.SyncAnswered(41, sync, gypsumtide.RenewResponse{StartTime: 2000}, nil)
		So(len(s.TakeEffects().Starts), ShouldEqual, 1)
	})

	Convey("Runs of the life before are lost, and its bookings end", t, func() {
		s := openState()
		s.Submit(2, "entry", testOrder(0))
		s.StartAnswered(3, s.TakeEffects().Starts[0], 5001, nil)
		s.TakeEffects()
		c, _ := s.NextRenewal(4, 60)
		s.RenewAnswered(10, 4, c, gypsumtide.RenewResponse{StartTime: 2000}, nil)
		sync := *s.TakeEffects().Sync
		s.SyncAnswered(11, sync, gypsumtide.RenewResponse{StartTime: 2000}, nil)
		So(ends(s.TakeEffects()), ShouldResemble, []string{"0 lost worker-restarted"})
		So(s.Running(), ShouldEqual, 0)
	})

	Convey("A delayed heartbeat of an earlier life changes nothing", t, func() {
		s := openState()
		s.Heartbeat(10, testInfo(gypsumtide.Incarnation{ID: "w-1", StartTime: 500}))
		So(s.Incarnation(), ShouldResemble, testLife)
	})

	Convey("A draining worker returns what waits and takes no orders", t, func() {
		s := openState()
		for i := range 3 {
			s.Submit(2, "entry", testOrder(i))
		}
		s.TakeEffects()
		info := testInfo(testLife)
		info.Seq, info.Draining = 2, true
		s.Heartbeat(3, info)
		s.Submit(4, "entry", testOrder(7))
		So(ends(s.TakeEffects()), ShouldResemble, []string{"2 not-started worker-drains", "7 not-started worker-drains"})
	})
}

// Guards against work that goes on for an entry that is gone, which would overlap
// with the job's next submission.
func TestLostOwner(t *testing.T) {
	Convey("Runs of an entry without a session are stopped after the grace", t, func() {
		s := openState()
		s.Submit(2, "entry", testOrder(0))
		s.StartAnswered(3, s.TakeEffects().Starts[0], 5001, nil)
		s.TakeEffects()
		s.SessionClosed(100, "entry")
		s.Tick(499)
		So(s.TakeEffects().Stops, ShouldBeEmpty)
		s.Tick(501)
		So(len(s.TakeEffects().Stops), ShouldEqual, 1)
	})

	Convey("and go on if it reconnects", t, func() {
		s := openState()
		s.Submit(2, "entry", testOrder(0))
		s.TakeEffects()
		s.SessionClosed(100, "entry")
		s.SessionOpened("entry")
		s.Tick(600)
		So(s.TakeEffects().Stops, ShouldBeEmpty)
		So(s.RunsOf("entry"), ShouldResemble, []gypsumtide.RunRef{testOrder(0).Ref})
	})
}

// Guards against an entry that takes a forgotten run for one that never arrived.
func TestForgottenOwner(t *testing.T) {
	Convey("An owner is known until it has been away for long", t, func() {
		s := openState()
		s.SessionClosed(100, "entry")
		So(s.SessionOpened("entry"), ShouldBeTrue)
		s.SessionClosed(200, "entry")
		s.Tick(700)
		So(s.SessionOpened("entry"), ShouldBeFalse)
	})

	// Guards against a refusal of a job that has run: the session on which the agent
	// says that it has forgotten the entry breaks before the entry has read it.
	Convey("An owner that has not answered a session may not know what was forgotten", t, func() {
		s := NewState(testTiming, 10, silent{})
		So(s.SessionOpened("entry"), ShouldBeFalse)
		s.SessionClosed(10, "entry")
		So(s.SessionOpened("entry"), ShouldBeFalse)
		s.SessionResumed(20, "entry")
		s.SessionClosed(30, "entry")
		So(s.SessionOpened("entry"), ShouldBeTrue)
	})
}

// Guards against reports that are lost with the session that had queued them
// (REFUSED and TWICE on mahoe-pegs-grown).
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
