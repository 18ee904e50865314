package runner

import (
	"context"
	"slices"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
	"gypsumtide/internal/wire"
)

// Config holds the parameters of an Agent.
type Config struct {
	// Name identifies the host, Incarnation this agent process.
	Name        string
	Incarnation string
	// Zone is the host's availability zone. A worker that reports none is in it.
	Zone string
	// Seeds are the addresses of entries to connect to first.
	Seeds []string
	// Lease is the longest lease that the worker grants.
	Lease gypsumtide.Millis
	// DrainTimeout limits how long a shutdown waits for runs to end.
	DrainTimeout gypsumtide.Millis
	// Connect returns the client for the worker at an address.
	Connect func(address string) gypsumtide.Worker
	// Directory is queried for entries while there is no session. It may be nil.
	Directory gypsumtide.Directory
	// WorkerStore keeps the worker's description across restarts of the agent. If it
	// is nil, tasks of stored jobs are not started.
	WorkerStore gypsumtide.WorkerStore
}

// Intervals of the agent.
const (
	// tickInterval is the interval of State.Tick.
	tickInterval gypsumtide.Millis = 20
	// idleTickInterval replaces tickInterval while the agent holds no order.
	idleTickInterval gypsumtide.Millis = 100
	// broadcastInterval is the minimum time between two broadcasts of the load. An
	// entry may request a longer interval.
	broadcastInterval gypsumtide.Millis = 5
	// callTimeout limits start, stop and sync calls to the worker, which runs on the
	// same host. A start or sync that times out needlessly costs one sync.
	callTimeout gypsumtide.Millis = 40
	// renewWait is how long the worker may delay its answer to a renew call. A lost
	// answer delays the ends of runs by renewWait plus renewMargin.
	renewWait gypsumtide.Millis = 60
	// idleRenewWait replaces renewWait while nothing runs.
	idleRenewWait gypsumtide.Millis = 200
	// renewMargin is the time that the answer may take beyond renewWait.
	renewMargin gypsumtide.Millis = 40
	// drainReportTime is the time for reporting the last ends and for their
	// acknowledgement.
	drainReportTime gypsumtide.Millis = 200
	// ownerGrace is how long the runs of a disconnected entry continue, so that it
	// can reconnect.
	ownerGrace gypsumtide.Millis = 400
	// maxOwnerSilence is the age of a disconnected entry's newest echo from which its runs
	// are stopped, even if the loss was noticed late. It must be shorter than the time
	// after which callers resubmit a job.
	maxOwnerSilence = link.ReceiveTimeout + ownerGrace
	// stopTime is enough for an agent to notice that maxOwnerSilence has passed, and for the
	// worker to stop the runs.
	stopTime gypsumtide.Millis = 200
	// renewalTime is the time that a lease renewal may take to arrive.
	renewalTime gypsumtide.Millis = 50
	// stopRetry and syncRetry are the delays before a stop or a sync is retried.
	stopRetry gypsumtide.Millis = 80
	syncRetry gypsumtide.Millis = 10
	// startConcurrency and stopConcurrency limit the concurrent calls to the worker.
	startConcurrency = 24
	stopConcurrency  = 6
	// maxDeregistered limits the deregistered incarnations of the worker that are
	// kept so that their late heartbeats are ignored.
	maxDeregistered = 8
	// callQueueSize limits the start calls that wait to be sent to the worker, and the
	// stop calls.
	callQueueSize = 4096
)

// NewTiming returns the intervals of a State for a worker that grants leases of at most
// lease.
func NewTiming(lease gypsumtide.Millis) Timing {
	return Timing{Lease: lease, OwnerGrace: ownerGrace, MaxOwnerSilence: maxOwnerSilence, MaxOwnerLag: maxOwnerSilence, MaxEchoAge: link.MaxEchoAge, StopRetry: stopRetry, SyncRetry: syncRetry}
}

