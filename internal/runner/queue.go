package runner

import (
	"slices"
	"sort"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// waitingLoads returns the total size of the waiting orders of each priority, and the
// part of it that belongs to owner.
func (s *State) waitingLoads(owner Owner) []wire.WaitingLoad {
	var loads []wire.WaitingLoad
	for _, r := range s.queue {
		i := slices.IndexFunc(loads, func(l wire.WaitingLoad) bool { return l.Priority == r.order.Priority })
		if i < 0 {
			i = len(loads)
			loads = append(loads, wire.WaitingLoad{Priority: r.order.Priority})
		}
		loads[i].Size = wire.NewSizeArray(loads[i].Size.Size().Add(r.order.Size))
		if r.owner == owner {
			loads[i].FromPeer = wire.NewSizeArray(loads[i].FromPeer.Size().Add(r.order.Size))
		}
	}
	return loads
}

// Submit queues an order and starts it if possible, or returns it unstarted with a reason.
// echo is the time of the agent's clock that the entry had last received when it wrote the
// order. An order that the agent already holds is ignored. An update only changes a waiting
// order.
func (s *State) Submit(now gypsumtide.Millis, owner Owner, o wire.Order, echo gypsumtide.Millis) {
	r, held := s.runs[o.Ref]
	stale := echo <= 0 || now-echo > s.timing.MaxEchoAge
	if stale {
		s.log.Decision("order-stale", "run", o.Ref, "age-ms", now-echo, "update", o.Update, "held-as", r.phaseName())
	}
	switch {
	case o.Update:
		if !stale {
			s.updateOrder(now, o)
		}
		return
	case held && r.owner != owner:
		// Another entry has given its run of the task the same number.
		s.report(owner, wire.RunReport{Ref: o.Ref, End: gypsumtide.EndNotStarted, Reason: ReasonStaleRun})
		return
	case held:
		return
	}
	reason := s.orderRejection(o, stale)
	if reason == ReasonNotMarked {
		s.effects.SaveStoredJobsMark = true
	}
	if reason != "" {
		s.report(owner, wire.RunReport{Ref: o.Ref, End: gypsumtide.EndNotStarted, Reason: reason})
		return
	}
	s.stopOtherRuns(now, o.Ref)
	r = &run{order: o, owner: owner, queuedAt: now, expiresAt: now + o.StartWithin}
	s.runs[o.Ref] = r
	s.runsPerTask[o.Ref.Task]++
	s.queue = append(s.queue, r)
	s.sortQueue()
	s.startWaiting(now)
	if r.phase == phaseWaiting && s.runs[o.Ref] == r {
		r.queuedReported = true
		s.report(owner, wire.RunReport{Ref: o.Ref, Queued: true})
	}
}

// updateOrder updates the fields that may change while an order waits.
func (s *State) updateOrder(now gypsumtide.Millis, o wire.Order) {
	r, ok := s.runs[o.Ref]
	if !ok || r.phase != phaseWaiting {
		return
	}
	r.order.JobStarted = o.JobStarted
	r.expiresAt = now + o.StartWithin
	s.sortQueue()
}

// orderRejection returns why an order that the agent does not hold cannot be accepted, or
// "" if it can. A stale order may come from an entry that was suspended and whose callers
// no longer wait.
func (s *State) orderRejection(o wire.Order, stale bool) string {
	switch {
	case stale:
		return "stale"
	case s.draining:
		return "agent-drains"
	case !s.known, s.leaving:
		return "no-worker"
	case s.info.Draining:
		return "worker-drains"
	case s.startsBlocked:
		return ReasonZoneEvacuated
	case o.Incarnation != s.incarnation:
		return "other-life"
	case o.Size.Validate() != nil:
		return "invalid-size"
	case !o.Size.AtMost(s.info.Capacity):
		return "too-large"
	case o.Stored && !s.storedJobsMarked:
		return ReasonNotMarked
	}
	return ""
}

// stopOtherRuns stops the other runs of a task. A resubmitted job starts its tasks
// again, and two runs of a task must not overlap.
func (s *State) stopOtherRuns(now gypsumtide.Millis, ref gypsumtide.RunRef) {
	if s.runsPerTask[ref.Task] == 0 {
		return
	}
	for other := range s.runs {
		if other.Task == ref.Task && other != ref {
			s.StopRun(now, other)
		}
	}
}

// sortQueue sorts the waiting runs. Tasks of jobs that have started come first,
// since a partly executed job has no value, then those with the lower priority
// number, and then those that must start earlier.
func (s *State) sortQueue() {
	sort.SliceStable(s.queue, func(i, j int) bool {
		a, b := s.queue[i], s.queue[j]
		if a.order.JobStarted != b.order.JobStarted {
			return a.order.JobStarted
		}
		if a.order.Priority != b.order.Priority {
			return a.order.Priority < b.order.Priority
		}
		return a.expiresAt < b.expiresAt
	})
}

// maxRuns limits the runs on the worker, since tasks may declare a size of zero.
// It must be less than callQueueSize, since queueing a start blocks while the queue is
// full.
const maxRuns = 2000

// startWaiting starts the waiting runs for which the worker has capacity, and returns the
// orders that have expired. It does neither while no starts are accepted. A run also waits
// for a resumed session and a recent echo of its owner, and for the end of other runs of
// its task.
func (s *State) startWaiting(now gypsumtide.Millis) {
	if !s.AcceptsStarts() {
		return
	}
	kept := s.queue[:0]
	for _, r := range s.queue {
		switch {
		case now > r.expiresAt:
			s.finish(r, gypsumtide.EndNotStarted, 0, "expired")
		case !s.hasFreshEcho(now, r.owner) || s.runsPerTask[r.order.Ref.Task] > 1 || s.reservations.Len() >= maxRuns || !s.reserve(r):
			kept = append(kept, r)
		default:
			s.startRun(now, r)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// reserve reserves the capacity for a run. It returns false if there is too little.
func (s *State) reserve(r *run) bool {
	if !s.reservations.Reserve(r.order.Ref, r.order.Size) {
		return false
	}
	o := s.owner(r.owner)
	o.booked = o.booked.Add(r.order.Size)
	return true
}

// release releases the capacity reserved for a run, if any.
func (s *State) release(r *run) {
	if r.phase == phaseWaiting {
		return
	}
	s.reservations.Release(r.order.Ref)
	o := s.owner(r.owner)
	o.booked = o.booked.Sub(r.order.Size)
}

// requeue puts a run that the worker has not started back into the queue.
func (s *State) requeue(r *run) {
	s.release(r)
	r.phase = phaseWaiting
	s.queue = append(s.queue, r)
	s.sortQueue()
}

// Recall returns a waiting order unstarted. It does not affect a run whose start call has
// been sent.
func (s *State) Recall(ref gypsumtide.RunRef) {
	r, ok := s.runs[ref]
	if !ok || r.phase != phaseWaiting {
		return
	}
	s.dequeue(r)
	s.finish(r, gypsumtide.EndNotStarted, 0, "recalled")
}

func (s *State) dequeue(r *run) {
	for i, q := range s.queue {
		if q == r {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// returnQueue returns all waiting orders unstarted.
func (s *State) returnQueue(reason string) {
	for _, r := range s.queue {
		s.finish(r, gypsumtide.EndNotStarted, 0, reason)
	}
	s.queue = nil
}

// expireQueue returns the waiting orders that have expired, or all of them while a sync is
// overdue or starts are blocked.
func (s *State) expireQueue(now gypsumtide.Millis) {
	if s.startsBlocked {
		s.returnQueue(ReasonZoneEvacuated)
		return
	}
	if s.syncOverdue(now) {
		s.returnQueue("worker-silent")
		return
	}
	kept := s.queue[:0]
	for _, r := range s.queue {
		if now > r.expiresAt {
			s.finish(r, gypsumtide.EndNotStarted, 0, "expired")
			continue
		}
		kept = append(kept, r)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}
