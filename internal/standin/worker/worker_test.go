package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/upstream"
)

// fixture is a running worker that gets its leases from an agent's registry.
type fixture struct {
	registry *upstream.Registry
	w        *Worker
	cancel   context.CancelFunc
	done     chan error
	// onAnnouncement runs after the registry has handled an announcement and before
	// the worker can read the response.
	onAnnouncement func()
}

// newFixture starts a worker and waits until it has a lease.
func newFixture(t *testing.T, change func(cfg *Config)) *fixture {
	f := &fixture{done: make(chan error, 1)}
	f.registry = upstream.New(gypsumtide.NewSystemClock(), upstream.Config{DefaultSlots: 8, DefaultConnections: 64, DefaultTTL: 1000, Health: upstream.DefaultHealth()}, func() {})
	h := f.registry.Handler()
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(w, r)
		if r.Method == http.MethodPost && f.onAnnouncement != nil {
			f.onAnnouncement()
		}
	}))
	t.Cleanup(agent.Close)
	cfg := DefaultConfig()
	cfg.Agent = agent.URL
	cfg.DrainTimeout = time.Second
	if change != nil {
		change(&cfg)
	}
	w, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	f.w = w
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go func() {
		f.done <- w.Run(ctx)
		close(f.done)
	}()
	t.Cleanup(func() {
		cancel()
		<-f.done
	})
	waitFor(t, func() bool { return f.generation() != "0" })
	return f
}

// generation returns the generation of the worker's lease; 0 means no lease.
func (f *fixture) generation() string {
	f.w.mu.Lock()
	defer f.w.mu.Unlock()
	return strconv.FormatUint(f.w.leaseGeneration, 10)
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the condition was not met within 5 s")
		}
	}
}

// post sends a task and returns the status, the not-started header and the body.
func post(url, lease string, task int, payload string) (int, string, string) {
	req, _ := http.NewRequest(http.MethodPost, url+"/tasks", strings.NewReader(payload))
	req.Header.Set(upstream.HeaderSubmission, "job")
	req.Header.Set(upstream.HeaderTask, strconv.Itoa(task))
	req.Header.Set(upstream.HeaderLease, lease)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(upstream.HeaderNotStarted), string(data)
}

// post sends a task to the worker with its current lease.
func (f *fixture) post(task int, payload string) (int, string, string) {
	return post("http://"+f.w.Address(), f.generation(), task, payload)
}

// Guards against a stand-in that starts tasks without a valid lease, or marks
// started tasks as not started. Both would hide faults of the dispatcher or
// report faults that it does not have.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(f *fixture) (lease string)
		status  int
	}{
		{"valid lease", func(f *fixture) string { return f.generation() }, 200},
		{"no lease", func(*fixture) string { return "" }, 503},
		{"another lease generation", func(f *fixture) string { return f.generation() + "0" }, 503},
		{"expired lease", func(f *fixture) string {
			f.w.SetFaults(Faults{PauseRenewals: true})
			time.Sleep(350 * time.Millisecond)
			return f.generation()
		}, 503},
		{"fault refuse", func(f *fixture) string { f.w.SetFaults(Faults{Refuse: true}); return f.generation() }, 503},
		{"fault fail-all", func(f *fixture) string { f.w.SetFaults(Faults{FailAll: true}); return f.generation() }, 500},
	}
	for _, c := range cases {
		Convey(c.name, t, func() {
			f := newFixture(t, func(cfg *Config) { cfg.TTL = 300 })
			lease := c.prepare(f)
			status, notStarted, _ := post("http://"+f.w.Address(), lease, 1, `{"run-ms":1}`)
			So(status, ShouldEqual, c.status)
			So(notStarted == "true", ShouldEqual, c.status == 503)
			So(f.w.Starts(), ShouldEqual, map[bool]int{true: 0, false: 1}[c.status == 503])
		})
	}
	Convey("an upstream without a free slot refuses a task", t, func() {
		f := newFixture(t, func(cfg *Config) { cfg.Slots = 1 })
		done := make(chan int, 1)
		go func() {
			status, _, _ := f.post(1, `{"run-ms":200}`)
			done <- status
		}()
		waitFor(t, func() bool { return f.w.Starts() == 1 })
		status, notStarted, _ := f.post(2, `{}`)
		So(status, ShouldEqual, 503)
		So(notStarted, ShouldEqual, "true")
		So(<-done, ShouldEqual, 200)
	})
}

// Guards against refusing the first tasks after an announcement: the agent may
// send one before the upstream has read the new lease generation.
func TestTaskDuringAnnouncement(t *testing.T) {
	Convey("a task that arrives before the response to the announcement runs", t, func() {
		status := make(chan int, 1)
		f := newFixture(t, nil)
		first, err := strconv.ParseUint(f.generation(), 10, 64)
		So(err, ShouldBeNil)
		f.onAnnouncement = func() {
			go func() {
				s, _, _ := post("http://"+f.w.Address(), strconv.FormatUint(first+1, 10), 1, `{"run-ms":1}`)
				status <- s
			}()
			time.Sleep(50 * time.Millisecond)
		}
		// The agent does not know this generation, so the renewal fails and the worker
		// announces its upstream again.
		f.w.mu.Lock()
		f.w.leaseGeneration = 1
		f.w.mu.Unlock()
		So(f.w.renewOrAnnounce(context.Background()), ShouldBeNil)
		So(<-status, ShouldEqual, 200)
	})
}

