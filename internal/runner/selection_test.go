package runner

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/smartystreets/goconvey/convey"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
	"gypsumtide/internal/wire"
)

// testEntry is an entry that accepts the sessions of agents and resumes them.
type testEntry struct {
	server *httptest.Server

	mu sync.Mutex
	// accepting holds, by agent, whether its last report says that the worker takes orders.
	accepting map[string]bool
	sessions  map[*wire.Session]bool
}

func newTestEntry(name string, clock gypsumtide.Clock, addresses func() []string) *testEntry {
	e := &testEntry{accepting: make(map[string]bool), sessions: make(map[*wire.Session]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+link.SessionPath, func(w http.ResponseWriter, r *http.Request) {
		s, err := link.Accept(w, r, clock)
		if err != nil {
			return
		}
		defer s.Close()
		ctx := context.WithoutCancel(r.Context())
		hello, err := link.ServerHandshake(ctx, s, wire.Welcome{Name: name, Incarnation: "1"})
		if err != nil {
			return
		}
		e.setOpen(s, true)
		defer e.setOpen(s, false)
		s.Update(func(f *wire.Frame) { f.Entries = addresses() })
		_ = s.Run(ctx, func(f *wire.Frame) error {
			if f.Resume != nil {
				s.Update(func(f *wire.Frame) { f.Resumed = true })
				s.SetIdle(true)
			}
			if f.Worker != nil {
				e.mu.Lock()
				e.accepting[hello.Name] = f.Worker.Accepting
				e.mu.Unlock()
			}
			return nil
		})
	})
	e.server = httptest.NewServer(mux)
	return e
}

func (e *testEntry) address() string { return strings.TrimPrefix(e.server.URL, "http://") }

func (e *testEntry) setOpen(s *wire.Session, open bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if open {
		e.sessions[s] = true
		return
	}
	delete(e.sessions, s)
}

func (e *testEntry) openSessions() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sessions)
}

// close ends the entry, as the loss of its host does.
func (e *testEntry) close() {
	_ = e.server.Listener.Close()
	e.mu.Lock()
	for s := range e.sessions {
		s.Close()
	}
	e.mu.Unlock()
	e.server.Close()
}

// Guards against a fleet whose idle cost grows with the product of entries and agents, and
// against an agent that stays without entries when those that it prefers are lost.
func TestAgentSessions(t *testing.T) {
	Convey("Given an agent that knows one of 25 entries", t, func() {
		clock := gypsumtide.NewSystemClock()
		var entries []*testEntry
		addresses := func() []string {
			var out []string
			for _, e := range entries {
				out = append(out, e.address())
			}
			return out
		}
		for i := range 25 {
			entries = append(entries, newTestEntry(fmt.Sprint("entry-", i), clock, addresses))
		}
		open := func() int {
			n := 0
			for _, e := range entries {
				n += e.openSessions()
			}
			return n
		}
		ranked := rankEntries("agent", addresses())
		preferred := func(n int) *testEntry {
			i := slices.Index(addresses(), ranked[n])
			return entries[i]
		}
		least := len(entries) - 1
		agent := NewAgent(Config{Name: "agent", Incarnation: "1", Lease: 1000, Seeds: []string{ranked[least]}}, clock, discardLogger{}, metrics.NewSet())
		ctx, cancel := context.WithCancel(context.Background())
		done := group.Go(ctx, agent.Run)
		connected := func(n int) bool { return preferred(n).openSessions() == 1 }
		So(eventually(func() bool { return connected(sessionsPerAgent - 1) }), ShouldBeTrue)

		Convey("It keeps sessions to those that it prefers, and replaces one that is lost", func() {
			So(eventually(func() bool { return open() == sessionsPerAgent }), ShouldBeTrue)
			So(preferred(sessionsPerAgent).openSessions(), ShouldEqual, 0)
			preferred(0).close()
			So(eventually(func() bool { return preferred(sessionsPerAgent).openSessions() == 1 }), ShouldBeTrue)
			// A stalled test may lose further sessions for a while.
			So(eventually(func() bool { return open() == sessionsPerAgent && connected(sessionsPerAgent) }), ShouldBeTrue)
		})
		cancel()
		<-done
		for _, e := range entries {
			e.close()
		}
	})
}

