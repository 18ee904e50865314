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
	entry      *fakeEntry
	agent      *Agent
	worker     *worker.Worker
	agentRun   *goroutine
	submission gypsumtide.SubmissionID
}

func newFixture(t *testing.T, slots int, change func(cfg *settings.Agent)) *fixture {
	f := &fixture{entry: newFakeEntry(t, "entry"), submission: newID(t)}
	f.agent, f.agentRun = startAgent(t, change, f.entry)
	f.worker, _ = startWorker(t, f.agent, func(cfg *worker.Config) { cfg.Slots = slots })
	f.entry.awaitAnnouncement("upstream", offersSlots(slots))
	return f
}

func (f *fixture) ref(task uint32, epoch uint64) wire.TaskRef {
	return wire.TaskRef{Submission: f.submission, Task: task, Epoch: epoch}
}

// startTask dispatches a task with the given run time and waits until it has started.
func (f *fixture) startTask(task uint32, epoch uint64, runMillis int) wire.TaskRef {
	ref := f.ref(task, epoch)
	before := f.worker.Starts()
	f.entry.dispatch(dispatch(ref, fmt.Sprintf(`{"run-ms":%d,"echo":"%d"}`, runMillis, task)))
	f.entry.wait("start", func() bool {
		if list := f.entry.resultsLocked(ref); len(list) > 0 && list[0].State == wire.TaskNotStarted {
			f.entry.t.Errorf("task %d is refused: %s", task, list[0].Reason)
			return true
		}
		return f.worker.Starts() > before
	})
	return ref
}

// queueTask dispatches a task that has to wait for a slot, and returns when it is queued.
func (f *fixture) queueTask(task uint32, epoch uint64, change func(d *wire.Dispatch)) wire.TaskRef {
	ref := f.ref(task, epoch)
	d := dispatch(ref, `{"run-ms":1}`)
	if change != nil {
		change(&d)
	}
	n := f.agent.queueLen()
	f.entry.dispatch(d)
	f.entry.wait("queue", func() bool { return f.agent.queueLen() > n })
	return ref
}

func (a *Agent) queueLen() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.len()
}

// TestEndToEnd guards against results that are lost, duplicated or sent for another
// task between the dispatch and the response of the upstream.
func TestEndToEnd(t *testing.T) {
	Convey("40 tasks of a submission end with their own results", t, func() {
		f := newFixture(t, 8, nil)
		var ds []wire.Dispatch
		for i := range uint32(40) {
			ds = append(ds, dispatch(f.ref(i, 1), fmt.Sprintf(`{"run-ms":5,"echo":%d}`, i)))
		}
		f.entry.dispatch(ds...)
		for i := range uint32(40) {
			r := f.entry.awaitResult(f.ref(i, 1), 1)
			So(r.State, ShouldEqual, wire.TaskDone)
			So(r.Status, ShouldEqual, 200)
			So(r.Epoch, ShouldEqual, 1)
			var body worker.Answer
			So(json.Unmarshal(r.Body, &body), ShouldBeNil)
			So(body.Submission, ShouldEqual, f.submission.String())
			So(body.Task, ShouldEqual, i)
			So(string(body.Echo), ShouldEqual, fmt.Sprint(i))
		}
		So(f.worker.Starts(), ShouldEqual, 40)
		So(len(f.entry.results(f.ref(0, 1))), ShouldEqual, 1)
	})
}

// TestRefusals guards against tasks that start although they must be refused, and
// against refusals with a wrong reason, by which the home decides whether to dispatch the
// task again.
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
	Convey("a busy agent refuses tasks, each with the reason that applies", t, func() {
		f := newFixture(t, 1, func(cfg *settings.Agent) { cfg.MaxEchoAge = 200; cfg.QueueLength = 2 })
		f.startTask(100, 5, 1500)
		time.Sleep(320 * time.Millisecond)
		for i, c := range cases {
			d := dispatch(f.ref(uint32(i), 5), `{}`)
			if c.change != nil {
				c.change(&d)
			}
			f.entry.send(func(fr *wire.Frame) {
				fr.Dispatches = append(fr.Dispatches, d)
				if c.echo != nil {
					fr.Echo = c.echo(f.agent.clock.Now())
				}
			})
			r := f.entry.awaitResult(d.TaskRef, 1)
			So(c.name+": "+r.State.String()+" "+r.Reason, ShouldEqual, c.name+": not-started "+c.reason)
		}
		f.queueTask(50, 5, nil)
		f.queueTask(51, 5, nil)
		f.entry.dispatch(dispatch(f.ref(52, 5), `{}`))
		So(f.entry.awaitResult(f.ref(52, 5), 1).Reason, ShouldEqual, wire.ReasonQueueFull)
		for _, task := range []uint32{100, 50, 51} {
			So(f.entry.awaitResult(f.ref(task, 5), 1).State, ShouldEqual, wire.TaskDone)
		}
		So(f.worker.Starts(), ShouldEqual, 3)
	})
}

