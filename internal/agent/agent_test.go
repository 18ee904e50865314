package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/worker"
	"gypsumtide/internal/wire"
)

// fixture is a connected entry, agent and worker.
type fixture struct {
	e        *fakeEntry
	a        *Agent
	w        *worker.Worker
	agentRun *goroutine
	id       gypsumtide.SubmissionID
}

func newFixture(t *testing.T, slots int, change func(cfg *settings.Agent)) *fixture {
	f := &fixture{e: newFakeEntry(t, "entry"), id: newID(t)}
	f.a, f.agentRun = startAgent(t, change, f.e)
	f.w, _ = startWorker(t, f.a, func(cfg *worker.Config) { cfg.Slots = slots })
	f.e.announced("upstream", serving(slots))
	return f
}

func (f *fixture) ref(task uint32, epoch uint64) wire.TaskRef {
	return wire.TaskRef{Submission: f.id, Task: task, Epoch: epoch}
}

// running dispatches a task with the given run time and waits until it has started.
func (f *fixture) running(task uint32, epoch uint64, runMillis int) wire.TaskRef {
	ref := f.ref(task, epoch)
	before := f.w.Starts()
	f.e.dispatch(dispatch(ref, fmt.Sprintf(`{"run-ms":%d,"echo":"%d"}`, runMillis, task)))
	f.e.wait("start", func() bool {
		if list := f.e.resultsLocked(ref); len(list) > 0 && list[0].State == wire.TaskNotStarted {
			f.e.t.Errorf("task %d is refused: %s", task, list[0].Reason)
			return true
		}
		return f.w.Starts() > before
	})
	return ref
}

// queued dispatches a task that has to wait for a slot, and returns when it is queued.
func (f *fixture) queued(task uint32, epoch uint64, change func(d *wire.Dispatch)) wire.TaskRef {
	ref := f.ref(task, epoch)
	d := dispatch(ref, `{"run-ms":1}`)
	if change != nil {
		change(&d)
	}
	n := f.a.queueLen()
	f.e.dispatch(d)
	f.e.wait("queue", func() bool { return f.a.queueLen() > n })
	return ref
}

func (a *Agent) queueLen() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.len()
}

// Guards against results that are lost, duplicated or sent for another task between
// the dispatch and the response of the upstream.
func TestEndToEnd(t *testing.T) {
	Convey("40 tasks of a submission end with their own results", t, func() {
		f := newFixture(t, 8, nil)
		var ds []wire.Dispatch
		for i := range uint32(40) {
			ds = append(ds, dispatch(f.ref(i, 1), fmt.Sprintf(`{"run-ms":5,"echo":%d}`, i)))
		}
		f.e.dispatch(ds...)
		for i := range uint32(40) {
			r := f.e.result(f.ref(i, 1), 1)
			So(r.State, ShouldEqual, wire.TaskDone)
			So(r.Status, ShouldEqual, 200)
			So(r.Epoch, ShouldEqual, 1)
			var body worker.Answer
			So(json.Unmarshal(r.Body, &body), ShouldBeNil)
			So(body.Submission, ShouldEqual, f.id.String())
			So(body.Task, ShouldEqual, i)
			So(string(body.Echo), ShouldEqual, fmt.Sprint(i))
		}
		So(f.w.Starts(), ShouldEqual, 40)
		So(len(f.e.results(f.ref(0, 1))), ShouldEqual, 1)
	})
}