// eventually waits until the condition is true, and returns false if that takes too long.
func eventually(condition func() bool) bool {
	for range 2000 {
		if condition() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

// Guards against entries that few agents prefer, and against a lost entry whose agents all
// turn to the same other one.
func TestRankEntries(t *testing.T) {
	const entries, agents = 35, 160
	var addresses []string
	for i := range entries {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.7:7720", i))
	}
	count := func(position func(ranked []string) []string) (least, most int) {
		n := make(map[string]int)
		for i := range agents {
			for _, address := range position(rankEntries(fmt.Sprint("agent-", i), addresses)) {
				n[address]++
			}
		}
		least, most = agents, 0
		for _, address := range addresses {
			least, most = min(least, n[address]), max(most, n[address])
		}
		return least, most
	}
	Convey("Each entry is selected by a fair part of the agents", t, func() {
		least, most := count(func(ranked []string) []string { return ranked[:sessionsPerAgent] })
		So(least, ShouldBeGreaterThan, agents*sessionsPerAgent/entries/2)
		So(most, ShouldBeLessThan, agents*sessionsPerAgent/entries*2)
	})
	Convey("The agents of a lost entry turn to many others", t, func() {
		_, most := count(func(ranked []string) []string {
			if ranked[0] != addresses[0] {
				return nil
			}
			return ranked[sessionsPerAgent : sessionsPerAgent+1]
		})
		So(most, ShouldBeLessThanOrEqualTo, 3)
	})
	Convey("Unreachable entries are replaced, and stay selected so that they are dialled", t, func() {
		ranked := []string{"a", "b", "c", "d", "e"}
		down := func(names string) func(string) bool {
			return func(address string) bool { return strings.Contains(names, address) }
		}
		So(selectEntries(ranked, 2, down("")), ShouldResemble, []string{"a", "b"})
		So(selectEntries(ranked, 2, down("a")), ShouldResemble, []string{"a", "b", "c"})
		So(selectEntries(ranked, 2, down("abcde")), ShouldResemble, ranked)
		So(selectEntries(ranked, 9, down("")), ShouldResemble, ranked)
	})
}

// Guards against entries that see hardly any worker of a service with few workers, and
// against numbers of sessions that go up and down.
func TestNeededSessions(t *testing.T) {
	// settle returns the number of sessions of each agent after some changes.
	settle := func(entries, agents int) int {
		n := sessionsPerAgent
		for range 20 {
			seen := max(1, agents*min(n, entries)/entries)
			n = neededSessions(entries, n, []int{seen, seen, 1})
		}
		return min(n, entries)
	}
	Convey("Each entry sees enough workers of a service, or all of them", t, func() {
		for _, c := range []struct{ entries, agents, want int }{
			{3, 11, 3}, {10, 60, 8}, {14, 74, 8}, {35, 160, 8}, {35, 40, 14}, {35, 16, 35}, {35, 5, 35}, {200, 3000, 8},
		} {
			So(settle(c.entries, c.agents), ShouldBeBetweenOrEqual, c.want, c.want+1)
		}
	})
	Convey("An agent that was told nothing keeps the number", t, func() {
		So(neededSessions(35, 12, nil), ShouldEqual, 12)
		So(neededSessions(0, sessionsPerAgent, []int{1}), ShouldEqual, sessionsPerAgent)
	})
}

// Guards against a session that ends while runs depend on it, and against orders that are
// sent to an agent that is about to end the session.
func TestRetireSession(t *testing.T) {
	Convey("Given a session that is not selected any more", t, func() {
		a := NewAgent(Config{Name: "agent", Lease: 1000}, &fixedClock{}, discardLogger{}, metrics.NewSet())
		s := newSyncedState()
		a.state = s
		stopped := false
		l := &entryLink{owner: "entry", stop: func() { stopped = true }}
		o := a.outbox("entry")
		a.retireSession(100, l)

		Convey("It is kept for a while, then the entry is told, and then it ends", func() {
			a.retireSession(100+surplusAfter-1, l)
			So(o.retiring, ShouldBeFalse)
			a.retireSession(100+surplusAfter, l)
			So(o.retiring, ShouldBeTrue)
			worker, _ := a.reports(100+surplusAfter, "entry", o)
			So(worker.Accepting, ShouldBeFalse)
			So(stopped, ShouldBeFalse)
			a.retireSession(100+surplusAfter+retireTime, l)
			So(stopped, ShouldBeTrue)
		})
		Convey("It does not end before the last run of the entry", func() {
			s.EchoReceived("entry", 100)
			s.Submit(100, "entry", testOrder(0), 100)
			a.retireSession(100+surplusAfter+retireTime, l)
			So(stopped, ShouldBeFalse)
		})
		Convey("It goes on if it is selected again", func() {
			a.retireSession(100+surplusAfter, l)
			a.keepSession(l)
			So(o.retiring, ShouldBeFalse)
			a.retireSession(100+surplusAfter+retireTime, l)
			So(stopped, ShouldBeFalse)
		})
	})
}

// fixedClock is a clock that stands still.
type fixedClock struct{}

func (*fixedClock) Now() gypsumtide.Millis  { return 1 }
func (*fixedClock) Wall() gypsumtide.Millis { return 1 }

// Guards against a fleet that repeats what its entries know already, and against entries
// that learn late that a worker is full.
func TestReportUrgency(t *testing.T) {
	worker := &wire.WorkerReport{Service: "s", Capacity: gypsumtide.Size{Processors: 1000, Memory: 1000}, Accepting: true}
	load := func(processors int64) *wire.LoadReport {
		return &wire.LoadReport{Booked: wire.SizeArray{Processors: processors}, Slowness: 1}
	}
	sent := func(l *wire.LoadReport) *outbox { return &outbox{session: &wire.Session{}, worker: *worker, load: *l} }
	Convey("A report is due at once unless the worker had and has room, and never if nothing has changed", t, func() {
		for _, c := range []struct {
			before, now int64
			want        reportUrgency
		}{
			{0, 0, reportNotNeeded}, {900, 900, reportNotNeeded},
			{0, 200, reportLater}, {600, 100, reportLater},
			{600, 700, reportNow}, {900, 600, reportNow}, {900, 1000, reportNow},
		} {
			So(sent(load(c.before)).urgency(worker, load(c.now)), ShouldEqual, c.want)
		}
	})
	Convey("A change of the worker, of its queue or of its health is not missed", t, func() {
		closed := *worker
		closed.Accepting = false
		So(sent(load(0)).urgency(&closed, load(0)), ShouldEqual, reportNow)
		waiting := load(100)
		waiting.Waiting = []wire.WaitingLoad{{Priority: 1}}
		So(sent(load(100)).urgency(worker, waiting), ShouldEqual, reportNow)
		slow := load(100)
		slow.Slowness = 1.2
		So(sent(load(100)).urgency(worker, slow), ShouldEqual, reportLater)
		So((&outbox{}).urgency(worker, load(0)), ShouldEqual, reportNow)
	})
}
