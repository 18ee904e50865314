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

// Config holds the parameters of a Dispatcher.
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
	sendEntriesInterval gypsumtide.Millis = 500
	// resumeGrace covers a reconnection of an agent.
	reconnectGrace gypsumtide.Millis = 450
	// leaseMargin covers a worker clock that is 2% slow and the way of a renewal.
	leaseMargin gypsumtide.Millis = 100
)

// Recorder records the progress of stored jobs. It must not call the Dispatcher
// before it returns.
type Recorder interface {
	Record(p Progress)
}

// Dispatcher runs the tasks of jobs on the workers.
type Dispatcher struct {
	cfg       Config
	clock     gypsumtide.Clock
	log       gypsumtide.Recorder
	metrics   *dispatcherMetrics
	addresses *link.Addresses
	// recorder is set before the first stored job.
	recorder Recorder

	mu       sync.Mutex
	state    *State
	sessions map[WorkerID]*wire.Session
	waiters  map[string][]chan Answer
}

// New returns a Dispatcher that tells agents the addresses in entries.
func New(cfg Config, clock gypsumtide.Clock, log gypsumtide.Recorder, set *metrics.Set, addresses *link.Addresses) *Dispatcher {
	d := &Dispatcher{
		cfg: cfg, clock: clock, log: log, addresses: addresses,
		state:    NewState(clock.Now(), cfg.Zone, cfg.RemoteFactor, NewTiming(cfg.Lease), log),
		sessions: make(map[WorkerID]*wire.Session),
		waiters:  make(map[string][]chan Answer),
	}
	d.metrics = newDispatcherMetrics(set, d)
	return d
}

// NewTiming returns the intervals of a State for workers that grant lease.
func NewTiming(lease gypsumtide.Millis) Timing {
	return Timing{ReconnectGrace: reconnectGrace, LostRunTimeout: lease + leaseMargin, LostStoredRunTimeout: runner.AbandonedAfter(lease)}
}

// Submit runs a job and returns its answer. The job ends when ctx does. A
// submission of a job that is in progress receives the same answer.
func (d *Dispatcher) Submit(ctx context.Context, sub Submission) Answer {
	begin := time.Now()
	answer := make(chan Answer, 1)
	id := sub.Job.ID
	d.update(func(now gypsumtide.Millis) {
		d.waiters[id] = append(d.waiters[id], answer)
		if !d.state.HasEphemeral(id) {
			d.state.Submit(now, sub)
		}
	})
	var a Answer
	select {
	case a = <-answer:
	case <-ctx.Done():
		a = d.removeWaiter(id, answer)
	}
	d.metrics.answered(sub.Route.Name, a, begin)
	return a
}

// leave withdraws a waiter whose caller has gone, and the job with its last waiter.
func (d *Dispatcher) removeWaiter(id string, answer chan Answer) Answer {
	d.update(func(now gypsumtide.Millis) {
		rest := d.waiters[id][:0]
		for _, c := range d.waiters[id] {
			if c != answer {
				rest = append(rest, c)
			}
		}
		d.waiters[id] = rest
		if len(rest) == 0 {
			delete(d.waiters, id)
			d.state.Cancel(now, id, "caller-gone")
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
func (d *Dispatcher) Cancel(id string) bool {
	found := false
	d.update(func(now gypsumtide.Millis) {
		found = d.state.HasEphemeral(id)
		d.state.Cancel(now, id, "cancelled")
	})
	return found
}

// AbortEphemeral ends all jobs in progress, since the process is about to end. Jobs of
// which nothing has started are refused.
func (d *Dispatcher) AbortEphemeral() {
	d.update(func(now gypsumtide.Millis) { d.state.AbortEphemeral(now) })
}

// Workers returns the number of workers that take orders.
func (d *Dispatcher) Workers() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Workers()
}

// Jobs returns the number of jobs in progress.
func (d *Dispatcher) Jobs() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.Jobs()
}

// update changes the state and carries out what the change asks for.
func (d *Dispatcher) update(change func(now gypsumtide.Millis)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.clock.Now())
	eff := d.state.TakeEffects()
	for id, m := range eff.Messages {
		d.metrics.ordered(m.Orders)
		if s, ok := d.sessions[id]; ok {
			s.Update(func(f *wire.Frame) {
				f.Orders = append(f.Orders, m.Orders...)
				f.StopRuns = append(f.StopRuns, m.Stops...)
				f.RecallRuns = append(f.RecallRuns, m.Recalls...)
				f.Recorded = append(f.Recorded, m.Recorded...)
				f.RecordDeclined = append(f.RecordDeclined, m.RecordDeclined...)
			})
		}
	}
	for id, a := range eff.Answers {
		for _, c := range d.waiters[id] {
			c <- a
		}
		delete(d.waiters, id)
	}
	if len(eff.Stored.Started) > 0 || len(eff.Stored.Ends) > 0 {
		d.recorder.Record(eff.Stored)
	}
}

// SetRecorder sets what records the progress of stored jobs.
func (d *Dispatcher) SetRecorder(r Recorder) { d.recorder = r }

// Adopt begins to run stored jobs.
func (d *Dispatcher) Adopt(jobs []StoredJob) {
	d.update(func(now gypsumtide.Millis) {
		for _, j := range jobs {
			d.state.Adopt(now, j)
		}
	})
}

// Recorded takes that an end has been recorded, and whether the job has reached
// a final state by it.
func (d *Dispatcher) Recorded(end TaskEnd, final bool) {
	d.update(func(now gypsumtide.Millis) { d.state.Recorded(now, end, final) })
}

// CloseJob ends a stored job that has reached a final state.
func (d *Dispatcher) CloseJob(id, reason string) {
	d.update(func(now gypsumtide.Millis) { d.state.CloseJob(now, id, reason) })
}

// Release gives up stored jobs that belong to another owner now.
func (d *Dispatcher) Release(ids []string) {
	d.update(func(now gypsumtide.Millis) { d.state.Release(now, ids) })
}

// Pause keeps stored jobs from starting further tasks, and returns how many of
// their tasks have not ended.
func (d *Dispatcher) Pause(ids []string) int {
	open := 0
	d.update(func(gypsumtide.Millis) { open = d.state.Pause(ids) })
	return open
}

// UpdateRoutes replaces the routes of stored jobs by those of a new table.
func (d *Dispatcher) UpdateRoutes(t *gypsumtide.RouteTable) {
	d.update(func(gypsumtide.Millis) { d.state.UpdateRoutes(t) })
}

// Run ends jobs whose time is over, and tells agents the entries, until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Add("tick", d.tickLoop)
	g.Add("entries", func(ctx context.Context) error {
		for gypsumtide.Sleep(ctx, sendEntriesInterval) {
			d.sendEntries()
		}
		return ctx.Err()
	})
	return g.Wait()
}