// LostRunTimeout returns the time after the loss of a session from which an entry may retry
// the runs of ephemeral jobs on other hosts. By then the agent has stopped the runs, or the
// worker's lease has expired because the agent no longer renews it.
func LostRunTimeout(lease gypsumtide.Millis) gypsumtide.Millis {
	// A worker's clock may run slow by less than a twentieth.
	return max(lease+lease/20+renewalTime, maxOwnerSilence+stopTime)
}

// OrphanedRunTimeout returns the time after the loss of a session from which an entry
// may retry the runs of stored jobs on other hosts. By then the agent has detected the
// loss, has stopped the runs, and has let the worker's lease expire if there are ends that
// no entry will record.
func OrphanedRunTimeout(lease gypsumtide.Millis) gypsumtide.Millis {
	return link.ReceiveTimeout + ownerGrace + lease + lease/20 + 4*leaseMargin + 2*tickInterval
}

// Agent runs the tasks of jobs on the worker of its host.
type Agent struct {
	cfg     Config
	clock   gypsumtide.Clock
	log     gypsumtide.DecisionLogger
	metrics *agentMetrics

	mu    sync.Mutex
	state *State
	// worker is the client for the worker at address.
	worker   gypsumtide.Worker
	address  string
	sessions map[Owner]*wire.Session
	outboxes map[Owner]*outbox
	// links holds the connections to entries, by address.
	links map[string]*entryLink
	// rankedEntries are the addresses in knownEntries in the order in which the agent
	// prefers them.
	knownEntries  []string
	rankedEntries []string
	// sessionsWanted is the number of sessions to keep, last changed or confirmed at
	// resizedAt.
	sessionsWanted int
	resizedAt      gypsumtide.Millis
	// sessionCount is the number of sessions opened.
	sessionCount uint64
	loadChanged  bool
	// broadcastAt is the time of the last broadcast.
	broadcastAt gypsumtide.Millis
	// deregistered holds the worker incarnations that have deregistered, newest last.
	deregistered []gypsumtide.Incarnation

	// starts, stops and syncs queue the calls to the worker.
	starts  chan StartCall
	stops   chan StopCall
	syncs   chan RenewCall
	entries *link.Addresses

	// workerSaves holds the newest worker description that is to be saved.
	workerSaves chan gypsumtide.WorkerInfo
	// storedJobsMarkSaves requests that the host is marked in the worker store.
	storedJobsMarkSaves chan struct{}
}

// NewAgent returns an Agent. Its first fencing token is greater than the current time of
// the wall clock, so it is usually greater than the tokens of earlier incarnations.
func NewAgent(cfg Config, clock gypsumtide.Clock, log gypsumtide.DecisionLogger, set *metrics.Set) *Agent {
	timing := NewTiming(cfg.Lease)
	a := &Agent{
		cfg: cfg, clock: clock, log: log,
		state:               NewState(timing, uint64(max(1, clock.Wall())), log),
		sessions:            make(map[Owner]*wire.Session),
		outboxes:            make(map[Owner]*outbox),
		links:               make(map[string]*entryLink),
		sessionsWanted:      sessionsPerAgent,
		resizedAt:           clock.Now(),
		starts:              make(chan StartCall, callQueueSize),
		stops:               make(chan StopCall, callQueueSize),
		syncs:               make(chan RenewCall, 1),
		entries:             link.NewAddresses(cfg.Seeds, clock),
		workerSaves:         make(chan gypsumtide.WorkerInfo, 1),
		storedJobsMarkSaves: make(chan struct{}, 1),
	}
	if cfg.WorkerStore == nil {
		a.state.StoredJobsMarkLoaded(clock.Now(), false)
	}
	a.metrics = newAgentMetrics(set, a)
	return a
}

