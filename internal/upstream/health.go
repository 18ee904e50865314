package upstream

import "gypsumtide"

// HealthConfig controls the ejection of an upstream.
type HealthConfig struct {
	// Window is the time over which results count.
	Window gypsumtide.Millis
	// MinResults is the number of results below which nothing is ejected.
	MinResults int
	// FailurePercent is the share of failures at which an upstream is ejected.
	FailurePercent int
	// BackOff is the time until the first probe. It doubles with each failed probe up to MaxBackOff.
	BackOff    gypsumtide.Millis
	MaxBackOff gypsumtide.Millis
	// Probes is the number of successive good probes after which an upstream returns.
	Probes int
}

// DefaultHealth returns the default ejection settings.
func DefaultHealth() HealthConfig {
	return HealthConfig{Window: 5000, MinResults: 8, FailurePercent: 80, BackOff: 1000, MaxBackOff: 30_000, Probes: 3}
}

type healthState uint8

const (
	healthActive healthState = iota
	healthEjected
	healthProbing
)

// maxSamples bounds the window in memory; older results drop out first.
const maxSamples = 64

type sample struct {
	at     gypsumtide.Millis
	failed bool
}

// health is the failure state of one upstream. Active leads to ejected by the
// failure rate, ejected to probing by time, and probing to active or ejected by
// the probes.
type health struct {
	cfg     HealthConfig
	state   healthState
	samples []sample
	backOff gypsumtide.Millis
	until   gypsumtide.Millis
	good    int
}

func newHealth(cfg HealthConfig) *health {
	return &health{cfg: cfg, backOff: cfg.BackOff}
}

// stateAt moves from ejected to probing once the back-off has passed.
func (h *health) stateAt(now gypsumtide.Millis) healthState {
	if h.state == healthEjected && now >= h.until {
		h.state, h.good = healthProbing, 0
	}
	return h.state
}

// observe records a result and reports whether the state changed.
func (h *health) observe(now gypsumtide.Millis, failed bool) bool {
	switch h.stateAt(now) {
	case healthProbing:
		return h.probe(now, failed)
	case healthEjected:
		// Tasks that started before the ejection prove nothing about a return.
		return false
	}
	h.samples = append(h.samples, sample{at: now, failed: failed})
	for len(h.samples) > maxSamples || now-h.samples[0].at > h.cfg.Window {
		h.samples = h.samples[1:]
	}
	bad := 0
	for _, s := range h.samples {
		if s.failed {
			bad++
		}
	}
	if len(h.samples) < h.cfg.MinResults || bad*100 < h.cfg.FailurePercent*len(h.samples) {
		return false
	}
	h.eject(now)
	return true
}

func (h *health) probe(now gypsumtide.Millis, failed bool) bool {
	if failed {
		h.backOff = min(2*h.backOff, h.cfg.MaxBackOff)
		h.eject(now)
		return true
	}
	h.good++
	if h.good < h.cfg.Probes {
		return false
	}
	h.state, h.backOff = healthActive, h.cfg.BackOff
	return true
}

func (h *health) eject(now gypsumtide.Millis) {
	h.state, h.until, h.samples = healthEjected, now+h.backOff, nil
}