// TestClasses guards against short tasks that wait behind long ones, and against long
// tasks that use the slots reserved for short ones.
func TestClasses(t *testing.T) {
	long := func(d *wire.Dispatch) { d.Class = gypsumtide.ClassLong }
	Convey("short tasks start before long ones, and tasks of a class in order of deadline", t, func() {
		f := newFixture(t, 1, nil)
		f.startTask(0, 1, 200)
		f.queueTask(1, 1, long)
		f.queueTask(2, 1, nil)
		f.queueTask(3, 1, func(d *wire.Dispatch) { d.Budget = 3000 })
		order := map[uint32]int{}
		for _, task := range []uint32{1, 2, 3} {
			f.entry.awaitResult(f.ref(task, 1), 1)
		}
		f.entry.mu.Lock()
		for _, fr := range f.entry.frames {
			for _, r := range fr.Results {
				order[r.Task] = len(order)
			}
		}
		f.entry.mu.Unlock()
		So(order[3], ShouldBeLessThan, order[2])
		So(order[2], ShouldBeLessThan, order[1])
	})
	Convey("long tasks leave the reserved slots free while there are short tasks", t, func() {
		f := newFixture(t, 4, nil)
		f.startTask(20, 1, 1)
		So(f.entry.awaitResult(f.ref(20, 1), 1).State, ShouldEqual, wire.TaskDone)
		for i := range uint32(5) {
			d := dispatch(f.ref(i, 1), `{"run-ms":500}`)
			long(&d)
			f.entry.dispatch(d)
		}
		f.entry.wait("long tasks", func() bool { return f.worker.Starts() == 4 && f.agent.queueLen() == 2 })
		f.startTask(10, 1, 1)
		So(f.entry.awaitResult(f.ref(10, 1), 1).State, ShouldEqual, wire.TaskDone)
		So(f.agent.queueLen(), ShouldEqual, 2)
		So(f.worker.Starts(), ShouldEqual, 5)
	})
}

// TestTakeover guards against tasks that start under a lower epoch after a fence
// confirmation, and against results that do not reach the new home.
func TestTakeover(t *testing.T) {
	Convey("a new home on another entry fences the earlier home and receives the results", t, func() {
		f := newFixture(t, 1, nil)
		second := newFakeEntry(t, "entry-two")
		f.agent.mu.Lock()
		f.agent.addTarget(second.server.URL, true)
		f.agent.mu.Unlock()
		shard := f.submission.Shard()
		run := f.startTask(0, 1, 300)
		waiting := f.queueTask(1, 1, nil)
		second.send(func(fr *wire.Frame) {
			fr.FenceRequests = append(fr.FenceRequests, wire.ShardEpoch{Shard: shard, Epoch: 2})
		})
		So(second.awaitFenceConfirmation(shard, 1), ShouldEqual, 2)
		So(f.entry.awaitResult(waiting, 1).Reason, ShouldEqual, wire.ReasonFenced)
		f.entry.dispatch(dispatch(f.ref(2, 1), `{}`))
		So(f.entry.awaitResult(f.ref(2, 1), 1).Reason, ShouldEqual, wire.ReasonFenced)
		second.send(func(fr *wire.Frame) {
			fr.RecoveryRequests = append(fr.RecoveryRequests, wire.RecoveryRequest{Submission: f.submission, Shard: shard, Epoch: 2})
		})
		reply := second.awaitRecoveryReply(f.submission)
		So(reply.Fenced, ShouldBeFalse)
		So(reply.Tasks, ShouldHaveLength, 1)
		So(reply.Tasks[0].State, ShouldEqual, wire.TaskRunning)
		r := second.awaitResult(run, 1)
		So(r.State, ShouldEqual, wire.TaskDone)
		So(r.Epoch, ShouldEqual, 2)
		second.dispatch(dispatch(f.ref(1, 2), `{"run-ms":1}`))
		So(second.awaitResult(f.ref(1, 2), 1).State, ShouldEqual, wire.TaskDone)
		So(f.entry.results(run), ShouldBeEmpty)
		So(f.worker.Starts(), ShouldEqual, 2)
	})
}