// Guards against tasks that start although they must be refused, and against refusals
// with a wrong reason, by which the home decides where to send the task next.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name   string
		change func(d *wire.Dispatch)
		echo   func(now gypsumtide.Millis) gypsumtide.Millis
		reason string
	}{
		{"echo too old", nil, func(now gypsumtide.Millis) gypsumtide.Millis { return now - 300 }, wire.ReasonCreditExpired},
		{"no echo", nil, func(gypsumtide.Millis) gypsumtide.Millis { return 0 }, wire.ReasonCreditExpired},
		{"no budget", func(d *wire.Dispatch) { d.Budget = 0 }, nil, wire.ReasonDeadline},
		{"budget used up in the queue", func(d *wire.Dispatch) { d.Budget = 30 }, nil, wire.ReasonDeadline},
		{"unknown service", func(d *wire.Dispatch) { d.Service = "other" }, nil, wire.ReasonNoUpstream},
		{"lower epoch", func(d *wire.Dispatch) { d.Epoch = 1 }, nil, wire.ReasonFenced},
	}
	Convey("a busy agent", t, func() {
		f := newFixture(t, 1, func(cfg *settings.Agent) { cfg.MaxEchoAge = 200; cfg.QueueLength = 2 })
		f.running(100, 5, 1500)
		time.Sleep(320 * time.Millisecond)
		for i, c := range cases {
			d := dispatch(f.ref(uint32(i), 5), `{}`)
			if c.change != nil {
				c.change(&d)
			}
			f.e.send(func(fr *wire.Frame) {
				fr.Dispatches = append(fr.Dispatches, d)
				if c.echo != nil {
					fr.Echo = c.echo(f.a.clock.Now())
				}
			})
			r := f.e.result(d.TaskRef, 1)
			So(c.name+": "+r.State.String()+" "+r.Reason, ShouldEqual, c.name+": not-started "+c.reason)
		}
		f.queued(50, 5, nil)
		f.queued(51, 5, nil)
		f.e.dispatch(dispatch(f.ref(52, 5), `{}`))
		So(f.e.result(f.ref(52, 5), 1).Reason, ShouldEqual, wire.ReasonQueueFull)
		for _, task := range []uint32{100, 50, 51} {
			So(f.e.result(f.ref(task, 5), 1).State, ShouldEqual, wire.TaskDone)
		}
		So(f.w.Starts(), ShouldEqual, 3)
	})
}

// Guards against short tasks that wait behind long ones, and against long tasks that
// use the slots reserved for short ones.
func TestClasses(t *testing.T) {
	long := func(d *wire.Dispatch) { d.Class = gypsumtide.ClassLong }
	Convey("short tasks start before long ones, and tasks of a class in order of deadline", t, func() {
		f := newFixture(t, 1, nil)
		f.running(0, 1, 200)
		f.queued(1, 1, long)
		f.queued(2, 1, nil)
		f.queued(3, 1, func(d *wire.Dispatch) { d.Budget = 3000 })
		order := map[uint32]int{}
		for _, task := range []uint32{1, 2, 3} {
			f.e.result(f.ref(task, 1), 1)
		}
		f.e.mu.Lock()
		for _, fr := range f.e.frames {
			for _, r := range fr.Results {
				order[r.Task] = len(order)
			}
		}
		f.e.mu.Unlock()
		So(order[3], ShouldBeLessThan, order[2])
		So(order[2], ShouldBeLessThan, order[1])
	})
	Convey("long tasks leave the reserved slots free while there are short tasks", t, func() {
		f := newFixture(t, 4, nil)
		f.running(20, 1, 1)
		So(f.e.result(f.ref(20, 1), 1).State, ShouldEqual, wire.TaskDone)
		for i := range uint32(5) {
			d := dispatch(f.ref(i, 1), `{"run-ms":500}`)
			long(&d)
			f.e.dispatch(d)
		}
		f.e.wait("long tasks", func() bool { return f.w.Starts() == 4 && f.a.queueLen() == 2 })
		f.running(10, 1, 1)
		So(f.e.result(f.ref(10, 1), 1).State, ShouldEqual, wire.TaskDone)
		So(f.a.queueLen(), ShouldEqual, 2)
		So(f.w.Starts(), ShouldEqual, 5)
	})
}

