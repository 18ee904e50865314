// Package runner runs the tasks of ephemeral jobs on the one worker beside an
// agent. It is the only caller of that worker, so it alone keeps the worker's
// capacity: a booking lasts from before an order is sent until the run has
// ended or can never start.
package runner

import (
	"errors"

	"gypsumtide"
	"gypsumtide/internal/booking"
	"gypsumtide/internal/wire"
)

// Owner identifies the incarnation of the entry that ordered a run.
type Owner string

// phase is the progress of a run at the agent.
type phase uint8

const (
	phaseWaiting phase = iota
	// phaseSent lasts from the start call until its result is known.
	phaseSent
	phaseRunning
)

// run is an order that the agent has accepted.
type run struct {
	order   wire.Order
	owner   Owner
	phase   phase
	life    gypsumtide.Incarnation
	fence   uint64
	queued  gypsumtide.Millis
	expires gypsumtide.Millis
	started gypsumtide.Millis
	sampled bool
	// announced is set once the owner knows that the order waits.
	announced bool
	// projected is the total run time that was reported last.
	projected gypsumtide.Millis
	// percent is the progress, and advanced the time since which it has not changed.
	percent  int
	advanced gypsumtide.Millis
	stopping bool
	stopAt   gypsumtide.Millis
}

// StartCall is a start to send to the worker.
type StartCall struct {
	Incarnation gypsumtide.Incarnation
	Order       gypsumtide.RunOrder
	// QueueTime is how long the order was in the queue.
	QueueTime gypsumtide.Millis
}

// StopCall is a stop to send to the worker.
type StopCall struct {
	Incarnation gypsumtide.Incarnation
	Ref         gypsumtide.RunRef
	Fence       uint64
}

// RenewCall is a hold to send to the worker.
type RenewCall struct {
	Incarnation gypsumtide.Incarnation
	Request     gypsumtide.RenewRequest
}

// Effects are the calls and reports that a transition asks for.
type Effects struct {
	Starts []StartCall
	Stops  []StopCall
	// Sync is a hold whose answer settles every order sent before it.
	Sync *RenewCall
	// SaveMark asks for the note in memory that tells of stored jobs.
	SaveMark bool
	// Reports holds the reports for each owner, in order.
	Reports map[Owner][]wire.RunReport
}

// Timing holds the intervals of a State.
type Timing struct {
	// Lease is the longest lease that the worker grants.
	Lease gypsumtide.Millis
	// OwnerGrace is how long the runs of an entry continue without a session to it.
	OwnerGrace gypsumtide.Millis
	// MaxEchoAge is the age of what an owner has heard from which its orders are not started.
	MaxEchoAge gypsumtide.Millis
	// StopRetry and SyncRetry are the pauses before a stop or a sync is sent again.
	StopRetry gypsumtide.Millis
	SyncRetry gypsumtide.Millis
}

// State decides what the agent does with its worker. It performs no I/O and is
// not safe for concurrent use.
type State struct {
	timing Timing
	log    gypsumtide.Recorder
	info   gypsumtide.WorkerInfo
	life   gypsumtide.Incarnation
	// known is set when info describes life.
	known bool
	fence uint64

	book   *booking.Book
	runs   map[gypsumtide.RunRef]*run
	active map[gypsumtide.TaskName]int
	queue  []*run
	// orphans are runs on the worker that nobody here has asked for.
	orphans map[gypsumtide.RunRef]gypsumtide.Millis
	owners  map[Owner]*ownerState

	// processed is the number of the last end taken, acknowledged of the last one
	// that the worker may forget.
	processed    uint64
	acknowledged uint64
	unrecorded   map[uint64]pendingEnd
	// lapsing is set while no lease is renewed.
	lapsing bool
	// remembered is set once it is known what the incarnation before has left in memory.
	remembered bool
	// marked is set once the memory tells of stored jobs.
	marked  bool
	syncing bool
	// settled is set once a sync of the current life has left no orphans.
	settled     bool
	syncPending bool
	syncDue     gypsumtide.Millis
	// holdFailures counts the holds without an answer since the last one.
	holdFailures int
	clock        workerClock
	health       health
	draining     bool
	heard        gypsumtide.Millis
	// leased is the time of the last call that renewed the lease.
	leased gypsumtide.Millis

	effects Effects
}