// TestBrokenSession guards against results that are lost when a session breaks, and
// against tasks whose state stays unknown or that run twice afterwards.
func TestBrokenSession(t *testing.T) {
	Convey("a query on the next session returns the state of every task", t, func() {
		f := newFixture(t, 1, nil)
		done, waiting, neverSent := f.startTask(0, 1, 300), f.queueTask(1, 1, nil), f.ref(2, 1)
		f.entry.breakSession()
		f.entry.send(func(fr *wire.Frame) { fr.Queries = append(fr.Queries, done, waiting, neverSent) })
		So(f.entry.awaitResult(done, 1).State, ShouldEqual, wire.TaskRunning)
		So(f.entry.awaitResult(waiting, 1).State, ShouldEqual, wire.TaskNotStarted)
		So(f.entry.awaitResult(neverSent, 1).Reason, ShouldEqual, wire.ReasonNeverReceived)
		So(f.entry.awaitResult(done, 2).State, ShouldEqual, wire.TaskDone)
		f.entry.dispatch(dispatch(neverSent, `{"run-ms":1}`), dispatch(waiting, `{"run-ms":1}`))
		So(f.entry.awaitResult(neverSent, 2).State, ShouldEqual, wire.TaskDone)
		So(f.entry.awaitResult(waiting, 2).State, ShouldEqual, wire.TaskDone)
		f.entry.breakSession()
		f.entry.send(func(fr *wire.Frame) { fr.Queries = append(fr.Queries, done) })
		r := f.entry.awaitResult(done, 3)
		So(r.State, ShouldEqual, wire.TaskDone)
		So(string(r.Body), ShouldContainSubstring, f.submission.String())
		So(f.worker.Starts(), ShouldEqual, 3)
	})
}

// TestRecallAndCancel guards against recalled or cancelled tasks that start
// nevertheless, and against a cancelled task that runs to its end.
func TestRecallAndCancel(t *testing.T) {
	Convey("queued tasks are returned, a running one is stopped", t, func() {
		f := newFixture(t, 1, nil)
		run, recalled, cancelled := f.startTask(0, 1, 3000), f.queueTask(1, 1, nil), f.queueTask(2, 1, nil)
		sameFrame := dispatch(f.ref(3, 1), `{}`)
		f.entry.send(func(fr *wire.Frame) {
			fr.Dispatches = append(fr.Dispatches, sameFrame)
			fr.Recalls = append(fr.Recalls, recalled, run)
			fr.Cancels = append(fr.Cancels, cancelled, sameFrame.TaskRef)
		})
		So(f.entry.awaitResult(recalled, 1).Reason, ShouldEqual, wire.ReasonRecalled)
		So(f.entry.awaitResult(cancelled, 1).Reason, ShouldEqual, wire.ReasonCancelled)
		So(f.entry.awaitResult(sameFrame.TaskRef, 1).Reason, ShouldEqual, wire.ReasonCancelled)
		So(f.entry.awaitResult(run, 1).State, ShouldEqual, wire.TaskRunning)
		began := time.Now()
		f.entry.send(func(fr *wire.Frame) { fr.Cancels = append(fr.Cancels, run, run) })
		f.entry.wait("end", func() bool {
			list := f.entry.resultsLocked(run)
			return list[len(list)-1].State == wire.TaskDone
		})
		So(time.Since(began), ShouldBeLessThan, 2*time.Second)
		So(string(f.entry.results(run)[len(f.entry.results(run))-1].Body), ShouldContainSubstring, `"stopped":true`)
		So(f.worker.Starts(), ShouldEqual, 1)
	})
}

// TestDrain guards against interrupted tasks and lost results at a graceful shutdown.
func TestDrain(t *testing.T) {
	Convey("running tasks finish and their results arrive, queued ones are returned", t, func() {
		f := newFixture(t, 1, nil)
		run, waiting := f.startTask(0, 1, 400), f.queueTask(1, 1, nil)
		f.agentRun.cancel()
		So(f.entry.awaitResult(waiting, 1).Reason, ShouldEqual, wire.ReasonDraining)
		f.entry.awaitAnnouncement("draining", func(a *wire.Announcement) bool { return a.Draining })
		f.entry.dispatch(dispatch(f.ref(2, 1), `{}`))
		So(f.entry.awaitResult(f.ref(2, 1), 1).Reason, ShouldEqual, wire.ReasonDraining)
		So(f.agentRun.stop(), ShouldBeNil)
		r := f.entry.results(run)
		So(r, ShouldHaveLength, 1)
		So(r[0].State, ShouldEqual, wire.TaskDone)
		So(f.worker.Starts(), ShouldEqual, 1)
	})
	Convey("a task beyond the drain timeout becomes unknown", t, func() {
		f := newFixture(t, 1, func(cfg *settings.Agent) { cfg.DrainTimeout = 50 })
		run := f.startTask(0, 1, 3000)
		So(f.agentRun.stop(), ShouldBeNil)
		So(f.entry.results(run), ShouldBeEmpty)
		So(f.agent.Ledger().Query(run, 99).State, ShouldEqual, wire.TaskUnknown)
	})
}

