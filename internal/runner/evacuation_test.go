package runner

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

func evacuated(version uint64, zones ...string) gypsumtide.Evacuations {
	return gypsumtide.Evacuations{Version: version, Zones: zones}
}

// startCounter is a worker that counts the start calls.
type startCounter struct {
	idleWorker
	starts int
}

func (w *startCounter) Start(context.Context, gypsumtide.Incarnation, gypsumtide.RunOrder) (gypsumtide.Millis, error) {
	w.starts++
	return 5000, nil
}

// newZonedState returns a synced State whose worker is in zone "a", with two sent runs and
// a waiting order.
func newZonedState() (*State, []StartCall) {
	s := newSyncedState()
	info := testInfo(testIncarnation)
	info.Zone, info.Seq = "a", 2
	s.Heartbeat(2, info)
	for i := range 3 {
		s.Submit(3, "entry", testOrder(i), 3)
	}
	e := s.TakeEffects()
	So(e.Starts, ShouldHaveLength, 2)
	So(reportTexts(e), ShouldResemble, []string{"2 queued"})
	return s, e.Starts
}

// Guards against starts in an evacuated zone, against orders that wait there for nothing, and
// against runs that are stopped although they may end.
func TestEvacuatedZone(t *testing.T) {
	Convey("Given a worker with runs and a waiting order", t, func() {
		s, starts := newZonedState()

		Convey("Its zone's evacuation returns the waiting order, rejects new ones, and lets the runs end", func() {
			s.StartAnswered(4, starts[0], 5001, nil)
			s.StartAnswered(4, starts[1], 5001, nil)
			s.SetEvacuations(evacuated(7, "a"))
			e := s.TakeEffects()
			So(reportTexts(e), ShouldResemble, []string{"2 not-started zone-evacuated"})
			So(e.Stops, ShouldBeEmpty)
			s.Submit(6, "entry", testOrder(3), 6)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"3 not-started zone-evacuated"})
			r := s.WorkerReport(6)
			So(r.Accepting, ShouldBeFalse)
			So(r.ZoneEvacuated, ShouldBeTrue)
			So(r.EvacuationsVersion, ShouldEqual, 7)
			renewal, ok := s.NextRenewal(7, 60)
			So(ok, ShouldBeTrue)
			s.RenewAnswered(60, 7, renewal, gypsumtide.RenewResponse{StartTime: 1000, Clock: 5060, Ended: []gypsumtide.RunEnd{
				{Number: 1, Ref: testOrder(0).Ref, Kind: gypsumtide.EndDone},
			}}, nil)
			s.Tick(80)
			e = s.TakeEffects()
			So(e.Starts, ShouldBeEmpty)
			So(e.Stops, ShouldBeEmpty)
			So(reportTexts(e), ShouldResemble, []string{"0 done "})

			Convey("and its end lets orders start again", func() {
				s.SetEvacuations(evacuated(8))
				So(s.WorkerReport(90).Accepting, ShouldBeTrue)
				So(s.WorkerReport(90).EvacuationsVersion, ShouldEqual, 0)
				s.EchoReceived("entry", 90)
				s.Submit(90, "entry", testOrder(4), 90)
				So(s.TakeEffects().Starts, ShouldHaveLength, 1)
			})
		})

		Convey("The evacuation of another zone changes nothing", func() {
			s.SetEvacuations(evacuated(7, "b"))
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			So(s.WorkerReport(5).Accepting, ShouldBeTrue)
			So(s.WorkerReport(5).EvacuationsVersion, ShouldEqual, 7)
		})

		Convey("Each of two evacuated zones follows its own record", func() {
			s.SetEvacuations(evacuated(7, "a", "b"))
			s.SetEvacuations(evacuated(8, "a"))
			So(s.StartsBlocked(), ShouldBeTrue)
			s.SetEvacuations(evacuated(9, "b"))
			So(s.StartsBlocked(), ShouldBeFalse)
		})

		// A sync that finds that a start call has not arrived queues the order again.
		Convey("An order whose start call was lost is not sent again", func() {
			s.StartAnswered(4, starts[0], 0, errTimeout)
			sync := s.TakeEffects().Sync
			s.SetEvacuations(evacuated(7, "a"))
			s.TakeEffects()
			s.EchoReceived("entry", 6)
			s.SyncAnswered(6, *sync, gypsumtide.RenewResponse{StartTime: 1000, Clock: 5006}, nil)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
			s.Tick(20)
			So(reportTexts(s.TakeEffects()), ShouldHaveLength, 2)
		})

		// An order whose start call the worker has rejected waits again.
		Convey("An order that must be sent again is returned", func() {
			s.SetEvacuations(evacuated(7, "a"))
			s.TakeEffects()
			s.StartAnswered(6, starts[0], 5001, gypsumtide.ErrLeaseExpired)
			s.Tick(20)
			e := s.TakeEffects()
			So(e.Starts, ShouldBeEmpty)
			So(reportTexts(e), ShouldResemble, []string{"0 not-started zone-evacuated"})
		})
	})
}

