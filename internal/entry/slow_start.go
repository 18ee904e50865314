package entry

import (
	"slices"

	"gypsumtide"
	"gypsumtide/internal/placement"
	"gypsumtide/internal/wire"
)

// updateSlowStarts sets the number of slots that the placement uses at the agents of zones
// whose evacuation has ended recently. Admission counts all their slots, since otherwise jobs
// would be refused while agents are idle. An agent is used fully if agents of other zones
// serve none of its services.
func (h *home) updateSlowStarts(now gypsumtide.Millis) {
	if len(h.slowStarts) == 0 {
		return
	}
	elsewhere := h.servicesOutsideSlowStarts()
	changed := false
	for _, c := range h.agents {
		begin, ok := h.slowStarts[c.record.Zone]
		if !ok {
			continue
		}
		slots := c.slots
		if slots > 0 && c.servesAny(elsewhere) {
			slots = max(1, int(placement.SlowStartShare(now-begin)*float64(slots)))
		}
		if slots != c.view.Slots() {
			c.view.SetSlots(slots, 0)
			changed = true
		}
	}
	for zone, begin := range h.slowStarts {
		if now-begin >= placement.SlowStartTime {
			delete(h.slowStarts, zone)
		}
	}
	if changed {
		h.invalidateServiceAgents()
	}
}

// servicesOutsideSlowStarts returns the services of the agents that are used fully.
func (h *home) servicesOutsideSlowStarts() map[string]bool {
	services := make(map[string]bool)
	for _, c := range h.agents {
		if _, ok := h.slowStarts[c.record.Zone]; ok || c.evacuated || c.session == nil || c.draining {
			continue
		}
		for _, u := range c.upstreams {
			for _, service := range u.Services {
				services[service] = services[service] || !u.Leaving && u.Slots > 0
			}
		}
	}
	return services
}

// servesAny reports whether an upstream of the agent provides one of the services.
func (c *agentConn) servesAny(services map[string]bool) bool {
	return slices.ContainsFunc(c.upstreams, func(u wire.Upstream) bool {
		return slices.ContainsFunc(u.Services, func(s string) bool { return services[s] })
	})
}
