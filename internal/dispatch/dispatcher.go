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
	// Name identifies the entry, Incarnation this process, Zone its availability zone.
	Name        string
	Incarnation string
	Zone        string
	// RemoteFactor is the factor by which a task takes longer on a rack without its data.
	RemoteFactor float64
	// RestoreTime is the time that a run needs to restore a checkpoint.
	RestoreTime gypsumtide.Millis
	// Lease is the longest lease that a worker grants to its agent.
	Lease gypsumtide.Millis
	// Cores is the number of processor cores that the process may use.
	Cores float64
}

// Intervals of the dispatcher.
const (
	// tickInterval is the interval of State.Tick.
	tickInterval gypsumtide.Millis = 10
	// noticeInterval is how often the notices to the agents are checked for changes.
	noticeInterval gypsumtide.Millis = 500
	// reconnectGrace is enough time for an agent to reconnect.
	reconnectGrace gypsumtide.Millis = 450
)

// ProgressRecorder records the progress of stored jobs. Record is called with the
// Dispatcher's lock held, so it must not call the Dispatcher before it returns.
type ProgressRecorder interface {
	Record(p Progress)
}

// Dispatcher runs the tasks of jobs on the workers. It connects a State to the sessions
// of the agents and to the callers.
type Dispatcher struct {
	cfg       Config
	clock     gypsumtide.Clock
	log       gypsumtide.DecisionLogger
	metrics   *dispatcherMetrics
	addresses *link.Addresses
	// progressRecorder must be set before the first stored job is adopted.
	progressRecorder ProgressRecorder

	mu       sync.Mutex
	state    *State
	sessions map[WorkerID]*agentSession
	// waiters holds, by job id, a channel for each caller that waits for the answer.
	waiters map[string][]chan Answer
}

// New returns a Dispatcher that tells agents the shareable entry addresses in addresses.
func New(cfg Config, clock gypsumtide.Clock, log gypsumtide.DecisionLogger, set *metrics.Set, addresses *link.Addresses) *Dispatcher {
	timing := NewTiming(cfg.Lease)
	timing.RestoreTime = cfg.RestoreTime
	d := &Dispatcher{
		cfg: cfg, clock: clock, log: log, addresses: addresses,
		state:    NewState(clock.Now(), cfg.Zone, cfg.RemoteFactor, timing, log),
		sessions: make(map[WorkerID]*agentSession),
		waiters:  make(map[string][]chan Answer),
	}
	d.metrics = newDispatcherMetrics(set, d)
	return d
}

// NewTiming returns the timeouts of a State for workers that grant leases of at most
// lease.
func NewTiming(lease gypsumtide.Millis) Timing {
	return Timing{ReconnectGrace: reconnectGrace, LostRunTimeout: runner.LostRunTimeout(lease), LostStoredRunTimeout: runner.OrphanedRunTimeout(lease)}
}

// Submit runs a job and returns its answer. If the job is already in progress, the
// caller waits for the same answer. The job is cancelled when the contexts of all its
// callers are done.
func (d *Dispatcher) Submit(ctx context.Context, sub Submission) Answer {
	start := time.Now()
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
	d.metrics.recordAnswer(sub.Route.Name, a, start)
	return a
}

// removeWaiter removes a caller that has disconnected, and cancels the job if no other
// caller waits for it. It returns the answer if the caller has got one in the meantime,
// and otherwise that the outcome is unknown.
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

// Cancel aborts an ephemeral job. It reports whether the job was in progress.
func (d *Dispatcher) Cancel(id string) bool {
	found := false
	d.update(func(now gypsumtide.Millis) {
		found = d.state.HasEphemeral(id)
		d.state.Cancel(now, id, "cancelled")
	})
	return found
}

// AbortEphemeral aborts all ephemeral jobs because the process is shutting down. Jobs
// that have not started and have no order at an agent are answered as not run.
func (d *Dispatcher) AbortEphemeral() {
	d.update(func(now gypsumtide.Millis) { d.state.AbortEphemeral(now) })
}