func (d *Dispatcher) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			d.update(func(now gypsumtide.Millis) { d.state.Tick(now) })
		}
	}
}

// ServeAgent runs the session of an agent.
func (d *Dispatcher) ServeAgent(w http.ResponseWriter, r *http.Request) {
	s, err := link.Accept(w, r, d.clock)
	if err != nil {
		d.log.Decision("session-refused", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	defer s.Close()
	ctx := context.WithoutCancel(r.Context())
	hello, err := link.Greet(ctx, s, wire.Welcome{Name: d.cfg.Name, Incarnation: d.cfg.Incarnation})
	if err != nil {
		d.log.Decision("session-refused", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	id := WorkerID{Agent: hello.Name, Incarnation: hello.Incarnation}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.Update(func(f *wire.Frame) { f.Entries = d.addresses.Vouched() })
	err = s.Run(ctx, func(f *wire.Frame) error { return d.receive(id, s, f) })
	d.disconnect(id, s, err)
}

func (d *Dispatcher) disconnect(id WorkerID, s *wire.Session, err error) {
	reason := "closed"
	if err != nil {
		reason = err.Error()
	}
	d.update(func(now gypsumtide.Millis) {
		if d.sessions[id] != s {
			return
		}
		delete(d.sessions, id)
		d.state.Disconnected(now, id, reason)
	})
}

// receive handles a frame of an agent.
func (d *Dispatcher) receive(id WorkerID, s *wire.Session, f *wire.Frame) error {
	if f.Resume == nil && f.Worker == nil && f.WorkerLoad == nil && len(f.RunReports) == 0 {
		return nil
	}
	d.update(func(now gypsumtide.Millis) {
		if f.Resume != nil {
			if old, ok := d.sessions[id]; ok && old != s {
				old.Close()
			}
			d.sessions[id] = s
			d.state.BeginResume(id, *f.Resume)
		}
		if d.sessions[id] != s {
			return
		}
		for _, r := range f.RunReports {
			if d.state.AcceptReport(id, r.Number) {
				d.state.Report(now, id, r)
			}
			s.AcknowledgeReports(r.Number)
		}
		if f.Resume != nil {
			d.state.Connected(now, id, *f.Resume)
		}
		if f.Worker != nil {
			d.state.UpdateWorker(now, id, *f.Worker)
		}
		if f.WorkerLoad != nil {
			d.state.UpdateLoad(now, id, f.WorkerLoad)
		}
	})
	if f.Resume != nil {
		// The stops that Connected asked for are in this frame or an earlier one.
		s.Update(func(f *wire.Frame) { f.Resumed = true })
	}
	return nil
}

// tellEntries sends every agent the known entries and the rate of reports.
func (d *Dispatcher) sendEntries() {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.addresses.Vouched()
	every := d.reportInterval()
	for _, s := range d.sessions {
		s.Update(func(f *wire.Frame) {
			f.Entries = list
			f.ReportInterval = every
		})
	}
}

// reportsPerCore is the rate of unprompted worker reports that a core may spend
// its time on; one takes about 30 us, so this is 15% of it.
const maxReportsPerCore = 5000

// reportInterval returns how often each agent should report unprompted.
func (d *Dispatcher) reportInterval() gypsumtide.Millis {
	perSecond := maxReportsPerCore * max(minCores, d.cfg.Cores)
	return 1 + gypsumtide.Millis(1000*float64(len(d.sessions))/perSecond)
}

// minCores replaces a missing setting.
const minCores = 0.1
