package daemon

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/group"
)

// Guards against requests that a graceful shutdown cuts off without a response
// because their work does not end within the grace period. It happened with seeds
// 57, 59, 66 and 67 of TestSoak in package platform.
func TestServeRespondsWithinGracePeriod(t *testing.T) {
	Convey("A request in progress at the end of the grace period gets a response", t, func() {
		address := freeAddress()

		p := New(Config{Name: "n", GracePeriod: 1500})
		aborted := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-aborted
			w.WriteHeader(http.StatusGatewayTimeout)
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, func(ctx context.Context) error {
			return p.Serve(ctx, address, handler, func() { close(aborted) })
		})
		time.AfterFunc(100*time.Millisecond, cancel)
		var resp *http.Response
		var err error
		for range 20 {
			if resp, err = http.Get("http://" + address); err == nil {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusGatewayTimeout)
		So(resp.Body.Close(), ShouldBeNil)
		So(<-done, ShouldEqual, context.Canceled)
	})
}

// Guards against connections that are closed without a response because their
// first request is read after the shutdown has begun. It happened with seed 2 of
// TestSoak in package platform.
func TestServeRespondsOnNewConnections(t *testing.T) {
	Convey("A connection accepted before the shutdown gets a response to its first request", t, func() {
		address := freeAddress()

		p := New(Config{Name: "n", GracePeriod: 1500})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, func(ctx context.Context) error { return p.Serve(ctx, address, handler, nil) })
		conn := connect(address)
		cancel()
		time.Sleep(50 * time.Millisecond)
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusNoContent)
		So(resp.Body.Close(), ShouldBeNil)
		So(conn.Close(), ShouldBeNil)
		So(<-done, ShouldEqual, context.Canceled)
	})
	Convey("A connection without a request does not delay the shutdown", t, func() {
		address := freeAddress()

		p := New(Config{Name: "n", GracePeriod: 1500})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, func(ctx context.Context) error { return p.Serve(ctx, address, http.NotFoundHandler(), nil) })
		conn := connect(address)
		cancel()
		var err error
		select {
		case err = <-done:
		case <-time.After(1500 * time.Millisecond):
			err = context.DeadlineExceeded
		}
		So(err, ShouldEqual, context.Canceled)
		So(conn.Close(), ShouldBeNil)
	})
}

// freeAddress returns an address with an unused port.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	So(l.Close(), ShouldBeNil)
	return l.Addr().String()
}

// connect returns a connection to address, and waits until the server has had time
// to accept it.
func connect(address string) net.Conn {
	var conn net.Conn
	var err error
	for range 20 {
		if conn, err = net.Dial("tcp", address); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	So(err, ShouldBeNil)
	time.Sleep(50 * time.Millisecond)
	return conn
}

// Guards against a handler for operators that replaces the metrics, or that is not served.
func TestHandleOnMetricsAddress(t *testing.T) {
	Convey("The metrics address serves the metrics and the further handlers", t, func() {
		p := New(Config{Name: "n"})
		p.HandleOnMetricsAddress("POST /x", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
		status := func(method, path string) int {
			w := httptest.NewRecorder()
			p.metricsHandler().ServeHTTP(w, httptest.NewRequest(method, path, nil))
			return w.Code
		}
		So(status("GET", "/metrics"), ShouldEqual, http.StatusOK)
		So(status("POST", "/x"), ShouldEqual, http.StatusNoContent)
		So(status("GET", "/x"), ShouldEqual, http.StatusMethodNotAllowed)
	})
}
