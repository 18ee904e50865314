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

// discardLogger is a gypsumtide.DecisionLogger that discards all decisions.
type discardLogger struct{}

func (discardLogger) Decision(string, ...any) {}

// testSource is a table source whose encoded tables consist of their version. If fail is
// set, reads fail; if trimmed is set, Next returns a TrimmedError. Each read lists all
// evacuated zones.
type testSource struct {
	mu      sync.Mutex
	version uint64
	fail    bool
	trimmed bool
	changes []gypsumtide.EvacuationChange
}

func (s *testSource) set(version uint64, fail, trimmed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.fail, s.trimmed = version, fail, trimmed
}

func (s *testSource) Newest(context.Context) (gypsumtide.OperatorRead, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fail {
		return gypsumtide.OperatorRead{}, errors.New("store is down")
	}
	raw, err := json.Marshal(s.version)
	return gypsumtide.OperatorRead{Table: raw, Evacuations: s.changes, Next: s.version}, err
}

func (s *testSource) Next(ctx context.Context, position uint64, _ gypsumtide.Millis) (gypsumtide.OperatorRead, error) {
	gypsumtide.Sleep(ctx, 5)
	s.mu.Lock()
	trimmed := s.trimmed
	s.mu.Unlock()
	if trimmed {
		return gypsumtide.OperatorRead{Next: position}, &gypsumtide.TrimmedError{First: position + 1}
	}
	return s.Newest(ctx)
}

func (s *testSource) Decode(raw []byte) (*gypsumtide.RouteTable, error) {
	var version uint64
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, err
	}
	return gypsumtide.NewRouteTable(version, nil, 1), nil
}

// eventually waits until the condition is true, and returns false if that takes too long.
func eventually(condition func() bool) bool {
	for range 400 {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// Guards against an older table that replaces a newer one, and against missing metrics.
func TestHolder(t *testing.T) {
	Convey("A holder accepts newer tables only", t, func() {
		h := NewTableHolder(gypsumtide.NewSystemClock(), discardLogger{})
		So(h.Version(), ShouldEqual, 0)
		So(h.Offer(gypsumtide.NewRouteTable(5, nil, 1), nil, "store"), ShouldBeTrue)
		So(h.Offer(gypsumtide.NewRouteTable(4, nil, 1), nil, "peer"), ShouldBeFalse)
		So(h.Version(), ShouldEqual, 5)
	})

	Convey("The version and the age of the table are metrics", t, func() {
		set := metrics.NewSet()
		h := NewTableHolder(gypsumtide.NewSystemClock(), discardLogger{})
		h.Register(set)
		h.Offer(gypsumtide.NewRouteTable(5, nil, 1), nil, "store")
		var out strings.Builder
		set.WritePrometheus(&out)
		So(out.String(), ShouldContainSubstring, "gypsumtide_entry_table_version 5")
		So(out.String(), ShouldContainSubstring, "gypsumtide_entry_table_age_seconds")
	})
}

// Guards against a poller that stops reading after the store was unavailable, or after it
// has trimmed records that the poller has not read.
func TestPoller(t *testing.T) {
	Convey("A poller reads new tables after an outage and after the store has trimmed records", t, func() {
		source := &testSource{version: 1}
		clock := gypsumtide.NewSystemClock()
		h := NewTableHolder(clock, discardLogger{})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, NewPoller(source, h, clock, discardLogger{}).Run)
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

// unavailableDirectory is a directory whose calls all fail.
type unavailableDirectory struct{}

func (unavailableDirectory) Announce(context.Context, gypsumtide.DirectoryRecord) error {
	return errors.New("store is down")
}
func (unavailableDirectory) Records(context.Context) ([]gypsumtide.DirectoryRecord, error) {
	return nil, errors.New("store is down")
}

// Guards against an entry that cannot reach the store and keeps an old configuration
// although its peers have a newer one.
func TestPeers(t *testing.T) {
	Convey("An entry that cannot reach the store fetches the newer table of a peer", t, func() {
		clock := gypsumtide.NewSystemClock()
		source := &testSource{}
		newer, older := NewTableHolder(clock, discardLogger{}), NewTableHolder(clock, discardLogger{})
		newer.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte("7"), "store")
		older.Offer(gypsumtide.NewRouteTable(6, nil, 1), []byte("6"), "store")

		mux := http.NewServeMux()
		known := link.NewAddresses(nil, clock)
		NewPeers("newer", "127.0.0.1:1", known, newer, source, unavailableDirectory{}, clock, discardLogger{}).RegisterHandlers(mux)
		server := httptest.NewServer(mux)
		defer server.Close()

		entries := link.NewAddresses([]string{strings.TrimPrefix(server.URL, "http://")}, clock)
		peers := NewPeers("older", "127.0.0.1:2", entries, older, source, unavailableDirectory{}, clock, discardLogger{})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, peers.Run)
		So(eventually(func() bool { return older.Version() == 7 }), ShouldBeTrue)
		So(known.List(), ShouldContain, "127.0.0.1:2")
		cancel()
		<-done
	})
}
