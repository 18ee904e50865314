package runner

import (
	"errors"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// fenceStep is added to the fencing token when the worker has seen a higher
// one, doubled with each rejection. Tokens begin at the wall clock, which can be
// set back.
const fenceStep = 1000

// Heartbeat takes what a worker says of itself. It reports whether the
// heartbeat describes a worker that is used.
func (s *State) Heartbeat(now gypsumtide.Millis, info gypsumtide.WorkerInfo) bool {
	if info.Incarnation == s.life {
		if s.known && info.Seq < s.info.Seq {
			return true
		}
		s.accept(now, info)
		return true
	}
	if s.life.ID != "" && info.Incarnation.StartTime < s.life.StartTime && info.Incarnation.ID == s.life.ID {
		// Either a delayed heartbeat of an earlier life, or the worker's clock was
		// set back. The worker's answer to a hold decides.
		s.log.Decision("heartbeat-of-other-life", "announced", info.Incarnation, "known", s.life)
		s.beginSync(now)
		return false
	}
	s.log.Decision("worker-life", "life", info.Incarnation, "before", s.life, "service", info.Service,
		"capacity", info.Capacity, "seq", info.Seq)
	s.setLife(info.Incarnation)
	// An earlier incarnation of the agent may have renewed the lease just now.
	s.leased = now
	s.accept(now, info)
	s.beginSync(now)
	return true
}

// RestoreWorker takes a worker that an earlier incarnation of the agent knew. Its
// next heartbeat replaces what was remembered.
func (s *State) RestoreWorker(now gypsumtide.Millis, info gypsumtide.WorkerInfo) {
	info.Seq = 0
	s.Heartbeat(now, info)
}

func (s *State) setLife(life gypsumtide.Incarnation) {
	s.life = life
	s.known = false
	s.settled = false
	s.info.Seq = 0
	s.processed, s.acknowledged = 0, 0
	clear(s.unrecorded)
	s.lapsing = false
	s.clock = workerClock{}
	s.health = health{}
}

func (s *State) accept(now gypsumtide.Millis, info gypsumtide.WorkerInfo) {
	if info.Draining && !s.info.Draining {
		s.log.Decision("worker-drains", "life", info.Incarnation, "seq", info.Seq)
	}
	first := !s.known
	s.info = info
	s.known = true
	s.book.SetCapacity(info.Capacity)
	if info.Draining {
		s.returnQueue("worker-drains")
	}
	if first {
		s.log.Decision("worker-known", "life", info.Incarnation, "capacity", info.Capacity, "draining", info.Draining)
	}
	s.pump(now)
}

// beginSync settles which runs exist on the worker. It raises the fencing
// token: after the worker has answered, no order sent before can start, so an
// order that the answer does not list will never run. No order is sent in the
// meantime.
func (s *State) beginSync(now gypsumtide.Millis) {
	if s.life.ID == "" || s.syncing {
		return
	}
	s.syncing = true
	s.heard = now
	s.fence++
	s.sendSync(now)
}

func (s *State) sendSync(now gypsumtide.Millis) {
	s.syncPending = true
	s.effects.Sync = &RenewCall{Incarnation: s.life, Request: gypsumtide.RenewRequest{Fence: s.fence, Acknowledged: s.acknowledged}}
}

// NextRenewal returns the hold that renews the lease and waits for ends.
func (s *State) NextRenewal(now, wait gypsumtide.Millis) (RenewCall, bool) {
	if s.life.ID == "" || s.syncing {
		return RenewCall{}, false
	}
	request := gypsumtide.RenewRequest{Fence: s.fence, Acknowledged: s.acknowledged, Wait: wait}
	if !s.lapsing {
		s.leased = now
		request.LeaseUntil = s.clock.after(now, s.timing.Lease)
	}
	return RenewCall{Incarnation: s.life, Request: request}, true
}

// SyncAnswered takes the answer of the hold that Effects.Sync asked for.
func (s *State) SyncAnswered(now gypsumtide.Millis, call RenewCall, a gypsumtide.RenewResponse, err error) {
	s.syncPending = false
	if call.Incarnation != s.life {
		s.syncDue = now
		return
	}
	if err != nil {
		s.syncFailed(now, err)
		return
	}
	s.heard = now
	if a.StartTime != s.life.StartTime {
		s.log.Decision("worker-restarted", "life", s.life, "born", a.StartTime)
		s.setLife(gypsumtide.Incarnation{ID: s.life.ID, StartTime: a.StartTime})
	}
	s.clock.set(now, a.Clock)
	s.takeEnds(now, a.Ended)
	s.settle(now, call.Request.Fence, a.Running)
	if len(s.orphans) > 0 {
		s.syncDue = now + orphanInterval
		return
	}
	s.syncing = false
	s.settled = true
	s.pump(now)
}

// orphanInterval is the pause between two looks at runs that are being stopped.
const orphanInterval gypsumtide.Millis = 20

func (s *State) syncFailed(now gypsumtide.Millis, err error) {
	s.log.Decision("sync-failed", "life", s.life, "fence", s.fence, "error", err.Error())
	switch {
	case errors.Is(err, gypsumtide.ErrFenced):
		s.fence += fenceStep + s.fence/(1<<20)
		s.syncDue = now
	case errors.Is(err, gypsumtide.ErrOtherIncarnation):
		s.loseLife(now)
	default:
		s.syncDue = now + s.timing.SyncRetry
	}
}

// loseLife ends every run, since another incarnation answers at the address
// and rejects orders for this one.
func (s *State) loseLife(now gypsumtide.Millis) {
	s.returnQueue("worker-gone")
	for _, r := range s.runs {
		s.finish(r, gypsumtide.EndLost, now-r.started, "worker-gone")
	}
	clear(s.orphans)
	s.setLife(gypsumtide.Incarnation{})
	s.syncing = false
}

// settle compares the runs with those that the worker lists in answer to a
// hold with the given fencing token.
func (s *State) settle(now gypsumtide.Millis, fence uint64, running []gypsumtide.RunProgress) {
	listed := make(map[gypsumtide.RunRef]bool, len(running))
	clear(s.orphans)
	for _, p := range running {
		listed[p.Ref] = true
		r, ok := s.runs[p.Ref]
		switch {
		case !ok || r.phase == phaseWaiting:
			s.orphans[p.Ref] = now
			s.effects.Stops = append(s.effects.Stops, StopCall{Incarnation: s.life, Ref: p.Ref, Fence: s.fence})
			s.log.Decision("orphan-stopped", "run", p.Ref, "life", s.life, "fence", s.fence)
		case r.phase == phaseSent:
			r.life = s.life
			s.began(now, r)
		default:
			r.life = s.life
		}
	}
	for ref, r := range s.runs {
		if listed[ref] || r.phase == phaseWaiting {
			continue
		}
		s.settleAbsent(now, fence, r)
	}
}

func (s *State) settleAbsent(now gypsumtide.Millis, fence uint64, r *run) {
	switch {
	case r.life != s.life:
		s.finish(r, gypsumtide.EndLost, now-r.started, "worker-restarted")
	case r.phase == phaseRunning:
		s.finish(r, gypsumtide.EndLost, now-r.started, "not-listed")
	case r.fence < fence && r.stopping:
		s.finish(r, gypsumtide.EndNotStarted, 0, "fenced")
	case r.fence < fence:
		s.requeue(r)
	}
}

// maxHoldFailures is the number of holds without an answer after which the
// worker is looked at closer.
const maxHoldFailures = 2

// RenewAnswered takes the answer of a hold sent at sentAt.
func (s *State) RenewAnswered(now, sentAt gypsumtide.Millis, call RenewCall, a gypsumtide.RenewResponse, err error) {
	if call.Incarnation != s.life || s.syncing {
		return
	}
	switch {
	case err == nil:
	case errors.Is(err, gypsumtide.ErrFenced) && call.Request.Fence < s.fence:
		return
	case !gypsumtide.Rejected(err) && s.holdFailures < maxHoldFailures:
		// A single lost answer leaves no order in doubt.
		s.holdFailures++
		return
	default:
		s.log.Decision("hold-failed", "life", s.life, "fence", call.Request.Fence, "error", err.Error())
		s.beginSync(now)
		return
	}
	if a.StartTime != s.life.StartTime {
		s.beginSync(now)
		return
	}
	s.heard = now
	s.holdFailures = 0
	s.clock.set(now, a.Clock)
	s.takeEnds(now, a.Ended)
	s.takeProgress(now, sentAt, a.Running)
	s.pump(now)
}

// takeEnds processes ends in the order of their numbers, each one once.
func (s *State) takeEnds(now gypsumtide.Millis, ends []gypsumtide.RunEnd) {
	for _, e := range ends {
		if e.Number <= s.processed {
			continue
		}
		s.processed = e.Number
		delete(s.orphans, e.Ref)
		r, ok := s.runs[e.Ref]
		if !ok || r.phase == phaseWaiting {
			s.keepEnd(e, nil)
			s.log.Decision("end-of-unknown-run", "run", e.Ref, "end", e.Kind, "number", e.Number)
			continue
		}
		s.keepEnd(e, r)
		s.health.ended(now, r, e.Kind)
		s.finish(r, e.Kind, now-r.started, "")
	}
	s.acknowledge()
	s.updateLapse(now)
}

// takeProgress notes how far runs are, and looks closer if the list differs
// from what should run.
func (s *State) takeProgress(now, sentAt gypsumtide.Millis, running []gypsumtide.RunProgress) {
	listed := make(map[gypsumtide.RunRef]bool, len(running))
	for _, p := range running {
		listed[p.Ref] = true
		r, ok := s.runs[p.Ref]
		if !ok || r.phase == phaseWaiting {
			s.log.Decision("unknown-run", "run", p.Ref)
			s.beginSync(now)
			return
		}
		if p.Percent > r.percent {
			r.percent, r.advanced = p.Percent, now
		}
		s.health.progress(now, r)
		s.project(now, r)
	}
	for ref, r := range s.runs {
		if r.phase == phaseRunning && r.started+missingGrace < sentAt && !listed[ref] {
			s.log.Decision("missing-run", "run", ref)
			s.beginSync(now)
			return
		}
	}
}

// Reports of projected run times.
const (
	// projectAfter is the age from which the progress of a run tells its run time.
	projectAfter gypsumtide.Millis = 40
	// projectFactor is the run time relative to the expected or the reported one
	// from which a projection is reported.
	projectFactor = 1.4
)

// still reports whether a run makes no progress. A run that is merely slow
// advances by a percent within a small part of its time.
func (r *run) still(now gypsumtide.Millis) bool {
	return now-r.advanced >= max(projectAfter, r.order.Expected/stillPart)
}

// stillPart is the part of the expected run time without progress from which a
// run stands still.
const stillPart = 4

// project reports the time that a run has left if it takes much longer than expected.
func (s *State) project(now gypsumtide.Millis, r *run) {
	elapsed := now - r.started
	still := r.still(now)
	if elapsed < projectAfter || r.stopping || r.percent >= 100 || r.percent == 0 && !still {
		return
	}
	total := elapsed * 100 / gypsumtide.Millis(max(1, r.percent))
	if float64(total) < projectFactor*float64(max(r.order.Expected, r.projected)) {
		return
	}
	r.projected = total
	s.report(r.owner, wire.RunReport{Ref: r.order.Ref, Remaining: total - elapsed, Stalled: still})
}

// missingGrace is the age from which a run must be listed. Answers on other
// connections may be older than the start.
const missingGrace gypsumtide.Millis = 300

// sampleProgress is called with each tick, since a run that stands still does
// not end.
func (s *State) sampleProgress(now gypsumtide.Millis) {
	for _, r := range s.runs {
		if r.phase == phaseRunning {
			s.health.overdue(now, r)
		}
	}
}