// TestConfiguration guards against an agent that goes back to an older configuration or
// does not report the revision of its configuration.
func TestConfiguration(t *testing.T) {
	Convey("the highest revision received stays in use", t, func() {
		f := newFixture(t, 1, nil)
		for _, c := range []struct{ sent, want uint64 }{{3, 3}, {2, 3}, {7, 7}, {3, 7}} {
			f.entry.send(func(fr *wire.Frame) { fr.Config = &wire.Config{Revision: c.sent} })
			f.entry.dispatch(dispatch(wire.TaskRef{Submission: newID(t), Epoch: 1}, `{}`))
			f.entry.wait("revision", func() bool { return f.entry.frames[len(f.entry.frames)-1].Revision == c.want })
		}
	})
}

// TestEntries guards against entries that are never dialled, entries that are still
// dialled after they have left, and a second session with an entry that advertises
// another address.
func TestEntries(t *testing.T) {
	Convey("an entry listed in a welcome is dialled, and dropped once it is neither listed nor reachable", t, func() {
		first, second := newFakeEntry(t, "one"), newFakeEntry(t, "two")
		info := func(e *fakeEntry, url string) wire.EntryInfo {
			return wire.EntryInfo{Name: e.incarnation, Incarnation: e.incarnation, URL: url}
		}
		first.entries = []wire.EntryInfo{info(first, "http://localhost:1"), info(second, second.server.URL)}
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.EntryGrace = 300 }, first)
		second.awaitSession(1)
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
		second.awaitSession(2).Close()
		first.wait("drop", func() bool { return targets() == 1 })
	})
}

// TestSecondAddress guards against an agent that dials an entry by two addresses
// alternately, so that each dial closes the session of the other address.
func TestSecondAddress(t *testing.T) {
	Convey("two addresses of one entry make one session", t, func() {
		e := newFakeEntry(t, "entry")
		a, _ := startAgent(t, func(cfg *settings.Agent) {
			cfg.Entries = append(cfg.Entries, strings.Replace(e.server.URL, "127.0.0.1", "localhost", 1))
		}, e)
		e.awaitSession(1)
		time.Sleep(700 * time.Millisecond)
		e.mu.Lock()
		dials := len(e.authorizations)
		e.mu.Unlock()
		So(dials, ShouldBeLessThanOrEqualTo, 2)
		a.mu.Lock()
		defer a.mu.Unlock()
		So(len(a.sessions), ShouldEqual, 1)
	})
}

