package dispatch

import "gypsumtide"

// SetEvacuations replaces the set of evacuated availability zones if e is newer.
func (s *State) SetEvacuations(_ gypsumtide.Millis, e gypsumtide.Evacuations) {
	if e.Newer(s.evacuations) {
		s.evacuations = e
	}
}
