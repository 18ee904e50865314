package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
	"gypsumtide/internal/runner"
	"gypsumtide/internal/wire"
)

// Config holds the parameters of an Entry.
type Config struct {
	Name        string
	Incarnation string
	Zone        string
	// RemoteFactor is how much longer a task takes away from its data.
	RemoteFactor float64
	// Lease is the longest lease that workers grant.
	Lease gypsumtide.Millis
	// Cores is the processor time that the process may use.
	Cores float64
}

// Intervals of the entry.
const (
	tickInterval gypsumtide.Millis = 10
	// tellInterval is the time between two lists of entries to the agents.
	tellInterval gypsumtide.Millis = 500
	// resumeGrace covers a reconnection of an agent.
	resumeGrace gypsumtide.Millis = 450
	// leaseMargin covers a worker clock that is 2% slow and the way of a renewal.
	leaseMargin gypsumtide.Millis = 100
)

// Recorder records the progress of stored jobs. It must not call the Entry
// before it returns.
type Recorder interface {
	Record(p Progress)
}

// Entry runs the tasks of jobs on the workers.
type Entry struct {
	cfg     Config
	clock   gypsumtide.Clock
	log     gypsumtide.Recorder
	metrics *entryMetrics
	entries *link.Addresses
	// recorder is set before the first stored job.
	recorder Recorder

	mu       sync.Mutex
	state    *State
	sessions map[WorkerID]*wire.Session
	waiters  map[string][]chan Answer
}

// New returns an Entry that tells agents the addresses in entries.
func New(cfg Config, clock gypsumtide.Clock, log gypsumtide.Recorder, set *metrics.Set, entries *link.Addresses) *Entry {
	e := &Entry{
		cfg: cfg, clock: clock, log: log, entries: entries,
		state:    NewState(clock.Now(), cfg.Zone, cfg.RemoteFactor, NewTiming(cfg.Lease), log),
		sessions: make(map[WorkerID]*wire.Session),
		waiters:  make(map[string][]chan Answer),
	}
	e.metrics = newEntryMetrics(set, e)
	return e
}

// NewTiming returns the intervals of a State for workers that grant lease.
func NewTiming(lease gypsumtide.Millis) Timing {
	return Timing{ResumeGrace: resumeGrace, LostRun: lease + leaseMargin, LostStoredRun: runner.AbandonedAfter(lease)}
}

// Submit runs a job and returns its answer. The job ends when ctx does. A
// submission of a job that is in progress receives the same answer.
func (e *Entry) Submit(ctx context.Context, sub Submission) Answer {
	begin := time.Now()
	answer := make(chan Answer, 1)
	id := sub.Job.ID
	e.update(func(now gypsumtide.Millis) {
		e.waiters[id] = append(e.waiters[id], answer)
		if !e.state.Has(id) {
			e.state.Submit(now, sub)
		}
	})
	var a Answer
	select {
	case a = <-answer:
	case <-ctx.Done():
		a = e.leave(id, answer)
	}
	e.metrics.answered(sub.Route.Name, a, begin)
	return a
}

// leave withdraws a waiter whose caller has gone, and the job with its last waiter.
func (e *Entry) leave(id string, answer chan Answer) Answer {
	e.update(func(now gypsumtide.Millis) {
		rest := e.waiters[id][:0]
		for _, c := range e.waiters[id] {
			if c != answer {
				rest = append(rest, c)
			}
		}
		e.waiters[id] = rest
		if len(rest) == 0 {
			delete(e.waiters, id)
			e.state.Cancel(now, id, "caller-gone")
		}
	})
	select {
	case a := <-answer:
		return a
	default:
		return Answer{Outcome: gypsumtide.OutcomeUnknown, Reason: "caller-gone"}
	}
}

// Cancel ends a job in progress. It reports whether there was one.
func (e *Entry) Cancel(id string) bool {
	found := false
	e.update(func(now gypsumtide.Millis) {
		found = e.state.Has(id)
		e.state.Cancel(now, id, "cancelled")
	})
	return found
}

// GiveUp ends all jobs in progress, since the process is about to end. Jobs of
// which nothing has started are refused.
func (e *Entry) GiveUp() {
	e.update(func(now gypsumtide.Millis) { e.state.GiveUp(now) })
}

// Workers returns the number of workers that take orders.
func (e *Entry) Workers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Workers()
}

// Jobs returns the number of jobs in progress.
func (e *Entry) Jobs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.Jobs()
}

// update changes the state and carries out what the change asks for.
func (e *Entry) update(change func(now gypsumtide.Millis)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e.clock.Now())
	eff := e.state.Take()
	for id, m := range eff.Messages {
		e.metrics.ordered(m.Orders)
		if s, ok := e.sessions[id]; ok {
			s.Update(func(f *wire.Frame) {
				f.Orders = append(f.Orders, m.Orders...)
				f.StopRuns = append(f.StopRuns, m.Stops...)
				f.RecallRuns = append(f.RecallRuns, m.Recalls...)
				f.Recorded = append(f.Recorded, m.Recorded...)
				f.RecordDeclined = append(f.RecordDeclined, m.Disowned...)
			})
		}
	}
	for id, a := range eff.Answers {
		for _, c := range e.waiters[id] {
			c <- a
		}
		delete(e.waiters, id)
	}
	if len(eff.Stored.Begun) > 0 || len(eff.Stored.Ends) > 0 {
		e.recorder.Record(eff.Stored)
	}
}

