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

// fakeShardManager gives the same answers for every shard. leaseLost means that the
// home has lost its leases, maybeAccepted that an earlier home may have accepted any
// id, and candidatesIncomplete that candidates may lack agents.
type fakeShardManager struct {
	mu                   sync.Mutex
	epoch                uint64
	leaseLost            bool
	maybeAccepted        bool
	candidatesIncomplete bool
	agents               []string
	candidates           []shard.RecoveryCandidate
}

func (m *fakeShardManager) update(change func(m *fakeShardManager)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(m)
}

func (m *fakeShardManager) Serving(gypsumtide.ShardID) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch, !m.leaseLost
}

func (m *fakeShardManager) ProvablyNew(gypsumtide.SubmissionID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.maybeAccepted
}

func (m *fakeShardManager) Usable(string, gypsumtide.ShardID) bool { return true }

func (m *fakeShardManager) Candidates(gypsumtide.SubmissionID, int) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.agents
}

func (m *fakeShardManager) RecoveryCandidates(gypsumtide.SubmissionID, int) ([]shard.RecoveryCandidate, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidates, !m.candidatesIncomplete
}

// testHome is a home that serves fake agents over real sessions.
type testHome struct {
	*home
	t            *testing.T
	clock        *offsetClock
	shardManager *fakeShardManager
	url          string
	ctx          context.Context
	// forwardedLedgerParts holds the parts of final ledgers that the home forwarded to
	// other entries. The home's mutex guards it.
	forwardedLedgerParts []wire.FinalLedgerPart
}

func newTestHome(t *testing.T) *testHome {
	th := &testHome{t: t, clock: &offsetClock{SystemClock: gypsumtide.NewSystemClock()}, shardManager: &fakeShardManager{epoch: 3}}
	h, err := newHome(homeOptions{
		incarnation: "home", zone: "zone-1", clock: th.clock, log: logr.Discard(), decisions: newDecisionLog(logr.Discard(), 0),
		shardManager: th.shardManager, idRules: submission.NewRules(100, 600_000), table: submission.NewTable(60_000, 1<<20), router: newRouter(), metrics: newEntryMetrics(),
		countAgents: func() int {
			th.shardManager.mu.Lock()
			defer th.shardManager.mu.Unlock()
			return len(th.shardManager.agents)
		},
		transferExpected:       func(gypsumtide.ShardID) bool { return false },
		forwardFinalLedgerPart: func(part wire.FinalLedgerPart) { th.forwardedLedgerParts = append(th.forwardedLedgerParts, part) },
	})
	So(err, ShouldBeNil)
	th.home = h
	ctx, cancel := context.WithCancel(context.Background())
	th.ctx = ctx
	server := httptest.NewServer(http.HandlerFunc(th.accept))
	th.url = server.URL
	tickingEnded := make(chan struct{})
	go func() {
		defer close(tickingEnded)
		for ctx.Err() == nil {
			th.tick()
			time.Sleep(2 * time.Millisecond)
		}
	}()
	t.Cleanup(func() { cancel(); <-tickingEnded; server.Close() })
	return th
}

// accept serves the session of an agent like Entry.serveAgent, but without a shard
// manager and a configuration. The agent counts as connected from its hello on.
func (th *testHome) accept(rw http.ResponseWriter, r *http.Request) {
	s, err := wire.Accept(rw, r, th.clock, wire.Timing{HeartbeatInterval: 50, ReceiveTimeout: 5_000}, &wire.Counters{})
	if err != nil {
		return
	}
	defer s.Close()
	f, err := s.ReadFrame(th.ctx)
	if err != nil || f.Hello == nil {
		return
	}
	c := th.agentConnected(wire.AgentRecord{Name: f.Hello.Name, Incarnation: f.Hello.Incarnation, Zone: f.Hello.Zone}, s, f.Clock, 0)
	if c == nil {
		return
	}
	_ = s.Run(th.ctx, func(f *wire.Frame) error {
		th.handleAgentFrame(c, s, f)
		return nil
	})
	th.agentDisconnected(c, s)
}

// fakeAgent is the agent side of a session. It records what the home sends.
type fakeAgent struct {
	home        *testHome
	incarnation string
	zone        string
	session     *wire.Session

	mu sync.Mutex
	// config is the last configuration. unconfigured counts the dispatches before the first.
	config           *wire.Config
	unconfigured     int
	dispatches       []wire.Dispatch
	recalls          []wire.TaskRef
	cancels          []wire.TaskRef
	queries          []wire.TaskRef
	recoveryRequests []wire.RecoveryRequest
}

// addAgent connects an agent with one upstream that has the given number of slots. The
// name of the agent is the first letter of its incarnation.
func (th *testHome) addAgent(incarnation string, slots int) *fakeAgent {
	return th.addAgentIn("zone-1", incarnation, slots)
}

// addAgentIn is addAgent for an agent in the given availability zone.
func (th *testHome) addAgentIn(zone, incarnation string, slots int) *fakeAgent {
	a := &fakeAgent{home: th, incarnation: incarnation, zone: zone}
	th.shardManager.update(func(m *fakeShardManager) { m.agents = append(m.agents, incarnation) })
	a.connect()
	a.announce(slots)
	return a
}

