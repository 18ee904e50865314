package runner

import (
	"context"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// manualClock is a clock that the test sets.
type manualClock struct{ now gypsumtide.Millis }

func (c *manualClock) Now() gypsumtide.Millis  { return c.now }
func (c *manualClock) Wall() gypsumtide.Millis { return c.now }

// idleWorker is a worker that accepts every call.
type idleWorker struct{}

func (idleWorker) Start(context.Context, gypsumtide.Incarnation, gypsumtide.RunOrder) (gypsumtide.Millis, error) {
	return 5000, nil
}

func (idleWorker) Stop(context.Context, gypsumtide.Incarnation, gypsumtide.RunRef, uint64) error {
	return nil
}

func (idleWorker) Renew(context.Context, gypsumtide.Incarnation, gypsumtide.RenewRequest) (gypsumtide.RenewResponse, error) {
	return gypsumtide.RenewResponse{StartTime: testIncarnation.StartTime, Clock: 5000}, nil
}

// newSyncedAgent returns an agent that has a session to "entry" and is ready to start runs.
func newSyncedAgent(clock *manualClock) (*Agent, *wire.Session) {
	a := NewAgent(Config{Name: "agent", Incarnation: "1", Lease: 1000, Connect: func(string) gypsumtide.Worker { return idleWorker{} }},
		clock, discardLogger{}, metrics.NewSet())
	a.Heartbeat(testInfo(testIncarnation))
	a.callSync(context.Background(), <-a.syncs)
	s := &wire.Session{}
	a.sessions["entry"] = s
	a.state.SessionOpened("entry")
	So(a.handleFrame("entry", s, &wire.Frame{Echo: clock.now, Resumed: true}), ShouldBeNil)
	return a, s
}

// Guards against reporting a run as not started because a later frame about it is stale.
func TestStaleUpdateOfHeldRun(t *testing.T) {
	phases := map[string]struct {
		run int
		set func(a *Agent)
	}{
		"waiting": {2, func(*Agent) {}},
		"sent":    {0, func(*Agent) {}},
		"running": {0, func(a *Agent) { a.callStart(context.Background(), <-a.starts) }},
	}
	for phase, c := range phases {
		for kind, update := range map[string]bool{"update": true, "repetition": false} {
			Convey("A stale "+kind+" of an order whose run is "+phase+" does not end the run", t, func() {
				clock := &manualClock{now: 1000}
				a, s := newSyncedAgent(clock)
				for i := range 3 {
					o := testOrder(i)
					o.StartWithin = 5000
					So(a.handleFrame("entry", s, &wire.Frame{Echo: clock.now, Orders: []wire.Order{o}}), ShouldBeNil)
				}
				c.set(a)
				held := testOrder(c.run)
				So(a.state.runs[held.Ref].phase.String(), ShouldEqual, phase)
				a.outbox("entry").pending = nil
				clock.now += 1000
				held.Update = update
				So(a.handleFrame("entry", s, &wire.Frame{Echo: 1000, Orders: []wire.Order{held}}), ShouldBeNil)
				So(a.outbox("entry").pending, ShouldBeEmpty)
				So(a.state.runs[held.Ref].phase.String(), ShouldEqual, phase)
			})
		}
	}

	Convey("A stale order that the agent does not hold is returned", t, func() {
		clock := &manualClock{now: 1000}
		a, s := newSyncedAgent(clock)
		clock.now += 1000
		So(a.handleFrame("entry", s, &wire.Frame{Echo: 1000, Orders: []wire.Order{testOrder(0)}}), ShouldBeNil)
		So(a.outbox("entry").pending, ShouldHaveLength, 1)
		So(a.running(), ShouldEqual, 0)
	})
}

// Guards against starting an order whose entry may have given up on it.
func TestStaleOrder(t *testing.T) {
	Convey("Given a synced agent that holds no run", t, func() {
		s := newSyncedState()
		Convey("A new order with an echo that is too old is returned unstarted", func() {
			s.Submit(1000, "entry", testOrder(0), 549)
			e := s.TakeEffects()
			So(e.Starts, ShouldBeEmpty)
			So(reportTexts(e), ShouldResemble, []string{"0 not-started stale"})
		})
		Convey("One with the oldest permitted echo starts", func() {
			s.EchoReceived("entry", 1000)
			s.Submit(1000, "entry", testOrder(0), 550)
			So(s.TakeEffects().Starts, ShouldHaveLength, 1)
		})
		Convey("One of a frame without an echo is returned unstarted", func() {
			s.Submit(100, "entry", testOrder(0), 0)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 not-started stale"})
		})
		Convey("A stale update of a waiting order changes and reports nothing", func() {
			for i := range 3 {
				s.Submit(100, "entry", testOrder(i), 100)
			}
			s.TakeEffects()
			update := testOrder(2)
			update.Update = true
			update.StartWithin = 5000
			s.Submit(250, "entry", update, -500)
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			So(s.Waiting(), ShouldEqual, 1)
			s.Tick(301)
			So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"2 not-started expired"})
		})
		Convey("A recent update of a waiting order lets it wait longer", func() {
			for i := range 3 {
				s.Submit(100, "entry", testOrder(i), 100)
			}
			s.TakeEffects()
			update := testOrder(2)
			update.Update = true
			update.StartWithin = 5000
			s.Submit(250, "entry", update, 250)
			s.Tick(301)
			So(reportTexts(s.TakeEffects()), ShouldBeEmpty)
			So(s.Waiting(), ShouldEqual, 1)
		})
	})
}

// Guards against an order that is neither run nor returned, because another entry has given its
// run of the same task the same number.
func TestNumberOfAnotherOwner(t *testing.T) {
	Convey("An order with the number of another entry's run is returned for a higher number", t, func() {
		s := newSyncedState()
		s.Submit(100, "entry", testOrder(0), 100)
		s.TakeEffects()
		s.Submit(101, "other", testOrder(0), 101)
		So(s.TakeEffects().Reports["other"], ShouldResemble, []wire.RunReport{{Ref: testOrder(0).Ref, End: gypsumtide.EndNotStarted, Reason: ReasonStaleRun}})
		So(s.RunsOf("entry"), ShouldHaveLength, 1)
	})
}

// Guards against an order that frees capacity instead of using it.
func TestOddOrderSize(t *testing.T) {
	Convey("An order with a negative size is returned unstarted", t, func() {
		s := newSyncedState()
		o := testOrder(0)
		o.Size.Processors = -1000
		s.Submit(100, "entry", o, 100)
		So(reportTexts(s.TakeEffects()), ShouldResemble, []string{"0 not-started invalid-size"})
	})
}
