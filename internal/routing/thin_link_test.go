package routing

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
)

// largeSource decodes tables whose version is the number at their start.
type largeSource struct{ testSource }

func (s *largeSource) Decode(raw []byte) (*gypsumtide.RouteTable, error) {
	number, _, _ := bytes.Cut(raw, []byte(" "))
	return s.testSource.Decode(number)
}

// thinLink counts the bytes of responses and delays them by the bandwidth of the link.
type thinLink struct {
	http.ResponseWriter
	written        *atomic.Int64
	bytesPerMillis int
}

func (w thinLink) Write(p []byte) (int, error) {
	w.written.Add(int64(len(p)))
	gypsumtide.Sleep(context.Background(), gypsumtide.Millis(len(p)/w.bytesPerMillis))
	return w.ResponseWriter.Write(p)
}

// Guards against a large route table that never arrives over a thin link, because each
// transfer is given up and begun again (CONFIG on the small twin of the large site: 1,092 new
// routes, entries of 2 Mbit/s).
func TestTableOverThinLink(t *testing.T) {
	Convey("A table that takes longer than an exchange is fetched once, and compressed", t, func() {
		clock := gypsumtide.NewSystemClock()
		var table strings.Builder
		table.WriteString("7 ")
		for i := range 1100 {
			fmt.Fprintf(&table, `{"prefix":"/route-%04d/","host":"h%d.example","service":"s","attempts":3,"slackFactor":1.5,"sloMs":60},`, i, i%7)
		}
		newer, older := NewTableHolder(clock, discardLogger{}), NewTableHolder(clock, discardLogger{})
		newer.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte(table.String()), "store")
		older.Offer(gypsumtide.NewRouteTable(6, nil, 1), []byte("6 "), "store")
		source := &largeSource{}
		mux := http.NewServeMux()
		NewPeers("newer", "127.0.0.1:1", link.NewAddresses(nil, clock), newer, source, unavailableDirectory{}, clock, discardLogger{}).RegisterHandlers(mux)
		var written atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// A quarter of 2 Mbit/s, the rest is taken by callers.
			mux.ServeHTTP(thinLink{w, &written, 62}, r)
		}))
		defer server.Close()
		address := strings.TrimPrefix(server.URL, "http://")
		p := NewPeers("older", "127.0.0.1:2", link.NewAddresses([]string{address}, clock), older, source, unavailableDirectory{}, clock, discardLogger{})
		p.exchangeWith(context.Background(), address)
		So(older.Version(), ShouldEqual, 7)
		encoded, _ := older.Encoded()
		So(string(encoded), ShouldEqual, table.String())
		So(written.Load(), ShouldBeLessThan, int64(table.Len()/4))
	})
	Convey("Two tables are not fetched at a time", t, func() {
		clock := gypsumtide.NewSystemClock()
		var fetches atomic.Int64
		mux := http.NewServeMux()
		source := &testSource{}
		newer := NewTableHolder(clock, discardLogger{})
		newer.Offer(gypsumtide.NewRouteTable(7, nil, 1), []byte("7"), "store")
		NewPeers("newer", "127.0.0.1:1", link.NewAddresses(nil, clock), newer, source, unavailableDirectory{}, clock, discardLogger{}).RegisterHandlers(mux)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == TablePath {
				fetches.Add(1)
			}
			mux.ServeHTTP(w, r)
		}))
		defer server.Close()
		older := NewTableHolder(clock, discardLogger{})
		older.Offer(gypsumtide.NewRouteTable(6, nil, 1), nil, "store")
		p := NewPeers("older", "127.0.0.1:2", link.NewAddresses(nil, clock), older, source, unavailableDirectory{}, clock, discardLogger{})
		p.fetching.Lock()
		p.exchangeWith(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		So(fetches.Load(), ShouldEqual, 0)
		p.fetching.Unlock()
		p.exchangeWith(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		So(fetches.Load(), ShouldEqual, 1)
		So(older.Version(), ShouldEqual, 7)
	})
}

// slowSource is a table source whose transfers take a while.
type slowSource struct {
	testSource
	transfer gypsumtide.Millis
}

func (s *slowSource) Next(ctx context.Context, position uint64, wait gypsumtide.Millis) (gypsumtide.OperatorRead, error) {
	if !gypsumtide.Sleep(ctx, s.transfer) {
		return gypsumtide.OperatorRead{Next: position}, ctx.Err()
	}
	return s.testSource.Next(ctx, position, wait)
}

func (s *slowSource) Newest(ctx context.Context) (gypsumtide.OperatorRead, error) {
	if !gypsumtide.Sleep(ctx, s.transfer) {
		return gypsumtide.OperatorRead{}, ctx.Err()
	}
	return s.testSource.Newest(ctx)
}

// Guards against a poller that gives up a transfer which takes longer than a long poll.
func TestPollerOverThinLink(t *testing.T) {
	Convey("A table is read even if its transfer takes two seconds", t, func() {
		source := &slowSource{testSource: testSource{version: 1}, transfer: 2000}
		clock := gypsumtide.NewSystemClock()
		h := NewTableHolder(clock, discardLogger{})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, NewPoller(source, h, clock, discardLogger{}).Run)
		So(eventually(func() bool { return h.Version() == 1 }), ShouldBeTrue)
		source.set(2, false, false)
		gypsumtide.Sleep(ctx, 2*source.transfer+500)
		So(h.Version(), ShouldEqual, 2)
		cancel()
		So(<-done, ShouldEqual, context.Canceled)
	})
}
