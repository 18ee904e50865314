// Package runner implements the agent, which runs tasks on the only worker of
// its host. The agent is the only client of that worker, so it alone accounts
// for the worker's capacity: capacity is reserved before an order is sent, and
// released when the run has ended or can no longer start.
//
// The agent keeps sessions to the entries, the server processes that accept jobs. An
// order of an entry asks for one run of a task; the entry is the owner of the run.
// Orders wait at the agent until the worker has free capacity. A stored job is one
// whose owner records the ends of its runs in a log before they may be discarded.
//
// The worker stops its runs when its lease expires, which the agent extends by renew
// calls. Each call carries the agent's fencing token, and the worker rejects tokens
// lower than the highest that it has received. A sync is a renew call with a raised
// token. Once the worker has answered it, no order sent earlier can start, so the
// answer shows which runs exist.
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
	// phaseSent lasts from sending the start call until its outcome is known.
	phaseSent
	phaseRunning
)

// phaseNames has the names of the phases in logs.
var phaseNames = [...]string{"waiting", "sent", "running"}

// String returns the name used in logs.
func (p phase) String() string { return phaseNames[p] }

// run is an order that the agent has accepted.
type run struct {
	order       wire.Order
	owner       Owner
	phase       phase
	incarnation gypsumtide.Incarnation
	// fence is the fencing token with which the run was sent.
	fence     uint64
	queuedAt  gypsumtide.Millis
	expiresAt gypsumtide.Millis
	// startedAt is when the run was sent to the worker.
	startedAt gypsumtide.Millis
	// sampled is set once the run counts in the slowness average.
	sampled bool
	// queuedReported is set once the owner has been told that the order is queued.
	queuedReported bool
	// projected is the last projection of the total run time sent to the owner.
	projected gypsumtide.Millis
	// percent is the progress, advancedAt the time at which it last increased.
	percent    int
	advancedAt gypsumtide.Millis
	// checkpoint is the newest checkpoint, checkpointPercent the progress when it was first
	// listed.
	checkpoint        string
	checkpointPercent int
	// listed is set once the worker has listed a resumed run. workFrom is when it first
	// advanced, and basePercent its progress then, or when it was first listed.
	listed      bool
	workFrom    gypsumtide.Millis
	basePercent int
	stopping    bool
	stopSentAt  gypsumtide.Millis
}

// phaseName returns the name of the run's phase in logs, or "" if there is no run.
func (r *run) phaseName() string {
	if r == nil {
		return ""
	}
	return r.phase.String()
}

// StartCall is a start request to send to the worker.
type StartCall struct {
	Incarnation gypsumtide.Incarnation
	Order       gypsumtide.RunOrder
	// QueueTime is how long the order waited in the queue.
	QueueTime gypsumtide.Millis
}

// StopCall is a stop request to send to the worker.
type StopCall struct {
	Incarnation gypsumtide.Incarnation
	Ref         gypsumtide.RunRef
	Fence       uint64
}

// RenewCall is a renew request to send to the worker. It acknowledges ends and may
// renew the lease. The answer lists the runs on the worker.
type RenewCall struct {
	Incarnation gypsumtide.Incarnation
	Request     gypsumtide.RenewRequest
}

// Effects holds the calls and reports that result from a state transition.
type Effects struct {
	Starts []StartCall
	Stops  []StopCall
	// Sync is a renew call whose answer determines the outcome of every order sent
	// before it.
	Sync *RenewCall
	// SaveStoredJobsMark asks the agent to mark the host in the worker store as one
	// that runs tasks of stored jobs.
	SaveStoredJobsMark bool
	// Reports holds the reports for each owner, in order.
	Reports map[Owner][]wire.RunReport
}

// Timing holds the intervals of a State.
type Timing struct {
	// Lease is the longest lease that the worker grants.
	Lease gypsumtide.Millis
	// OwnerGrace is how long the runs of an entry continue without a session to it.
	OwnerGrace gypsumtide.Millis
	// MaxOwnerSilence is the age of the newest echo of a disconnected entry from which its
	// runs are stopped. The entry counts the loss from its own last frame, so that
	// the bounds of both sides begin with the echo, whenever either side notices the loss.
	MaxOwnerSilence gypsumtide.Millis
	// MaxOwnerLag is the same for the ephemeral runs of a connected entry.
	MaxOwnerLag gypsumtide.Millis
	// MaxEchoAge is the age of an owner's newest echo above which its waiting orders
	// are not started, and the age of a frame's echo above which its orders are rejected.
	MaxEchoAge gypsumtide.Millis
	// StopRetry and SyncRetry are the delays before a stop or a sync is retried.
	StopRetry gypsumtide.Millis
	SyncRetry gypsumtide.Millis
}

