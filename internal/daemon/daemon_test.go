package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide/internal/group"
)

// Guards against requests that a graceful stop cuts without an answer because
// their work has not ended at the end of the grace (soak seeds 57, 59, 66 and 67).
func TestServeAnswersAtTheEnd(t *testing.T) {
	Convey("A request that is open at the end of the grace gets its answer", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		address := l.Addr().String()
		So(l.Close(), ShouldBeNil)

		p := New(Config{Name: "n", Grace: 1500})
		given := make(chan struct{})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			<-given
			w.WriteHeader(http.StatusGatewayTimeout)
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, func(ctx context.Context) error {
			return p.Serve(ctx, address, handler, func() { close(given) })
		})
		time.AfterFunc(100*time.Millisecond, cancel)
		var resp *http.Response
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
