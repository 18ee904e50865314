package routing

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
)

func evacuated(version uint64, zones ...string) gypsumtide.Evacuations {
	return gypsumtide.Evacuations{Version: version, Zones: zones}
}

// lineLogger records the decisions as text.
type lineLogger struct {
	mu    sync.Mutex
	lines []string
}

func (l *lineLogger) Decision(kind string, fields ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, kind+" "+fmt.Sprint(fields...))
}

func (l *lineLogger) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		if strings.HasPrefix(line, text) {
			n++
		}
	}
	return n
}

// Guards against an older set that replaces a newer one, as from a lagging peer, and against
// evacuations that are neither logged nor counted.
func TestHolderEvacuations(t *testing.T) {
	Convey("A holder accepts newer sets only, and logs each zone that changes once", t, func() {
		log, set := &lineLogger{}, metrics.NewSet()
		h := NewTableHolder(gypsumtide.NewSystemClock(), log)
		h.Register(set)
		So(h.OfferEvacuations(evacuated(0, "x"), "peer"), ShouldBeFalse)
		So(h.OfferEvacuations(evacuated(5, "b", "a", "b"), "store"), ShouldBeTrue)
		So(h.Evacuations(), ShouldResemble, evacuated(5, "a", "b"))
		So(h.OfferEvacuations(evacuated(4), "peer"), ShouldBeFalse)
		So(h.OfferEvacuations(evacuated(5), "peer"), ShouldBeFalse)
		So(h.OfferEvacuations(evacuated(6, "b"), "peer"), ShouldBeTrue)
		So(h.Evacuations(), ShouldResemble, evacuated(6, "b"))
		So(log.count("evacuation "), ShouldEqual, 2)
		So(log.count("evacuation-ended "), ShouldEqual, 1)
		var out strings.Builder
		set.WritePrometheus(&out)
		So(out.String(), ShouldContainSubstring, "gypsumtide_entry_evacuations_version 6")
		So(out.String(), ShouldContainSubstring, "gypsumtide_entry_evacuated_zones 1")
	})

	// Guards against a dispatcher that keeps an older set, or starts a task without a set,
	// because sets of the store and of peers arrive at the same time.
	Convey("Concurrent offers are passed on in the order of versions, before an offer returns", t, func() {
		h := NewTableHolder(gypsumtide.NewSystemClock(), discardLogger{})
		var last uint64
		inOrder := true
		h.OnEvacuations(func(e gypsumtide.Evacuations) {
			inOrder = inOrder && e.Version > last
			last = e.Version
		})
		var g sync.WaitGroup
		for i := range 8 {
			g.Go(func() {
				for v := uint64(1); v < 200; v++ {
					h.OfferEvacuations(evacuated(8*v+uint64(i)), "peer")
				}
			})
		}
		g.Wait()
		So(inOrder, ShouldBeTrue)
		So(last, ShouldEqual, 199*8+7)
	})
}

// logSource is a table source with the records of a log: changes of evacuations, and route
// tables as changes without a zone.
type logSource struct {
	testSource
	records []gypsumtide.EvacuationChange
	first   uint64
}

func (s *logSource) add(first uint64, records ...gypsumtide.EvacuationChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, records...)
	s.first = first
}

func (s *logSource) readFrom(position uint64) gypsumtide.OperatorRead {
	read := gypsumtide.OperatorRead{Next: uint64(len(s.records))}
	for i, r := range s.records[position:] {
		if r.Zone == "" {
			read.Table = fmt.Append(nil, position+uint64(i)+1)
			continue
		}
		read.Evacuations = append(read.Evacuations, r)
	}
	return read
}

func (s *logSource) Newest(context.Context) (gypsumtide.OperatorRead, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := s.readFrom(0)
	read.Skipped = []string{"evacuate/"}
	return read, nil
}

func (s *logSource) Next(ctx context.Context, position uint64, _ gypsumtide.Millis) (gypsumtide.OperatorRead, error) {
	gypsumtide.Sleep(ctx, 5)
	s.mu.Lock()
	defer s.mu.Unlock()
	if position < s.first {
		return gypsumtide.OperatorRead{Next: position}, &gypsumtide.TrimmedError{First: s.first}
	}
	return s.readFrom(position), nil
}