// Run runs the agent until ctx is done, and then drains it.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := group.New(work)
	for range startConcurrency {
		g.Add("start runs", func(ctx context.Context) error { return processCalls(ctx, a.starts, a.callStart) })
	}
	for range stopConcurrency {
		g.Add("stop runs", func(ctx context.Context) error { return processCalls(ctx, a.stops, a.callStop) })
	}
	g.Add("sync", func(ctx context.Context) error { return processCalls(ctx, a.syncs, a.callSync) })
	g.Add("renew lease", a.renewLoop)
	g.Add("tick", a.tickLoop)
	g.Add("entries", a.dialEntries)
	if a.cfg.WorkerStore != nil {
		g.Add("worker store", a.workerStoreLoop)
	}
	g.Add("drain", func(work context.Context) error {
		select {
		case <-ctx.Done():
		case <-work.Done():
			return work.Err()
		}
		a.drain(work)
		stop()
		return nil
	})
	return g.Wait()
}

// drain returns the waiting orders and waits, for up to the drain timeout, until the runs
// have ended and no end is left to be recorded. It then stops the runs that are left.
func (a *Agent) drain(ctx context.Context) {
	a.log.Decision("drain", "timeout-ms", a.cfg.DrainTimeout)
	a.update(func(now gypsumtide.Millis) { a.state.Drain(now) })
	start := a.clock.Now()
	for a.clock.Now()-start < a.cfg.DrainTimeout && (a.running() > 0 || a.hasUnrecordedEnds()) {
		if !gypsumtide.Sleep(ctx, tickInterval) {
			return
		}
	}
	if a.running() > 0 {
		a.update(func(now gypsumtide.Millis) { a.state.StopAll(now) })
		gypsumtide.Sleep(ctx, drainReportTime)
	}
	gypsumtide.Sleep(ctx, drainReportTime)
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Running()
}

func (a *Agent) hasUnrecordedEnds() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.HasUnrecordedEnds()
}

// Heartbeat processes a worker's description of itself.
func (a *Agent) Heartbeat(info gypsumtide.WorkerInfo) {
	info = a.withZone(info)
	a.update(func(now gypsumtide.Millis) {
		if slices.Contains(a.deregistered, info.Incarnation) {
			return
		}
		leavesAt := a.state.LeavesAt()
		if a.state.Heartbeat(now, info) {
			info.Remaining = nil // Outdated when it is read.
			a.queueWorkerSave(info)
		}
		a.loadChanged = a.loadChanged || a.state.LeavesAt() != leavesAt
	})
}

// withZone returns the description of a worker with the zone of the host if it has none.
func (a *Agent) withZone(info gypsumtide.WorkerInfo) gypsumtide.WorkerInfo {
	if info.Zone == "" {
		info.Zone = a.cfg.Zone
	}
	return info
}

// WorkerDeregistered processes the deregistration of the worker with the given id. It
// has no effect if the agent uses another worker or none.
func (a *Agent) WorkerDeregistered(id string) {
	a.update(func(now gypsumtide.Millis) {
		if incarnation := a.state.Incarnation(); incarnation.ID == id {
			a.log.Decision("worker-left", "life", incarnation)
			a.deregistered = append(a.deregistered, incarnation)
			a.deregistered = a.deregistered[max(0, len(a.deregistered)-maxDeregistered):]
			// A restarted agent must not use the worker, even if it never said that it drains.
			left := a.state.Info()
			left.Draining = true
			left.Remaining = nil
			a.queueWorkerSave(left)
			a.state.WorkerDeregistered(now, id)
		}
	})
}

// update applies a change to the state and carries out its effects. It holds a.mu
// throughout.
func (a *Agent) update(change func(now gypsumtide.Millis)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	change(now)
	if address := a.state.Address(); address != a.address && address != "" {
		a.address = address
		a.worker = a.cfg.Connect(address)
	}
	a.applyEffects(now, a.state.TakeEffects())
}

