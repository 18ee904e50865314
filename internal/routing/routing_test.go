package routing

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
)

// silent drops decision lines.
type silent struct{}

func (silent) Decision(string, ...any) {}

// testSource is a store whose tables are version numbers.
type testSource struct {
	mu      sync.Mutex
	version uint64
	fail    bool
	trimmed bool
}

func (s *testSource) set(version uint64, fail, trimmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.fail, s.trimmed = version, fail, trimmed
}

func (s *testSource) Newest(context.Context) ([]byte, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return nil, 0, errors.New("store is down")
	}
	raw, err := json.Marshal(s.version)
	return raw, s.version, err
}

func (s *testSource) Next(ctx context.Context, position uint64, _ gypsumtide.Millis) ([]byte, uint64, error) {
	gypsumtide.Sleep(ctx, 5)
	s.mu.Lock()
	trimmed := s.trimmed
	s.mu.Unlock()
	if trimmed {
		return nil, position, &gypsumtide.TrimmedError{First: position + 1}
	}
	raw, next, err := s.Newest(ctx)
	return raw, next, err
}

func (s *testSource) Decode(raw []byte) (*gypsumtide.RouteTable, error) {
	var version uint64
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	return gypsumtide.NewRouteTable(version, nil, 1), nil
}

func eventually(f func() bool) bool {
	for range 400 {
		if f() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// Guards against a configuration that goes back.
func TestHolder(t *testing.T) {
	Convey("A holder takes newer tables only", t, func() {
		h := NewTableHolder(gypsumtide.NewSystemClock(), silent{})
		So(h.Version(), ShouldEqual, 0)
		So(h.Offer(gypsumtide.NewRouteTable(5, nil, 1), nil, "store"), ShouldBeTrue)
		So(h.Offer(gypsumtide.NewRouteTable(4, nil, 1), nil, "peer"), ShouldBeFalse)
		So(h.Version(), ShouldEqual, 5)
	})

	Convey("The version and its age are metrics", t, func() {
		set := metrics.NewSet()
		h := NewTableHolder(gypsumtide.NewSystemClock(), silent{})
		h.Register(set)
		h.Offer(gypsumtide.NewRouteTable(5, nil, 1), nil, "store")
		var out strings.Builder
		set.WritePrometheus(&out)
		So(out.String(), ShouldContainSubstring, "gypsumtide_entry_table_version 5")
		So(out.String(), ShouldContainSubstring, "gypsumtide_entry_table_age_seconds")
	})
}

func TestPoller(t *testing.T) {
	Convey("A poller follows the tables through outages and trimmed records", t, func() {
		source := &testSource{version: 1}
		clock := gypsumtide.NewSystemClock()
		h := NewTableHolder(clock, silent{})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, NewPoller(source, h, clock, silent{}).Run)
		So(eventually(func() bool { return h.Version() == 1 }), ShouldBeTrue)
		source.set(2, true, false)
		time.Sleep(30 * time.Millisecond)
		So(h.Version(), ShouldEqual, 1)
		source.set(3, false, true)
		So(eventually(func() bool { return h.Version() == 3 }), ShouldBeTrue)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
	})
}

// testDirectory knows no entries.
type testDirectory struct{}

func (testDirectory) Announce(context.Context, gypsumtide.DirectoryRecord) error {
	return errors.New("store is down")
}
func (testDirectory) Records(context.Context) ([]gypsumtide.DirectoryRecord, error) {
	return nil, errors.New("store is down")
}

// Guards against an entry that the store turns away and that stays at an old
// configuration although its peers have the new one.
func TestPeers(t *testing.T) {
	Convey("An entry without the store takes the table of a peer", t, func() {
		clock := gypsumtide.NewSystemClock()
		source := &testSource{}
		ahead, behind := NewTableHolder(clock, silent{}), NewTableHolder(clock, silent{})
		ahead.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte("7"), "store")
		behind.Offer(gypsumtide.NewRouteTable(6, nil, 1), []byte("6"), "store")

		mux := http.NewServeMux()
		known := link.NewAddresses(nil, clock)
		NewPeers("ahead", "127.0.0.1:1", known, ahead, source, testDirectory{}, clock, silent{}).Handle(mux)
		server := httptest.NewServer(mux)
		defer server.Close()

		entries := link.NewAddresses([]string{strings.TrimPrefix(server.URL, "http://")}, clock)
		peers := NewPeers("behind", "127.0.0.1:2", entries, behind, source, testDirectory{}, clock, silent{})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, peers.Run)
		So(eventually(func() bool { return behind.Version() == 7 }), ShouldBeTrue)
		So(known.List(), ShouldContain, "127.0.0.1:2")
		cancel()
		<-done
	})
}
