package platformlog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now gypsumtide.Millis }

func (c *manualClock) Now() gypsumtide.Millis  { return c.now }
func (c *manualClock) Wall() gypsumtide.Millis { return c.now }

func startServer(t *testing.T, cfg Settings, clock gypsumtide.Clock) (*Server, string) {
	t.Helper()
	cfg.MaxRecordBytes = 1 << 10
	s := New(cfg, clock)
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	t.Cleanup(s.Close)
	return s, server.URL
}

// call returns the status and the body of the response, or status 0 if the request
// failed or timed out.
func call(timeout time.Duration, method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	So(err, ShouldBeNil)
	resp, err := (&http.Client{Timeout: timeout}).Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	So(err, ShouldBeNil)
	return resp.StatusCode, strings.TrimSpace(string(text))
}

// TestProtocol guards against responses that differ from the protocol of the
// platform's log.
func TestProtocol(t *testing.T) {
	Convey("Given a log that keeps three records", t, func() {
		clock := &manualClock{now: 1}
		_, url := startServer(t, Settings{RetentionRecords: 3, Retention: 1000}, clock)
		records := url + "/streams/s/records"
		for i := range 4 {
			status, body := call(2*time.Second, "POST", records, fmt.Sprint("r", i))
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, fmt.Sprintf(`{"offset":%d}`, i))
		}
		for _, c := range []struct {
			name, method, path, body string
			status                   int
			answer                   string
		}{
			{"read the rest", "GET", "/streams/s/records?from=2", "", 200, `{"records":[{"offset":2,"data":"cjI="},{"offset":3,"data":"cjM="}],"next":4}`},
			{"read at most one", "GET", "/streams/s/records?from=1&max=1", "", 200, `{"records":[{"offset":1,"data":"cjE="}],"next":2}`},
			{"read the end", "GET", "/streams/s/records?from=4&wait-ms=0", "", 200, `{"records":[],"next":4}`},
			{"read a trimmed offset", "GET", "/streams/s/records?from=0", "", 410, `{"first":1}`},
			{"read beyond the end", "GET", "/streams/s/records?from=5", "", 416, `{"next":4}`},
			{"read a bad offset", "GET", "/streams/s/records?from=-1", "", 400, ""},
			{"streams are separate", "GET", "/streams/other/records", "", 200, `{"records":[],"next":0}`},
			{"append too much", "POST", "/streams/s/records", strings.Repeat("x", 2000), 413, ""},
			{"trim", "POST", "/streams/s/trim", `{"before":3}`, 200, `{"first":3}`},
			{"trim beyond the end", "POST", "/streams/s/trim", `{"before":9}`, 200, `{"first":4}`},
			{"unknown fault", "PUT", "/faults", `{"lost":1}`, 400, ""},
			{"fault out of range", "PUT", "/faults", `{"lose-answers":1.5}`, 422, ""},
			{"get the faults", "GET", "/faults", "", 200, `{"down":false,"slow-ms":0,"lose-answers":0,"hang":false}`},
			{"set a fault", "PUT", "/faults", `{"slow-ms":1}`, 200, `{"down":false,"slow-ms":1,"lose-answers":0,"hang":false}`},
		} {
			Convey(c.name, func() {
				status, body := call(2*time.Second, c.method, url+c.path, c.body)
				So(status, ShouldEqual, c.status)
				if c.answer != "" {
					So(body, ShouldEqual, c.answer)
				}
			})
		}
		Convey("records expire by age", func() {
			clock.now += 1001
			status, body := call(2*time.Second, "GET", records+"?from=3", "")
			So(status, ShouldEqual, 410)
			So(body, ShouldEqual, `{"first":4}`)
		})
	})
}

