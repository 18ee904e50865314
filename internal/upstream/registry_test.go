package upstream

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// testClock is a clock whose monotonic time the test sets. Its wall time is constant.
type testClock struct{ now gypsumtide.Millis }

func (c *testClock) Now() gypsumtide.Millis  { return c.now }
func (c *testClock) Wall() gypsumtide.Millis { return 1_800_000_000_000 }

func testConfig() Config {
	return Config{DefaultSlots: 8, DefaultConnections: 64, DefaultTTL: 1000, ReserveShortPercent: 25, MaxRunTime: 5000, MaxResponseBytes: 1 << 16, Health: DefaultHealth()}
}

func newTestRegistry() (*Registry, *testClock) {
	clock := &testClock{now: 1}
	return New(clock, testConfig(), func() {}), clock
}

func announce(r *Registry, name string, change func(a *Announcement)) Lease {
	a := Announcement{Name: name, URL: "http://127.0.0.1:1", Services: []string{"echo"}}
	if change != nil {
		change(&a)
	}
	lease, err := r.Announce(a)
	So(err, ShouldBeNil)
	return lease
}

func done(status int) wire.Result { return wire.Result{State: wire.TaskDone, Status: status} }

// TestLease guards against tasks that start at an upstream that has an expired lease,
// is leaving or provides another service, and against renewals of a stale lease.
func TestLease(t *testing.T) {
	cases := []struct {
		name   string
		act    func(r *Registry, clock *testClock, lease Lease)
		usable bool
	}{
		{"fresh", func(*Registry, *testClock, Lease) {}, true},
		{"last valid moment", func(_ *Registry, c *testClock, _ Lease) { c.now += 999 }, true},
		{"expired", func(_ *Registry, c *testClock, _ Lease) { c.now += 1000 }, false},
		{"renewed", func(r *Registry, c *testClock, l Lease) {
			c.now += 900
			_, err := r.Renew("u", l.Generation)
			So(err, ShouldBeNil)
			c.now += 900
		}, true},
		{"renewed too late", func(r *Registry, c *testClock, l Lease) {
			c.now += 1000
			_, err := r.Renew("u", l.Generation)
			So(err, ShouldEqual, ErrStaleLease)
		}, false},
		{"renewed with an older generation", func(r *Registry, c *testClock, l Lease) {
			announce(r, "u", nil)
			c.now += 900
			_, err := r.Renew("u", l.Generation)
			So(err, ShouldEqual, ErrStaleLease)
			c.now += 900
		}, false},
		{"announced again after expiry", func(r *Registry, c *testClock, l Lease) {
			c.now += 5000
			So(announce(r, "u", nil).Generation, ShouldBeGreaterThan, l.Generation)
		}, true},
		{"leaving", func(r *Registry, _ *testClock, _ Lease) { So(r.Leave("u"), ShouldBeNil) }, false},
	}
	for _, c := range cases {
		Convey("lease: "+c.name, t, func() {
			r, clock := newTestRegistry()
			lease := announce(r, "u", nil)
			So(r.Acquire("other", gypsumtide.ClassShort), ShouldBeNil)
			c.act(r, clock, lease)
			So(r.Serves("echo"), ShouldEqual, c.usable)
			So(r.Acquire("echo", gypsumtide.ClassShort) != nil, ShouldEqual, c.usable)
		})
	}
	Convey("a leaving upstream is listed until its tasks end", t, func() {
		r, clock := newTestRegistry()
		announce(r, "u", nil)
		s := r.Acquire("echo", gypsumtide.ClassShort)
		So(r.Leave("u"), ShouldBeNil)
		clock.now += 5000
		So(r.Announced(), ShouldHaveLength, 1)
		So(r.Announced()[0].Leaving, ShouldBeTrue)
		s.Release(done(200))
		So(r.Announced(), ShouldBeEmpty)
	})
}