// ownerState is an entry's share of the agent.
type ownerState struct {
	attached bool
	lostAt   gypsumtide.Millis
	// booked is the size of the owner's bookings.
	booked gypsumtide.Size
	// resumed is set once the owner has compared the runs held at the start of the
	// session with its own, and has asked for the end of those that it gave up.
	resumed bool
	// met is set with the first such session since the owner became known.
	met bool
	// heard is the newest time of the agent that the owner is known to have heard.
	heard gypsumtide.Millis
}

// NewState returns a State that knows no worker. The first fencing token is
// above fence.
func NewState(timing Timing, fence uint64, log gypsumtide.Recorder) *State {
	return &State{
		timing: timing, log: log, fence: fence,
		book:    booking.New(),
		runs:    make(map[gypsumtide.RunRef]*run),
		active:  make(map[gypsumtide.TaskName]int),
		orphans: make(map[gypsumtide.RunRef]gypsumtide.Millis),
		owners:  make(map[Owner]*ownerState),

		unrecorded: make(map[uint64]pendingEnd),
	}
}

// TakeEffects returns the effects since the last call.
func (s *State) TakeEffects() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}

// SessionOpened notes a session to an owner. It reports whether the agent still has every
// report that the owner may not have taken. An owner that was away for long has
// been forgotten with its reports, and it must learn so before anything else
// counts: as long as it has not answered a session, it may not know.
func (s *State) SessionOpened(owner Owner) bool {
	o := s.owner(owner)
	o.attached = true
	o.resumed = false
	return o.met
}

// SessionResumed notes that an owner has compared the runs held here with its own.
func (s *State) SessionResumed(now gypsumtide.Millis, owner Owner) {
	o := s.owner(owner)
	o.resumed, o.met = true, true
	s.pump(now)
}

// EchoReceived notes that an owner has heard from the agent at the given time of the
// agent's clock.
func (s *State) EchoReceived(owner Owner, at gypsumtide.Millis) {
	o := s.owner(owner)
	o.heard = max(o.heard, at)
}

// trusts reports whether an owner still counts on the orders that wait here. An
// agent that was suspended, or whose frames do not arrive, must not start them:
// the owner tries them elsewhere after some time.
func (s *State) trusts(now gypsumtide.Millis, owner Owner) bool {
	o := s.owner(owner)
	return o.resumed && now-o.heard <= s.timing.MaxEchoAge
}

// SessionClosed notes that the session to an owner has ended.
func (s *State) SessionClosed(now gypsumtide.Millis, owner Owner) {
	o := s.owner(owner)
	o.attached = false
	o.lostAt = now
}

// RunsOf returns the runs of an owner that have not ended.
func (s *State) RunsOf(owner Owner) []gypsumtide.RunRef {
	refs := []gypsumtide.RunRef{}
	for ref, r := range s.runs {
		if r.owner == owner {
			refs = append(refs, ref)
		}
	}
	return refs
}

func (s *State) owner(owner Owner) *ownerState {
	o, ok := s.owners[owner]
	if !ok {
		o = &ownerState{}
		s.owners[owner] = o
	}
	return o
}

// HasOwner reports whether the agent has anything of an owner.
func (s *State) HasOwner(owner Owner) bool {
	_, ok := s.owners[owner]
	return ok
}

// AcceptsStarts reports whether the worker takes starts.
func (s *State) AcceptsStarts() bool {
	return s.known && !s.syncing && !s.lapsing && !s.draining && !s.info.Draining
}

// Incarnation returns the current incarnation of the worker.
func (s *State) Incarnation() gypsumtide.Incarnation { return s.life }

// Address returns the address of the worker, empty until it is known.
func (s *State) Address() string { return s.info.Address }

// Running returns the number of runs that are sent or running.
func (s *State) Running() int { return s.book.Len() }

// Waiting returns the number of orders that wait.
func (s *State) Waiting() int { return len(s.queue) }

