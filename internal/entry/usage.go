package entry

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recordUsage takes the use of shared quotas at another home.
func (h *home) recordUsage(from string, usage []wire.TeamUsage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quotas.Report(from, usage, h.clock.Now())
}

// usage returns what this home reports to the others.
func (h *home) usage(now gypsumtide.Millis) []wire.TeamUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quotas.Usage(now)
}
