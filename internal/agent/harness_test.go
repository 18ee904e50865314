package agent

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"gypsumtide"
	"gypsumtide/internal/settings"
	"gypsumtide/internal/standin/worker"
	"gypsumtide/internal/wire"
)

// fakeEntry implements the entry's side of sessions, as far as the tests need it.
type fakeEntry struct {
	t           *testing.T
	server      *httptest.Server
	incarnation string
	config      *wire.Config
	counters    wire.Counters
	clock       gypsumtide.Clock
	ctx         context.Context

	mu sync.Mutex
	// sessions and frames list all sessions and received frames in order.
	sessions []*wire.Session
	frames   []*wire.Frame
	// entries is the list of entries in each welcome.
	entries []wire.EntryInfo
	// authorizations lists the Authorization header of each connection.
	authorizations []string
}

func newFakeEntry(t *testing.T, name string) *fakeEntry {
	return newFakeEntryTLS(t, name, nil)
}

// newFakeEntryTLS returns an entry that serves TLS if tlsConfig is set.
func newFakeEntryTLS(t *testing.T, name string, tlsConfig *tls.Config) *fakeEntry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &fakeEntry{t: t, incarnation: name + "-1", clock: gypsumtide.NewSystemClock(), ctx: ctx}
	e.server = httptest.NewUnstartedServer(http.HandlerFunc(e.accept))
	if tlsConfig != nil {
		// StartTLS would add its own certificate, which takes precedence over tlsConfig.
		e.server.Listener = tls.NewListener(e.server.Listener, tlsConfig)
	}
	e.server.Start()
	if tlsConfig != nil {
		e.server.URL = strings.Replace(e.server.URL, "http:", "https:", 1)
	}
	t.Cleanup(func() {
		cancel()
		e.server.Close()
	})
	return e
}

func (e *fakeEntry) accept(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/session" {
		http.NotFound(w, r)
		return
	}
	s, err := wire.Accept(w, r, e.clock, wire.Timing{HeartbeatInterval: 50, ReceiveTimeout: 1500}, &e.counters)
	if err != nil {
		return
	}
	hello, err := s.ReadFrame(e.ctx)
	if err != nil || hello.Hello == nil {
		return
	}
	e.mu.Lock()
	entries := e.entries
	e.authorizations = append(e.authorizations, r.Header.Get("Authorization"))
	e.mu.Unlock()
	if err := s.WriteFrame(e.ctx, &wire.Frame{Welcome: &wire.Welcome{Name: e.incarnation, Incarnation: e.incarnation, Entries: entries}, Config: e.config}); err != nil {
		return
	}
	e.mu.Lock()
	e.sessions = append(e.sessions, s)
	e.mu.Unlock()
	_ = s.Run(e.ctx, func(f *wire.Frame) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.frames = append(e.frames, f)
		return nil
	})
}

// awaitSession waits for the n-th session, counted from 1.
func (e *fakeEntry) awaitSession(n int) *wire.Session {
	e.t.Helper()
	var s *wire.Session
	e.wait("session", func() bool {
		if len(e.sessions) >= n {
			s = e.sessions[n-1]
		}
		return s != nil
	})
	return s
}

// wait polls cond with the mutex held until it returns true, and fails the test after
// 10 s.
func (e *fakeEntry) wait(what string, cond func() bool) {
	e.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for {
		e.mu.Lock()
		ok := cond()
		e.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			e.t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// send adds messages to the next frame of the newest session.
func (e *fakeEntry) send(add func(f *wire.Frame)) {
	e.t.Helper()
	e.mu.Lock()
	n := len(e.sessions)
	e.mu.Unlock()
	e.awaitSession(max(n, 1)).Update(add)
}

// breakSession closes the newest session and waits for the next one.
func (e *fakeEntry) breakSession() {
	e.t.Helper()
	e.mu.Lock()
	n := len(e.sessions)
	s := e.sessions[n-1]
	e.mu.Unlock()
	s.Close()
	e.awaitSession(n + 1)
}

// awaitFenceConfirmation waits for the n-th fence confirmation of a shard, counted from
// 1, and returns its epoch.
func (e *fakeEntry) awaitFenceConfirmation(shard gypsumtide.ShardID, n int) uint64 {
	e.t.Helper()
	var epoch uint64
	e.wait("fence confirmation", func() bool {
		i := 0
		for _, f := range e.frames {
			for _, c := range f.FenceConfirmations {
				if c.Shard == shard {
					i++
					epoch = c.Epoch
				}
			}
		}
		return i >= n
	})
	return epoch
}

// awaitRecoveryReply waits for the reply to a recovery request.
func (e *fakeEntry) awaitRecoveryReply(id gypsumtide.SubmissionID) wire.StartedTasks {
	e.t.Helper()
	var reply wire.StartedTasks
	e.wait("recovery", func() bool {
		for _, f := range e.frames {
			for _, r := range f.RecoveryReplies {
				if r.Submission == id {
					reply = r
					return true
				}
			}
		}
		return false
	})
	return reply
}

// lastLoad returns the newest load report.
func (e *fakeEntry) lastLoad() gypsumtide.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.frames) - 1; i >= 0; i-- {
		if l := e.frames[i].Load; l != nil {
			return *l
		}
	}
	return gypsumtide.Load{}
}