// Workers returns the number of workers that accept orders.
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

// update applies a change to the state and carries out its effects. It holds d.mu
// throughout. Messages to a worker without a session are dropped.
func (d *Dispatcher) update(change func(now gypsumtide.Millis)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(d.clock.Now())
	eff := d.state.TakeEffects()
	var packer wire.SpecPacker
	for id, m := range eff.Messages {
		d.metrics.countOrders(m.Orders)
		if s, ok := d.sessions[id]; ok {
			s.SetIdle(!d.state.HasTasks(id))
			orders := m.Orders
			if s.unpacksSpecs {
				orders = packer.Pack(orders)
			}
			s.Update(func(f *wire.Frame) {
				f.Orders = append(f.Orders, orders...)
				f.StopRuns = append(f.StopRuns, m.Stops...)
				f.RecallRuns = append(f.RecallRuns, m.Recalls...)
				f.Recorded = append(f.Recorded, m.Recorded...)
				f.RecordDeclined = append(f.RecordDeclined, m.RecordDeclined...)
			})
		}
	}
	d.metrics.countPlaces(eff.Places)
	d.metrics.countLeaveVerdicts(eff.LeaveVerdicts)
	for id, a := range eff.Answers {
		for _, c := range d.waiters[id] {
			c <- a
		}
		delete(d.waiters, id)
	}
	if len(eff.Stored.Started) > 0 || len(eff.Stored.Ends) > 0 || len(eff.Stored.Checkpoints) > 0 {
		d.progressRecorder.Record(eff.Stored)
	}
}

// SetProgressRecorder sets the ProgressRecorder of stored jobs. It must be called before
// the first stored job is adopted.
func (d *Dispatcher) SetProgressRecorder(r ProgressRecorder) { d.progressRecorder = r }

// Adopt takes over stored jobs and starts to run them.
func (d *Dispatcher) Adopt(jobs []StoredJob) {
	d.update(func(now gypsumtide.Millis) {
		for _, j := range jobs {
			d.state.Adopt(now, j)
		}
	})
}

// EndRecorded notes that the end of a run has been recorded. final is true if the
// job has reached a final state with it.
func (d *Dispatcher) EndRecorded(end TaskEnd, final bool) {
	d.update(func(now gypsumtide.Millis) { d.state.EndRecorded(now, end, final) })
}

// CloseJob removes a stored job that has reached a final state, and stops its runs.
func (d *Dispatcher) CloseJob(id, reason string) {
	d.update(func(now gypsumtide.Millis) { d.state.CloseJob(now, id, reason) })
}

// Release removes stored jobs that now belong to another owner, and stops their runs.
func (d *Dispatcher) Release(ids []string) {
	d.update(func(now gypsumtide.Millis) { d.state.Release(now, ids) })
}

// Pause stops stored jobs from starting further tasks. It returns how many of their
// tasks have an order or a run, or an end that is not recorded yet.
func (d *Dispatcher) Pause(ids []string) int {
	active := 0
	d.update(func(gypsumtide.Millis) { active = d.state.Pause(ids) })
	return active
}

// UpdateRoutes replaces the routes of stored jobs by those of a new route table.
func (d *Dispatcher) UpdateRoutes(t *gypsumtide.RouteTable) {
	d.update(func(gypsumtide.Millis) { d.state.UpdateRoutes(t) })
}

// SetEvacuations replaces the set of evacuated availability zones, unless e has a lower version.
func (d *Dispatcher) SetEvacuations(e gypsumtide.Evacuations) {
	d.update(func(now gypsumtide.Millis) {
		d.state.SetEvacuations(now, e)
		for _, s := range d.sessions {
			s.sendEvacuations(d.state.Evacuations())
		}
	})
}