// State is the state machine of the agent: it decides what to start, stop and
// report. It performs no I/O and is not safe for concurrent use.
type State struct {
	timing      Timing
	log         gypsumtide.DecisionLogger
	info        gypsumtide.WorkerInfo
	incarnation gypsumtide.Incarnation
	// replacedAt is when a worker with another ID than the one before announced itself.
	replacedAt gypsumtide.Millis
	// known is set when info describes the worker's current incarnation.
	known bool
	// evacuations is the newest set of evacuated availability zones that any entry has sent.
	evacuations gypsumtide.Evacuations
	// startsBlocked is set while the zone that the worker last reported is evacuated.
	startsBlocked bool
	// leaving is set once the worker has deregistered, until none of its runs is left.
	leaving bool
	// leavesAt is the time from which a draining worker may end, or 0 if it has not announced
	// one.
	leavesAt gypsumtide.Millis
	// fence is the current fencing token.
	fence uint64

	reservations *booking.Reservations
	runs         map[gypsumtide.RunRef]*run
	runsPerTask  map[gypsumtide.TaskName]int
	queue        []*run
	// orphans holds the runs that the last answer to a sync listed although the agent has
	// no run at the worker for them, with the time of the answer.
	orphans map[gypsumtide.RunRef]gypsumtide.Millis
	owners  map[Owner]*ownerState

	// processed is the number of the last end processed, acknowledged that of the
	// last end that the worker may discard.
	processed    uint64
	acknowledged uint64
	// unrecorded holds the unrecorded ends by their numbers.
	unrecorded map[uint64]unrecordedEnd
	// withholdLease is set while the lease is left to expire, see updateLeaseWithholding.
	withholdLease bool
	// storedJobsMarkLoaded is set once the agent has loaded from the worker store
	// whether the host is marked.
	storedJobsMarkLoaded bool
	// storedJobsMarked is set once the worker store says that the host runs tasks of
	// stored jobs.
	storedJobsMarked bool
	// syncing is set while a sync is open.
	syncing bool
	// earlierRunsEnded is set once a sync with the worker's current incarnation has
	// found no orphans.
	earlierRunsEnded bool
	// syncPending is set while the call of a sync is unanswered. After the answer, the
	// next call of the same sync is sent at syncDue.
	syncPending bool
	syncDue     gypsumtide.Millis
	// renewFailures counts the renew calls without an answer since the last answer.
	renewFailures int
	clock         workerClock
	health        health
	draining      bool
	// lastAnswer is the time of the worker's last answer to a renew call, or of the start
	// of a sync.
	lastAnswer gypsumtide.Millis
	// leaseRenewedAt is the time of the last call that may have renewed the lease, or of
	// the first heartbeat of the worker's current incarnation if that was later.
	leaseRenewedAt gypsumtide.Millis

	effects Effects
}

// ownerState is what the agent knows of an owner.
type ownerState struct {
	connected bool
	// closedAt is when the last resumed session ended, and echoAtClose the newest echo
	// received until then. A session that is not resumed leaves both as they are, since the
	// entry has not noticed it.
	closedAt    gypsumtide.Millis
	echoAtClose gypsumtide.Millis
	// booked is the capacity reserved for the owner's runs.
	booked gypsumtide.Size
	// resumed is set once the owner has compared the runs listed at the start of the
	// session with its own, and has asked to stop those that it no longer wants.
	resumed bool
	// everResumed is set once the owner has resumed any session since the agent has kept
	// state of it.
	everResumed bool
	// lastEcho is the newest time of the agent's clock that the owner has echoed.
	lastEcho gypsumtide.Millis
}

// NewState returns a State without a worker. The first fencing token is greater
// than fence.
func NewState(timing Timing, fence uint64, log gypsumtide.DecisionLogger) *State {
	return &State{
		timing: timing, log: log, fence: fence,
		reservations: booking.New(),
		runs:         make(map[gypsumtide.RunRef]*run),
		runsPerTask:  make(map[gypsumtide.TaskName]int),
		orphans:      make(map[gypsumtide.RunRef]gypsumtide.Millis),
		owners:       make(map[Owner]*ownerState),

		unrecorded: make(map[uint64]unrecordedEnd),
	}
}

// TakeEffects returns and clears the effects that have accumulated since the last call.
func (s *State) TakeEffects() Effects {
	e := s.effects
	s.effects = Effects{}
	return e
}

