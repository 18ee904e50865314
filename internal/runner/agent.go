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
	// Name identifies the host, Incarnation this process.
	Name        string
	Incarnation string
	Zone        string
	// Seeds are addresses of entries to try first.
	Seeds []string
	// Lease is the longest lease that the worker grants.
	Lease gypsumtide.Millis
	// DrainTimeout bounds the wait for runs at shutdown.
	DrainTimeout gypsumtide.Millis
	// Connect returns the client for the worker at an address.
	Connect func(address string) gypsumtide.Worker
	// Directory is asked for entries while no session exists. It may be nil.
	Directory gypsumtide.Directory
	// WorkerStore keeps what is known of the worker. It may be nil; then no tasks of
	// stored jobs are started.
	WorkerStore gypsumtide.WorkerStore
}

// Intervals of the agent.
const (
	tickInterval gypsumtide.Millis = 20
	// broadcastInterval is the shortest time between two broadcasts of the load.
	// An entry may ask for fewer.
	broadcastInterval gypsumtide.Millis = 5
	// startTimeout bounds the call to the worker on the same host. A false
	// time-out costs one sync.
	startTimeout gypsumtide.Millis = 40
	// holdWait is how long the worker may keep a hold. The loss of an answer delays
	// the ends of runs by holdWait and holdMargin.
	holdWait gypsumtide.Millis = 60
	// holdMargin is the time for the answer beyond holdWait.
	holdMargin gypsumtide.Millis = 40
	// drainPause lets the last ends be reported and acknowledged.
	drainPause gypsumtide.Millis = 200
	// ownerGrace keeps the runs of an entry while it reconnects. Together with
	// the silence bound of a session it stays below the time after which callers
	// submit a job again.
	ownerGrace gypsumtide.Millis = 400
	// stopRetry and syncRetry are the pauses before a call is repeated.
	stopRetry gypsumtide.Millis = 80
	syncRetry gypsumtide.Millis = 10
	// startCallers and stopCallers bound the concurrent calls to the worker.
	startCallers = 24
	stopCallers  = 6
	// maxLeft is the number of lives of the worker whose late heartbeats are ignored.
	maxLeft = 8
	// callBacklog bounds the calls that wait for a caller.
	callBacklog = 4096
)

// NewTiming returns the intervals of a State for a worker that grants lease.
func NewTiming(lease gypsumtide.Millis) Timing {
	return Timing{Lease: lease, OwnerGrace: ownerGrace, MaxEchoAge: link.Credit, StopRetry: stopRetry, SyncRetry: syncRetry}
}

// AbandonedAfter returns the time after the loss of a session from which an entry
// may try the runs of stored jobs elsewhere: the agent has noticed the loss, has
// stopped them, and has let the lease expire over ends that nobody records.
func AbandonedAfter(lease gypsumtide.Millis) gypsumtide.Millis {
	return link.Silence + ownerGrace + lease + lease/20 + 4*leaseMargin + 2*tickInterval
}

// Agent runs the tasks of jobs on the worker beside it.
type Agent struct {
	cfg     Config
	clock   gypsumtide.Clock
	log     gypsumtide.Recorder
	metrics *agentMetrics

	mu       sync.Mutex
	state    *State
	worker   gypsumtide.Worker
	address  string
	sessions map[Owner]*wire.Session
	outboxes map[Owner]*outbox
	dirty    bool
	// broadcastAt is the time of the last broadcast.
	broadcastAt gypsumtide.Millis
	// left has the lives that have deregistered, the newest last.
	left []gypsumtide.Incarnation

	starts  chan StartCall
	stops   chan StopCall
	syncs   chan RenewCall
	entries *link.Addresses

	// memorable holds the newest announcement to remember.
	memorable chan gypsumtide.WorkerInfo
	// marks asks for the note on stored jobs.
	marks chan struct{}
}

// NewAgent returns an Agent. The first fencing token is above the wall clock.
func NewAgent(cfg Config, clock gypsumtide.Clock, log gypsumtide.Recorder, set *metrics.Set) *Agent {
	timing := NewTiming(cfg.Lease)
	a := &Agent{
		cfg: cfg, clock: clock, log: log,
		state:     NewState(timing, uint64(max(1, clock.Wall())), log),
		sessions:  make(map[Owner]*wire.Session),
		outboxes:  make(map[Owner]*outbox),
		starts:    make(chan StartCall, callBacklog),
		stops:     make(chan StopCall, callBacklog),
		syncs:     make(chan RenewCall, 1),
		entries:   link.NewAddresses(cfg.Seeds, clock),
		memorable: make(chan gypsumtide.WorkerInfo, 1),
		marks:     make(chan struct{}, 1),
	}
	if cfg.WorkerStore == nil {
		a.state.MarkLoaded(clock.Now(), false)
	}
	a.metrics = newAgentMetrics(set, a)
	return a
}