// Guards against an evacuation that ends, or begins, because an entry sends an outdated set, and
// against a gate that opens when sessions are lost.
func TestNewestSetCounts(t *testing.T) {
	Convey("Given an agent in an evacuated zone", t, func() {
		s, _ := newZonedState()
		s.SetEvacuations(evacuated(7, "a"))
		So(s.StartsBlocked(), ShouldBeTrue)

		Convey("A set with a lower or the same version is ignored", func() {
			s.SetEvacuations(evacuated(6))
			s.SetEvacuations(evacuated(7))
			So(s.StartsBlocked(), ShouldBeTrue)
		})
		Convey("Starts stay blocked when all sessions are lost and others are opened", func() {
			s.SessionClosed(10, "entry")
			s.Tick(1000)
			So(s.HasOwner("entry"), ShouldBeTrue) // Its runs have not ended.
			s.SessionOpened("other")
			s.SessionResumed(1010, "other")
			s.EchoReceived("other", 1010)
			s.Submit(1010, "other", testOrder(9), 1010)
			So(s.TakeEffects().Starts, ShouldBeEmpty)
			s.SetEvacuations(evacuated(8))
			s.SetEvacuations(evacuated(7, "a"))
			So(s.StartsBlocked(), ShouldBeFalse)
		})
	})
}

// newAgentInZone returns an Agent whose host is in a zone.
func newAgentInZone(zone string, store gypsumtide.WorkerStore) *Agent {
	return NewAgent(Config{Name: "agent", Incarnation: "1", Zone: zone, Lease: 1000, WorkerStore: store, Connect: func(string) gypsumtide.Worker { return idleWorker{} }},
		&manualClock{now: 1000}, discardLogger{}, metrics.NewSet())
}

// Guards against a worker that starts nothing, or starts runs, because of the zone of the one
// before it.
func TestZoneOfNextWorker(t *testing.T) {
	Convey("The zone of the worker that announces itself decides", t, func() {
		s, _ := newZonedState()
		s.SetEvacuations(evacuated(7, "a"))
		next := testInfo(gypsumtide.Incarnation{ID: "w-2", StartTime: 2000})
		next.Zone = "b"
		s.Heartbeat(10, next)
		So(s.StartsBlocked(), ShouldBeFalse)
		next.Incarnation.StartTime, next.Zone = 3000, "a"
		s.Heartbeat(20, next)
		So(s.StartsBlocked(), ShouldBeTrue)
	})
	Convey("A start call for the former incarnation is dropped too", t, func() {
		s, starts := newZonedState()
		s.SetEvacuations(evacuated(7, "a"))
		s.setIncarnation(gypsumtide.Incarnation{ID: testIncarnation.ID, StartTime: 2000})
		So(s.ReturnBlockedStart(starts[0]), ShouldBeTrue)
	})
	Convey("A worker that reports no zone is in the zone of its agent", t, func() {
		a := newAgentInZone("a", nil)
		a.setEvacuations(evacuated(7, "a"))
		a.Heartbeat(testInfo(testIncarnation))
		So(a.state.StartsBlocked(), ShouldBeTrue)
		So(a.state.WorkerReport(1000).Zone, ShouldEqual, "a")
		So((<-a.workerSaves).Zone, ShouldEqual, "a")

		Convey("but not if it reports another one", func() {
			info := testInfo(testIncarnation)
			info.Zone, info.Seq = "b", 2
			a.Heartbeat(info)
			So(a.state.StartsBlocked(), ShouldBeFalse)
		})
	})
	Convey("So is one that was saved without a zone", t, func() {
		info := testInfo(testIncarnation)
		a := newAgentInZone("a", &memoryStore{info: &info})
		a.setEvacuations(evacuated(7, "a"))
		a.restoreWorker(context.Background())
		So(a.state.StartsBlocked(), ShouldBeTrue)
	})
	Convey("A restarted agent that has heard the set first starts nothing on the worker that it restores", t, func() {
		s := NewState(testTiming, 10, discardLogger{})
		s.SetEvacuations(evacuated(7, "a"))
		info := testInfo(testIncarnation)
		info.Zone = "a"
		s.RestoreWorker(1, info)
		So(s.WorkerReport(1).Accepting, ShouldBeFalse)
		s.Submit(2, "entry", testOrder(0), 2)
		So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 not-started zone-evacuated"})
	})
}