// SessionOpened records a new session to an owner. It returns whether the agent
// still has every report that the owner may have missed. An owner that was
// disconnected for too long has been removed together with its reports, and must
// learn of that first. The result is false until the owner has resumed a session,
// because until then it may not know of the loss.
func (s *State) SessionOpened(owner Owner) bool {
	o := s.owner(owner)
	o.connected = true
	o.resumed = false
	return o.everResumed
}

// SessionResumed records that an owner has compared its runs at the agent with
// its own records.
func (s *State) SessionResumed(now gypsumtide.Millis, owner Owner) {
	o := s.owner(owner)
	o.resumed, o.everResumed = true, true
	s.startWaiting(now)
}

// EchoReceived records that an owner has echoed a frame that the agent sent at the
// given time of the agent's clock.
func (s *State) EchoReceived(owner Owner, at gypsumtide.Millis) {
	o := s.owner(owner)
	o.lastEcho = max(o.lastEcho, at)
}

// hasFreshEcho reports whether an owner still relies on its waiting orders: it has
// resumed the session and has echoed a recent frame. An agent that was suspended,
// or whose frames do not arrive, must not start the orders, because the owner
// eventually retries them on other hosts.
func (s *State) hasFreshEcho(now gypsumtide.Millis, owner Owner) bool {
	o := s.owner(owner)
	return o.resumed && now-o.lastEcho <= s.timing.MaxEchoAge
}

// SessionClosed records that the session to an owner has ended.
func (s *State) SessionClosed(now gypsumtide.Millis, owner Owner) {
	o := s.owner(owner)
	o.connected = false
	if o.resumed {
		o.resumed = false
		o.closedAt, o.echoAtClose = now, o.lastEcho
	}
}

// RunsOf returns the waiting and running orders of an owner.
func (s *State) RunsOf(owner Owner) []gypsumtide.RunRef {
	refs := []gypsumtide.RunRef{}
	for ref, r := range s.runs {
		if r.owner == owner {
			refs = append(refs, ref)
		}
	}
	return refs
}

// HasRuns reports whether an owner has a waiting or running order.
func (s *State) HasRuns(owner Owner) bool {
	for _, r := range s.runs {
		if r.owner == owner {
			return true
		}
	}
	return false
}

// Unused reports whether nothing at the agent depends on a session to the owner.
func (s *State) Unused(owner Owner) bool {
	return !s.HasRuns(owner) && len(s.UnrecordedEnds(owner)) == 0
}

// owner returns the state of an owner, and adds it if it is new.
func (s *State) owner(owner Owner) *ownerState {
	o, ok := s.owners[owner]
	if !ok {
		o = &ownerState{}
		s.owners[owner] = o
	}
	return o
}

// HasOwner reports whether the agent keeps state of an owner.
func (s *State) HasOwner(owner Owner) bool {
	_, ok := s.owners[owner]
	return ok
}

// AcceptsStarts reports whether runs may be started on the worker now.
func (s *State) AcceptsStarts() bool {
	return s.known && !s.leaving && !s.syncing && !s.withholdLease && !s.draining && !s.info.Draining && !s.startsBlocked
}

// Incarnation returns the current incarnation of the worker, or a zero value if there is
// none.
func (s *State) Incarnation() gypsumtide.Incarnation { return s.incarnation }

// Info returns the last description of the worker by itself.
func (s *State) Info() gypsumtide.WorkerInfo { return s.info }

// Address returns the last known address of the worker, or "" if there has been none.
func (s *State) Address() string { return s.info.Address }

// Running returns the number of runs that have been sent to the worker and have
// not ended.
func (s *State) Running() int { return s.reservations.Len() }

// Idle reports whether nothing waits or runs and no sync is open, so that Tick has little
// to do.
func (s *State) Idle() bool { return len(s.runs) == 0 && !s.syncing && len(s.orphans) == 0 }

// Waiting returns the number of waiting orders.
func (s *State) Waiting() int { return len(s.queue) }

// WorkerReport returns the description of the worker that is sent to owners.
func (s *State) WorkerReport(now gypsumtide.Millis) wire.WorkerReport {
	r := wire.WorkerReport{
		Incarnation: s.incarnation, Service: s.info.Service, Zone: s.info.Zone, Labels: s.info.Labels,
		Accepting:        s.known && !s.leaving && !s.withholdLease && !s.draining && !s.info.Draining && !s.startsBlocked && !s.syncOverdue(now),
		EarlierRunsEnded: s.earlierRunsEnded && !s.withholdLease, EvacuationsVersion: s.evacuationsVersion(), ZoneEvacuated: s.startsBlocked,
	}
	if s.known {
		r.Capacity = s.info.Capacity
	}
	s.addNotice(now, &r)
	return r
}

