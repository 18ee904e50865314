package runner

import (
	"errors"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// fenceStep, plus about a millionth of the fencing token, is added to the token after
// the worker has rejected it in favour of a higher one. That happens because tokens
// start at the wall clock in milliseconds, which can be set back. A millionth of such a
// token is about half an hour.
const fenceStep = 1000

// Heartbeat processes a worker's description of itself. It returns whether the
// heartbeat comes from the incarnation that the agent now uses.
func (s *State) Heartbeat(now gypsumtide.Millis, info gypsumtide.WorkerInfo) bool {
	if info.Incarnation == s.incarnation {
		if s.known && info.Seq < s.info.Seq {
			return true
		}
		s.updateInfo(now, info)
		return true
	}
	if s.incarnation.ID != "" && info.Incarnation.StartTime < s.incarnation.StartTime && info.Incarnation.ID == s.incarnation.ID {
		// This is a delayed heartbeat of an earlier incarnation, or the worker's clock
		// was set back. The worker's answer to the sync contains its actual start time,
		// which shows which of the two it is.
		s.log.Decision("heartbeat-of-other-life", "announced", info.Incarnation, "known", s.incarnation)
		s.beginSync(now)
		return false
	}
	s.log.Decision("worker-life", "life", info.Incarnation, "before", s.incarnation, "service", info.Service,
		"capacity", info.Capacity, "seq", info.Seq)
	if info.Incarnation.ID != s.incarnation.ID {
		s.replacedAt = now
	}
	s.setIncarnation(info.Incarnation)
	// An earlier incarnation of the agent may have renewed the lease a moment ago.
	s.leaseRenewedAt = now
	s.updateInfo(now, info)
	s.beginSync(now)
	return true
}

// RestoreWorker uses the description of the worker that an earlier incarnation of the
// agent has saved, until the next heartbeat replaces it.
func (s *State) RestoreWorker(now gypsumtide.Millis, info gypsumtide.WorkerInfo) {
	info.Seq = 0
	info.Remaining = nil // Counts from the heartbeat, whose time is not known.
	s.Heartbeat(now, info)
}

// setIncarnation sets the incarnation of the worker and resets what is known of the
// previous one.
func (s *State) setIncarnation(incarnation gypsumtide.Incarnation) {
	s.incarnation = incarnation
	s.known = false
	s.leaving = false
	s.leavesAt = 0
	s.earlierRunsEnded = false
	s.info.Seq = 0
	s.processed, s.acknowledged = 0, 0
	clear(s.unrecorded)
	s.withholdLease = false
	s.clock = workerClock{}
	s.health = health{}
}

func (s *State) updateInfo(now gypsumtide.Millis, info gypsumtide.WorkerInfo) {
	if info.Draining && !s.info.Draining {
		s.log.Decision("worker-drains", "life", info.Incarnation, "seq", info.Seq)
	}
	first := !s.known
	s.info = info
	s.known = true
	s.reservations.SetCapacity(info.Capacity)
	s.updateStartsBlocked()
	s.updateNotice(now)
	if info.Draining {
		s.returnQueue("worker-drains")
	}
	if first {
		s.log.Decision("worker-known", "life", info.Incarnation, "capacity", info.Capacity, "draining", info.Draining)
	}
	s.startWaiting(now)
}

// beginSync starts to determine which runs exist on the worker. It raises the fencing
// token: once the worker has answered, no order sent earlier can start, so an order that
// the answer lists neither as running nor as ended will never run. No orders are sent
// until the sync is complete.
func (s *State) beginSync(now gypsumtide.Millis) {
	if s.incarnation.ID == "" || s.syncing {
		return
	}
	s.syncing = true
	s.lastAnswer = now
	s.fence++
	s.sendSync(now)
}

func (s *State) sendSync(now gypsumtide.Millis) {
	s.syncPending = true
	s.effects.Sync = &RenewCall{Incarnation: s.incarnation, Request: gypsumtide.RenewRequest{Fence: s.fence, Acknowledged: s.acknowledged}}
}

// NextRenewal returns the next renew call, a long poll that waits for ends and renews the
// lease unless it is withheld. It returns false while there is no worker or a sync is open.
func (s *State) NextRenewal(now, wait gypsumtide.Millis) (RenewCall, bool) {
	if s.incarnation.ID == "" || s.syncing {
		return RenewCall{}, false
	}
	request := gypsumtide.RenewRequest{Fence: s.fence, Acknowledged: s.acknowledged, Wait: wait}
	if !s.withholdLease {
		s.leaseRenewedAt = now
		request.LeaseUntil = s.clock.after(now, s.timing.Lease)
	}
	return RenewCall{Incarnation: s.incarnation, Request: request}, true
}

// SyncAnswered processes the result of the call in Effects.Sync.
func (s *State) SyncAnswered(now gypsumtide.Millis, call RenewCall, a gypsumtide.RenewResponse, err error) {
	s.syncPending = false
	if call.Incarnation != s.incarnation {
		s.syncDue = now
		return
	}
	if err != nil {
		s.syncFailed(now, err)
		return
	}
	s.lastAnswer = now
	if a.StartTime != s.incarnation.StartTime {
		s.log.Decision("worker-restarted", "life", s.incarnation, "born", a.StartTime)
		s.setIncarnation(gypsumtide.Incarnation{ID: s.incarnation.ID, StartTime: a.StartTime})
		if call.Request.Acknowledged > 0 {
			// The call acknowledged ends of the previous incarnation by their numbers, so the
			// answer lacks the ends with these numbers of the new one. It may have executed
			// orders meant for the previous one.
			s.sendSync(now)
			return
		}
	}
	s.clock.set(now, a.Clock)
	s.processEnds(now, a.Ended)
	s.reconcile(now, call.Request.Fence, a.Running)
	if len(s.orphans) > 0 || s.leaving && s.reservations.Len() > 0 {
		s.syncDue = now + orphanInterval
		return
	}
	if s.leaving {
		s.loseWorker(now)
		return
	}
	s.syncing = false
	s.earlierRunsEnded = true
	s.startWaiting(now)
}

// orphanInterval is the delay before the next call of a sync while orphans are being
// stopped.
const orphanInterval gypsumtide.Millis = 20

func (s *State) syncFailed(now gypsumtide.Millis, err error) {
	s.log.Decision("sync-failed", "life", s.incarnation, "fence", s.fence, "error", err.Error())
	switch {
	case errors.Is(err, gypsumtide.ErrFenced):
		s.fence += fenceStep + s.fence/(1<<20)
		s.syncDue = now
	case errors.Is(err, gypsumtide.ErrOtherWorker):
		s.loseWorker(now)
	default:
		s.syncDue = now + s.timing.SyncRetry
	}
}

// WorkerDeregistered processes the deregistration of the worker with the given id. It has no
// effect if the agent uses another worker or none. The worker may go on running tasks, so
// their runs are stopped, and end when the worker lists them as ended or its lease has expired.
func (s *State) WorkerDeregistered(now gypsumtide.Millis, id string) {
	if s.incarnation.ID != id || s.leaving {
		return
	}
	s.leaving = true
	s.returnQueue("worker-gone")
	// The sync raises the fencing token, which the stops need.
	s.beginSync(now)
	s.StopAll(now)
}

// loseWorker returns the waiting orders, reports the runs at the worker as lost, and drops
// the worker. Either a worker with another ID answers at the address and rejects orders for
// this one, or the worker has deregistered and has no runs left. Runs at a replaced worker
// are left to endReplacedRuns.
func (s *State) loseWorker(now gypsumtide.Millis) {
	s.returnQueue("worker-gone")
	for _, r := range s.runs {
		if r.incarnation.ID == s.incarnation.ID {
			s.finish(r, gypsumtide.EndLost, now-r.startedAt, "worker-gone")
		}
	}
	clear(s.orphans)
	s.setIncarnation(gypsumtide.Incarnation{})
	s.syncing = false
}

// reconcile compares the agent's runs with those that the worker lists in its
// answer to a sync with the given fencing token.
func (s *State) reconcile(now gypsumtide.Millis, fence uint64, running []gypsumtide.RunProgress) {
	listed := make(map[gypsumtide.RunRef]bool, len(running))
	clear(s.orphans)
	for _, p := range running {
		listed[p.Ref] = true
		r, ok := s.runs[p.Ref]
		switch {
		case !ok || r.phase == phaseWaiting:
			s.orphans[p.Ref] = now
			s.effects.Stops = append(s.effects.Stops, StopCall{Incarnation: s.incarnation, Ref: p.Ref, Fence: s.fence})
			s.log.Decision("orphan-stopped", "run", p.Ref, "life", s.incarnation, "fence", s.fence)
		case r.phase == phaseSent:
			r.incarnation = s.incarnation
			s.runStarted(now, r)
		default:
			r.incarnation = s.incarnation
			s.reportCheckpoint(r, p)
		}
	}
	for ref, r := range s.runs {
		if listed[ref] || r.phase == phaseWaiting {
			continue
		}
		s.reconcileUnlisted(now, fence, r)
	}
}

// reconcileUnlisted processes a run that the worker does not list in its answer to a sync
// with the given fencing token.
func (s *State) reconcileUnlisted(now gypsumtide.Millis, fence uint64, r *run) {
	switch {
	case r.incarnation.ID != s.incarnation.ID:
		// Another worker answers. The run ends with the lease of its own, see
		// endReplacedRuns.
	case r.incarnation != s.incarnation:
		s.finish(r, gypsumtide.EndLost, now-r.startedAt, "worker-restarted")
	case r.phase == phaseRunning:
		s.finish(r, gypsumtide.EndLost, now-r.startedAt, "not-listed")
	case r.fence < fence && r.stopping:
		s.finish(r, gypsumtide.EndNotStarted, 0, "fenced")
	case r.fence < fence:
		s.requeue(r)
	}
}

// endReplacedRuns reports the runs at a replaced worker as lost once its lease must have
// expired. Its lease has not been renewed since another worker announced itself.
func (s *State) endReplacedRuns(now gypsumtide.Millis) {
	if !s.leaseOver(now, s.replacedAt) {
		return
	}
	for _, r := range s.runs {
		if r.phase != phaseWaiting && r.incarnation.ID != s.incarnation.ID {
			s.finish(r, gypsumtide.EndLost, now-r.startedAt, "worker-replaced")
		}
	}
}

// maxRenewFailures is the number of consecutive renew calls that may go unanswered
// before a sync.
const maxRenewFailures = 2

// RenewAnswered processes the result of a renew call sent at sentAt.
func (s *State) RenewAnswered(now, sentAt gypsumtide.Millis, call RenewCall, a gypsumtide.RenewResponse, err error) {
	if call.Incarnation != s.incarnation || s.syncing {
		return
	}
	switch {
	case err == nil:
	case errors.Is(err, gypsumtide.ErrFenced) && call.Request.Fence < s.fence:
		return
	case !gypsumtide.Rejected(err) && s.renewFailures < maxRenewFailures:
		// A renew call starts no run, so a lost answer leaves no doubt whether an order
		// has been started.
		s.renewFailures++
		return
	default:
		s.log.Decision("hold-failed", "life", s.incarnation, "fence", call.Request.Fence, "error", err.Error())
		s.beginSync(now)
		return
	}
	if a.StartTime != s.incarnation.StartTime {
		s.beginSync(now)
		return
	}
	s.lastAnswer = now
	s.renewFailures = 0
	s.clock.set(now, a.Clock)
	s.processEnds(now, a.Ended)
	s.processProgress(now, sentAt, a.Running)
	s.startWaiting(now)
}

// processEnds processes ends in the order of their numbers, each end once.
func (s *State) processEnds(now gypsumtide.Millis, ends []gypsumtide.RunEnd) {
	for _, e := range ends {
		if e.Number <= s.processed {
			continue
		}
		s.processed = e.Number
		delete(s.orphans, e.Ref)
		r, ok := s.runs[e.Ref]
		if !ok || r.phase == phaseWaiting {
			s.retainEnd(e, nil)
			s.log.Decision("end-of-unknown-run", "run", e.Ref, "end", e.Kind, "number", e.Number)
			continue
		}
		s.retainEnd(e, r)
		r.noteCheckpoint(e.Checkpoint, r.percent)
		s.health.sampleEnd(now, r, e.Kind)
		s.finish(r, e.Kind, now-r.startedAt, "")
	}
	s.updateAcknowledged()
	s.updateLeaseWithholding(now)
}

// processProgress records the progress of the runs, and begins a sync at the first
// difference between the listed runs and the expected ones.
func (s *State) processProgress(now, sentAt gypsumtide.Millis, running []gypsumtide.RunProgress) {
	listed := make(map[gypsumtide.RunRef]bool, len(running))
	for _, p := range running {
		listed[p.Ref] = true
		r, ok := s.runs[p.Ref]
		if !ok || r.phase == phaseWaiting {
			s.log.Decision("unknown-run", "run", p.Ref)
			s.beginSync(now)
			return
		}
		r.noteProgress(now, p.Percent)
		s.reportCheckpoint(r, p)
		s.health.sampleProgress(now, r)
		s.reportProjection(now, r)
	}
	for ref, r := range s.runs {
		if r.phase == phaseRunning && r.startedAt+missingGrace < sentAt && !listed[ref] {
			s.log.Decision("missing-run", "run", ref)
			s.beginSync(now)
			return
		}
	}
}

// Thresholds for reporting projected run times.
const (
	// projectAfter is the elapsed time from which the progress of a run is used to
	// project its run time.
	projectAfter gypsumtide.Millis = 40
	// projectFactor is the ratio of the projected run time to the expected or the last
	// reported one, whichever is longer, from which a projection is reported.
	projectFactor = 1.4
)

// stalled reports whether a run makes no progress. A run that is only slow still
// advances by one percent within a small part of its run time.
func (r *run) stalled(now gypsumtide.Millis) bool {
	return now-r.advancedAt >= max(projectAfter, r.order.Expected/stallDivisor)
}

// stallDivisor gives the part of the expected run time, Expected/stallDivisor,
// without progress after which a run counts as stalled.
const stallDivisor = 4

// reportProjection reports the remaining time of a run that takes much longer than
// expected.
func (s *State) reportProjection(now gypsumtide.Millis, r *run) {
	elapsed := now - r.startedAt
	stalled := r.stalled(now)
	if elapsed < projectAfter || r.stopping || r.percent >= 100 || r.progress() == 0 && !stalled {
		return
	}
	total := r.projectedTotal(now)
	if !s.projectionDue(r, total) {
		return
	}
	r.projected = total
	s.report(r.owner, wire.RunReport{Ref: r.order.Ref, Remaining: total - elapsed, Stalled: stalled})
}

// missingGrace is how long before a renew call a run must have been sent to be
// expected in the answer. Calls use different connections, so an answer may be
// older than the start.
const missingGrace gypsumtide.Millis = 300

// sampleOverdueRuns adds overdue runs to the health averages. It is called with
// each tick, because a stalled run may never end.
func (s *State) sampleOverdueRuns(now gypsumtide.Millis) {
	for _, r := range s.runs {
		if r.phase == phaseRunning {
			s.health.sampleOverdue(now, r)
		}
	}
}