// Guards against tasks that start under a lower epoch after a fence confirmation, and
// against results that do not reach the new home.
func TestTakeover(t *testing.T) {
	Convey("a new home on another entry", t, func() {
		f := newFixture(t, 1, nil)
		e2 := newFakeEntry(t, "entry-two")
		f.a.mu.Lock()
		f.a.addTarget(e2.server.URL, true)
		f.a.mu.Unlock()
		shard := f.id.Shard()
		run := f.running(0, 1, 300)
		waiting := f.queued(1, 1, nil)
		e2.send(func(fr *wire.Frame) {
			fr.FenceRequests = append(fr.FenceRequests, wire.ShardEpoch{Shard: shard, Epoch: 2})
		})
		So(e2.fenceConfirmed(shard, 1), ShouldEqual, 2)
		So(f.e.result(waiting, 1).Reason, ShouldEqual, wire.ReasonFenced)
		f.e.dispatch(dispatch(f.ref(2, 1), `{}`))
		So(f.e.result(f.ref(2, 1), 1).Reason, ShouldEqual, wire.ReasonFenced)
		e2.send(func(fr *wire.Frame) {
			fr.Recovers = append(fr.Recovers, wire.Recover{Submission: f.id, Shard: shard, Epoch: 2})
		})
		rec := e2.recovered(f.id)
		So(rec.Fenced, ShouldBeFalse)
		So(rec.Tasks, ShouldHaveLength, 1)
		So(rec.Tasks[0].State, ShouldEqual, wire.TaskRunning)
		r := e2.result(run, 1)
		So(r.State, ShouldEqual, wire.TaskDone)
		So(r.Epoch, ShouldEqual, 2)
		e2.dispatch(dispatch(f.ref(1, 2), `{"run-ms":1}`))
		So(e2.result(f.ref(1, 2), 1).State, ShouldEqual, wire.TaskDone)
		So(f.e.results(run), ShouldBeEmpty)
		So(f.w.Starts(), ShouldEqual, 2)
	})
}

// Guards against results that are lost when a session breaks, and against tasks whose
// state stays unknown or that run twice afterwards.
func TestBrokenSession(t *testing.T) {
	Convey("a query on the next session returns the state of every task", t, func() {
		f := newFixture(t, 1, nil)
		done, waiting, lost := f.running(0, 1, 300), f.queued(1, 1, nil), f.ref(2, 1)
		f.e.breakSession()
		f.e.send(func(fr *wire.Frame) { fr.Queries = append(fr.Queries, done, waiting, lost) })
		So(f.e.result(done, 1).State, ShouldEqual, wire.TaskRunning)
		So(f.e.result(waiting, 1).State, ShouldEqual, wire.TaskNotStarted)
		So(f.e.result(lost, 1).Reason, ShouldEqual, wire.ReasonNeverReceived)
		So(f.e.result(done, 2).State, ShouldEqual, wire.TaskDone)
		f.e.dispatch(dispatch(lost, `{"run-ms":1}`), dispatch(waiting, `{"run-ms":1}`))
		So(f.e.result(lost, 2).State, ShouldEqual, wire.TaskDone)
		So(f.e.result(waiting, 2).State, ShouldEqual, wire.TaskDone)
		f.e.breakSession()
		f.e.send(func(fr *wire.Frame) { fr.Queries = append(fr.Queries, done) })
		r := f.e.result(done, 3)
		So(r.State, ShouldEqual, wire.TaskDone)
		So(string(r.Body), ShouldContainSubstring, f.id.String())
		So(f.w.Starts(), ShouldEqual, 3)
	})
}