// Run performs the periodic work of the state, and keeps the agents informed about the
// entries, until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Add("tick", d.tickLoop)
	g.Add("notices", func(ctx context.Context) error {
		for gypsumtide.Sleep(ctx, noticeInterval) {
			d.notifyAgents()
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

// ServeAgent accepts and runs the session of an agent.
func (d *Dispatcher) ServeAgent(w http.ResponseWriter, r *http.Request) {
	s, err := link.Accept(w, r, d.clock)
	if err != nil {
		d.log.Decision("session-refused", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	defer s.Close()
	ctx := context.WithoutCancel(r.Context())
	hello, err := link.ServerHandshake(ctx, s, wire.Welcome{Name: d.cfg.Name, Incarnation: d.cfg.Incarnation})
	if err != nil {
		d.log.Decision("session-refused", "peer", r.RemoteAddr, "error", err.Error())
		return
	}
	id := WorkerID{Agent: hello.Name, Incarnation: hello.Incarnation}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	as := &agentSession{Session: s, unpacksSpecs: hello.UnpacksSpecs}
	d.update(func(now gypsumtide.Millis) {
		as.sendEvacuations(d.state.Evacuations())
		as.notify(now, agentNotice{entries: d.addresses.Shareable()})
	})
	err = s.Run(ctx, func(f *wire.Frame) error { return d.receive(id, as, f) })
	d.disconnect(id, as, err)
}

func (d *Dispatcher) disconnect(id WorkerID, s *agentSession, err error) {
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

// receive processes a frame from an agent.
func (d *Dispatcher) receive(id WorkerID, s *agentSession, f *wire.Frame) error {
	if f.Resume == nil && f.Worker == nil && f.WorkerLoad == nil && len(f.RunReports) == 0 {
		return nil
	}
	d.update(func(now gypsumtide.Millis) {
		if f.Resume != nil {
			if !d.state.BeginResume(id, *f.Resume) {
				s.Close()
				return
			}
			if old, ok := d.sessions[id]; ok && old != s {
				old.Close()
			}
			d.sessions[id] = s
			// The set may have changed since the session was accepted. From now on
			// SetEvacuations sends changes.
			s.sendEvacuations(d.state.Evacuations())
		}
		if d.sessions[id] != s {
			return
		}
		for _, r := range f.RunReports {
			if d.state.AcceptReport(id, r.Number) {
				d.state.HandleReport(now, id, r)
			}
			s.AcknowledgeReports(r.Number)
		}
		if f.Resume != nil {
			d.state.Connected(now, id, *f.Resume)
		}
		if f.Worker != nil {
			d.state.UpdateWorker(now, id, *f.Worker)
			s.reportedEvacuations = f.Worker.EvacuationsVersion
			s.sendEvacuations(d.state.Evacuations())
		}
		if f.WorkerLoad != nil {
			d.state.UpdateLoad(now, id, f.WorkerLoad)
		}
		s.SetIdle(!d.state.HasTasks(id))
	})
	if f.Resume != nil {
		// The stops requested by Connected were queued before, so the agent receives them no
		// later than this flag.
		s.Update(func(f *wire.Frame) { f.Resumed = true })
	}
	return nil
}

// notifyAgents sends each connected agent its notice.
func (d *Dispatcher) notifyAgents() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	workers := d.state.WorkersByService(now)
	notice := agentNotice{entries: d.addresses.Shareable(), reportInterval: d.reportInterval()}
	for id, s := range d.sessions {
		notice.workers = workers[d.state.Service(id)]
		s.notify(now, notice)
	}
}

// maxReportsPerCore limits the load broadcasts of all agents per second and core. Each costs
// a read, a wake-up and about 30 us of processing. With 5000 they took so much of a fifth of a
// core that requests waited for it under overload. Reports on runs carry the load as well.
const maxReportsPerCore = 1500

// reportInterval returns the minimum time between two load broadcasts of an agent. The
// caller holds d.mu.
func (d *Dispatcher) reportInterval() gypsumtide.Millis {
	perSecond := maxReportsPerCore * max(minCores, d.cfg.Cores)
	return 1 + gypsumtide.Millis(1000*float64(len(d.sessions))/perSecond)
}

// minCores is the number of cores to assume if Cores is lower or not set.
const minCores = 0.1
