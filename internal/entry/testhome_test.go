package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/shard"
	"gypsumtide/internal/submission"
	"gypsumtide/internal/wire"
)

// offsetClock is the system clock plus an offset.
type offsetClock struct {
	*gypsumtide.SystemClock
	offset atomic.Int64
}

func (c *offsetClock) Now() gypsumtide.Millis {
	return c.SystemClock.Now() + gypsumtide.Millis(c.offset.Load())
}

func (c *offsetClock) Wall() gypsumtide.Millis {
	return c.SystemClock.Wall() + gypsumtide.Millis(c.offset.Load())
}

// fakeShardManager gives the same answers for every shard. lost means that the
// lease is lost, maybeAccepted that an earlier home may have accepted any id, and
// incomplete that candidates may lack agents.
type fakeShardManager struct {
	mu            sync.Mutex
	epoch         uint64
	lost          bool
	maybeAccepted bool
	incomplete    bool
	agents        []string
	candidates    []shard.RecoveryCandidate
}

func (o *fakeShardManager) update(change func(o *fakeShardManager)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(o)
}

func (o *fakeShardManager) Serving(gypsumtide.ShardID) (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.epoch, !o.lost
}

func (o *fakeShardManager) ProvablyNew(gypsumtide.SubmissionID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return !o.maybeAccepted
}

func (o *fakeShardManager) Usable(string, gypsumtide.ShardID) bool { return true }

func (o *fakeShardManager) Candidates(gypsumtide.SubmissionID, int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.agents
}

func (o *fakeShardManager) RecoveryCandidates(gypsumtide.SubmissionID, int) ([]shard.RecoveryCandidate, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.candidates, !o.incomplete
}

// testHome is a home that serves fake agents over real sessions.
type testHome struct {
	*home
	t            *testing.T
	clock        *offsetClock
	shardManager *fakeShardManager
	url          string
	ctx          context.Context
	// sharedDepartures holds the departures that the home sent to other entries. The
	// home's mutex guards it.
	sharedDepartures []wire.DepartedLedger
}

func newTestHome(t *testing.T) *testHome {
	w := &testHome{t: t, clock: &offsetClock{SystemClock: gypsumtide.NewSystemClock()}, shardManager: &fakeShardManager{epoch: 3}}
	h, err := newHome(homeOptions{
		name: "home", zone: "zone-1", clock: w.clock, log: logr.Discard(), decisions: newDecisionLog(logr.Discard(), 0),
		shardManager: w.shardManager, rules: submission.NewRules(100, 600_000), table: submission.NewTable(60_000, 1<<20), router: newRouter(), metrics: newEntryMetrics(),
		countAgents: func() int {
			w.shardManager.mu.Lock()
			defer w.shardManager.mu.Unlock()
			return len(w.shardManager.agents)
		},
		transferExpected: func(gypsumtide.ShardID) bool { return false },
		shareDeparture:   func(l wire.DepartedLedger) { w.sharedDepartures = append(w.sharedDepartures, l) },
	})
	So(err, ShouldBeNil)
	w.home = h
	ctx, cancel := context.WithCancel(context.Background())
	w.ctx = ctx
	server := httptest.NewServer(http.HandlerFunc(w.accept))
	w.url = server.URL
	ticked := make(chan struct{})
	go func() {
		defer close(ticked)
		for ctx.Err() == nil {
			w.tick()
			time.Sleep(2 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-ticked; server.Close() })
	return w
}

// accept serves the session of an agent as Entry.serveAgent does.
func (w *testHome) accept(rw http.ResponseWriter, r *http.Request) {
	s, err := wire.Accept(rw, r, w.clock, wire.Timing{HeartbeatInterval: 50, ReceiveTimeout: 5_000}, &wire.Counters{})
	if err != nil {
		return
	}
	defer s.Close()
	f, err := s.ReadFrame(w.ctx)
	if err != nil || f.Hello == nil {
		return
	}
	c := w.agentConnected(wire.AgentRecord{Name: f.Hello.Name, Incarnation: f.Hello.Incarnation, Zone: f.Hello.Zone}, s)
	_ = s.Run(w.ctx, func(f *wire.Frame) error {
		w.handleAgentFrame(c, f)
		return nil
	})
	w.agentDisconnected(c, s)
}

// fakeAgent is the agent side of a session.
type fakeAgent struct {
	w           *testHome
	incarnation string
	session     *wire.Session

	mu         sync.Mutex
	dispatches []wire.Dispatch
	queries    []wire.TaskRef
	recovers   []wire.Recover
}

// addAgent connects an agent with one upstream that has the slots. Its name is
// the first letter of its incarnation.
func (w *testHome) addAgent(incarnation string, slots int) *fakeAgent {
	a := &fakeAgent{w: w, incarnation: incarnation}
	w.shardManager.update(func(o *fakeShardManager) { o.agents = append(o.agents, incarnation) })
	a.connect()
	a.announce(slots)
	return a
}

func (a *fakeAgent) connect() {
	s, err := wire.Dial(a.w.ctx, http.DefaultClient, a.w.url, "", a.w.clock, wire.Timing{HeartbeatInterval: 50, ReceiveTimeout: 5_000}, &wire.Counters{})
	So(err, ShouldBeNil)
	hello := &wire.Hello{Kind: "agent", Name: a.incarnation[:1], Incarnation: a.incarnation, Zone: "zone-1"}
	So(s.WriteFrame(a.w.ctx, &wire.Frame{Hello: hello}), ShouldBeNil)
	a.session = s
	go func() {
		_ = s.Run(a.w.ctx, func(f *wire.Frame) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.dispatches = append(a.dispatches, f.Dispatches...)
			a.queries = append(a.queries, f.Queries...)
			a.recovers = append(a.recovers, f.Recovers...)
			return nil
		})
	}()
}