// LoadReport returns the load of the worker that is sent to an owner.
func (s *State) LoadReport(now gypsumtide.Millis, owner Owner) wire.LoadReport {
	r := wire.LoadReport{
		Booked: wire.NewSizeArray(s.reservations.Used()), Waiting: s.waitingLoads(owner),
		Slowness: float32(s.health.Slowness(now)), FailureShare: float32(s.health.FailureShare(now)),
	}
	if o, ok := s.owners[owner]; ok {
		r.FromPeer = wire.NewSizeArray(o.booked)
	}
	return r
}

// syncOverdueAfter is how long the worker may leave a sync unanswered before it is
// reported as not accepting runs.
const syncOverdueAfter gypsumtide.Millis = 150

func (s *State) syncOverdue(now gypsumtide.Millis) bool {
	return s.syncing && now-s.lastAnswer > syncOverdueAfter
}

// startRun sends a run, for which capacity is reserved, to the worker.
func (s *State) startRun(now gypsumtide.Millis, r *run) {
	r.phase = phaseSent
	r.incarnation = s.incarnation
	r.fence = s.fence
	r.startedAt = now
	r.beginProgress(now)
	s.leaseRenewedAt = now
	s.effects.Starts = append(s.effects.Starts, StartCall{Incarnation: s.incarnation, QueueTime: now - r.queuedAt, Order: gypsumtide.RunOrder{
		Ref: r.order.Ref, Spec: r.order.Spec, Fence: s.fence, LeaseUntil: s.clock.after(now, s.timing.Lease),
		Checkpoint: r.order.Checkpoint,
	}})
	s.log.Decision("run-sent", "run", r.order.Ref, "owner", r.owner, "life", s.incarnation, "fence", s.fence,
		"waited-ms", now-r.queuedAt, "booked", s.reservations.Used().Processors, "capacity", s.reservations.Capacity().Processors)
}

// StartAnswered processes the result of a start call.
func (s *State) StartAnswered(now gypsumtide.Millis, call StartCall, clock gypsumtide.Millis, err error) {
	if clock > 0 && call.Incarnation == s.incarnation {
		s.clock.set(now, clock)
	}
	r, ok := s.runs[call.Order.Ref]
	if !ok || r.phase != phaseSent || r.fence != call.Order.Fence || r.incarnation != call.Incarnation {
		return
	}
	switch {
	case err == nil:
		s.runStarted(now, r)
	case !gypsumtide.Rejected(err):
		s.log.Decision("run-in-doubt", "run", r.order.Ref, "error", err.Error())
		s.beginSync(now)
	default:
		s.startRejected(now, r, err)
	}
}

func (s *State) runStarted(now gypsumtide.Millis, r *run) {
	r.phase = phaseRunning
	if r.queuedReported {
		s.report(r.owner, wire.RunReport{Ref: r.order.Ref, Started: true})
	}
	if r.stopping {
		s.sendStop(now, r)
	}
}

// startRejected processes an error that proves that the worker did not start a run. The
// run is queued again if it may start with a new fencing token or lease.
func (s *State) startRejected(now gypsumtide.Millis, r *run, err error) {
	s.log.Decision("run-rejected", "run", r.order.Ref, "reason", err.Error(), "fence", r.fence)
	retryable := errors.Is(err, gypsumtide.ErrFenced) || errors.Is(err, gypsumtide.ErrLeaseExpired)
	if errors.Is(err, gypsumtide.ErrRefused) {
		s.health.addFailure(now)
	}
	if retryable && !r.stopping && r.incarnation == s.incarnation {
		s.requeue(r)
		if r.fence == s.fence {
			s.beginSync(now)
		}
		s.startWaiting(now)
		return
	}
	s.finish(r, gypsumtide.EndNotStarted, 0, rejectionReason(err))
	if errors.Is(err, gypsumtide.ErrOtherWorker) || errors.Is(err, gypsumtide.ErrNoCapacity) {
		s.beginSync(now)
	}
	s.startWaiting(now)
}

func rejectionReason(err error) string {
	switch {
	case errors.Is(err, gypsumtide.ErrStaleRun):
		return ReasonStaleRun
	case errors.Is(err, gypsumtide.ErrNoCapacity):
		return "no-room"
	case errors.Is(err, gypsumtide.ErrOtherWorker):
		return "other-life"
	case errors.Is(err, gypsumtide.ErrRefused):
		return "unwilling"
	default:
		return "rejected"
	}
}

