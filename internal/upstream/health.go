package upstream

import (
	"gypsumtide"
	"gypsumtide/internal/chart"
)

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

// The states and events of the upstream chart that an announced upstream takes
// by its results. Whether it leaves is kept apart, since an upstream that
// announces itself again must not lose its ejection.
var (
	healthActive  = chart.Upstream.MustState("serving")
	healthEjected = chart.Upstream.MustState("ejected")
	healthProbing = chart.Upstream.MustState("probing")

	healthEject = chart.Upstream.MustEvent("eject")
	healthProbe = chart.Upstream.MustEvent("probe")
	healthFail  = chart.Upstream.MustEvent("fail")
	healthPass  = chart.Upstream.MustEvent("pass")
)

// maxSamples bounds the window in memory; older results drop out first.
const maxSamples = 64

type sample struct {
	at     gypsumtide.Millis
	failed bool
}

// health is the failure state of one upstream. The failure rate ejects it, time
// leads to probing, and the probes decide whether it serves again.
type health struct {
	cfg     HealthConfig
	state   chart.State
	samples []sample
	backOff gypsumtide.Millis
	until   gypsumtide.Millis
	good    int
}

func newHealth(cfg HealthConfig) *health {
	return &health{cfg: cfg, state: healthActive, backOff: cfg.BackOff}
}

// stateAt moves from ejected to probing once the back-off has passed.
func (h *health) stateAt(now gypsumtide.Millis) chart.State {
	if h.state == healthEjected && now >= h.until {
		h.fire(healthProbe)
		h.good = 0
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
	h.eject(healthEject, now)
	return true
}

func (h *health) probe(now gypsumtide.Millis, failed bool) bool {
	if failed {
		h.backOff = min(2*h.backOff, h.cfg.MaxBackOff)
		h.eject(healthFail, now)
		return true
	}
	h.good++
	if h.good < h.cfg.Probes {
		return false
	}
	h.fire(healthPass)
	h.backOff = h.cfg.BackOff
	return true
}

func (h *health) eject(e chart.Event, now gypsumtide.Millis) {
	h.fire(e)
	h.until, h.samples = now+h.backOff, nil
}

func (h *health) fire(e chart.Event) { h.state, _ = chart.Upstream.Step(h.state, e) }