func (a *Agent) applyEffects(now gypsumtide.Millis, e Effects) {
	for _, c := range e.Starts {
		a.metrics.starts.Inc()
		a.metrics.queueSeconds.Update(c.QueueTime.Duration().Seconds())
		a.starts <- c
	}
	for _, c := range e.Stops {
		a.metrics.stops.Inc()
		select {
		case a.stops <- c:
		default:
			// The state retries a stop until the run has ended.
		}
	}
	if e.Sync != nil {
		a.metrics.syncs.Inc()
		select {
		case <-a.syncs:
		default:
		}
		a.syncs <- *e.Sync
	}
	if e.SaveStoredJobsMark {
		select {
		case a.storedJobsMarkSaves <- struct{}{}:
		default:
		}
	}
	for owner, reports := range e.Reports {
		for _, r := range reports {
			a.metrics.countReport(r)
		}
		a.sendReports(now, owner, reports)
	}
	if len(e.Starts) > 0 || len(e.Reports) > 0 {
		a.loadChanged = true
	}
	if a.loadChanged && now-a.broadcastAt >= broadcastInterval {
		a.broadcastLoad(now)
	}
}

// sendReports sends reports to an owner, and keeps them until it has acknowledged them.
// Reports to an owner that the state has removed are dropped.
func (a *Agent) sendReports(now gypsumtide.Millis, owner Owner, reports []wire.RunReport) {
	if !a.state.HasOwner(owner) {
		return
	}
	reports = a.outbox(owner).add(reports)
	s, ok := a.sessions[owner]
	if !ok {
		return
	}
	s.SetIdle(!a.state.HasRuns(owner))
	a.sendFrame(now, owner, s, func(f *wire.Frame) { f.RunReports = append(f.RunReports, reports...) })
}

// sendFrame sends an owner the load, the worker's description if it has changed,
// and whatever add puts into the frame.
func (a *Agent) sendFrame(now gypsumtide.Millis, owner Owner, s *wire.Session, add func(f *wire.Frame)) {
	o := a.outbox(owner)
	worker, load := a.reports(now, owner, o)
	changed := o.session != s || !o.worker.Equal(&worker)
	o.session, o.worker, o.load = s, worker, load
	s.Update(func(f *wire.Frame) {
		add(f)
		f.WorkerLoad = &load
		if changed {
			f.Worker = &worker
		}
	})
	o.reportedAt = now
}

// reports returns the present reports of the worker and its load to an owner.
func (a *Agent) reports(now gypsumtide.Millis, owner Owner, o *outbox) (wire.WorkerReport, wire.LoadReport) {
	worker := a.state.WorkerReport(now)
	worker.Accepting = worker.Accepting && !o.retiring
	return worker, a.state.LoadReport(now, owner)
}

func (a *Agent) outbox(owner Owner) *outbox {
	o, ok := a.outboxes[owner]
	if !ok {
		o = &outbox{minInterval: broadcastInterval}
		a.outboxes[owner] = o
	}
	return o
}

// broadcastLoad sends the load to every connected entry for which it is due.
func (a *Agent) broadcastLoad(now gypsumtide.Millis) {
	a.loadChanged = false
	a.broadcastAt = now
	for owner, s := range a.sessions {
		o := a.outbox(owner)
		if now-o.reportedAt < o.minInterval {
			a.loadChanged = true
			continue
		}
		worker, load := a.reports(now, owner, o)
		switch o.urgency(&worker, &load) {
		case reportNow:
		case reportLater:
			if now-o.reportedAt < maxReportInterval {
				a.loadChanged = true
				continue
			}
		case reportNotNeeded:
			continue
		}
		a.sendFrame(now, owner, s, func(*wire.Frame) {})
	}
}

// maxReportInterval is the maximum time between two load reports to an entry whose content
// differs, unless the entry has requested a longer one.
const maxReportInterval gypsumtide.Millis = 200

// tickInterval returns the time until the next tick.
func (a *Agent) tickInterval() gypsumtide.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state.Idle() && !a.loadChanged {
		return idleTickInterval
	}
	return tickInterval
}