// Run serves until ctx is done, then finishes the runs in progress.
func (a *Agent) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g := group.New(work)
	for range startCallers {
		g.Add("start runs", func(ctx context.Context) error { return answerCalls(ctx, a.starts, a.callStart) })
	}
	for range stopCallers {
		g.Add("stop runs", func(ctx context.Context) error { return answerCalls(ctx, a.stops, a.callStop) })
	}
	g.Add("sync", func(ctx context.Context) error { return answerCalls(ctx, a.syncs, a.callSync) })
	g.Add("hold", a.holdLoop)
	g.Add("tick", a.tickLoop)
	g.Add("entries", a.dialEntries)
	if a.cfg.WorkerStore != nil {
		g.Add("memory", a.keepMemory)
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

// drain waits until the runs have ended or the drain timeout has passed.
func (a *Agent) drain(ctx context.Context) {
	a.log.Decision("drain", "timeout-ms", a.cfg.DrainTimeout)
	a.update(func(now gypsumtide.Millis) { a.state.Drain(now) })
	start := a.clock.Now()
	for a.clock.Now()-start < a.cfg.DrainTimeout && (a.running() > 0 || a.unsettled()) {
		if !gypsumtide.Sleep(ctx, tickInterval) {
			return
		}
	}
	if a.running() > 0 {
		a.update(func(now gypsumtide.Millis) { a.state.StopAll(now) })
		gypsumtide.Sleep(ctx, drainPause)
	}
	gypsumtide.Sleep(ctx, drainPause)
}

func (a *Agent) running() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Running()
}

func (a *Agent) unsettled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.HasUnrecordedEnds()
}

// Heartbeat takes what a worker announces of itself.
func (a *Agent) Heartbeat(info gypsumtide.WorkerInfo) {
	a.update(func(now gypsumtide.Millis) {
		if slices.Contains(a.left, info.Incarnation) {
			return
		}
		if a.state.Heartbeat(now, info) {
			a.offerMemory(info)
		}
	})
}

// Leave takes the deregistration of the worker with the id.
func (a *Agent) Leave(id string) {
	a.update(func(now gypsumtide.Millis) {
		if life := a.state.Incarnation(); life.ID == id {
			a.log.Decision("worker-left", "life", life)
			a.left = append(a.left, life)
			a.left = a.left[max(0, len(a.left)-maxLeft):]
			a.state.loseLife(now)
		}
	})
}

// update changes the state and carries out what the change asks for.
func (a *Agent) update(change func(now gypsumtide.Millis)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	change(now)
	if address := a.state.Address(); address != a.address && address != "" {
		a.address = address
		a.worker = a.cfg.Connect(address)
	}
	a.carryOut(now, a.state.TakeEffects())
}