// Report describes the worker.
func (s *State) Report(now gypsumtide.Millis) wire.WorkerReport {
	r := wire.WorkerReport{
		Incarnation: s.life, Service: s.info.Service, Zone: s.info.Zone, Labels: s.info.Labels,
		Accepting: s.known && !s.lapsing && !s.draining && !s.info.Draining && !s.stuck(now), EarlierRunsEnded: s.settled && !s.lapsing,
	}
	if s.known {
		r.Capacity = s.info.Capacity
	}
	return r
}

// Load describes the load of the worker to an owner.
func (s *State) Load(now gypsumtide.Millis, owner Owner) wire.LoadReport {
	r := wire.LoadReport{
		Booked: wire.NewSizeRow(s.book.Used()), Waiting: s.waiting(owner),
		Slowness: float32(s.health.Slowness(now)), FailureShare: float32(s.health.FailureShare(now)),
	}
	if o, ok := s.owners[owner]; ok {
		r.FromPeer = wire.NewSizeRow(o.booked)
	}
	return r
}

// stuckAfter is how long a sync may take before the worker counts as closed.
const stuckAfter gypsumtide.Millis = 150

func (s *State) stuck(now gypsumtide.Millis) bool {
	return s.syncing && now-s.heard > stuckAfter
}

func (s *State) send(now gypsumtide.Millis, r *run) {
	r.phase = phaseSent
	r.life = s.life
	r.fence = s.fence
	r.started = now
	r.percent, r.advanced = 0, now
	s.leased = now
	s.effects.Starts = append(s.effects.Starts, StartCall{Incarnation: s.life, QueueTime: now - r.queued, Order: gypsumtide.RunOrder{
		Ref: r.order.Ref, Spec: r.order.Spec, Fence: s.fence, LeaseUntil: s.clock.after(now, s.timing.Lease),
	}})
	s.log.Decision("run-sent", "run", r.order.Ref, "owner", r.owner, "life", s.life, "fence", s.fence,
		"waited-ms", now-r.queued, "booked", s.book.Used().Processors, "capacity", s.book.Capacity().Processors)
}

// StartAnswered takes the result of a start call.
func (s *State) StartAnswered(now gypsumtide.Millis, call StartCall, clock gypsumtide.Millis, err error) {
	if clock > 0 && call.Incarnation == s.life {
		s.clock.set(now, clock)
	}
	r, ok := s.runs[call.Order.Ref]
	if !ok || r.phase != phaseSent || r.fence != call.Order.Fence || r.life != call.Incarnation {
		return
	}
	switch {
	case err == nil:
		s.began(now, r)
	case !gypsumtide.Rejected(err):
		s.log.Decision("run-in-doubt", "run", r.order.Ref, "error", err.Error())
		s.beginSync(now)
	default:
		s.rejected(now, r, err)
	}
}

func (s *State) began(now gypsumtide.Millis, r *run) {
	r.phase = phaseRunning
	if r.announced {
		s.report(r.owner, wire.RunReport{Ref: r.order.Ref, Started: true})
	}
	if r.stopping {
		s.sendStop(now, r)
	}
}

func (s *State) rejected(now gypsumtide.Millis, r *run, err error) {
	s.log.Decision("run-rejected", "run", r.order.Ref, "reason", err.Error(), "fence", r.fence)
	again := errors.Is(err, gypsumtide.ErrFenced) || errors.Is(err, gypsumtide.ErrLeaseExpired)
	if errors.Is(err, gypsumtide.ErrRefused) {
		s.health.failed(now)
	}
	if again && !r.stopping && r.life == s.life {
		s.requeue(r)
		if r.fence == s.fence {
			s.beginSync(now)
		}
		s.pump(now)
		return
	}
	s.finish(r, gypsumtide.EndNotStarted, 0, reasonOf(err))
	if errors.Is(err, gypsumtide.ErrOtherIncarnation) || errors.Is(err, gypsumtide.ErrNoCapacity) {
		s.beginSync(now)
	}
	s.pump(now)
}

