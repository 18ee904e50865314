package runner

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// pendingEnd is an end of a stored job's run that the worker keeps in its list
// until the owner has recorded it. If the end were acknowledged first, the loss
// of the owner would lose it, and the task would run again after its end.
type pendingEnd struct {
	ref gypsumtide.RunRef
	// owner is empty if nobody will record the end.
	owner Owner
}

// keepEnd keeps a conclusive end of a stored job's run unacknowledged.
func (s *State) keepEnd(e gypsumtide.RunEnd, r *run) {
	switch {
	case !e.Kind.Conclusive():
	case r != nil && r.order.Stored:
		s.unrecorded[e.Number] = pendingEnd{ref: e.Ref, owner: r.owner}
	case r == nil && s.mayBeStored():
		s.unrecorded[e.Number] = pendingEnd{ref: e.Ref}
	}
}

// mayBeStored reports whether an unknown run may be one of a stored job, started
// by an earlier incarnation of the agent in the current life of the worker.
func (s *State) mayBeStored() bool {
	switch {
	case s.settled:
		return false
	case s.memory == nil:
		return s.life == s.firstLife
	}
	return s.memory.Stored && s.memory.Life == s.life
}

// Remembered takes what the earlier incarnation of the agent has left in memory.
func (s *State) Remembered(info gypsumtide.WorkerInfo) {
	s.memory = &info
	if info.Stored {
		s.marked = info.Life
	}
}

// Marked notes that the memory tells the next incarnation of stored runs in the life.
func (s *State) Marked(life gypsumtide.Life) { s.marked = life }

// Memorable returns what is to be remembered of the worker.
func (s *State) Memorable(info gypsumtide.WorkerInfo) gypsumtide.WorkerInfo {
	info.Stored = info.Life == s.marking || info.Life == s.marked
	return info
}

// ReasonNotMarked means that the agent has to note in its memory first that the
// worker has runs of stored jobs.
const ReasonNotMarked = "not-marked"

// mark asks for the note that allows the runs of stored jobs.
func (s *State) mark() {
	if s.marking != s.life {
		s.marking = s.life
		info := s.Memorable(s.info)
		s.effects.Mark = &info
	}
}

// Recorded takes that an owner has recorded ends.
func (s *State) Recorded(refs []gypsumtide.RunRef) {
	for _, ref := range refs {
		for n, e := range s.unrecorded {
			if e.ref == ref {
				delete(s.unrecorded, n)
			}
		}
	}
	s.acknowledge()
}

// Disowned takes that an owner will not record ends.
func (s *State) Disowned(now gypsumtide.Millis, refs []gypsumtide.RunRef) {
	for _, ref := range refs {
		for n, e := range s.unrecorded {
			if e.ref == ref {
				s.unrecorded[n] = pendingEnd{ref: ref}
			}
		}
	}
	s.updateLapse(now)
}

// Unrecorded returns the ends that an owner has not confirmed.
func (s *State) Unrecorded(owner Owner) []gypsumtide.RunRef {
	var refs []gypsumtide.RunRef
	for _, e := range s.unrecorded {
		if e.owner == owner {
			refs = append(refs, e.ref)
		}
	}
	return refs
}

// Unsettled reports whether an end waits to be recorded.
func (s *State) Unsettled() bool { return len(s.unrecorded) > 0 }

// acknowledge lets the worker forget the ends before the first unrecorded one.
func (s *State) acknowledge() {
	s.acknowledged = s.processed
	for n := range s.unrecorded {
		s.acknowledged = min(s.acknowledged, n-1)
	}
}

// updateLapse lets the worker's lease expire while it holds ends that nobody will
// record: their tasks will run again elsewhere, which is permitted only if the
// lease has expired before the ends are acknowledged. Until then nothing is
// started and no lease is renewed.
func (s *State) updateLapse(now gypsumtide.Millis) {
	abandoned := 0
	for _, e := range s.unrecorded {
		if s.abandoned(now, e) {
			abandoned++
		}
	}
	if (abandoned > 0) != s.lapsing {
		s.lapsing = abandoned > 0
		s.log.Decision("lease-withheld", "life", s.life, "abandoned-ends", abandoned, "withheld", s.lapsing)
	}
	if !s.lapsing || !s.leaseOver(now) {
		return
	}
	for n, e := range s.unrecorded {
		if s.abandoned(now, e) {
			s.log.Decision("end-dropped", "run", e.ref, "number", n, "owner", e.owner)
			delete(s.unrecorded, n)
		}
	}
	s.lapsing = false
	s.acknowledge()
}

// abandoned reports whether nobody will record an end: the owner has said so, or
// it has been away for so long that it tries the task elsewhere.
func (s *State) abandoned(now gypsumtide.Millis, e pendingEnd) bool {
	o, ok := s.owners[e.owner]
	return !ok || !o.attached && now-o.lostAt >= s.timing.OwnerGrace
}

// leaseOver reports whether every lease that was renewed here has expired.
func (s *State) leaseOver(now gypsumtide.Millis) bool {
	return now-s.leased >= s.timing.Lease+s.timing.Lease/20+leaseMargin
}

// resume lists what an owner needs to know at the start of a session.
func (s *State) resume(owner Owner, complete bool) *wire.Resume {
	return &wire.Resume{Held: s.Held(owner), Complete: complete, Unrecorded: s.Unrecorded(owner)}
}
