package entry

import "gypsumtide/internal/wire"

// reportUsage takes the use of shared quotas at another home.
func (h *home) reportUsage(from string, usage []wire.TeamUsage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quotas.Report(from, usage, h.clock.Now())
}