// Guards against starts after the set has arrived: by an order of the same frame, by an order
// that waited for the echo in that frame, and by a start call that waited for its turn.
func TestSetBeforeStarts(t *testing.T) {
	Convey("Given an agent of a worker in zone a", t, func() {
		clock := &manualClock{now: 1000}
		a, session := newSyncedAgent(clock)
		w := &startCounter{}
		a.worker = w
		info := testInfo(testIncarnation)
		info.Zone, info.Seq = "a", 2
		a.Heartbeat(info)
		set := evacuated(7, "a")

		Convey("An order in the frame that brings the set is returned", func() {
			frame := &wire.Frame{Echo: clock.now, Evacuations: &set, Orders: []wire.Order{testOrder(0)}, Resumed: true}
			So(a.handleFrame("entry", session, frame), ShouldBeNil)
			So(a.starts, ShouldBeEmpty)
			So(a.outbox("entry").pending[0].Reason, ShouldEqual, ReasonZoneEvacuated)
		})
		Convey("The set of a session that was replaced counts", func() {
			So(a.handleFrame("entry", &wire.Session{}, &wire.Frame{Evacuations: &set}), ShouldBeNil)
			So(a.state.StartsBlocked(), ShouldBeTrue)
		})
		Convey("Orders that wait are returned before the echo of the frame counts", func() {
			So(a.handleFrame("entry", session, &wire.Frame{Echo: clock.now, Orders: []wire.Order{testOrder(0), testOrder(1), testOrder(2)}}), ShouldBeNil)
			So(a.handleFrame("entry", session, &wire.Frame{Echo: clock.now, Evacuations: &set}), ShouldBeNil)
			So(a.state.Waiting(), ShouldEqual, 0)
		})
		Convey("A start call that has not been sent is dropped and its order returned", func() {
			So(a.handleFrame("entry", session, &wire.Frame{Echo: clock.now, Orders: []wire.Order{testOrder(0)}}), ShouldBeNil)
			call := <-a.starts
			So(a.handleFrame("entry", session, &wire.Frame{Echo: clock.now, Evacuations: &set}), ShouldBeNil)
			a.callStart(context.Background(), call)
			So(w.starts, ShouldEqual, 0)
			So(a.running(), ShouldEqual, 0)
			So(a.outbox("entry").pending[0].Reason, ShouldEqual, ReasonZoneEvacuated)
		})
		Convey("Entries are told the version of the set that evacuates another zone", func() {
			other := evacuated(7, "b")
			So(a.handleFrame("entry", session, &wire.Frame{Echo: clock.now, Resumed: true}), ShouldBeNil)
			a.sendFrame(clock.now, "entry", session, func(*wire.Frame) {})
			So(a.handleFrame("entry", session, &wire.Frame{Echo: clock.now, Evacuations: &other}), ShouldBeNil)
			a.broadcastLoad(clock.now + 10)
			So(a.outbox("entry").worker.EvacuationsVersion, ShouldEqual, 7)
		})
		Convey("Entries are told at once that the worker accepts nothing", func() {
			So(a.handleFrame("entry", session, &wire.Frame{Echo: clock.now, Evacuations: &set}), ShouldBeNil)
			So(a.outbox("entry").worker.Accepting, ShouldBeFalse)
			So(a.outbox("entry").worker.ZoneEvacuated, ShouldBeTrue)
		})
	})
}