func reasonOf(err error) string {
	switch {
	case errors.Is(err, gypsumtide.ErrStaleRun):
		return ReasonStaleRun
	case errors.Is(err, gypsumtide.ErrNoCapacity):
		return "no-room"
	case errors.Is(err, gypsumtide.ErrOtherIncarnation):
		return "other-life"
	case errors.Is(err, gypsumtide.ErrRefused):
		return "unwilling"
	default:
		return "rejected"
	}
}

// ReasonStaleRun means that the order needs a higher run number.
const ReasonStaleRun = "old-run"

// finish removes a run and reports its end.
func (s *State) finish(r *run, kind gypsumtide.EndKind, ran gypsumtide.Millis, reason string) {
	ref := r.order.Ref
	delete(s.runs, ref)
	s.release(r)
	if s.active[ref.Task]--; s.active[ref.Task] <= 0 {
		delete(s.active, ref.Task)
	}
	s.report(r.owner, wire.RunReport{Ref: ref, End: kind, RunTime: ran, Reason: reason, Unrecorded: r.order.Stored && kind.Conclusive()})
	s.log.Decision("run-ended", "run", ref, "owner", r.owner, "end", kind, "ran-ms", ran, "reason", reason)
}

func (s *State) report(owner Owner, r wire.RunReport) {
	if s.effects.Reports == nil {
		s.effects.Reports = make(map[Owner][]wire.RunReport)
	}
	s.effects.Reports[owner] = append(s.effects.Reports[owner], r)
}

// StopRun ends a run that waits, or has the worker stop it.
func (s *State) StopRun(now gypsumtide.Millis, ref gypsumtide.RunRef) {
	r, ok := s.runs[ref]
	if !ok {
		return
	}
	if r.phase == phaseWaiting {
		s.Recall(ref)
		return
	}
	if !r.stopping {
		r.stopping = true
		s.sendStop(now, r)
	}
}

func (s *State) sendStop(now gypsumtide.Millis, r *run) {
	r.stopAt = now
	s.effects.Stops = append(s.effects.Stops, StopCall{Incarnation: r.life, Ref: r.order.Ref, Fence: s.fence})
}

// Drain stops taking orders and returns those that wait.
func (s *State) Drain(now gypsumtide.Millis) {
	s.draining = true
	s.returnQueue("agent-drains")
}

// StopAll stops every run.
func (s *State) StopAll(now gypsumtide.Millis) {
	for ref := range s.runs {
		s.StopRun(now, ref)
	}
}

// Tick expires waiting orders, ends the runs of lost owners, and repeats calls
// that were not answered.
func (s *State) Tick(now gypsumtide.Millis) {
	s.expireOwners(now)
	s.expireQueue(now)
	for _, r := range s.runs {
		if r.stopping && now-r.stopAt > s.timing.StopRetry {
			s.sendStop(now, r)
		}
	}
	s.sampleProgress(now)
	s.expireLease(now)
	s.updateLapse(now)
	if s.syncing && !s.syncPending && now >= s.syncDue {
		s.sendSync(now)
	}
	s.pump(now)
}

// expireLease ends the runs of a worker that has not answered for longer than
// the lease: whatever ran there has been killed. A sync does not renew the
// lease, so it runs out while the worker is silent.
func (s *State) expireLease(now gypsumtide.Millis) {
	if !s.syncing || !s.leaseOver(now) {
		return
	}
	for _, r := range s.runs {
		if r.phase != phaseWaiting {
			s.finish(r, gypsumtide.EndLost, now-r.started, "lease-expired")
		}
	}
}

// leaseMargin covers the error of the estimate of the worker's clock, beside the
// slowness of that clock.
const leaseMargin gypsumtide.Millis = 30

func (s *State) expireOwners(now gypsumtide.Millis) {
	for name, o := range s.owners {
		if o.attached || now-o.lostAt < s.timing.OwnerGrace {
			continue
		}
		for ref, r := range s.runs {
			if r.owner == name {
				s.StopRun(now, ref)
			}
		}
		if len(s.RunsOf(name)) == 0 && len(s.UnrecordedEnds(name)) == 0 {
			delete(s.owners, name)
		}
	}
}