// TestSlots guards against more running tasks than slots or connections, and against
// long tasks that use the slots reserved for short ones.
func TestSlots(t *testing.T) {
	cases := []struct {
		slots, connections, short, long int
	}{
		{8, 64, 8, 6}, {4, 64, 4, 3}, {1, 64, 1, 1}, {8, 3, 3, 3}, {16, 64, 16, 12},
	}
	for _, c := range cases {
		Convey(fmt.Sprintf("%d slots and %d connections", c.slots, c.connections), t, func() {
			// count returns the number of tasks of the class that get a slot when the last
			// short task was sinceShort ago.
			count := func(class gypsumtide.Class, sinceShort gypsumtide.Millis) int {
				r, clock := newTestRegistry()
				announce(r, "u", func(a *Announcement) { a.Slots, a.Connections, a.TTL = c.slots, c.connections, 60_000 })
				if s := r.Acquire("echo", gypsumtide.ClassShort); s != nil {
					s.Cancel()
				}
				clock.now += sinceShort
				n := 0
				for r.Acquire("echo", class) != nil {
					n++
				}
				return n
			}
			So(count(gypsumtide.ClassShort, 0), ShouldEqual, c.short)
			So(count(gypsumtide.ClassLong, ShortReserveWindow-1), ShouldEqual, c.long)
			// Without a recent short task no slot is reserved.
			So(count(gypsumtide.ClassLong, ShortReserveWindow), ShouldEqual, c.short)
		})
	}
	Convey("a released or cancelled slot of a long task is free for the next long task", t, func() {
		r, _ := newTestRegistry()
		announce(r, "u", func(a *Announcement) { a.Slots = 1 })
		for range 3 {
			s := r.Acquire("echo", gypsumtide.ClassLong)
			So(s, ShouldNotBeNil)
			So(r.Acquire("echo", gypsumtide.ClassShort), ShouldBeNil)
			s.Release(done(200))
		}
		r.Acquire("echo", gypsumtide.ClassLong).Cancel()
		So(r.Acquire("echo", gypsumtide.ClassLong), ShouldNotBeNil)
	})
}

// TestEjection guards against an upstream that fails every task and is not ejected, one
// that is ejected after a few failures, and one that stays ejected forever.
func TestEjection(t *testing.T) {
	observe := func(r *Registry, failures, successes int) {
		for i := range failures + successes {
			s := r.Acquire("echo", gypsumtide.ClassShort)
			So(s, ShouldNotBeNil)
			if i < failures {
				s.Release(done(500))
			} else {
				s.Release(done(200))
			}
		}
	}
	cases := []struct {
		name                string
		failures, successes int
		ejected             bool
	}{
		{"only failures, but too few results", 7, 0, false},
		{"all results are failures", 8, 0, true},
		{"two thirds are failures", 6, 3, false},
	}
	for _, c := range cases {
		Convey("ejection: "+c.name, t, func() {
			r, _ := newTestRegistry()
			announce(r, "u", nil)
			observe(r, c.failures, c.successes)
			So(r.Announced()[0].Ejected, ShouldEqual, c.ejected)
		})
	}
	Convey("failures outside the window do not count", t, func() {
		r, clock := newTestRegistry()
		announce(r, "u", func(a *Announcement) { a.TTL = 100_000 })
		observe(r, 7, 0)
		clock.now += DefaultHealth().Window + 1
		observe(r, 7, 0)
		So(r.Announced()[0].Ejected, ShouldBeFalse)
	})
	Convey("probes run one at a time with a growing back-off until the upstream serves again", t, func() {
		r, clock := newTestRegistry()
		announce(r, "u", func(a *Announcement) { a.TTL = 100_000 })
		observe(r, 8, 0)
		clock.now += 999
		So(r.Announced()[0].Ejected, ShouldBeTrue)
		clock.now++
		So(r.Announced()[0].Ejected, ShouldBeFalse)
		So(r.Announced()[0].Slots, ShouldEqual, 1)
		s := r.Acquire("echo", gypsumtide.ClassShort)
		So(r.Acquire("echo", gypsumtide.ClassShort), ShouldBeNil)
		s.Release(done(500))
		clock.now += 1999
		So(r.Announced()[0].Ejected, ShouldBeTrue)
		clock.now++
		observe(r, 0, 3)
		So(r.Announced()[0].Slots, ShouldEqual, 8)
	})
	Convey("an ejected upstream is used only if no other one serves the service", t, func() {
		r, _ := newTestRegistry()
		announce(r, "bad", nil)
		observe(r, 8, 0)
		So(r.Acquire("echo", gypsumtide.ClassShort).Upstream(), ShouldEqual, "bad")
		announce(r, "good", func(a *Announcement) { a.Slots = 1 })
		So(r.Acquire("echo", gypsumtide.ClassShort).Upstream(), ShouldEqual, "good")
		So(r.Acquire("echo", gypsumtide.ClassShort), ShouldBeNil)
	})
}