// ReasonStaleRun means that the order must be repeated with a higher run number.
const ReasonStaleRun = "old-run"

// finish removes a run, releases its capacity and reports its end. It does not remove
// the run from the queue.
func (s *State) finish(r *run, kind gypsumtide.EndKind, runTime gypsumtide.Millis, reason string) {
	ref := r.order.Ref
	delete(s.runs, ref)
	s.release(r)
	if s.runsPerTask[ref.Task]--; s.runsPerTask[ref.Task] <= 0 {
		delete(s.runsPerTask, ref.Task)
	}
	s.report(r.owner, r.addCheckpoint(wire.RunReport{Ref: ref, End: kind, RunTime: runTime, Reason: reason, Unrecorded: r.order.Stored && kind.Conclusive()}))
	s.log.Decision("run-ended", "run", ref, "owner", r.owner, "end", kind, "ran-ms", runTime, "reason", reason)
}

func (s *State) report(owner Owner, r wire.RunReport) {
	if s.effects.Reports == nil {
		s.effects.Reports = make(map[Owner][]wire.RunReport)
	}
	s.effects.Reports[owner] = append(s.effects.Reports[owner], r)
}

// StopRun returns a waiting order unstarted, or asks the worker to stop the run. Tick
// repeats the stop until the run has ended.
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
	r.stopSentAt = now
	s.effects.Stops = append(s.effects.Stops, StopCall{Incarnation: r.incarnation, Ref: r.order.Ref, Fence: s.fence})
}

// Drain rejects all further orders and returns the waiting ones unstarted.
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

// Tick performs the periodic work: it stops the runs of disconnected owners, expires
// waiting orders, repeats the stops of runs that have not ended, ends the runs of a worker
// whose lease has expired, continues a sync, and starts waiting orders.
func (s *State) Tick(now gypsumtide.Millis) {
	s.expireOwners(now)
	s.expireQueue(now)
	for _, r := range s.runs {
		if r.stopping && now-r.stopSentAt > s.timing.StopRetry {
			s.sendStop(now, r)
		}
	}
	s.sampleOverdueRuns(now)
	s.expireLease(now)
	s.endReplacedRuns(now)
	s.updateLeaseWithholding(now)
	if s.syncing && !s.syncPending && now >= s.syncDue {
		s.sendSync(now)
	}
	s.startWaiting(now)
}

// expireLease reports the runs at the worker as lost if the lease expires during a sync,
// since a worker ends its runs when its lease expires. A sync does not renew the lease, so
// the lease runs out while the worker does not answer.
func (s *State) expireLease(now gypsumtide.Millis) {
	if !s.syncing || !s.leaseExpired(now) {
		return
	}
	for _, r := range s.runs {
		if r.phase != phaseWaiting {
			s.finish(r, gypsumtide.EndLost, now-r.startedAt, "lease-expired")
		}
	}
	if s.leaving {
		s.loseWorker(now)
	}
}

// leaseMargin allows for the error of the estimate of the worker's clock. The part of
// the lease that leaseExpired adds to it allows for a slow worker clock.
const leaseMargin gypsumtide.Millis = 30

// ownerLost reports whether an owner may retry its runs on other hosts, because it has had no
// resumed session for too long.
func (s *State) ownerLost(now gypsumtide.Millis, o *ownerState) bool {
	if o.resumed {
		return false
	}
	return now-o.closedAt >= s.timing.OwnerGrace || o.echoAtClose > 0 && now-o.echoAtClose >= s.timing.MaxOwnerSilence
}

// ownerLags reports whether an owner's frames arrive so late that it may not know yet which
// of its callers have left and have submitted their jobs to other entries.
func (s *State) ownerLags(now gypsumtide.Millis, o *ownerState) bool {
	return o.resumed && now-o.lastEcho >= s.timing.MaxOwnerLag
}

// expireOwners stops the runs of lost owners and the ephemeral runs of owners that lag, and
// removes lost owners once they have neither a session nor runs nor unrecorded ends.
func (s *State) expireOwners(now gypsumtide.Millis) {
	for name, o := range s.owners {
		lost := s.ownerLost(now, o)
		if !lost && !s.ownerLags(now, o) {
			continue
		}
		for ref, r := range s.runs {
			if r.owner == name && (lost || !r.order.Stored) {
				s.StopRun(now, ref)
			}
		}
		if !lost {
			continue
		}
		if !o.connected && s.Unused(name) {
			delete(s.owners, name)
		}
	}
}
