package dispatch

import "gypsumtide"

// SetEvacuations replaces the set of evacuated availability zones if e is newer. Workers in
// evacuated zones get no orders from now on. Orders that wait there are returned by their
// agents, and runs end there. Workers of a zone whose evacuation has ended are used again by
// a slow start.
func (s *State) SetEvacuations(now gypsumtide.Millis, e gypsumtide.Evacuations) {
	if !e.Newer(s.evacuations) {
		return
	}
	before := s.evacuations
	s.evacuations, s.slowStartNow = e, now
	for _, zone := range e.Zones {
		delete(s.slowStarts, zone)
		if !before.Contains(zone) {
			s.log.Decision("zone-excluded", "zone", zone, "version", e.Version, "workers", s.workersIn(zone))
		}
	}
	for _, zone := range before.Zones {
		if !e.Contains(zone) {
			s.slowStarts[zone] = now
			s.log.Decision("zone-included", "zone", zone, "version", e.Version, "workers", s.workersIn(zone))
		}
	}
	for _, w := range s.workerList {
		s.updateEvacuated(now, w)
	}
}

// Evacuations returns the newest set of evacuated availability zones.
func (s *State) Evacuations() gypsumtide.Evacuations { return s.evacuations }

// workersIn returns the number of connected workers in a zone.
func (s *State) workersIn(zone string) int {
	n := 0
	for _, w := range s.workerList {
		if w.connected && w.report.Zone == zone {
			n++
		}
	}
	return n
}

// updateEvacuated sets whether a worker's zone is evacuated, and the share of the worker
// that is used. An agent may know a newer set than this entry.
func (s *State) updateEvacuated(now gypsumtide.Millis, w *worker) {
	if w.evacuated {
		s.evacuatedWorkers--
	}
	w.evacuated = s.evacuations.Contains(w.report.Zone) || w.report.ZoneEvacuated && w.report.EvacuationsVersion > s.evacuations.Version
	if w.evacuated {
		s.evacuatedWorkers++
	}
	s.updateShare(now, w)
}

// agentsSettleTime is the time after the start of an entry in which agents of all zones
// connect. An agent without enough sessions dials again after 320 ms at most.
const agentsSettleTime gypsumtide.Millis = 450

// unservable reports whether a task of the job has to be started and cannot be, because all
// workers that take such tasks are in evacuated zones.
func (s *State) unservable(now gypsumtide.Millis, j *job) bool {
	if s.evacuatedWorkers == 0 || now-s.startedAt < agentsSettleTime {
		return false
	}
	checked := -1
	for _, t := range j.tasks {
		if t.step == checked || t.phase != taskReady && t.phase != taskBlocked {
			continue
		}
		checked = t.step
		if s.onlyInEvacuatedZones(j, t.step) {
			return true
		}
	}
	return false
}

// onlyInEvacuatedZones reports whether tasks of the step suit known workers, and all of them
// are in evacuated zones. A worker in another zone counts even if it is disconnected or accepts
// no orders at present, and so does one that has not described itself yet.
func (s *State) onlyInEvacuatedZones(j *job, step int) bool {
	found := false
	for _, w := range s.workerList {
		switch {
		case w.evacuated:
			found = found || w.suits(j.route.Service, &j.steps[step])
		case w.report.Service == "", w.suits(j.route.Service, &j.steps[step]):
			return false
		}
	}
	return found
}

// endUnservable ends an ephemeral job that no zone can serve: a job that has not started is
// refused, another one is aborted. Neither stops runs that have started or may have, so it
// waits for their end. It reports whether the job must not be placed.
func (s *State) endUnservable(now gypsumtide.Millis, j *job) bool {
	if j.stored || !s.unservable(now, j) {
		return false
	}
	for _, t := range j.tasks {
		if t.phase == taskOrdered || t.phase == taskRunning {
			return true
		}
	}
	if j.started {
		s.abort(now, j, reasonZoneEvacuated)
		return true
	}
	s.refuseJob(now, j, reasonZoneEvacuated)
	return true
}

// reasonZoneEvacuated is the reason of the answer to a job that only workers in evacuated
// zones could serve.
const reasonZoneEvacuated = "availability zone evacuated"

// evacuationRefusal returns the answer for such a job on its arrival.
func (s *State) evacuationRefusal(j *job) Answer {
	a := s.refusal(j, false)
	a.Reason = reasonZoneEvacuated
	return a
}