func (a *fakeAgent) connect() {
	s, err := wire.Dial(a.home.ctx, http.DefaultClient, a.home.url, "", a.home.clock, wire.Timing{HeartbeatInterval: 50, ReceiveTimeout: 5_000}, &wire.Counters{})
	So(err, ShouldBeNil)
	hello := &wire.Hello{Kind: "agent", Name: a.incarnation[:1], Incarnation: a.incarnation, Zone: a.zone}
	So(s.WriteFrame(a.home.ctx, &wire.Frame{Hello: hello}), ShouldBeNil)
	a.session = s
	go func() {
		_ = s.Run(a.home.ctx, func(f *wire.Frame) error {
			a.mu.Lock()
			defer a.mu.Unlock()
			if f.Config != nil {
				a.config = f.Config
			}
			if a.config == nil {
				a.unconfigured += len(f.Dispatches)
			}
			a.dispatches = append(a.dispatches, f.Dispatches...)
			a.recalls = append(a.recalls, f.Recalls...)
			a.cancels = append(a.cancels, f.Cancels...)
			a.queries = append(a.queries, f.Queries...)
			a.recoveryRequests = append(a.recoveryRequests, f.RecoveryRequests...)
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
	a.home.waitUntil("the announcement", func() bool {
		c := a.home.agents[a.incarnation]
		return c != nil && c.session != nil && c.view.Slots() == slots
	})
}

// disconnect closes the session and waits until the home has noticed.
func (a *fakeAgent) disconnect() {
	a.session.Close()
	a.home.waitUntil("the end of the session", func() bool { return a.home.agents[a.incarnation].session == nil })
}

func (a *fakeAgent) send(add func(f *wire.Frame)) { a.session.Update(add) }

// report sends the state of a task.
func (a *fakeAgent) report(r wire.Result) {
	a.send(func(f *wire.Frame) { f.Results = append(f.Results, r) })
}

func (a *fakeAgent) reportDone(ref wire.TaskRef, body string) {
	a.report(wire.Result{TaskRef: ref, State: wire.TaskDone, Status: 200, Body: []byte(body)})
}

func (a *fakeAgent) reportNotStarted(ref wire.TaskRef, reason string) {
	a.report(wire.Result{TaskRef: ref, State: wire.TaskNotStarted, Reason: reason})
}

// awaitDispatch waits for the n-th dispatch, counted from 1.
func (a *fakeAgent) awaitDispatch(n int) (ref wire.TaskRef) {
	a.home.t.Helper()
	eventually(a.home.t, "a dispatch", func() bool {
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

// awaitQuery waits until the task is the last one whose state the home has asked for.
func (a *fakeAgent) awaitQuery(ref wire.TaskRef) {
	a.home.t.Helper()
	eventually(a.home.t, "a query", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.queries) > 0 && a.queries[len(a.queries)-1] == ref
	})
}

// answerRecovery answers the next recovery request with the given started tasks. fenced
// means that the agent knows a later epoch of the shard.
func (a *fakeAgent) answerRecovery(fenced bool, tasks ...wire.Result) {
	a.home.t.Helper()
	var req wire.RecoveryRequest
	eventually(a.home.t, "a recovery request", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if len(a.recoveryRequests) == 0 {
			return false
		}
		req, a.recoveryRequests = a.recoveryRequests[0], a.recoveryRequests[1:]
		return true
	})
	for i := range tasks {
		tasks[i].Submission = req.Submission
	}
	a.send(func(f *wire.Frame) {
		f.RecoveryReplies = append(f.RecoveryReplies, wire.StartedTasks{Submission: req.Submission, Epoch: req.Epoch, Tasks: tasks, Fenced: fenced})
	})
}

// dispatchCount returns the number of dispatches received.
func (a *fakeAgent) dispatchCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.dispatches)
}

// waitUntil waits for a condition, which it checks under the home's mutex.
func (th *testHome) waitUntil(what string, cond func() bool) {
	th.t.Helper()
	eventually(th.t, what, func() bool {
		th.mu.Lock()
		defer th.mu.Unlock()
		return cond()
	})
}

// newJob returns a job of n tasks with a new id.
func (th *testHome) newJob(n int) *wire.Job {
	id, err := gypsumtide.NewSubmissionID()
	So(err, ShouldBeNil)
	req := &wire.Job{Submission: id, Service: "s", Team: "t", Tasks: make([]wire.JobTask, n)}
	for i := range req.Tasks {
		req.Tasks[i].Payload = []byte{byte(i)}
	}
	return req
}

// awaitAnswer fails the test if no answer arrives within 10 s.
func (th *testHome) awaitAnswer(ch <-chan wire.Answer) wire.Answer {
	th.t.Helper()
	select {
	case a := <-ch:
		return a
	case <-time.After(10 * time.Second):
		th.t.Fatal("timed out waiting for an answer")
	}
	return wire.Answer{}
}
