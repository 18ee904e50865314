package entry

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/agent"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/platformlog"
	"gypsumtide/internal/standin/worker"
	"gypsumtide/internal/wire"
)

// startZone runs an agent with a worker in the availability zone, and returns the worker and
// a function that stops both. They are stopped at the end of the test at the latest.
func startZone(t *testing.T, zone string, entries ...*Entry) (*worker.Worker, func()) {
	cfg := settings.DefaultAgent()
	cfg.Listen, cfg.Name, cfg.Zone, cfg.DrainTimeout, cfg.Entries = "127.0.0.1:0", "agent-"+zone, zone, 1_000, nil
	for _, e := range entries {
		cfg.Entries = append(cfg.Entries, e.cfg.URL)
	}
	a, err := agent.New(cfg, logr.Discard(), gypsumtide.NewSystemClock())
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	eventually(t, "the agent's address", func() bool { return a.Address() != "" })
	workerConfig := worker.DefaultConfig()
	workerConfig.Agent, workerConfig.Slots = "http://"+a.Address(), 2
	w, err := worker.New(workerConfig)
	So(err, ShouldBeNil)
	go func() { done <- w.Run(ctx) }()
	stopped := false
	stop := func() {
		if !stopped {
			stopped = true
			cancel()
			<-done
			<-done
		}
	}
	t.Cleanup(stop)
	return w, stop
}

// run submits a job of n tasks of 20 ms and returns its answer.
func (e *Entry) run(n int) wire.Answer {
	id, err := e.localID()
	So(err, ShouldBeNil)
	req := &wire.Job{Submission: id, Service: "echo", Deadline: 5_000, Tasks: make([]wire.JobTask, n)}
	for i := range req.Tasks {
		req.Tasks[i] = wire.JobTask{Payload: []byte(`{"run-ms":20}`), ContentType: jsonType}
	}
	return e.Submit(context.Background(), req, true)
}

// publish publishes a set that evacuates the zones and waits until every entry and agent
// reports its revision.
func (e *Entry) publish(t *testing.T, zones ...string) {
	var text strings.Builder
	for _, zone := range zones {
		fmt.Fprintf(&text, "---\nkind: evacuation\nname: drill-%s\navailability-zone: %s\n", zone, zone)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	revision, err := e.publisher.Publish(ctx, e.publisher.Current().Number(), []byte(text.String()), "test")
	So(err, ShouldBeNil)
	eventually(t, "the revision at all nodes", func() bool {
		nodes, err := operatorBackend{e}.Nodes(ctx)
		for _, n := range nodes {
			if n.Revision < revision {
				return false
			}
		}
		return err == nil
	})
}

// Guards against a task that starts in an evacuated zone, at any entry and also after the
// agents of the zone have restarted, and against work that is not served elsewhere or later.
func TestEvacuationOfProcesses(t *testing.T) {
	Convey("Given two entries and agents in two zones", t, func() {
		log, err := platformlog.StartLocal(platformlog.DefaultSettings())
		So(err, ShouldBeNil)
		t.Cleanup(func() { _ = log.Stop() })
		a, b := startEntry(t, "entry-a", log.URL(), nil), startEntry(t, "entry-b", log.URL(), nil)
		w1, stop1 := startZone(t, "z1", a, b)
		w2, _ := startZone(t, "z2", a, b)
		connected := func(n int) func() bool {
			return func() bool {
				for _, e := range []*Entry{a, b} {
					e.home.mu.Lock()
					described := e.home.describedAgents()
					e.home.mu.Unlock()
					if described < n || !e.ready() || e.presentAgents() < n {
						return false
					}
				}
				return true
			}
		}
		eventually(t, "readiness", connected(2))
		for _, e := range []*Entry{a, b} {
			So(e.run(8).Outcome, ShouldEqual, complete)
		}
		So(w1.Starts(), ShouldBeGreaterThan, 0)

		a.publish(t, "z1")
		starts1, starts2 := w1.Starts(), w2.Starts()
		for _, e := range []*Entry{a, b} {
			e.home.mu.Lock()
			set := e.home.evacuations
			e.home.mu.Unlock()
			So(set, ShouldResemble, gypsumtide.Evacuations{Version: 1, Zones: []string{"z1"}})
			So(e.run(8).Outcome, ShouldEqual, complete)
		}
		So(w1.Starts(), ShouldEqual, starts1)
		So(w2.Starts(), ShouldEqual, starts2+16)

		stop1()
		w1, _ = startZone(t, "z1", a, b)
		eventually(t, "the restarted agent", func() bool {
			nodes, err := operatorBackend{a}.Nodes(context.Background())
			So(err, ShouldBeNil)
			evacuated := 0
			for _, n := range nodes {
				if n.State == "evacuated" {
					evacuated++
				}
			}
			return evacuated == 1 && len(nodes) == 4
		})
		for _, e := range []*Entry{a, b} {
			So(e.run(8).Outcome, ShouldEqual, complete)
		}
		So(w1.Starts(), ShouldEqual, 0)

		b.publish(t, "z1", "z2")
		time.Sleep(agentsSettleTime.Duration())
		begin := time.Now()
		refusal := b.run(1)
		So(refusal.Outcome, ShouldEqual, notRun)
		So(refusal.Problem.Type, ShouldEqual, zoneEvacuatedProblemType)
		So(time.Since(begin), ShouldBeLessThan, time.Second)

		b.publish(t)
		for w1.Starts() == 0 {
			So(a.run(8).Outcome, ShouldEqual, complete)
		}
	})
}

// Guards against an entry that becomes the home of shards, and places tasks, before it knows
// the configuration.
func TestStartAwaitsConfiguration(t *testing.T) {
	Convey("Given a log whose configuration stream does not answer", t, func() {
		log, err := platformlog.StartLocal(platformlog.DefaultSettings())
		So(err, ShouldBeNil)
		t.Cleanup(func() { _ = log.Stop() })
		target, err := url.Parse(log.URL())
		So(err, ShouldBeNil)
		proxy := httputil.NewSingleHostReverseProxy(target)
		var answers atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.Contains(r.URL.Path, configurationStream) && !answers.Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			proxy.ServeHTTP(w, r)
		}))
		t.Cleanup(server.Close)
		e := startEntry(t, "entry-a", server.URL, nil)
		serving := func() bool {
			_, ok := e.shardManager.Serving(0)
			return ok
		}
		eventually(t, "the shards stream", e.shardsFollower.Ready)
		time.Sleep(time.Second)
		So(serving(), ShouldBeFalse)
		answers.Store(true)
		eventually(t, "the home of a shard", serving)
	})
}