// TestUpstreamFaults guards against wrong reports about tasks when the upstream fails.
func TestUpstreamFaults(t *testing.T) {
	Convey("a refused task has not started and can be dispatched again", t, func() {
		f := newFixture(t, 1, nil)
		f.worker.SetFaults(worker.Faults{Refuse: true})
		f.entry.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.entry.awaitResult(f.ref(0, 1), 1).Reason, ShouldEqual, wire.ReasonRefused)
		f.worker.SetFaults(worker.Faults{})
		f.entry.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.entry.awaitResult(f.ref(0, 1), 2).State, ShouldEqual, wire.TaskDone)
	})
	Convey("tasks start at an upstream only while its lease is valid", t, func() {
		f := &fixture{entry: newFakeEntry(t, "entry"), submission: newID(t)}
		f.agent, _ = startAgent(t, nil, f.entry)
		f.worker, _ = startWorker(t, f.agent, func(cfg *worker.Config) { cfg.TTL = 200 })
		f.entry.awaitAnnouncement("upstream", offersSlots(8))
		f.worker.SetFaults(worker.Faults{PauseRenewals: true})
		f.entry.awaitAnnouncement("expiry", func(a *wire.Announcement) bool { return len(a.Upstreams) == 0 })
		f.entry.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.entry.awaitResult(f.ref(0, 1), 1).Reason, ShouldEqual, wire.ReasonNoUpstream)
		f.worker.SetFaults(worker.Faults{})
		f.entry.awaitAnnouncement("upstream", offersSlots(8))
		f.entry.dispatch(dispatch(f.ref(0, 1), `{}`))
		So(f.entry.awaitResult(f.ref(0, 1), 2).State, ShouldEqual, wire.TaskDone)
	})
	Convey("an upstream that fails every task is ejected and serves again after probes", t, func() {
		f := newFixture(t, 2, func(cfg *settings.Agent) { cfg.Ejection.BackOff = 200 })
		f.worker.SetFaults(worker.Faults{FailAll: true})
		for i := range uint32(8) {
			f.entry.dispatch(dispatch(f.ref(i, 1), `{}`))
			So(f.entry.awaitResult(f.ref(i, 1), 1).Status, ShouldEqual, 500)
		}
		f.entry.awaitAnnouncement("ejection", func(a *wire.Announcement) bool { return a.Upstreams[0].Ejected })
		f.worker.SetFaults(worker.Faults{})
		f.entry.awaitAnnouncement("probes", offersSlots(1))
		for i := range uint32(3) {
			f.entry.dispatch(dispatch(f.ref(20+i, 1), `{"run-ms":1}`))
			So(f.entry.awaitResult(f.ref(20+i, 1), 1).Status, ShouldEqual, 200)
		}
		f.entry.awaitAnnouncement("return", offersSlots(2))
	})
	Convey("tasks of a dead upstream are unknown if started, not started if queued", t, func() {
		f := &fixture{entry: newFakeEntry(t, "entry"), submission: newID(t)}
		f.agent, _ = startAgent(t, nil, f.entry)
		var workerRun *goroutine
		f.worker, workerRun = startWorker(t, f.agent, func(cfg *worker.Config) { cfg.Slots = 1; cfg.TTL = 300; cfg.DrainTimeout = 0 })
		f.entry.awaitAnnouncement("upstream", offersSlots(1))
		run, waiting := f.startTask(0, 1, 5000), f.queueTask(1, 1, nil)
		f.worker.SetFaults(worker.Faults{PauseRenewals: true, Hang: true})
		So(workerRun.stop(), ShouldBeNil)
		So(f.entry.awaitResult(run, 1).State, ShouldEqual, wire.TaskUnknown)
		So(f.entry.awaitResult(waiting, 1).State, ShouldEqual, wire.TaskNotStarted)
	})
}

// TestLoad guards against load reports with wrong counts, which would lead to bad
// placement.
func TestLoad(t *testing.T) {
	Convey("running and queued tasks are counted by class and by session", t, func() {
		f := newFixture(t, 1, nil)
		f.startTask(0, 1, 600)
		f.queueTask(1, 1, func(d *wire.Dispatch) { d.Class = gypsumtide.ClassLong })
		want := gypsumtide.Load{Running: 1, Queued: 1, QueuedLong: 1, FromPeer: 2, FromPeerLong: 1}
		f.entry.wait("load", func() bool {
			return len(f.entry.frames) > 0 && f.entry.frames[len(f.entry.frames)-1].Load != nil && *f.entry.frames[len(f.entry.frames)-1].Load == want
		})
		f.entry.awaitResult(f.ref(1, 1), 1)
		f.entry.wait("idle", func() bool {
			l := f.entry.frames[len(f.entry.frames)-1].Load
			return l != nil && l.Running+l.Queued == 0
		})
		So(f.entry.lastLoad().FromPeer, ShouldEqual, 0)
	})
}

// TestEndpoints guards against endpoints for operators that fail or report a wrong
// readiness, and against an agent that dials sessions without its shared key.
func TestEndpoints(t *testing.T) {
	get := func(a *Agent, path string) (int, string) {
		resp, err := http.Get("http://" + a.Address() + path)
		So(err, ShouldBeNil)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		So(err, ShouldBeNil)
		return resp.StatusCode, string(data)
	}
	Convey("a connected agent serves status, metrics, health and readiness", t, func() {
		key := filepath.Join(t.TempDir(), "key")
		So(os.WriteFile(key, []byte("secret\n"), 0o600), ShouldBeNil)
		e := newFakeEntry(t, "entry")
		a, _ := startAgent(t, func(cfg *settings.Agent) { cfg.SharedKeyFile = key }, e)
		startWorker(t, a, func(cfg *worker.Config) { cfg.Key = "secret" })
		e.awaitAnnouncement("upstream", offersSlots(8))
		ref := wire.TaskRef{Submission: newID(t), Epoch: 1}
		e.dispatch(dispatch(ref, `{}`))
		So(e.awaitResult(ref, 1).State, ShouldEqual, wire.TaskDone)
		So(e.authorizations[0], ShouldEqual, "Bearer secret")
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
