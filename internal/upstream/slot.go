package upstream

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/chart"
	"gypsumtide/internal/wire"
)

// Slot permits its owner to run one task at an upstream. The owner must call either
// Release or Cancel once.
type Slot struct {
	registry     *Registry
	registration *registration
	class        gypsumtide.Class
	name         string
	url          string
	generation   uint64
	client       *client
}

// ShortReserveWindow is the time after the last short task for which slots are
// reserved for short tasks. Without short tasks, long tasks may use all slots of an
// agent or pool.
const ShortReserveWindow gypsumtide.Millis = 5_000

// SetReserveShortPercent sets Config.ReserveShortPercent.
func (r *Registry) SetReserveShortPercent(percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.ReserveShortPercent = percent
}

// Upstream returns the name of the upstream.
func (s *Slot) Upstream() string { return s.name }

// Serves reports whether an upstream with a valid lease that is not leaving provides
// the service.
func (r *Registry) Serves(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, reg := range r.upstreams {
		if reg.accepts(service, now) {
			return true
		}
	}
	return false
}

// Acquire returns a slot at the upstream with the most free slots, or nil if no slot
// is free. An ejected upstream is used only if no other upstream provides the
// service, even if the others have no free slot. A task for an ejected upstream must not
// be refused here: the home limits the share of a pool that may be ejected, so it may
// send tasks to such an upstream.
func (r *Registry) Acquire(service string, class gypsumtide.Class) *Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if class == gypsumtide.ClassShort {
		r.lastShortAt = now
	}
	var best *registration
	bestFree, healthy := 0, false
	for _, reg := range r.upstreams {
		if !reg.accepts(service, now) {
			continue
		}
		state := reg.health.stateAt(now)
		if notEjected := state != stateEjected; notEjected != healthy {
			if healthy {
				continue
			}
			// The first upstream that is not ejected rules out the ejected ones, even if it
			// has no free slot.
			best, bestFree, healthy = nil, 0, true
		}
		if free := r.freeSlots(reg, class, state, now); free > bestFree {
			best, bestFree = reg, free
		}
	}
	if best == nil {
		return nil
	}
	best.running++
	if class == gypsumtide.ClassLong {
		best.runningLong++
	}
	return &Slot{registry: r, registration: best, class: class, name: best.Name, url: best.URL, generation: best.generation, client: best.client}
}

// accepts reports whether tasks of the service may start at the upstream.
func (reg *registration) accepts(service string, now gypsumtide.Millis) bool {
	return !reg.leaving && now < reg.expiresAt && slices.Contains(reg.Services, service)
}

// freeSlots returns the number of tasks of the class that may start in addition to
// the running ones. It can be negative.
func (r *Registry) freeSlots(reg *registration, class gypsumtide.Class, state chart.State, now gypsumtide.Millis) int {
	slots := min(reg.Slots, reg.Connections)
	if state == stateProbing {
		// Probes run one at a time.
		return min(slots, 1) - reg.running
	}
	free := slots - reg.running
	if class == gypsumtide.ClassLong && r.lastShortAt > 0 && now-r.lastShortAt < ShortReserveWindow {
		reserved := slots * r.cfg.ReserveShortPercent / 100
		// Long tasks use at most the slots that are not reserved.
		free = min(free, slots-reserved-reg.runningLong)
		// A long task also leaves as many slots unused as are reserved. Long tasks on up to
		// a quarter of all slots, and at least on one, are exempt.
		free = min(free, max(slots-reserved-reg.running, max(1, slots/4)-reg.runningLong))
	}
	return free
}

// Release frees the slot and records the result, which can eject the upstream or end
// its ejection.
func (s *Slot) Release(result wire.Result) {
	r := s.registry
	r.mu.Lock()
	reg := s.registration
	reg.running--
	if s.class == gypsumtide.ClassLong {
		reg.runningLong--
	}
	changed := reg.health.observe(r.clock.Now(), isFailure(result))
	hasLeft := reg.leaving && reg.running == 0
	if hasLeft {
		r.removeInactive()
	}
	r.mu.Unlock()
	if changed || hasLeft {
		r.onChange()
	}
}

// Cancel frees the slot of a task that was not sent.
func (s *Slot) Cancel() {
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	s.registration.running--
	if s.class == gypsumtide.ClassLong {
		s.registration.runningLong--
	}
}

// isFailure reports whether the result counts as a failure of the upstream.
func isFailure(result wire.Result) bool {
	return result.State != wire.TaskDone || result.Status >= 500
}
