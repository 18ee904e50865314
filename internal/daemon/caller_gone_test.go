package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/group"
)

// Guards against work for a caller that has already left and has sent its request to
// another process: the request is read late, with the end of the connection behind it.
func TestCallerGone(t *testing.T) {
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
	reset := func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() }
	for _, c := range []struct {
		name  string
		leave func(c net.Conn)
		gone  bool
	}{
		{"a caller that waits", func(net.Conn) {}, false},
		{"a caller that has closed its connection", func(c net.Conn) { _ = c.Close() }, true},
		{"a caller that has reset its connection", reset, true},
		{"a caller that has sent another request", func(c net.Conn) { _, _ = io.WriteString(c, request) }, false},
	} {
		Convey(fmt.Sprintf("%s is gone: %t", c.name, c.gone), t, func() {
			address := freeAddress()
			p := New(Config{Name: "n", GracePeriod: 1500})
			left, results := make(chan struct{}), make(chan bool, 2)
			handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-left
				_, _ = io.Copy(io.Discard, r.Body)
				results <- CallerGone(r.Context())
			})
			ctx, cancel := context.WithCancel(context.Background())
			done := group.Go(ctx, func(ctx context.Context) error { return p.Serve(ctx, address, handler, nil) })
			conn := connect(address)
			_, err := io.WriteString(conn, request)
			So(err, ShouldBeNil)
			time.Sleep(20 * time.Millisecond) // The handler waits before it reads the body.
			c.leave(conn)
			time.Sleep(20 * time.Millisecond)
			close(left)
			So(<-results, ShouldEqual, c.gone)
			_ = conn.Close()
			cancel()
			<-done
		})
	}
	Convey("A request that Serve has not received has no caller to look at", t, func() {
		So(CallerGone(context.Background()), ShouldBeFalse)
	})
}