func (a *Agent) tickLoop(ctx context.Context) error {
	for gypsumtide.Sleep(ctx, a.tickInterval()) {
		a.update(func(now gypsumtide.Millis) {
			a.state.Tick(now)
			a.removeOutboxes()
		})
		a.mu.Lock()
		now := a.clock.Now()
		// The reports change with time too, because the health averages decay.
		if a.loadChanged || now-a.broadcastAt >= maxReportInterval {
			a.broadcastLoad(now)
		}
		a.mu.Unlock()
	}
	return ctx.Err()
}

// removeOutboxes removes the outboxes of owners that the state has removed.
func (a *Agent) removeOutboxes() {
	for owner := range a.outboxes {
		if !a.state.HasOwner(owner) {
			delete(a.outboxes, owner)
		}
	}
}

// processCalls performs the queued calls until ctx is done, each within callTimeout.
func processCalls[C any](ctx context.Context, calls <-chan C, call func(ctx context.Context, c C)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-calls:
			cctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
			call(cctx, c)
			cancel()
		}
	}
}

func (a *Agent) callStart(ctx context.Context, c StartCall) {
	worker, blocked := a.clientForStart()
	if blocked && a.returnBlockedStart(c) {
		return
	}
	clock, err := worker.Start(ctx, c.Incarnation, c.Order)
	a.metrics.countWorkerCall("start", err)
	a.update(func(now gypsumtide.Millis) { a.state.StartAnswered(now, c, clock, err) })
}

// clientForStart returns the client for a start call, and whether the worker's zone has been
// evacuated since the call was queued.
func (a *Agent) clientForStart() (worker gypsumtide.Worker, blocked bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker, a.state.StartsBlocked()
}

// returnBlockedStart returns the order of a start call, and reports true, if starts are still
// blocked.
func (a *Agent) returnBlockedStart(c StartCall) bool {
	returned := false
	a.update(func(gypsumtide.Millis) { returned = a.state.ReturnBlockedStart(c) })
	return returned
}

func (a *Agent) callStop(ctx context.Context, c StopCall) {
	err := a.client().Stop(ctx, c.Incarnation, c.Ref, c.Fence)
	a.metrics.countWorkerCall("stop", err)
	if err != nil {
		a.log.Decision("stop-failed", "run", c.Ref, "error", err.Error())
	}
}

func (a *Agent) callSync(ctx context.Context, c RenewCall) {
	answer, err := a.client().Renew(ctx, c.Incarnation, c.Request)
	a.metrics.countWorkerCall("sync", err)
	a.update(func(now gypsumtide.Millis) {
		a.state.SyncAnswered(now, c, answer, err)
		a.loadChanged = true // Entries wait for EarlierRunsEnded.
	})
}

// renewLoop keeps one renew call to the worker open, except while there is no worker or a
// sync is open.
func (a *Agent) renewLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mu.Lock()
		sentAt := a.clock.Now()
		wait := renewWait
		if a.state.Running() == 0 {
			wait = idleRenewWait
		}
		c, ok := a.state.NextRenewal(sentAt, wait)
		a.mu.Unlock()
		if !ok {
			gypsumtide.Sleep(ctx, tickInterval/2)
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, (wait + renewMargin).Duration())
		answer, err := a.client().Renew(cctx, c.Incarnation, c.Request)
		late := cctx.Err() != nil
		cancel()
		a.metrics.countWorkerCall("hold", err)
		a.update(func(now gypsumtide.Millis) { a.state.RenewAnswered(now, sentAt, c, answer, err) })
		switch {
		case err != nil && !late:
			gypsumtide.Sleep(ctx, tickInterval)
		case a.hasUnrecordedEnds():
			// The worker answers immediately while it has unacknowledged ends.
			gypsumtide.Sleep(ctx, tickInterval/2)
		}
	}
	return ctx.Err()
}

func (a *Agent) client() gypsumtide.Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker
}