// TestHandler guards against wrong status codes of the lease endpoints, by which an
// upstream decides whether to announce itself again, and against access without the
// key.
func TestHandler(t *testing.T) {
	call := func(h http.Handler, method, path, body, key string) (int, Lease) {
		req := httptest.NewRequest(method, path, bytes.NewBufferString(body))
		if key != "" {
			req.Header.Set("Authorization", "Bearer "+key)
		}
		rec := httptest.NewRecorder()
		h.ServeHTTP(rec, req)
		var l Lease
		_ = json.Unmarshal(rec.Body.Bytes(), &l)
		return rec.Code, l
	}
	const valid = `{"name":"u","url":"http://127.0.0.1:1","services":["echo"]}`
	Convey("announce, renew and leave", t, func() {
		r, clock := newTestRegistry()
		h := r.Handler()
		status, lease := call(h, "POST", "/v1/upstreams", valid, "")
		So(status, ShouldEqual, 200)
		So(lease.TTL, ShouldEqual, 1000)
		renew := fmt.Sprintf(`{"generation":%d,"used":{"processors-milli":5}}`, lease.Generation)
		status, _ = call(h, "PUT", "/v1/upstreams/u/lease", renew, "")
		So(status, ShouldEqual, 200)
		So(r.Used().Processors, ShouldEqual, 5)
		status, _ = call(h, "PUT", "/v1/upstreams/u/lease", `{"generation":1}`, "")
		So(status, ShouldEqual, 409)
		status, _ = call(h, "PUT", "/v1/upstreams/x/lease", renew, "")
		So(status, ShouldEqual, 404)
		clock.now += 1000
		status, _ = call(h, "PUT", "/v1/upstreams/u/lease", renew, "")
		So(status, ShouldEqual, 409)
		status, _ = call(h, "DELETE", "/v1/upstreams/u", "", "")
		So(status, ShouldEqual, 204)
		status, _ = call(h, "DELETE", "/v1/upstreams/u", "", "")
		So(status, ShouldEqual, 404)
	})
	for _, invalid := range []string{``, `{`, `{"name":"","url":"http://a","services":["s"]}`, `{"name":"u","url":"ftp://a","services":["s"]}`,
		`{"name":"u","url":"http://a"}`, `{"name":"u","url":"http://a","services":["s"],"slots":-1}`, `{"name":"u","url":"http://a","services":["s"],"ttl-ms":-5}`} {
		Convey("refused announcement "+invalid, t, func() {
			r, _ := newTestRegistry()
			status, _ := call(r.Handler(), "POST", "/v1/upstreams", invalid, "")
			So(status, ShouldEqual, 400)
			So(r.Announced(), ShouldBeEmpty)
		})
	}
	Convey("the key is required if it is set", t, func() {
		cfg := testConfig()
		cfg.SharedKey = "secret"
		h := New(&testClock{now: 1}, cfg, func() {}).Handler()
		for key, want := range map[string]int{"": 401, "wrong": 401, "secret": 200} {
			status, _ := call(h, "POST", "/v1/upstreams", valid, key)
			So(status, ShouldEqual, want)
		}
	})
}

// FuzzAnnounce guards against announcements that pass validation and then offer an
// upstream without a name, a service or a positive number of slots.
func FuzzAnnounce(f *testing.F) {
	f.Add([]byte(`{"name":"u","url":"http://127.0.0.1:1","services":["echo"],"slots":2,"ttl-ms":10}`))
	f.Add([]byte(`{"name":"u","url":"http://[::1]:1/x?y","services":[""],"connections":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, _ := newTestRegistry()
		req := httptest.NewRequest("POST", "/v1/upstreams", bytes.NewReader(data))
		rec := httptest.NewRecorder()
		r.Handler().ServeHTTP(rec, req)
		if rec.Code != 200 && rec.Code != 400 {
			t.Fatalf("status %d", rec.Code)
		}
		for _, u := range r.Announced() {
			if u.Name == "" || len(u.Services) == 0 || u.Slots < 1 {
				t.Fatalf("invalid upstream announced: %+v", u)
			}
		}
	})
}
