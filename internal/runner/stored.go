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

// mayBeStored reports whether an unknown run may be one of a stored job: an order
// of an earlier incarnation of the agent, or one for the life before that the
// worker carried out late.
func (s *State) mayBeStored() bool { return !s.settled && (!s.remembered || s.marked) }

// MarkLoaded takes whether the memory tells of stored jobs. If it does not, ends
// that were kept in case it would are acknowledged.
func (s *State) MarkLoaded(now gypsumtide.Millis, marked bool) {
	s.remembered = true
	s.marked = s.marked || marked
	if s.marked {
		return
	}
	clear(s.unrecorded)
	s.acknowledge()
	s.updateLapse(now)
}

// MarkSaved notes that the memory tells the next incarnation of stored jobs.
func (s *State) MarkSaved() { s.marked = true }

// ReasonNotMarked means that the agent has to note in its memory first that its
// worker is given tasks of stored jobs.
const ReasonNotMarked = "not-marked"

// EndsRecorded takes that an owner has recorded ends.
func (s *State) EndsRecorded(refs []gypsumtide.RunRef) {
	for _, ref := range refs {
		for n, e := range s.unrecorded {
			if e.ref == ref {
				delete(s.unrecorded, n)
			}
		}
	}
	s.acknowledge()
}

// RecordsDeclined takes that an owner will not record ends.
func (s *State) RecordsDeclined(now gypsumtide.Millis, refs []gypsumtide.RunRef) {
	for _, ref := range refs {
		for n, e := range s.unrecorded {
			if e.ref == ref {
				s.unrecorded[n] = pendingEnd{ref: ref}
			}
		}
	}
	s.updateLapse(now)
}

// UnrecordedEnds returns the ends that an owner has not confirmed.
func (s *State) UnrecordedEnds(owner Owner) []gypsumtide.RunRef {
	var refs []gypsumtide.RunRef
	for _, e := range s.unrecorded {
		if e.owner == owner {
			refs = append(refs, e.ref)
		}
	}
	return refs
}

// HasUnrecordedEnds reports whether an end waits to be recorded.
func (s *State) HasUnrecordedEnds() bool { return len(s.unrecorded) > 0 }

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
	return &wire.Resume{Held: s.RunsOf(owner), Complete: complete, Unrecorded: s.UnrecordedEnds(owner)}
}