// Guards against recalled or cancelled tasks that start nevertheless, and against stop
// requests sent twice.
func TestRecallAndCancel(t *testing.T) {
	Convey("queued tasks are returned, a running one is stopped once", t, func() {
		f := newFixture(t, 1, nil)
		run, recalled, cancelled := f.running(0, 1, 3000), f.queued(1, 1, nil), f.queued(2, 1, nil)
		same := dispatch(f.ref(3, 1), `{}`)
		f.e.send(func(fr *wire.Frame) {
			fr.Dispatches = append(fr.Dispatches, same)
			fr.Recalls = append(fr.Recalls, recalled, run)
			fr.Cancels = append(fr.Cancels, cancelled, same.TaskRef)
		})
		So(f.e.result(recalled, 1).Reason, ShouldEqual, wire.ReasonRecalled)
		So(f.e.result(cancelled, 1).Reason, ShouldEqual, wire.ReasonCancelled)
		So(f.e.result(same.TaskRef, 1).Reason, ShouldEqual, wire.ReasonCancelled)
		So(f.e.result(run, 1).State, ShouldEqual, wire.TaskRunning)
		began := time.Now()
		f.e.send(func(fr *wire.Frame) { fr.Cancels = append(fr.Cancels, run, run) })
		f.e.wait("end", func() bool {
			list := f.e.resultsLocked(run)
			return list[len(list)-1].State == wire.TaskDone
		})
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		So(string(f.e.results(run)[len(f.e.results(run))-1].Body), ShouldContainSubstring, `"stopped":true`)
		So(f.w.Starts(), ShouldEqual, 1)
	})
}

// Guards against interrupted tasks and lost results at a graceful shutdown.
func TestDrain(t *testing.T) {
	Convey("running tasks finish and their results arrive, queued ones are returned", t, func() {
		f := newFixture(t, 1, nil)
		run, waiting := f.running(0, 1, 400), f.queued(1, 1, nil)
		f.agentRun.cancel()
		So(f.e.result(waiting, 1).Reason, ShouldEqual, wire.ReasonDraining)
		f.e.announced("draining", func(a *wire.Announcement) bool { return a.Draining })
		f.e.dispatch(dispatch(f.ref(2, 1), `{}`))
		So(f.e.result(f.ref(2, 1), 1).Reason, ShouldEqual, wire.ReasonDraining)
		So(f.agentRun.stop(), ShouldBeNil)
		r := f.e.results(run)
		So(r, ShouldHaveLength, 1)
		So(r[0].State, ShouldEqual, wire.TaskDone)
		So(f.w.Starts(), ShouldEqual, 1)
	})
	Convey("a task beyond the drain timeout becomes unknown", t, func() {
		f := newFixture(t, 1, func(cfg *settings.Agent) { cfg.DrainTimeout = 50 })
		run := f.running(0, 1, 3000)
		So(f.agentRun.stop(), ShouldBeNil)
		So(f.e.results(run), ShouldBeEmpty)
		So(f.a.Ledger().Query(run, 99).State, ShouldEqual, wire.TaskUnknown)
	})
}

// Guards against an agent that goes back to an older configuration or does not report
// the revision of its configuration.
func TestConfiguration(t *testing.T) {
	Convey("the highest revision stays in use", t, func() {
		f := newFixture(t, 1, nil)
		for _, c := range []struct{ sent, want uint64 }{{3, 3}, {2, 3}, {7, 7}, {3, 7}} {
			f.e.send(func(fr *wire.Frame) { fr.Config = &wire.Config{Revision: c.sent} })
			f.e.dispatch(dispatch(wire.TaskRef{Submission: newID(t), Epoch: 1}, `{}`))
			f.e.wait("revision", func() bool { return f.e.frames[len(f.e.frames)-1].Revision == c.want })
		}
	})
}

