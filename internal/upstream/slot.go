package upstream

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/chart"
	"gypsumtide/internal/wire"
)

// Slot is the right to run one task at an upstream. Its owner releases it once.
type Slot struct {
	registry *Registry
	entry    *entry
	class    gypsumtide.Class
	name     string
	url      string
	lease    uint64
	client   *client
}

// ShortReserveWindow is the time after the last short task for which slots are kept
// free of long ones. An agent or pool without short work uses all its slots.
const ShortReserveWindow gypsumtide.Millis = 5_000

// SetReserveShort changes the percentage of slots that long tasks may not use.
func (r *Registry) SetReserveShort(percent int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.ReserveShort = percent
}

// Upstream returns the name of the upstream.
func (s *Slot) Upstream() string { return s.name }

// Serves reports whether an upstream with a valid lease that is not leaving serves the service.
func (r *Registry) Serves(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	for _, e := range r.upstreams {
		if e.offers(service, now) {
			return true
		}
	}
	return false
}

// Acquire returns a slot at the upstream with the most free slots, or nil. An
// ejected upstream is used only if no other one serves the service: the entry
// decides which share of a pool may be ejected, so a task that it sends here
// is run.
func (r *Registry) Acquire(service string, class gypsumtide.Class) *Slot {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if class == gypsumtide.ClassShort {
		r.shortAt = now
	}
	var best *entry
	bestFree, healthy := 0, false
	for _, e := range r.upstreams {
		if !e.offers(service, now) {
			continue
		}
		state := e.health.stateAt(now)
		if ok := state != healthEjected; ok != healthy {
			if healthy {
				continue
			}
			// The first one that is not ejected displaces the ejected ones, free or not.
			best, bestFree, healthy = nil, 0, true
		}
		if free := r.free(e, class, state, now); free > bestFree {
			best, bestFree = e, free
		}
	}
	if best == nil {
		return nil
	}
	best.running++
	if class == gypsumtide.ClassLong {
		best.runningLong++
	}
	return &Slot{registry: r, entry: best, class: class, name: best.Name, url: best.URL, lease: best.lease, client: best.client}
}

func (e *entry) offers(service string, now gypsumtide.Millis) bool {
	return !e.leaving && now < e.expires && slices.Contains(e.Services, service)
}

// free returns how many more tasks of the class may start.
func (r *Registry) free(e *entry, class gypsumtide.Class, state chart.State, now gypsumtide.Millis) int {
	slots := min(e.Slots, e.Connections)
	if state == healthProbing {
		// A probe is one task at a time.
		return min(slots, 1) - e.running
	}
	free := slots - e.running
	if class == gypsumtide.ClassLong && r.shortAt > 0 && now-r.shortAt < ShortReserveWindow {
		reserved := slots * r.cfg.ReserveShort / 100
		free = min(free, slots-reserved-e.runningLong)
		// The reserved slots stay free, but long work keeps a quarter.
		free = min(free, max(slots-reserved-e.running, max(1, slots/4)-e.runningLong))
	}
	return free
}

// Release frees the slot and records the result for the health of the upstream.
func (s *Slot) Release(result wire.Result) {
	r := s.registry
	r.mu.Lock()
	e := s.entry
	e.running--
	if s.class == gypsumtide.ClassLong {
		e.runningLong--
	}
	changed := e.health.observe(r.clock.Now(), failed(result))
	leaves := e.leaving && e.running == 0
	if leaves {
		r.sweep()
	}
	r.mu.Unlock()
	if changed || leaves {
		r.changed()
	}
}

// Cancel frees a slot whose task was not sent.
func (s *Slot) Cancel() {
	r := s.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	s.entry.running--
	if s.class == gypsumtide.ClassLong {
		s.entry.runningLong--
	}
}

// failed reports whether the result counts against the upstream.
func failed(result wire.Result) bool {
	return result.State != wire.TaskDone || result.Status >= 500
}