// TestLongPoll guards against a long poll that misses an append or returns early.
func TestLongPoll(t *testing.T) {
	Convey("A long poll returns a record that arrives while it waits", t, func() {
		s, url := startServer(t, Settings{}, gypsumtide.NewSystemClock())
		appended := group.Go(context.Background(), func(context.Context) error {
			time.Sleep(50 * time.Millisecond)
			s.Append("s", []byte("late"))
			return nil
		})
		began := time.Now()
		status, body := call(2*time.Second, "GET", url+"/streams/s/records?wait-ms=1500", "")
		So(<-appended, ShouldBeNil)
		So(status, ShouldEqual, 200)
		So(body, ShouldContainSubstring, `"next":1`)
		So(time.Since(began), ShouldBeBetween, 40*time.Millisecond, time.Second)
	})
}

// TestFaults guards against faults whose effect differs from what the tests of other
// packages assume.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults Faults
		status int
		// end and endAfter are the end of the stream after the append, and after the
		// faults have ended.
		end, endAfter uint64
	}{
		{"none", Faults{}, 200, 1, 1},
		{"down", Faults{Down: true}, 503, 0, 0},
		{"slow", Faults{SlowMillis: 50}, 200, 1, 1},
		{"lost answer", Faults{LoseAnswers: 1}, 0, 1, 1},
		{"hang delays the write", Faults{Hang: true}, 0, 0, 1},
	} {
		Convey("Append with fault: "+c.name, t, func() {
			s, url := startServer(t, Settings{}, gypsumtide.NewSystemClock())
			So(s.SetFaults(c.faults), ShouldBeNil)
			began := time.Now()
			status, _ := call(300*time.Millisecond, "POST", url+"/streams/s/records", "x")
			So(status, ShouldEqual, c.status)
			So(time.Since(began), ShouldBeGreaterThanOrEqualTo, time.Duration(c.faults.SlowMillis)*time.Millisecond)
			_, end := s.Bounds("s")
			So(end, ShouldEqual, c.end)
			So(s.SetFaults(Faults{}), ShouldBeNil)
			time.Sleep(50 * time.Millisecond)
			_, end = s.Bounds("s")
			So(end, ShouldEqual, c.endAfter)
		})
	}
	Convey("An outage ends open long polls", t, func() {
		s, url := startServer(t, Settings{}, gypsumtide.NewSystemClock())
		set := group.Go(context.Background(), func(context.Context) error {
			time.Sleep(50 * time.Millisecond)
			return s.SetFaults(Faults{Down: true})
		})
		status, _ := call(2*time.Second, "GET", url+"/streams/s/records?wait-ms=1500", "")
		So(<-set, ShouldBeNil)
		So(status, ShouldEqual, 503)
	})
	Convey("Appends above the rate are refused without effect", t, func() {
		s, url := startServer(t, Settings{AppendsPerSecond: 10}, gypsumtide.NewSystemClock())
		accepted := uint64(0)
		for range 10 {
			if status, _ := call(2*time.Second, "POST", url+"/streams/s/records", "x"); status == 200 {
				accepted++
			}
		}
		_, end := s.Bounds("s")
		So(accepted, ShouldBeBetween, 0, 10)
		So(end, ShouldEqual, accepted)
	})
}

// TestServe guards against a stand-in that does not stop with its context.
func TestServe(t *testing.T) {
	Convey("Serve stops although a request hangs", t, func() {
		s, err := StartLocal(DefaultSettings())
		So(err, ShouldBeNil)
		So(s.SetFaults(Faults{Hang: true}), ShouldBeNil)
		hung := group.Go(context.Background(), func(context.Context) error {
			_, err := http.Post(s.URL()+"/streams/s/records", "", strings.NewReader("x"))
			return err
		})
		time.Sleep(50 * time.Millisecond)
		So(s.Stop(), ShouldBeNil)
		So(<-hung, ShouldNotBeNil)
		So(s.Stop(), ShouldBeNil)
	})
}

// TestSettings guards against settings errors that are reported one at a time.
func TestSettings(t *testing.T) {
	Convey("Every error is listed", t, func() {
		cfg := DefaultSettings()
		So(cfg.Check(), ShouldBeEmpty)
		cfg.Listen, cfg.MaxRecordBytes, cfg.AppendMillis = "0.0.0.0:1", 0, -1
		So(cfg.Check(), ShouldHaveLength, 3)
	})
}
