package entry

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recordUsage records the usage of shared quotas that another home reported.
func (h *home) recordUsage(from string, usage []wire.TeamUsage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quotas.ApplyReport(from, usage, h.clock.Now())
}

// usage returns the usage of shared quotas at this home, for the other homes.
func (h *home) usage(now gypsumtide.Millis) []wire.TeamUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quotas.NextReport(now)
}