// Guards against entries that are never dialled, entries that are still dialled after
// they have left, and a second session with an entry that advertises another address.
func TestEntries(t *testing.T) {
	Convey("entries of a welcome are dialled and dropped", t, func() {
		first, second := newFakeEntry(t, "one"), newFakeEntry(t, "two")
		info := func(e *fakeEntry, url string) wire.EntryInfo {
			return wire.EntryInfo{Name: e.incarnation, Incarnation: e.incarnation, URL: url}
		}
		first.entries = []wire.EntryInfo{info(first, "http://localhost:1"), info(second, second.server.URL)}
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.EntryGrace = 300 }, first)
		second.session(1)
		targets := func() int {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.targets)
		}
		So(targets(), ShouldEqual, 2)
		first.send(func(fr *wire.Frame) {
			fr.Welcome = &wire.Welcome{Name: first.incarnation, Incarnation: first.incarnation, Entries: []wire.EntryInfo{info(first, first.server.URL)}}
		})
		second.breakSession()
		So(targets(), ShouldEqual, 2)
		second.server.Listener.Close()
		second.session(2).Close()
		first.wait("drop", func() bool { return targets() == 1 })
	})
}

// Guards against an agent that dials an entry by two addresses alternately, so that
// each dial closes the session of the other address.
func TestSecondAddress(t *testing.T) {
	Convey("two addresses of one entry make one session", t, func() {
		e := newFakeEntry(t, "entry")
		a, _ := startAgent(t, func(cfg *settings.Agent) {
			cfg.Entries = append(cfg.Entries, strings.Replace(e.server.URL, "127.0.0.1", "localhost", 1))
		}, e)
		e.session(1)
		time.Sleep(700 * time.Millisecond)
		e.mu.Lock()
		dials := len(e.keys)
		e.mu.Unlock()
		So(dials, ShouldBeLessThanOrEqualTo, 2)
		a.mu.Lock()
		defer a.mu.Unlock()
		So(len(a.sessions), ShouldEqual, 1)
	})
}

// Guards against wrong reports about tasks when the upstream fails.
func TestUpstreamFaults(t *testing.T) {
	Convey("a refused task has not started and can be dispatched again", t, func() {
		f := newFixture(t, 1, nil)
		f.w.SetFaults(worker.Faults{Refuse: true})
		f.e.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.e.result(f.ref(0, 1), 1).Reason, ShouldEqual, wire.ReasonRefused)
		f.w.SetFaults(worker.Faults{})
		f.e.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.e.result(f.ref(0, 1), 2).State, ShouldEqual, wire.TaskDone)
	})
	Convey("tasks start at an upstream only while its lease is valid", t, func() {
		f := &fixture{e: newFakeEntry(t, "entry"), id: newID(t)}
		f.a, _ = startAgent(t, nil, f.e)
		f.w, _ = startWorker(t, f.a, func(cfg *worker.Config) { cfg.TTL = 200 })
		f.e.announced("upstream", serving(8))
		f.w.SetFaults(worker.Faults{PauseRenewals: true})
		f.e.announced("expiry", func(a *wire.Announcement) bool { return len(a.Upstreams) == 0 })
		f.e.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.e.result(f.ref(0, 1), 1).Reason, ShouldEqual, wire.ReasonNoUpstream)
		f.w.SetFaults(worker.Faults{})
		f.e.announced("upstream", serving(8))
		f.e.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.e.result(f.ref(0, 1), 2).State, ShouldEqual, wire.TaskDone)
	})
	Convey("an upstream that fails every task is ejected and serves again after probes", t, func() {
		f := newFixture(t, 2, func(cfg *settings.Agent) { cfg.Ejection.BackOff = 200 })
		f.w.SetFaults(worker.Faults{FailAll: true})
		for i := range uint32(8) {
			f.e.dispatch(dispatch(f.ref(i, 1), `{}`))
			So(f.e.result(f.ref(i, 1), 1).Status, ShouldEqual, 500)
		}
		f.e.announced("ejection", func(a *wire.Announcement) bool { return a.Upstreams[0].Ejected })
		f.w.SetFaults(worker.Faults{})
		f.e.announced("probes", serving(1))
		for i := range uint32(3) {
			f.e.dispatch(dispatch(f.ref(20+i, 1), `{"run-ms":1}`))
			So(f.e.result(f.ref(20+i, 1), 1).Status, ShouldEqual, 200)
		}
		f.e.announced("return", serving(2))
	})
	Convey("tasks of a dead upstream are unknown if started, not started if queued", t, func() {
		f := &fixture{e: newFakeEntry(t, "entry"), id: newID(t)}
		f.a, _ = startAgent(t, nil, f.e)
		var wr *goroutine
		f.w, wr = startWorker(t, f.a, func(cfg *worker.Config) { cfg.Slots = 1; cfg.TTL = 300; cfg.DrainTimeout = 0 })
		f.e.announced("upstream", serving(1))
		run, waiting := f.running(0, 1, 5000), f.queued(1, 1, nil)
		f.w.SetFaults(worker.Faults{PauseRenewals: true, Hang: true})
		So(wr.stop(), ShouldBeNil)
		So(f.e.result(run, 1).State, ShouldEqual, wire.TaskUnknown)
		So(f.e.result(waiting, 1).State, ShouldEqual, wire.TaskNotStarted)
	})
}