func (a *Agent) carryOut(now gypsumtide.Millis, e Effects) {
	for _, c := range e.Starts {
		a.metrics.starts.Inc()
		a.metrics.queued.Update(c.QueueTime.Duration().Seconds())
		a.starts <- c
	}
	for _, c := range e.Stops {
		a.metrics.stops.Inc()
		select {
		case a.stops <- c:
		default:
			// The state repeats stops that have no effect.
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
	if e.SaveMark {
		select {
		case a.marks <- struct{}{}:
		default:
		}
	}
	for owner, reports := range e.Reports {
		for _, r := range reports {
			a.metrics.report(r)
		}
		a.send(now, owner, reports)
	}
	if len(e.Starts) > 0 || len(e.Reports) > 0 {
		a.dirty = true
	}
	if a.dirty && now-a.broadcastAt >= broadcastInterval {
		a.broadcast(now)
	}
}

// send passes reports on, and keeps them until the owner has acknowledged them.
func (a *Agent) send(now gypsumtide.Millis, owner Owner, reports []wire.RunReport) {
	if !a.state.HasOwner(owner) {
		return
	}
	reports = a.outbox(owner).add(reports)
	s, ok := a.sessions[owner]
	if !ok {
		return
	}
	a.tell(now, owner, s, func(f *wire.Frame) { f.RunReports = append(f.RunReports, reports...) })
}

// tell sends an owner the load, the worker if it has changed, and what add adds.
func (a *Agent) tell(now gypsumtide.Millis, owner Owner, s *wire.Session, add func(f *wire.Frame)) {
	o := a.outbox(owner)
	load := a.state.Load(now, owner)
	worker := a.state.Report(now)
	changed := o.session != s || !o.worker.Equal(&worker)
	o.session, o.worker = s, worker
	s.Update(func(f *wire.Frame) {
		add(f)
		f.WorkerLoad = &load
		if changed {
			f.Worker = &worker
		}
	})
	o.reported = now
}

func (a *Agent) outbox(owner Owner) *outbox {
	o, ok := a.outboxes[owner]
	if !ok {
		o = &outbox{every: broadcastInterval}
		a.outboxes[owner] = o
	}
	return o
}

// broadcast tells every entry the state of the worker.
func (a *Agent) broadcast(now gypsumtide.Millis) {
	a.dirty = false
	a.broadcastAt = now
	for owner, s := range a.sessions {
		if o := a.outbox(owner); now-o.reported < o.every {
			a.dirty = true
			continue
		}
		a.tell(now, owner, s, func(*wire.Frame) {})
	}
}

// reportInterval is the longest time between two reports to an entry, since
// averages fade without any event.
const reportInterval gypsumtide.Millis = 200

func (a *Agent) tickLoop(ctx context.Context) error {
	for gypsumtide.Sleep(ctx, tickInterval) {
		a.update(func(now gypsumtide.Millis) {
			a.state.Tick(now)
			a.forgetOwners()
		})
		a.mu.Lock()
		now := a.clock.Now()
		if a.dirty || a.reportDue(now) {
			a.broadcast(now)
		}
		a.mu.Unlock()
	}
	return ctx.Err()
}

func (a *Agent) reportDue(now gypsumtide.Millis) bool {
	for owner := range a.sessions {
		if now-a.outbox(owner).reported >= reportInterval {
			return true
		}
	}
	return false
}

func (a *Agent) forgetOwners() {
	for owner := range a.outboxes {
		if !a.state.HasOwner(owner) {
			delete(a.outboxes, owner)
		}
	}
}

// answerCalls makes the calls that arrive until ctx is done, each within startTimeout.
func answerCalls[C any](ctx context.Context, calls <-chan C, call func(ctx context.Context, c C)) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-calls:
			cctx, cancel := context.WithTimeout(ctx, startTimeout.Duration())
			call(cctx, c)
			cancel()
		}
	}
}

func (a *Agent) callStart(ctx context.Context, c StartCall) {
	clock, err := a.client().Start(ctx, c.Incarnation, c.Order)
	a.metrics.workerCall("start", err)
	a.update(func(now gypsumtide.Millis) { a.state.StartAnswered(now, c, clock, err) })
}

func (a *Agent) callStop(ctx context.Context, c StopCall) {
	err := a.client().Stop(ctx, c.Incarnation, c.Ref, c.Fence)
	a.metrics.workerCall("stop", err)
	if err != nil {
		a.log.Decision("stop-failed", "run", c.Ref, "error", err.Error())
	}
}

func (a *Agent) callSync(ctx context.Context, c RenewCall) {
	answer, err := a.client().Renew(ctx, c.Incarnation, c.Request)
	a.metrics.workerCall("sync", err)
	a.update(func(now gypsumtide.Millis) {
		a.state.SyncAnswered(now, c, answer, err)
		a.dirty = true // Entries wait for the worker to be settled.
	})
}

func (a *Agent) holdLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mu.Lock()
		sentAt := a.clock.Now()
		c, ok := a.state.NextRenewal(sentAt, holdWait)
		a.mu.Unlock()
		if !ok {
			gypsumtide.Sleep(ctx, tickInterval/2)
			continue
		}
		cctx, cancel := context.WithTimeout(ctx, (holdWait + holdMargin).Duration())
		answer, err := a.client().Renew(cctx, c.Incarnation, c.Request)
		late := cctx.Err() != nil
		cancel()
		a.metrics.workerCall("hold", err)
		a.update(func(now gypsumtide.Millis) { a.state.RenewAnswered(now, sentAt, c, answer, err) })
		switch {
		case err != nil && !late:
			gypsumtide.Sleep(ctx, tickInterval)
		case a.unsettled():
			// The worker answers at once while it has ends to list.
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