// results returns the results received for a task.
func (e *fakeEntry) results(ref wire.TaskRef) []wire.Result {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resultsLocked(ref)
}

func (e *fakeEntry) resultsLocked(ref wire.TaskRef) []wire.Result {
	var list []wire.Result
	for _, f := range e.frames {
		for _, r := range f.Results {
			if r.Submission == ref.Submission && r.Task == ref.Task {
				list = append(list, r)
			}
		}
	}
	return list
}

// awaitResult waits for the n-th result of a task, counted from 1.
func (e *fakeEntry) awaitResult(ref wire.TaskRef, n int) wire.Result {
	e.t.Helper()
	var r wire.Result
	e.wait("result", func() bool {
		list := e.resultsLocked(ref)
		if len(list) < n {
			return false
		}
		r = list[n-1]
		return true
	})
	return r
}

// awaitAnnouncement waits until the last announcement satisfies cond.
func (e *fakeEntry) awaitAnnouncement(what string, cond func(a *wire.Announcement) bool) {
	e.t.Helper()
	e.wait(what, func() bool {
		for i := len(e.frames) - 1; i >= 0; i-- {
			if a := e.frames[i].Announcement; a != nil {
				return cond(a)
			}
		}
		return false
	})
}

// offersSlots returns a condition that holds if one upstream with the given number of
// slots is announced.
func offersSlots(slots int) func(a *wire.Announcement) bool {
	return func(a *wire.Announcement) bool { return len(a.Upstreams) == 1 && a.Upstreams[0].Slots == slots }
}

// goroutine is a function that runs in the background. It is stopped by stop or at the
// end of the test.
type goroutine struct {
	cancel context.CancelFunc
	done   chan error
}

func startGoroutine(t *testing.T, fn func(ctx context.Context) error) *goroutine {
	ctx, cancel := context.WithCancel(context.Background())
	r := &goroutine{cancel: cancel, done: make(chan error, 1)}
	go func() {
		r.done <- fn(ctx)
		close(r.done)
	}()
	t.Cleanup(func() { r.stop() })
	return r
}

// stop stops the goroutine and returns its error. Further calls return nil.
func (r *goroutine) stop() error {
	r.cancel()
	return <-r.done
}

func startAgent(t *testing.T, change func(cfg *settings.Agent), entries ...*fakeEntry) (*Agent, *goroutine) {
	cfg := settings.DefaultAgent()
	cfg.Listen = "127.0.0.1:0"
	cfg.Name = "agent-1"
	cfg.HeartbeatInterval = 50
	cfg.DrainTimeout = 5000
	cfg.Entries = nil
	for _, e := range entries {
		cfg.Entries = append(cfg.Entries, e.server.URL)
	}
	if change != nil {
		change(cfg)
	}
	a, err := New(cfg, logr.Discard(), gypsumtide.NewSystemClock())
	if err != nil {
		t.Fatal(err)
	}
	r := startGoroutine(t, a.Run)
	for a.Address() == "" {
		time.Sleep(time.Millisecond)
	}
	return a, r
}

func startWorker(t *testing.T, a *Agent, change func(cfg *worker.Config)) (*worker.Worker, *goroutine) {
	cfg := worker.DefaultConfig()
	cfg.Agent = "http://" + a.Address()
	cfg.DrainTimeout = 5 * time.Second
	if change != nil {
		change(&cfg)
	}
	w, err := worker.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return w, startGoroutine(t, w.Run)
}

func newID(t *testing.T) gypsumtide.SubmissionID {
	id, err := gypsumtide.NewSubmissionID()
	if err != nil {
		t.Fatal(err)
	}
	return id
}

func dispatch(ref wire.TaskRef, payload string) wire.Dispatch {
	return wire.Dispatch{TaskRef: ref, Shard: ref.Submission.Shard(), Service: "echo", Budget: 5000, Payload: []byte(payload), ContentType: "application/json"}
}

func (e *fakeEntry) dispatch(ds ...wire.Dispatch) {
	e.t.Helper()
	e.send(func(f *wire.Frame) { f.Dispatches = append(f.Dispatches, ds...) })
}