// SetRecorder sets what records the progress of stored jobs.
func (e *Entry) SetRecorder(r Recorder) { e.recorder = r }

// Adopt begins to run stored jobs.
func (e *Entry) Adopt(jobs []StoredJob) {
	e.update(func(now gypsumtide.Millis) {
		for _, j := range jobs {
			e.state.Adopt(now, j)
		}
	})
}

// Recorded takes that an end has been recorded, and whether the job has reached
// a final state by it.
func (e *Entry) Recorded(end TaskEnd, final bool) {
	e.update(func(now gypsumtide.Millis) { e.state.Recorded(now, end, final) })
}

// Close ends a stored job that has reached a final state.
func (e *Entry) Close(id, reason string) {
	e.update(func(now gypsumtide.Millis) { e.state.Close(now, id, reason) })
}

// Release gives up stored jobs that belong to another owner now.
func (e *Entry) Release(ids []string) {
	e.update(func(now gypsumtide.Millis) { e.state.Release(now, ids) })
}

// Pause keeps stored jobs from starting further tasks, and returns how many of
// their tasks have not ended.
func (e *Entry) Pause(ids []string) int {
	open := 0
	e.update(func(gypsumtide.Millis) { open = e.state.Pause(ids) })
	return open
}

// Reroute replaces the routes of stored jobs by those of a new table.
func (e *Entry) Reroute(t *gypsumtide.RouteTable) {
	e.update(func(gypsumtide.Millis) { e.state.Reroute(t) })
}

// Run ends jobs whose time is over, and tells agents the entries, until ctx is done.
func (e *Entry) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Add("tick", e.tickLoop)
	g.Add("entries", func(ctx context.Context) error {
		for gypsumtide.Sleep(ctx, tellInterval) {
			e.tellEntries()
		}
		return ctx.Err()
	})
	return g.Wait()
}

func (e *Entry) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			e.update(func(now gypsumtide.Millis) { e.state.Tick(now) })
		}
	}
}

// ServeAgent runs the session of an agent.
func (e *Entry) ServeAgent(w http.ResponseWriter, r *http.Request) {
	s, err := link.Accept(w, r, e.clock)
	if err != nil {
		e.log.Decision("session-refused", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	defer s.Close()
	ctx := context.WithoutCancel(r.Context())
	hello, err := link.Greet(ctx, s, wire.Welcome{Name: e.cfg.Name, Incarnation: e.cfg.Incarnation})
	if err != nil {
		e.log.Decision("session-refused", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	id := WorkerID{Agent: hello.Name, Incarnation: hello.Incarnation}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Update(func(f *wire.Frame) { f.Entries = e.entries.Vouched() })
	err = s.Run(ctx, func(f *wire.Frame) error { return e.receive(id, s, f) })
	e.disconnect(id, s, err)
}

func (e *Entry) disconnect(id WorkerID, s *wire.Session, err error) {
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	e.update(func(now gypsumtide.Millis) {
		if e.sessions[id] != s {
			return
		}
		delete(e.sessions, id)
		e.state.Disconnected(now, id, reason)
	})
}

// receive handles a frame of an agent.
func (e *Entry) receive(id WorkerID, s *wire.Session, f *wire.Frame) error {
	if f.Resume == nil && f.Worker == nil && f.WorkerLoad == nil && len(f.RunReports) == 0 {
		return nil
	}
	e.update(func(now gypsumtide.Millis) {
		if f.Resume != nil {
			if old, ok := e.sessions[id]; ok && old != s {
				old.Close()
			}
			e.sessions[id] = s
			e.state.Opening(id, *f.Resume)
		}
		if e.sessions[id] != s {
			return
		}
		for _, r := range f.RunReports {
			if e.state.New(id, r.Number) {
				e.state.Report(now, id, r)
			}
			s.AcknowledgeReports(r.Number)
		}
		if f.Resume != nil {
			e.state.Connected(now, id, *f.Resume)
		}
		if f.Worker != nil {
			e.state.Observe(now, id, *f.Worker)
		}
		if f.WorkerLoad != nil {
			e.state.ObserveLoad(now, id, f.WorkerLoad)
		}
	})
	if f.Resume != nil {
		// The stops that Connected asked for are in this frame or an earlier one.
		s.Update(func(f *wire.Frame) { f.Resumed = true })
	}
	return nil
}

// tellEntries sends every agent the known entries and the rate of reports.
func (e *Entry) tellEntries() {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := e.entries.Vouched()
	every := e.reportInterval()
	for _, s := range e.sessions {
		s.Update(func(f *wire.Frame) {
			f.Entries = list
			f.ReportInterval = every
		})
	}
}

// reportsPerCore is the rate of unprompted worker reports that a core may spend
// its time on; one takes about 30 us, so this is 15% of it.
const reportsPerCore = 5000

// reportInterval returns how often each agent should report unprompted.
func (e *Entry) reportInterval() gypsumtide.Millis {
	perSecond := reportsPerCore * max(minCores, e.cfg.Cores)
	return 1 + gypsumtide.Millis(1000*float64(len(e.sessions))/perSecond)
}

// minCores replaces a missing setting.
const minCores = 0.1
