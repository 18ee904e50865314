package routing

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
	"gypsumtide/internal/link"
)

// Guards against a restarted entry that refuses requests for a second although the store has
// rejected its reads at once and its peers have a table. The load is that of a return from a
// loss of power of all hosts while the store rejects some of them.
func TestStartWithoutStore(t *testing.T) {
	Convey("Given a starting entry and a peer that receives its table later", t, func() {
		clock := gypsumtide.NewSystemClock()
		source := &testSource{}
		peerHolder, holder := NewTableHolder(clock, discardLogger{}), NewTableHolder(clock, discardLogger{})
		mux := http.NewServeMux()
		NewPeers("peer", "127.0.0.1:1", link.NewAddresses(nil, clock), peerHolder, source, unavailableDirectory{}, clock, discardLogger{}).RegisterHandlers(mux)
		server := httptest.NewServer(mux)
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		peers := NewPeers("starting", "127.0.0.1:2", link.NewAddresses([]string{address}, clock), holder, source, unavailableDirectory{}, clock, discardLogger{})

		Convey("It waits for the store while that has not answered", func() {
			peerHolder.OfferEvacuations(evacuated(3), "store")
			peerHolder.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte("7"), "store")
			peers.exchangeWith(context.Background(), address)
			So(holder.Table(), ShouldBeNil)
			So(peers.untilNextExchange(), ShouldEqual, exchangeInterval)
		})
		Convey("It takes the peer's table as soon as there is one if the store has rejected a read", func() {
			source.set(0, true, false)
			ctx, cancel := context.WithCancel(context.Background())
			g := group.New(ctx)
			g.Add("poller", NewPoller(source, holder, clock, discardLogger{}).Run)
			So(eventually(holder.awaitsPeerTable), ShouldBeTrue)
			So(peers.untilNextExchange(), ShouldEqual, startExchangeInterval)
			g.Add("peers", peers.Run)
			time.Sleep(2 * startExchangeInterval.Duration())
			peerHolder.OfferEvacuations(evacuated(3, "z"), "store")
			peerHolder.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte("7"), "store")
			So(eventually(func() bool { return holder.Version() == 7 }), ShouldBeTrue)
			So(clock.Now()-peers.startedAt, ShouldBeLessThan, peerTableDelay)
			So(holder.Evacuations().Contains("z"), ShouldBeTrue)
			So(peers.untilNextExchange(), ShouldEqual, exchangeInterval)
			cancel()
			_ = g.Wait()
		})
	})
}