// Guards against an evacuation that the poller misses or keeps after its end, and against a
// table that is used before the evacuations of the same read.
func TestPollerEvacuations(t *testing.T) {
	begin := func(zone string) gypsumtide.EvacuationChange {
		return gypsumtide.EvacuationChange{Zone: zone, Evacuated: true}
	}
	end := func(zone string) gypsumtide.EvacuationChange { return gypsumtide.EvacuationChange{Zone: zone} }
	table := gypsumtide.EvacuationChange{}
	Convey("Each zone follows its own records, also after the log was trimmed", t, func() {
		log, clock, source := &lineLogger{}, gypsumtide.NewSystemClock(), &logSource{}
		source.add(0, begin("a"), table)
		h := NewTableHolder(clock, log)
		known := make(chan uint64, 1)
		h.OnUpdate(func(*gypsumtide.RouteTable) {
			select {
			case known <- h.Evacuations().Version:
			default:
			}
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, NewPoller(source, h, clock, log).Run)
		has := func(want gypsumtide.Evacuations) bool {
			return eventually(func() bool { e := h.Evacuations(); return e.Version == want.Version && e.SameZones(want) })
		}
		So(has(evacuated(2, "a")), ShouldBeTrue)
		So(<-known, ShouldEqual, 2)
		source.add(0, begin("b"))
		So(has(evacuated(3, "a", "b")), ShouldBeTrue)
		source.add(0, end("a"), end("unknown"))
		So(has(evacuated(5, "b")), ShouldBeTrue)
		// A new table raises the version without a change of zones.
		source.add(0, table)
		So(has(evacuated(6, "b")), ShouldBeTrue)
		So(log.count("evacuation "), ShouldEqual, 2)
		// The poller has read less than the log retains.
		source.add(9, end("b"), begin("a"), begin("c"))
		So(has(evacuated(9, "a", "c")), ShouldBeTrue)
		So(log.count("store-trimmed"), ShouldEqual, 1)
		So(log.count("evacuation-skipped"), ShouldEqual, 1)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
	})
}

// Guards against an evacuation that a read has skipped and that stays unknown although the newest
// records are read again for that purpose, and against an older list that replaces a newer set.
func TestRereadCorrectsEvacuations(t *testing.T) {
	Convey("Given a poller whose read has skipped the record of an evacuation", t, func() {
		log, source := &lineLogger{}, &logSource{}
		h := NewTableHolder(gypsumtide.NewSystemClock(), log)
		var known gypsumtide.Evacuations
		h.OnEvacuations(func(e gypsumtide.Evacuations) { known = e })
		p := NewPoller(source, h, gypsumtide.NewSystemClock(), log)
		ctx := context.Background()
		So(p.readNewest(ctx), ShouldBeNil)
		source.add(0, gypsumtide.EvacuationChange{Zone: "a", Evacuated: true})
		p.offerChanges(gypsumtide.OperatorRead{Next: 1})
		So(known, ShouldResemble, evacuated(1))

		Convey("The next list of the newest records corrects the set, once", func() {
			So(p.readNewest(ctx), ShouldBeNil)
			So(p.readNewest(ctx), ShouldBeNil)
			So(h.Evacuations(), ShouldResemble, evacuated(1, "a"))
			So(known, ShouldResemble, evacuated(1, "a"))
			So(log.count("evacuations-corrected "), ShouldEqual, 1)
			So(log.count("evacuation "), ShouldEqual, 1)
		})
		Convey("A newer set of a peer stays", func() {
			h.OfferEvacuations(evacuated(2, "b"), "peer")
			So(p.readNewest(ctx), ShouldBeNil)
			So(h.Evacuations(), ShouldResemble, evacuated(2, "b"))
		})
		Convey("A peer does not correct a set of the same version", func() {
			So(h.OfferEvacuations(evacuated(1, "c"), "peer"), ShouldBeFalse)
		})
	})
}

// Guards against an evacuation that is not passed on to an entry while a table is fetched from it
// over a thin link.
func TestEvacuationDuringFetch(t *testing.T) {
	Convey("A peer learns of an evacuation within one round although its table is being fetched", t, func() {
		clock, source := gypsumtide.NewSystemClock(), &testSource{}
		peer, own := NewTableHolder(clock, discardLogger{}), NewTableHolder(clock, discardLogger{})
		peer.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte("7"), "store")
		own.Offer(gypsumtide.NewRouteTable(6, nil, 1), []byte("6"), "store")
		mux := http.NewServeMux()
		NewPeers("peer", "127.0.0.1:1", link.NewAddresses(nil, clock), peer, source, unavailableDirectory{}, clock, discardLogger{}).RegisterHandlers(mux)
		fetching, release := make(chan struct{}), make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == TablePath {
				close(fetching)
				<-release
			}
			mux.ServeHTTP(w, r)
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		p := NewPeers("own", "127.0.0.1:2", link.NewAddresses([]string{address}, clock), own, source, unavailableDirectory{}, clock, discardLogger{})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, p.Run)
		<-fetching
		begin := clock.Now()
		own.OfferEvacuations(evacuated(2, "a"), "store")
		learned := eventually(func() bool { return peer.Evacuations().Contains("a") })
		took := clock.Now() - begin
		close(release)
		So(learned, ShouldBeTrue)
		So(took, ShouldBeLessThan, exchangeInterval+exchangeTimeout)
		cancel()
		<-done
	})
}

