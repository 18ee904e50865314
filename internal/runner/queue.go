package runner

import (
	"slices"
	"sort"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// waiting sums up the queue by priority.
func (s *State) waiting(owner Owner) []wire.WaitingLoad {
	var loads []wire.WaitingLoad
	for _, r := range s.queue {
		i := slices.IndexFunc(loads, func(l wire.WaitingLoad) bool { return l.Priority == r.order.Priority })
		if i < 0 {
			i = len(loads)
			loads = append(loads, wire.WaitingLoad{Priority: r.order.Priority})
		}
		loads[i].Size = wire.NewSizeRow(loads[i].Size.Size().Add(r.order.Size))
		if r.owner == owner {
			loads[i].FromPeer = wire.NewSizeRow(loads[i].FromPeer.Size().Add(r.order.Size))
		}
	}
	return loads
}

// Submit accepts an order or returns it unstarted.
func (s *State) Submit(now gypsumtide.Millis, owner Owner, o wire.Order) {
	if o.Update {
		s.updateOrder(now, o)
		return
	}
	if _, ok := s.runs[o.Ref]; ok {
		return
	}
	reason := s.rejection(o)
	if reason == ReasonNotMarked {
		s.effects.SaveMark = true
	}
	if reason != "" {
		s.report(owner, wire.RunReport{Ref: o.Ref, End: gypsumtide.EndNotStarted, Reason: reason})
		return
	}
	s.supersede(now, o.Ref)
	r := &run{order: o, owner: owner, queued: now, expires: now + o.StartWithin}
	s.runs[o.Ref] = r
	s.active[o.Ref.Task]++
	s.queue = append(s.queue, r)
	s.sortQueue()
	s.pump(now)
	if r.phase == phaseWaiting && s.runs[o.Ref] == r {
		r.announced = true
		s.report(owner, wire.RunReport{Ref: o.Ref, Queued: true})
	}
}

// updateOrder changes what may change while an order waits.
func (s *State) updateOrder(now gypsumtide.Millis, o wire.Order) {
	r, ok := s.runs[o.Ref]
	if !ok || r.phase != phaseWaiting {
		return
	}
	r.order.JobStarted = o.JobStarted
	r.expires = now + o.StartWithin
	s.sortQueue()
}

func (s *State) rejection(o wire.Order) string {
	switch {
	case s.draining:
		return "agent-drains"
	case !s.known:
		return "no-worker"
	case s.info.Draining:
		return "worker-drains"
	case o.Incarnation != s.life:
		return "other-life"
	case !o.Size.AtMost(s.info.Capacity):
		return "too-large"
	case o.Stored && !s.marked:
		return ReasonNotMarked
	}
	return ""
}

// supersede stops other runs of the task: a resubmitted job starts its tasks
// again, and two runs of a task must not overlap.
func (s *State) supersede(now gypsumtide.Millis, ref gypsumtide.RunRef) {
	if s.active[ref.Task] == 0 {
		return
	}
	for other := range s.runs {
		if other.Task == ref.Task && other != ref {
			s.StopRun(now, other)
		}
	}
}

// sortQueue orders waiting runs: tasks of begun jobs first, since a partly
// served job is worth nothing, then by priority, and
// then by the latest start.
func (s *State) sortQueue() {
	sort.SliceStable(s.queue, func(i, j int) bool {
		a, b := s.queue[i], s.queue[j]
		if a.order.JobStarted != b.order.JobStarted {
			return a.order.JobStarted
		}
		if a.order.Priority != b.order.Priority {
			return a.order.Priority < b.order.Priority
		}
		return a.expires < b.expires
	})
}

// maxRuns bounds the runs on the worker, since tasks may declare no size. It
// stays below callBacklog, so that a start never waits for the channel.
const maxRuns = 2000

// pump starts waiting runs for which there is room.
func (s *State) pump(now gypsumtide.Millis) {
	if !s.AcceptsStarts() {
		return
	}
	kept := s.queue[:0]
	for _, r := range s.queue {
		switch {
		case now > r.expires:
			s.finish(r, gypsumtide.EndNotStarted, 0, "expired")
		case !s.trusts(now, r.owner) || s.active[r.order.Ref.Task] > 1 || s.book.Len() >= maxRuns || !s.reserve(r):
			kept = append(kept, r)
		default:
			s.send(now, r)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}

// reserve books the capacity of a run, release ends the booking.
func (s *State) reserve(r *run) bool {
	if !s.book.Reserve(r.order.Ref, r.order.Size) {
		return false
	}
	o := s.owner(r.owner)
	o.booked = o.booked.Add(r.order.Size)
	return true
}

func (s *State) release(r *run) {
	if r.phase == phaseWaiting {
		return
	}
	s.book.Release(r.order.Ref)
	o := s.owner(r.owner)
	o.booked = o.booked.Sub(r.order.Size)
}

// requeue puts a run that the worker has not executed back into the queue.
func (s *State) requeue(r *run) {
	s.release(r)
	r.phase = phaseWaiting
	s.queue = append(s.queue, r)
	s.sortQueue()
}

// Recall returns an order that waits. It does not affect one that has been sent
// to the worker.
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

func (s *State) returnQueue(reason string) {
	for _, r := range s.queue {
		s.finish(r, gypsumtide.EndNotStarted, 0, reason)
	}
	s.queue = nil
}

func (s *State) expireQueue(now gypsumtide.Millis) {
	if s.stuck(now) {
		s.returnQueue("worker-silent")
		return
	}
	kept := s.queue[:0]
	for _, r := range s.queue {
		if now > r.expires {
			s.finish(r, gypsumtide.EndNotStarted, 0, "expired")
			continue
		}
		kept = append(kept, r)
	}
	clear(s.queue[len(kept):])
	s.queue = kept
}
