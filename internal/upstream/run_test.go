package upstream

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// rawServer is an upstream that writes its responses to the connection directly, so
// that a test can break the connection at any point. It counts the requests read for
// each task.
type rawServer struct {
	listener      net.Listener
	mu            sync.Mutex
	requestCounts map[string]int
}

// newRawServer returns a server that calls serve for the n-th request of a
// connection, counted from 0. The connection stays open if serve returns true.
func newRawServer(t *testing.T, serve func(c net.Conn, n int, req *http.Request) bool) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, requestCounts: make(map[string]int)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for n := 0; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					s.mu.Lock()
					s.requestCounts[req.Header.Get(HeaderTask)]++
					s.mu.Unlock()
					if !serve(c, n, req) {
						return
					}
				}
			}()
		}
	}()
	return s
}

func (s *rawServer) requestCount(task int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[strconv.Itoa(task)]
}

// respond writes a response with the given status line and headers, and returns true.
func respond(c net.Conn, head, body string) bool {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return true
}

// runTaskAt runs one task at url with a MaxRunTime of 300 ms.
func runTaskAt(url string, task int, payload string) (wire.Result, *Registry) {
	cfg := testConfig()
	cfg.MaxRunTime = 300
	cfg.MaxResponseBytes = 1000
	r := New(&testClock{now: 1}, cfg, func() {})
	announce(r, "u", func(a *Announcement) { a.URL = url })
	return runTask(r, task, payload), r
}

// runTask runs one task at an upstream of the registry and releases the slot.
func runTask(r *Registry, task int, payload string) wire.Result {
	s := r.Acquire("echo", gypsumtide.ClassShort)
	d := &wire.Dispatch{TaskRef: wire.TaskRef{Task: uint32(task)}, Service: "echo", Payload: []byte(payload)}
	res := s.Run(context.Background(), d, 100)
	s.Release(res)
	return res
}

// TestRunFaults guards against wrong reports on whether a task started, for each point
// at which an upstream can fail, and against requests that are sent twice.
func TestRunFaults(t *testing.T) {
	cases := []struct {
		name   string
		serve  func(c net.Conn, n int, req *http.Request) bool
		state  wire.TaskState
		status int
		reason string
	}{
		{"success", func(c net.Conn, _ int, _ *http.Request) bool { return respond(c, "200 OK", "x") }, wire.TaskDone, 200, ""},
		{"server error", func(c net.Conn, _ int, _ *http.Request) bool { return respond(c, "500 No", "x") }, wire.TaskDone, 500, ""},
		{"redirect is not followed", func(c net.Conn, _ int, _ *http.Request) bool {
			return respond(c, "307 Elsewhere\r\nLocation: /other", "")
		}, wire.TaskDone, 307, ""},
		{"refusal with the not-started header", func(c net.Conn, _ int, _ *http.Request) bool {
			return respond(c, "503 Full\r\nGypsumtide-Not-Started: true", "full")
		}, wire.TaskNotStarted, 0, wire.ReasonRefused},
		{"refusal without the not-started header", func(c net.Conn, _ int, _ *http.Request) bool { return respond(c, "503 Full", "") }, wire.TaskDone, 503, ""},
		{"closed after the request", func(net.Conn, int, *http.Request) bool { return false }, wire.TaskUnknown, 0, ReasonConnectionBroken},
		{"closed in the header", func(c net.Conn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-")
			return false
		}, wire.TaskUnknown, 0, ReasonConnectionBroken},
		{"closed in the body", func(c net.Conn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			return false
		}, wire.TaskUnknown, 0, ReasonConnectionBroken},
		{"response is not HTTP", func(c net.Conn, _ int, _ *http.Request) bool {
			_, _ = io.WriteString(c, "hello\r\n\r\n")
			return false
		}, wire.TaskUnknown, 0, ReasonConnectionBroken},
		{"body over the limit", func(c net.Conn, _ int, _ *http.Request) bool {
			return respond(c, "200 OK", strings.Repeat("x", 1001))
		}, wire.TaskUnknown, 0, ReasonResponseTooLarge},
		{"no response within MaxRunTime", func(net.Conn, int, *http.Request) bool {
			time.Sleep(600 * time.Millisecond)
			return false
		}, wire.TaskUnknown, 0, ReasonRunTimeExceeded},
	}
	for _, c := range cases {
		for _, payload := range []string{"", `{"a":1}`} {
			Convey(c.name+", payload "+payload, t, func() {
				s := newRawServer(t, c.serve)
				r, _ := runTaskAt("http://"+s.listener.Addr().String(), 7, payload)
				So(r.State, ShouldEqual, c.state)
				So(r.Status, ShouldEqual, c.status)
				So(r.Reason, ShouldEqual, c.reason)
				So(r.Upstream, ShouldEqual, "u")
				So(s.requestCount(7), ShouldEqual, 1)
			})
		}
	}
	Convey("a task has not started if the connection cannot be opened", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		_ = l.Close()
		r, _ := runTaskAt("http://"+l.Addr().String(), 7, "x")
		So(r.State, ShouldEqual, wire.TaskNotStarted)
		So(r.Reason, ShouldEqual, ReasonConnectionNotOpened)
	})
}

