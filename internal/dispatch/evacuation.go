package dispatch

import (
	"slices"

	"gypsumtide"
)

// SetEvacuations replaces the set of evacuated availability zones, unless e has a lower
// version. A set of the same version with other zones is a correction. Workers in
// evacuated zones get no orders from now on. Orders that wait there are returned by their
// agents, and runs end there. Workers of a zone whose evacuation has ended are used again by
// a slow start.
func (s *State) SetEvacuations(now gypsumtide.Millis, e gypsumtide.Evacuations) {
	before := s.evacuations
	if before.Newer(e) || !e.Newer(before) && e.SameZones(before) {
		return
	}
	s.evacuations = e
	for _, zone := range e.Zones {
		if !before.Contains(zone) {
			s.log.Decision("zone-excluded", "zone", zone, "version", e.Version, "workers", s.workersIn(zone))
		}
	}
	for _, zone := range before.Zones {
		if !e.Contains(zone) {
			s.log.Decision("zone-included", "zone", zone, "version", e.Version, "workers", s.workersIn(zone))
		}
	}
	for _, w := range s.workerList {
		s.updateEvacuation(now, w)
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

// updateEvacuation updates whether a worker's zone is evacuated. An agent may know a newer set
// than this entry. The slow start begins once neither this entry nor the agent counts the
// zone as evacuated any more.
func (s *State) updateEvacuation(now gypsumtide.Millis, w *worker) {
	s.setEvacuated(w, s.evacuations.Contains(w.report.Zone) || w.report.ZoneEvacuated && w.report.EvacuationsVersion > s.evacuations.Version)
	before := w.startsBlocked
	w.startsBlocked = w.evacuated || w.report.ZoneEvacuated
	switch {
	case w.startsBlocked:
		s.endSlowStart(w)
	case before:
		s.beginSlowStart(now, w)
	}
}

func (s *State) setEvacuated(w *worker, evacuated bool) {
	if w.evacuated {
		s.evacuatedWorkers--
	}
	w.evacuated = evacuated
	if evacuated {
		s.evacuatedWorkers++
	}
}

// agentsSettleTime is the time in which agents of all zones connect and describe their
// workers, after the first of them has connected. It is the same as after the start of an
// entry: after a loss of power the hosts return over one to two seconds.
const agentsSettleTime = startupGrace

// hasAgents reports whether any agent is connected.
func (s *State) hasAgents() bool {
	return slices.ContainsFunc(s.workerList, func(w *worker) bool { return w.connected })
}

// unservable reports whether a task of the job has to be started and cannot be, because all
// workers that take such tasks are in evacuated zones. It is not known until the agents have
// had time to connect.
func (s *State) unservable(now gypsumtide.Millis, j *job) bool {
	if s.evacuatedWorkers == 0 || now-s.agentsSince < agentsSettleTime || !s.hasAgents() {
		return false
	}
	checked := -1
	for _, t := range j.tasks {
		if t.step == checked || t.phase != taskReady && t.phase != taskBlocked {
			continue
		}
		checked = t.step
		if s.onlyInEvacuatedZones(now, j, t.step) {
			return true
		}
	}
	return false
}

// onlyInEvacuatedZones reports whether tasks of the step suit known workers, and all of them
// are in evacuated zones. A worker in another zone counts even if it is disconnected or accepts
// no orders at present, and so does for a while one that its agent has not heard from yet.
func (s *State) onlyInEvacuatedZones(now gypsumtide.Millis, j *job, step int) bool {
	found := false
	for _, w := range s.workerList {
		switch {
		case w.evacuated:
			found = found || w.suits(j.route.Service, &j.steps[step])
		case w.report.Service == "" && now < w.awaitedUntil, w.suits(j.route.Service, &j.steps[step]):
			return false
		}
	}
	return found
}

// endUnservable ends an ephemeral job that no zone can serve: a job of which nothing has run is
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
	if j.mayHaveRun {
		s.abort(now, j, reasonZoneEvacuated)
		return true
	}
	s.refuseJob(now, j, reasonZoneEvacuated)
	return true
}

// reasonZoneEvacuated is the reason of the answer to a job that only workers in evacuated
// zones could serve.
const reasonZoneEvacuated = "availability zone evacuated"
