package link

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/wire"
)

// Guards against sessions whose heartbeats cost more than the work of a fleet, and against
// orders that an idle session makes too old to be accepted.
func TestIdleSession(t *testing.T) {
	Convey("Given a session between an agent and an entry", t, func() {
		clock := gypsumtide.NewSystemClock()
		accepted, release := make(chan *wire.Session, 1), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s, err := Accept(w, r, clock)
			if err == nil {
				accepted <- s
				<-release
			}
		}))
		agent, err := Dial(context.Background(), strings.TrimPrefix(server.URL, "http://"), clock)
		So(err, ShouldBeNil)
		entry := <-accepted
		ctx, cancel := context.WithCancel(context.Background())
		ignore := func(*wire.Frame) error { return nil }
		agentDone := group.Go(ctx, func(ctx context.Context) error { return agent.Run(ctx, ignore) })
		entryDone := group.Go(ctx, func(ctx context.Context) error { return entry.Run(ctx, ignore) })
		setIdle := func(idle bool) { agent.SetIdle(idle); entry.SetIdle(idle) }
		framesWithin := func(d time.Duration) uint64 {
			before := Counters().FramesSent()
			time.Sleep(d)
			return Counters().FramesSent() - before
		}
		setIdle(true)
		time.Sleep(2 * heartbeatInterval.Duration())

		Convey("It stays open with at most six frames a second while it is idle", func() {
			So(framesWithin(3*time.Second), ShouldBeLessThanOrEqualTo, 3*6)
			So(agent.Update(func(*wire.Frame) {}), ShouldBeTrue)
			So(entry.Update(func(*wire.Frame) {}), ShouldBeTrue)
		})
		Convey("The entry always knows a clock reading of the agent that is recent enough for an order", func() {
			for range 40 {
				time.Sleep(25 * time.Millisecond)
				So(clock.Now()-entry.PeerClock(), ShouldBeLessThan, MaxEchoAge)
			}
		})
		Convey("It has heartbeats again as soon as work depends on it", func() {
			setIdle(false)
			So(framesWithin(time.Second), ShouldBeGreaterThan, 8)
		})
		cancel()
		<-agentDone
		<-entryDone
		close(release)
		server.Close()
	})
}
