package upstream

import (
	"gypsumtide"
	"gypsumtide/internal/chart"
)

// HealthConfig controls the ejection of an upstream.
type HealthConfig struct {
	// Window is the age up to which results count.
	Window gypsumtide.Millis
	// MinResults is the number of results that is needed to eject a serving upstream.
	MinResults int
	// FailurePercent is the percentage of failures at or above which an upstream is
	// ejected.
	FailurePercent int
	// BackOff is the time from an ejection to the first probe. It doubles with each
	// failed probe up to MaxBackOff.
	BackOff    gypsumtide.Millis
	MaxBackOff gypsumtide.Millis
	// Probes is the number of consecutive successful probes after which an upstream
	// serves again.
	Probes int
}

// DefaultHealth returns the default ejection settings.
func DefaultHealth() HealthConfig {
	return HealthConfig{Window: 5000, MinResults: 8, FailurePercent: 80, BackOff: 1000, MaxBackOff: 30_000, Probes: 3}
}

// The states and events of the upstream's state chart that health uses. Whether an
// upstream is leaving is stored in registration.leaving instead, since an upstream that
// is leaving and announces itself again must stay ejected.
var (
	stateServing = chart.Upstream.MustState("serving")
	stateEjected = chart.Upstream.MustState("ejected")
	stateProbing = chart.Upstream.MustState("probing")

	eventEject = chart.Upstream.MustEvent("eject")
	eventProbe = chart.Upstream.MustEvent("probe")
	eventFail  = chart.Upstream.MustEvent("fail")
	eventPass  = chart.Upstream.MustEvent("pass")
)

// maxSamples limits the number of results kept; the oldest are dropped first.
const maxSamples = 64

// sample tells when a task ended and whether it failed.
type sample struct {
	at     gypsumtide.Millis
	failed bool
}

// health tracks the failures of one upstream. An upstream with a high failure rate
// is ejected. After a back-off it is probed, and the results of the probes decide
// whether it serves again.
type health struct {
	cfg          HealthConfig
	state        chart.State
	samples      []sample
	backOff      gypsumtide.Millis
	ejectedUntil gypsumtide.Millis
	passedProbes int
}

func newHealth(cfg HealthConfig) *health {
	return &health{cfg: cfg, state: stateServing, backOff: cfg.BackOff}
}

// stateAt returns the state at the time now. If the back-off of an ejected upstream is
// over, it first changes the state to probing.
func (h *health) stateAt(now gypsumtide.Millis) chart.State {
	if h.state == stateEjected && now >= h.ejectedUntil {
		h.transition(eventProbe)
		h.passedProbes = 0
	}
	return h.state
}

// observe records a result and reports whether the result changed the state.
func (h *health) observe(now gypsumtide.Millis, failed bool) bool {
	switch h.stateAt(now) {
	case stateProbing:
		return h.observeProbe(now, failed)
	case stateEjected:
		// The task may have started before the ejection, so its result does not show that
		// the upstream has recovered.
		return false
	}
	h.samples = append(h.samples, sample{at: now, failed: failed})
	for len(h.samples) > maxSamples || now-h.samples[0].at > h.cfg.Window {
		h.samples = h.samples[1:]
	}
	failures := 0
	for _, s := range h.samples {
		if s.failed {
			failures++
		}
	}
	if len(h.samples) < h.cfg.MinResults || failures*100 < h.cfg.FailurePercent*len(h.samples) {
		return false
	}
	h.eject(eventEject, now)
	return true
}

// observeProbe records the result of a probe. A failed probe ejects the upstream again;
// after enough successful probes the upstream serves again.
func (h *health) observeProbe(now gypsumtide.Millis, failed bool) bool {
	if failed {
		h.backOff = min(2*h.backOff, h.cfg.MaxBackOff)
		h.eject(eventFail, now)
		return true
	}
	h.passedProbes++
	if h.passedProbes < h.cfg.Probes {
		return false
	}
	h.transition(eventPass)
	h.backOff = h.cfg.BackOff
	return true
}

func (h *health) eject(e chart.Event, now gypsumtide.Millis) {
	h.transition(e)
	h.ejectedUntil, h.samples = now+h.backOff, nil
}

func (h *health) transition(e chart.Event) { h.state, _ = chart.Upstream.Step(h.state, e) }