// Guards against an entry that continues to use a zone because the store rejects its calls,
// and against one that uses a table of a peer without that peer's evacuations.
func TestPeerEvacuations(t *testing.T) {
	clock := gypsumtide.NewSystemClock()
	// newEntry returns the peers of an entry that listens on a loopback address.
	newEntry := func(h *TableHolder, source gypsumtide.TableSource, others ...string) (*Peers, string) {
		mux := http.NewServeMux()
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "http://")
		p := NewPeers(address, address, link.NewAddresses(others, clock), h, source, unavailableDirectory{}, clock, discardLogger{})
		p.RegisterHandlers(mux)
		return p, address
	}
	newHolder := func() *TableHolder { return NewTableHolder(clock, discardLogger{}) }
	ctx := context.Background()

	Convey("Both sides of an exchange adopt the newer set, and a lagging peer changes nothing", t, func() {
		newer, older, lagging := newHolder(), newHolder(), newHolder()
		newer.OfferEvacuations(evacuated(7, "a"), "store")
		older.OfferEvacuations(evacuated(6, "b"), "store")
		lagging.OfferEvacuations(evacuated(5), "store")
		_, newerAddress := newEntry(newer, &testSource{})
		p, olderAddress := newEntry(older, &testSource{})
		p.exchangeWith(ctx, newerAddress)
		So(older.Evacuations(), ShouldResemble, evacuated(7, "a"))
		p, _ = newEntry(lagging, &testSource{})
		p.exchangeWith(ctx, olderAddress)
		So(older.Evacuations(), ShouldResemble, evacuated(7, "a"))
		So(lagging.Evacuations(), ShouldResemble, evacuated(7, "a"))
	})

	Convey("A change of zones passes through a chain of entries at once, a higher version alone does not", t, func() {
		first, second, third := newHolder(), newHolder(), newHolder()
		third.OfferEvacuations(evacuated(1), "peer")
		_, thirdAddress := newEntry(third, &testSource{})
		secondPeers, secondAddress := newEntry(second, &testSource{}, thirdAddress)
		firstPeers, _ := newEntry(first, &testSource{}, secondAddress)
		runCtx, cancel := context.WithCancel(ctx)
		doneFirst, doneSecond := group.Go(runCtx, firstPeers.Run), group.Go(runCtx, secondPeers.Run)
		first.OfferEvacuations(evacuated(2, "a"), "store")
		So(eventually(func() bool { return third.Evacuations().Contains("a") }), ShouldBeTrue)
		So(firstPeers.zonesChanged, ShouldHaveLength, 0)
		cancel()
		<-doneFirst
		<-doneSecond
		first.OfferEvacuations(evacuated(3, "a"), "store")
		So(firstPeers.zonesChanged, ShouldHaveLength, 0)
		first.OfferEvacuations(evacuated(4, "a", "b"), "store")
		So(firstPeers.zonesChanged, ShouldHaveLength, 1)
	})

	Convey("A restarted entry knows the evacuations before it takes the table of a peer", t, func() {
		source := &testSource{}
		peer, restarted := newHolder(), newHolder()
		peer.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte("7"), "store")
		_, address := newEntry(peer, source)
		p, _ := newEntry(restarted, source)
		var knownWithTable uint64
		restarted.OnUpdate(func(*gypsumtide.RouteTable) { knownWithTable = restarted.Evacuations().Version })

		p.startedAt = clock.Now() - 2*peerTableDelay
		p.exchangeWith(ctx, address)
		So(restarted.Table(), ShouldBeNil) // The peer knows no set.

		peer.OfferEvacuations(evacuated(4, "a"), "store")
		p.startedAt = clock.Now()
		p.exchangeWith(ctx, address)
		So(restarted.Table(), ShouldBeNil) // The store is tried first, but the set is adopted.
		So(restarted.Evacuations(), ShouldResemble, evacuated(4, "a"))

		peer.OfferEvacuations(evacuated(5, "a"), "store")
		p.startedAt = clock.Now() - 2*peerTableDelay
		p.exchangeWith(ctx, address)
		So(restarted.Version(), ShouldEqual, 7)
		So(knownWithTable, ShouldEqual, 5)
	})
}
