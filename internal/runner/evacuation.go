package runner

import "gypsumtide"

// ReasonZoneEvacuated means that the worker's availability zone is evacuated.
const ReasonZoneEvacuated = "zone-evacuated"

// SetEvacuations replaces the set of evacuated availability zones if e is newer. The set
// belongs to no session: it stays when the one that brought it ends.
func (s *State) SetEvacuations(e gypsumtide.Evacuations) {
	if !e.Newer(s.evacuations) {
		return
	}
	s.evacuations = e
	s.updateStartsBlocked()
}

// Evacuations returns the newest set of evacuated availability zones.
func (s *State) Evacuations() gypsumtide.Evacuations { return s.evacuations }

// StartsBlocked reports whether no run may start because the worker's availability zone is
// evacuated.
func (s *State) StartsBlocked() bool { return s.startsBlocked }

// updateStartsBlocked blocks starts if the worker's zone is evacuated, and returns the
// waiting orders, or unblocks them. It is called when the set or the worker changes. Between
// two incarnations of the worker the zone of the former one counts, since calls to it may
// remain.
func (s *State) updateStartsBlocked() {
	blocked := s.evacuations.Contains(s.info.Zone)
	if blocked == s.startsBlocked {
		return
	}
	s.startsBlocked = blocked
	if blocked {
		s.log.Decision("starts-blocked", "zone", s.info.Zone, "version", s.evacuations.Version, "life", s.incarnation,
			"waiting", len(s.queue), "running", s.Running())
		s.returnQueue(ReasonZoneEvacuated)
		return
	}
	s.log.Decision("starts-unblocked", "zone", s.info.Zone, "version", s.evacuations.Version, "life", s.incarnation)
}

// ReturnBlockedStart returns the order of a start call that has not been sent yet, and reports
// true, if starts are blocked. The call must not be sent then. Calls may wait for their turn
// while the worker answers slowly.
func (s *State) ReturnBlockedStart(call StartCall) bool {
	if !s.startsBlocked {
		return false
	}
	r, ok := s.runs[call.Order.Ref]
	if ok && r.phase == phaseSent && r.fence == call.Order.Fence && r.incarnation == call.Incarnation {
		s.finish(r, gypsumtide.EndNotStarted, 0, ReasonZoneEvacuated)
	}
	return true
}

// evacuationsVersion returns the version of the set if it names a zone, and otherwise 0.
func (s *State) evacuationsVersion() uint64 {
	if len(s.evacuations.Zones) == 0 {
		return 0
	}
	return s.evacuations.Version
}