// Guards against load reports with wrong counts, which would lead to bad placement.
func TestLoad(t *testing.T) {
	Convey("running and queued tasks are counted by class and by session", t, func() {
		f := newFixture(t, 1, nil)
		f.running(0, 1, 600)
		f.queued(1, 1, func(d *wire.Dispatch) { d.Class = gypsumtide.ClassLong })
		want := gypsumtide.Load{Running: 1, Queued: 1, QueuedLong: 1, FromPeer: 2, FromPeerLong: 1}
		f.e.wait("load", func() bool {
			return len(f.e.frames) > 0 && f.e.frames[len(f.e.frames)-1].Load != nil && *f.e.frames[len(f.e.frames)-1].Load == want
		})
		f.e.result(f.ref(1, 1), 1)
		f.e.wait("idle", func() bool { l := f.e.frames[len(f.e.frames)-1].Load; return l != nil && l.Running+l.Queued == 0 })
		So(f.e.lastLoad().FromPeer, ShouldEqual, 0)
	})
}

// Guards against endpoints for operators that fail or report a wrong readiness, and
// against sessions without the shared key.
func TestEndpoints(t *testing.T) {
	get := func(a *Agent, path string) (int, string) {
		resp, err := http.Get("http://" + a.Address() + path)
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		return resp.StatusCode, string(data)
	}
	Convey("status, metrics, health and readiness", t, func() {
		key := filepath.Join(t.TempDir(), "key")
		So(os.WriteFile(key, []byte("secret\n"), 0o600), ShouldBeNil)
		e := newFakeEntry(t, "entry")
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.SharedKeyFile = key }, e)
		startWorker(t, a, func(cfg *worker.Config) { cfg.Key = "secret" })
		e.announced("upstream", serving(8))
		ref := wire.TaskRef{Submission: newID(t), Epoch: 1}
		e.dispatch(dispatch(ref, `{}`))
		So(e.result(ref, 1).State, ShouldEqual, wire.TaskDone)
		So(e.keys[0], ShouldEqual, "Bearer secret")
		code, body := get(a, "/v1/status")
		So(code, ShouldEqual, 200)
		var s Status
		So(json.Unmarshal([]byte(body), &s), ShouldBeNil)
		So(s.Entries[0].Connected, ShouldBeTrue)
		So(s.Upstreams, ShouldHaveLength, 1)
		code, body = get(a, "/metrics")
		So(code, ShouldEqual, 200)
		So(strings.Contains(body, "gypsumtide_agent_starts_total 1"), ShouldBeTrue)
		for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/v1/none": 404} {
			code, _ = get(a, path)
			So(code, ShouldEqual, want)
		}
	})
	Convey("an agent without a session is not ready", t, func() {
		e := newFakeEntry(t, "entry")
		e.server.Close()
		a, _ := startAgent(t, nil, e)
		code, _ := get(a, "/readyz")
		So(code, ShouldEqual, 503)
	})
}
