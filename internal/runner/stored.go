package runner

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// unrecordedEnd is an end of a stored job's run that the worker keeps listing until the
// owner has recorded it, or until the lease has expired if no entry will. If the end were
// acknowledged earlier, it would be lost with a crash of the owner, and the task would run
// again after its end.
type unrecordedEnd struct {
	ref gypsumtide.RunRef
	// owner is the entry that has to record the end, or "" if none will because the owner
	// has declined or is unknown.
	owner Owner
}

// retainEnd withholds the acknowledgement of an end if it is a conclusive end of a
// stored job's run, or of an unknown run that may be one. r is nil if the run is unknown.
func (s *State) retainEnd(e gypsumtide.RunEnd, r *run) {
	switch {
	case !e.Kind.Conclusive():
	case r != nil && r.order.Stored:
		s.unrecorded[e.Number] = unrecordedEnd{ref: e.Ref, owner: r.owner}
	case r == nil && s.mayBeStored():
		s.unrecorded[e.Number] = unrecordedEnd{ref: e.Ref}
	}
}

// mayBeStored reports whether an unknown run may belong to a stored job. Its order
// may have come from an earlier incarnation of the agent, or may have been meant
// for the worker's previous incarnation and executed late.
func (s *State) mayBeStored() bool {
	return !s.earlierRunsEnded && (!s.storedJobsMarkLoaded || s.storedJobsMarked)
}

// StoredJobsMarkLoaded processes the mark loaded from the worker store, which is set
// if the host may have run tasks of stored jobs. Without the mark, the ends of unknown
// runs that were retained in the meantime are acknowledged.
func (s *State) StoredJobsMarkLoaded(now gypsumtide.Millis, marked bool) {
	s.storedJobsMarkLoaded = true
	s.storedJobsMarked = s.storedJobsMarked || marked
	if s.storedJobsMarked {
		return
	}
	clear(s.unrecorded)
	s.updateAcknowledged()
	s.updateLeaseWithholding(now)
}

// StoredJobsMarkSaved records that the host's mark has been written to the worker store,
// so that the next incarnation of the agent expects runs of stored jobs.
func (s *State) StoredJobsMarkSaved() { s.storedJobsMarked = true }

// ReasonNotMarked means that the agent must first mark its host in the worker
// store as one that runs tasks of stored jobs.
const ReasonNotMarked = "not-marked"

// EndsRecorded acknowledges ends that their owner has recorded or need not record.
func (s *State) EndsRecorded(refs []gypsumtide.RunRef) {
	for _, ref := range refs {
		for n, e := range s.unrecorded {
			if e.ref == ref {
				delete(s.unrecorded, n)
			}
		}
	}
	s.updateAcknowledged()
}

// RecordsDeclined processes an owner's notice that it will not record ends.
func (s *State) RecordsDeclined(now gypsumtide.Millis, refs []gypsumtide.RunRef) {
	for _, ref := range refs {
		for n, e := range s.unrecorded {
			if e.ref == ref {
				s.unrecorded[n] = unrecordedEnd{ref: ref}
			}
		}
	}
	s.updateLeaseWithholding(now)
}

// UnrecordedEnds returns the runs whose ends an owner has not confirmed as recorded.
func (s *State) UnrecordedEnds(owner Owner) []gypsumtide.RunRef {
	var refs []gypsumtide.RunRef
	for _, e := range s.unrecorded {
		if e.owner == owner {
			refs = append(refs, e.ref)
		}
	}
	return refs
}

// HasUnrecordedEnds reports whether any end has not been recorded yet.
func (s *State) HasUnrecordedEnds() bool { return len(s.unrecorded) > 0 }

// updateAcknowledged allows the worker to discard the ends before the first
// unrecorded one.
func (s *State) updateAcknowledged() {
	s.acknowledged = s.processed
	for n := range s.unrecorded {
		s.acknowledged = min(s.acknowledged, n-1)
	}
}

// updateLeaseWithholding lets the worker's lease expire while there are ends that no
// entry will record. Their tasks will run again on other hosts, which is permitted
// only if the lease expires before the ends are acknowledged. Until then no run is
// started and the lease is not renewed.
func (s *State) updateLeaseWithholding(now gypsumtide.Millis) {
	abandoned := 0
	for _, e := range s.unrecorded {
		if s.abandoned(now, e) {
			abandoned++
		}
	}
	if (abandoned > 0) != s.withholdLease {
		s.withholdLease = abandoned > 0
		s.log.Decision("lease-withheld", "life", s.incarnation, "abandoned-ends", abandoned, "withheld", s.withholdLease)
	}
	if !s.withholdLease || !s.leaseExpired(now) {
		return
	}
	for n, e := range s.unrecorded {
		if s.abandoned(now, e) {
			s.log.Decision("end-dropped", "run", e.ref, "number", n, "owner", e.owner)
			delete(s.unrecorded, n)
		}
	}
	s.withholdLease = false
	s.updateAcknowledged()
}

// abandoned reports whether no entry will record an end: the owner is unknown, has
// declined it, or has been disconnected for so long that it retries the task on another
// host.
func (s *State) abandoned(now gypsumtide.Millis, e unrecordedEnd) bool {
	o, ok := s.owners[e.owner]
	return !ok || s.ownerLost(now, o)
}

// leaseExpired reports whether the worker's lease must have expired, even if the worker's
// clock is slow.
func (s *State) leaseExpired(now gypsumtide.Millis) bool { return s.leaseOver(now, s.leaseRenewedAt) }

// leaseOver reports whether a lease that was last renewed at renewedAt must have expired.
func (s *State) leaseOver(now, renewedAt gypsumtide.Millis) bool {
	return now-renewedAt >= s.timing.Lease+s.timing.Lease/20+leaseMargin
}

// resumeMessage returns what is sent to an owner at the start of a session.
func (s *State) resumeMessage(owner Owner, complete bool) *wire.Resume {
	return &wire.Resume{Held: s.RunsOf(owner), Complete: complete, Unrecorded: s.UnrecordedEnds(owner)}
}
