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
func TestStaleUpdateOfStartedRun(t *testing.T) {
	Convey("Given a run that the worker has started", t, func() {
		clock := &manualClock{now: 1000}
		a, s := newSyncedAgent(clock)
		o := testOrder(0)
		So(a.handleFrame("entry", s, &wire.Frame{Echo: clock.now, Orders: []wire.Order{o}}), ShouldBeNil)
		a.callStart(context.Background(), <-a.starts)
		So(a.running(), ShouldEqual, 1)

		for name, update := range map[string]bool{"An update of its order": true, "A repetition of its order": false} {
			Convey(name+" with an echo that is too old does not end it", func() {
				clock.now += 1000
				o.Update = update
				So(a.handleFrame("entry", s, &wire.Frame{Echo: 1000, Orders: []wire.Order{o}}), ShouldBeNil)
				So(a.outbox("entry").pending, ShouldBeEmpty)
				So(a.running(), ShouldEqual, 1)
			})
		}
	})
}

// Guards against starting an order whose entry may have given up on it.
func TestStaleOrder(t *testing.T) {
	Convey("Given a synced agent that holds no run", t, func() {
		s := newSyncedState()
		Convey("A new order with an echo that is too old is returned unstarted", func() {
			s.Submit(1000, "entry", testOrder(0), 500)
			e := s.TakeEffects()
			So(e.Starts, ShouldBeEmpty)
			So(reportTexts(e), ShouldResemble, []string{"0 not-started stale"})
		})
		Convey("So is one of a frame without an echo", func() {
			s.Submit(1000, "entry", testOrder(0), 0)
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
	})
}