// Guards against responses that cannot be matched to their task, and a history
// with missing or duplicate events.
func TestAnswerAndHistory(t *testing.T) {
	Convey("responses identify their task and the history holds each start and end once", t, func() {
		path := filepath.Join(t.TempDir(), "history")
		f := newFixture(t, func(cfg *Config) { cfg.History = path })
		for i := range 3 {
			status, _, body := f.post(i, fmt.Sprintf(`{"run-ms":1,"fail":%t,"echo":{"n":%d}}`, i == 2, i))
			So(status, ShouldEqual, map[bool]int{true: 500, false: 200}[i == 2])
			var a Answer
			So(json.Unmarshal([]byte(body), &a), ShouldBeNil)
			So(a.Submission, ShouldEqual, "job")
			So(a.Task, ShouldEqual, i)
			So(string(a.Echo), ShouldEqual, fmt.Sprintf(`{"n":%d}`, i))
		}
		f.cancel()
		So(<-f.done, ShouldBeNil)
		data, err := os.ReadFile(path)
		So(err, ShouldBeNil)
		var got []string
		for _, line := range strings.Split(strings.TrimSpace(string(data)), "\n") {
			var e Event
			So(json.Unmarshal([]byte(line), &e), ShouldBeNil)
			So(e.Upstream, ShouldEqual, "upstream-1")
			got = append(got, fmt.Sprint(e.Event, e.Task))
		}
		So(strings.Join(got, " "), ShouldEqual, "start0 end0 start1 end1 start2 end2")
	})
}

// Guards against control actions and a slow factor that have no effect. Tests of
// stragglers rely on them.
func TestControl(t *testing.T) {
	controlTask := func(f *fixture, action string) (int, string) {
		resp, err := http.Post("http://"+f.w.Address()+"/tasks/job/1/"+action, "", nil)
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data)
	}
	run := func(f *fixture, payload string) chan string {
		done := make(chan string, 1)
		go func() {
			_, _, body := f.post(1, payload)
			done <- body
		}()
		waitFor(t, func() bool { return f.w.running() == 1 })
		return done
	}
	Convey("stop ends a hanging task", t, func() {
		f := newFixture(t, nil)
		f.w.SetFaults(Faults{Hang: true})
		done := run(f, `{"run-ms":1}`)
		code, _ := controlTask(f, "stop")
		So(code, ShouldEqual, 204)
		So(<-done, ShouldContainSubstring, `"stopped":true`)
		code, _ = controlTask(f, "stop")
		So(code, ShouldEqual, 404)
	})
	Convey("throttle slows a task down, checkpoint returns the remaining run time", t, func() {
		f := newFixture(t, nil)
		start := time.Now()
		done := run(f, `{"run-ms":200}`)
		code, _ := controlTask(f, "throttle")
		So(code, ShouldEqual, 204)
		code, body := controlTask(f, "checkpoint")
		So(code, ShouldEqual, 200)
		So(body, ShouldContainSubstring, "left-ms")
		<-done
		So(time.Since(start), ShouldBeGreaterThan, 350*time.Millisecond)
	})
	Convey("the slow factor multiplies run times", t, func() {
		f := newFixture(t, nil)
		f.w.SetFaults(Faults{SlowFactor: 4})
		start := time.Now()
		f.post(1, `{"run-ms":50}`)
		So(time.Since(start), ShouldBeGreaterThanOrEqualTo, 200*time.Millisecond)
	})
}

// Guards against an upstream that does not announce itself again after its lease
// expired, reports its usage without the lag, exits while tasks run, or does
// not call the exit function on the fault die.
func TestLeaseUsageAndLeave(t *testing.T) {
	Convey("the upstream announces itself again after its lease expired", t, func() {
		f := newFixture(t, func(cfg *Config) { cfg.TTL = 150 })
		first := f.generation()
		f.w.SetFaults(Faults{PauseRenewals: true})
		time.Sleep(200 * time.Millisecond)
		f.w.SetFaults(Faults{})
		waitFor(t, func() bool { return f.generation() != first })
	})
	Convey("usage is reported with its lag", t, func() {
		f := newFixture(t, func(cfg *Config) { cfg.UsageLag = 400 })
		go f.post(1, `{"run-ms":600}`)
		waitFor(t, func() bool { return f.w.running() == 1 })
		time.Sleep(200 * time.Millisecond)
		So(f.w.lastReportedUsage(), ShouldResemble, gypsumtide.Size{})
		waitFor(t, func() bool { return f.w.lastReportedUsage().Processors == taskProcessors })
	})
	Convey("running tasks finish before the worker exits", t, func() {
		f := newFixture(t, nil)
		done := make(chan int, 1)
		go func() {
			status, _, _ := f.post(1, `{"run-ms":200}`)
			done <- status
		}()
		waitFor(t, func() bool { return f.w.running() == 1 })
		f.cancel()
		waitFor(t, func() bool { return !f.registry.Serves("echo") })
		status, notStarted, _ := f.post(2, `{}`)
		So(status, ShouldEqual, 503)
		So(notStarted, ShouldEqual, "true")
		So(<-done, ShouldEqual, 200)
		So(<-f.done, ShouldBeNil)
	})
	Convey("the fault die calls the exit function", t, func() {
		died := make(chan struct{})
		f := newFixture(t, func(cfg *Config) { cfg.Exit = func() { close(died) } })
		req, _ := http.NewRequest(http.MethodPut, "http://"+f.w.Address()+"/faults", strings.NewReader(`{"die":true}`))
		resp, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		_ = resp.Body.Close()
		<-died
	})
}
