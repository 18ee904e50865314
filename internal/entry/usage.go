package entry

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recordUsage records the usage of shared quotas that another home reported. It ignores the
// teams whose usage is out of range, and logs the first such report.
func (h *home) recordUsage(from string, usage []wire.TeamUsage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	usage, err := validUsage(usage)
	if err != nil && !h.oddUsageLogged {
		h.oddUsageLogged = true
		h.log.Error(err, "reported usage ignored", "home", from)
	}
	h.quotas.ApplyReport(from, usage, h.clock.Now())
}

// usage returns the usage of shared quotas at this home, for the other homes.
func (h *home) usage(now gypsumtide.Millis) []wire.TeamUsage {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quotas.NextReport(now)
}