// TestStaleConnection guards against requests that net/http sends again when an
// upstream closes a reused connection, and against a wrong "not started" for a request
// that was read.
func TestStaleConnection(t *testing.T) {
	for _, payload := range []string{"", "payload"} {
		Convey("connection closed after the second request was read, payload "+payload, t, func() {
			s := newRawServer(t, func(c net.Conn, n int, _ *http.Request) bool {
				return n == 0 && respond(c, "200 OK", "x")
			})
			first, r := runTaskAt("http://"+s.listener.Addr().String(), 1, payload)
			So(first.State, ShouldEqual, wire.TaskDone)
			second := runTask(r, 2, payload)
			So(second.State, ShouldEqual, wire.TaskUnknown)
			So(s.requestCount(2), ShouldEqual, 1)
		})
		Convey("connection closed at any moment while idle, payload "+payload, t, func() {
			s := newRawServer(t, func(c net.Conn, _ int, _ *http.Request) bool {
				respond(c, "200 OK", "x")
				return false
			})
			_, r := runTaskAt("http://"+s.listener.Addr().String(), 0, payload)
			states := map[wire.TaskState]int{}
			violations := 0
			for i := 1; i <= 300; i++ {
				res := runTask(r, i, payload)
				states[res.State]++
				n := s.requestCount(i)
				if n > 1 || res.State == wire.TaskNotStarted && n != 0 || res.State == wire.TaskDone && n != 1 {
					violations++
				}
			}
			So(violations, ShouldEqual, 0)
			t.Logf("states %v", states)
		})
	}
}

// TestRequest guards against a payload or content type that is changed on the way to
// the upstream, and against missing headers, such as the lease, which the upstream
// checks.
func TestRequest(t *testing.T) {
	Convey("the request carries the payload unchanged and the headers", t, func() {
		payload := bytes.Repeat([]byte{0, 255, '\n', 'x'}, 1000)
		var got *http.Request
		var body []byte
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			got = r
			body, _ = io.ReadAll(r.Body)
			w.Header().Set("Content-Type", "text/x")
			_, _ = w.Write([]byte("answer"))
		}))
		defer srv.Close()
		cfg := testConfig()
		cfg.SharedKey = "secret"
		r := New(&testClock{now: 1}, cfg, func() {})
		lease := announce(r, "u", func(a *Announcement) { a.URL = srv.URL + "/base/" })
		s := r.Acquire("echo", gypsumtide.ClassShort)
		ref := wire.TaskRef{Submission: gypsumtide.SubmissionID{1}, Task: 3, Epoch: 9}
		res := s.Run(context.Background(), &wire.Dispatch{TaskRef: ref, Service: "echo", Payload: payload, ContentType: "a/b"}, 123)
		So(res.State, ShouldEqual, wire.TaskDone)
		So(res.TaskRef, ShouldResemble, ref)
		So(string(res.Body), ShouldEqual, "answer")
		So(res.ContentType, ShouldEqual, "text/x")
		So(bytes.Equal(body, payload), ShouldBeTrue)
		So(got.URL.Path, ShouldEqual, "/base/tasks")
		for name, want := range map[string]string{
			HeaderSubmission: ref.Submission.String(), HeaderTask: "3", HeaderService: "echo", HeaderBudget: "123",
			HeaderLease: strconv.FormatUint(lease.Generation, 10), "Content-Type": "a/b", "Authorization": "Bearer secret",
		} {
			So(name+" "+got.Header.Get(name), ShouldEqual, name+" "+want)
		}
		So(s.Stop(context.Background(), ref), ShouldBeNil)
		So(got.URL.Path, ShouldEqual, "/base/tasks/"+ref.Submission.String()+"/3/stop")
	})
}

// TestRunTLS guards against a wrong "not started" over TLS, where the counted
// connection is wrapped in a tls.Conn, and against upstreams whose certificate is not
// verified.
func TestRunTLS(t *testing.T) {
	broken := false
	srv := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if broken {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte("x"))
	}))
	defer srv.Close()
	pool := x509.NewCertPool()
	pool.AddCert(srv.Certificate())
	for _, c := range []struct {
		name    string
		trusted bool
		broken  bool
		state   wire.TaskState
	}{
		{"trusted certificate", true, false, wire.TaskDone},
		{"trusted certificate, connection broken after the request", true, true, wire.TaskUnknown},
		{"certificate not trusted", false, false, wire.TaskNotStarted},
	} {
		Convey(c.name, t, func() {
			broken = c.broken
			cfg := testConfig()
			if c.trusted {
				cfg.TLS = func() (*tls.Config, error) { return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}, nil }
			}
			r := New(&testClock{now: 1}, cfg, func() {})
			announce(r, "u", func(a *Announcement) { a.URL = srv.URL })
			So(runTask(r, 1, "payload").State, ShouldEqual, c.state)
		})
	}
}

// BenchmarkSlot measures how long the registry takes to acquire and release a slot,
// without the network.
func BenchmarkSlot(b *testing.B) {
	r := New(&testClock{now: 1}, testConfig(), func() {})
	if _, err := r.Announce(Announcement{Name: "u", URL: "http://127.0.0.1:1", Services: []string{"echo"}}); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for range b.N {
		r.Acquire("echo", gypsumtide.ClassShort).Release(wire.Result{State: wire.TaskDone, Status: 200})
	}
}