func (a *fakeAgent) announce(slots int) {
	a.send(func(f *wire.Frame) {
		f.Announcement = &wire.Announcement{Upstreams: []wire.Upstream{{
			Name: "u", Services: []string{"s"}, Slots: slots, Capacity: gypsumtide.Size{Processors: 1000},
		}}}
	})
	a.w.waitUntil("the announcement", func() bool {
		c := a.w.agents[a.incarnation]
		return c != nil && c.session != nil && c.view.Slots() == slots
	})
}

// lost closes the session and waits until the home has noticed.
func (a *fakeAgent) lost() {
	a.session.Close()
	a.w.waitUntil("the end of the session", func() bool { return a.w.agents[a.incarnation].session == nil })
}

func (a *fakeAgent) send(add func(f *wire.Frame)) { a.session.Update(add) }

// report sends the state of a task.
func (a *fakeAgent) report(r wire.Result) {
	a.send(func(f *wire.Frame) { f.Results = append(f.Results, r) })
}

func (a *fakeAgent) done(ref wire.TaskRef, body string) {
	a.report(wire.Result{TaskRef: ref, State: wire.TaskDone, Status: 200, Body: []byte(body)})
}

func (a *fakeAgent) notStarted(ref wire.TaskRef, reason string) {
	a.report(wire.Result{TaskRef: ref, State: wire.TaskNotStarted, Reason: reason})
}

// awaitDispatch waits for the n-th dispatch, counted from 1.
func (a *fakeAgent) awaitDispatch(n int) (ref wire.TaskRef) {
	a.w.t.Helper()
	eventually(a.w.t, "a dispatch", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.dispatches) < n {
			return false
		}
		ref = a.dispatches[n-1].TaskRef
		return true
	})
	return ref
}

// awaitQuery waits until the home has asked for the state of the task.
func (a *fakeAgent) awaitQuery(ref wire.TaskRef) {
	a.w.t.Helper()
	eventually(a.w.t, "a query", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.queries) > 0 && a.queries[len(a.queries)-1] == ref
	})
}

// answerRecovery answers the next recover request with the tasks.
func (a *fakeAgent) answerRecovery(fenced bool, tasks ...wire.Result) {
	a.w.t.Helper()
	var r wire.Recover
	eventually(a.w.t, "a recover request", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.recovers) == 0 {
			return false
		}
		r, a.recovers = a.recovers[0], a.recovers[1:]
		return true
	})
	for i := range tasks {
		tasks[i].Submission = r.Submission
	}
	a.send(func(f *wire.Frame) {
		f.Recovered = append(f.Recovered, wire.Recovered{Submission: r.Submission, Epoch: r.Epoch, Tasks: tasks, Fenced: fenced})
	})
}

// dispatchCount returns the number of dispatches received.
func (a *fakeAgent) dispatchCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.dispatches)
}

// waitUntil waits for a condition, which it checks under the home's mutex.
func (w *testHome) waitUntil(what string, cond func() bool) {
	w.t.Helper()
	eventually(w.t, what, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return cond()
	})
}

// newJob returns a job of n tasks with a new id.
func (w *testHome) newJob(n int) *wire.Job {
	id, err := gypsumtide.NewSubmissionID()
	So(err, ShouldBeNil)
	req := &wire.Job{Submission: id, Service: "s", Team: "t", Tasks: make([]wire.JobTask, n)}
	for i := range req.Tasks {
		req.Tasks[i].Payload = []byte{byte(i)}
	}
	return req
}

// awaitAnswer waits for an answer.
func (w *testHome) awaitAnswer(ch <-chan wire.Answer) wire.Answer {
	w.t.Helper()
	select {
	case a := <-ch:
		return a
	case <-time.After(10 * time.Second):
		w.t.Fatal("timed out waiting for an answer")
	}
	return wire.Answer{}
}
