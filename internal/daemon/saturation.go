package daemon

import (
	"context"
	"math"
	"runtime/metrics"
	"sync/atomic"

	"gypsumtide"
)

// Parameters of the detection of a saturated process.
const (
	// saturationInterval is how often the scheduling latency is read.
	saturationInterval gypsumtide.Millis = 200
	// saturatedLatency is the mean scheduling latency, in milliseconds, from which a process
	// is saturated. A request passes about ten goroutines on its way, and the objective of a
	// short one leaves 60 ms.
	saturatedLatency = 6.0
	// calmLatency is the latency below which a saturated process recovers, once it has lasted
	// for calmTime.
	calmLatency                   = 2.0
	calmTime    gypsumtide.Millis = 1000
	// minSchedulings is the number of samples below which a latency says nothing.
	minSchedulings = 20
)

// saturationState decides from the scheduling latency whether a process is saturated: it gets
// less processor time than its requests need. The load balancer spreads connections over entries
// regardless of their processors.
type saturationState struct {
	saturated bool
	// since is when the present state began. busy is set if the last latency was that of a
	// saturated process. calmSince is when the latency fell below calmLatency, or 0.
	since     gypsumtide.Millis
	busy      bool
	calmSince gypsumtide.Millis
}

// update processes the mean latency, in milliseconds, since the last update. It reports
// whether the state has changed. A single high latency may come from a start or a pause of
// the process, so two in a row are needed.
func (s *saturationState) update(now gypsumtide.Millis, latency float64) bool {
	before := s.saturated
	busy := latency >= saturatedLatency
	if busy && s.busy {
		s.saturated = true
	}
	s.busy = busy
	switch {
	case latency >= calmLatency:
		s.calmSince = 0
	case s.calmSince == 0:
		s.calmSince = now
	case now-s.calmSince >= calmTime:
		s.saturated = false
	}
	if s.saturated == before {
		return false
	}
	s.since = now
	return true
}

// latencyReader reads the mean time for which goroutines waited for a processor.
type latencyReader struct {
	sample []metrics.Sample
	counts []uint64
}

func newLatencyReader() *latencyReader {
	return &latencyReader{sample: []metrics.Sample{{Name: "/sched/latencies:seconds"}}}
}

// meanMillis returns the mean latency since the last call in milliseconds, or 0 if too few
// goroutines were measured.
func (r *latencyReader) meanMillis() float64 {
	metrics.Read(r.sample)
	if r.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := r.sample[0].Value.Float64Histogram()
	n, sum := uint64(0), 0.0
	for i, count := range h.Counts {
		if i < len(r.counts) {
			count -= r.counts[i]
		}
		if low := h.Buckets[i]; count > 0 && !math.IsInf(low, 0) {
			sum += low * float64(count)
		}
		n += count
	}
	r.counts = append(r.counts[:0], h.Counts...)
	if n < minSchedulings {
		return 0
	}
	return 1000 * sum / float64(n)
}

// Saturation tells whether a process has too little processor time for its requests.
type Saturation struct {
	saturated atomic.Bool
	// since is when the present state began.
	since   atomic.Int64
	latency atomic.Uint64
}

// Saturated reports whether the process is saturated.
func (s *Saturation) Saturated() bool { return s.saturated.Load() }

// SaturatedFor returns for how long the process has been saturated at the time now, or 0.
func (s *Saturation) SaturatedFor(now gypsumtide.Millis) gypsumtide.Millis {
	if !s.Saturated() {
		return 0
	}
	return now - gypsumtide.Millis(s.since.Load())
}

// Saturation returns the saturation of the process, which WatchSaturation updates.
func (p *Process) Saturation() *Saturation { return &p.saturation }

// WatchSaturation updates the saturation until ctx is done.
func (p *Process) WatchSaturation(ctx context.Context) error {
	p.metrics.NewGauge("gypsumtide_scheduling_latency_seconds", func() float64 {
		return math.Float64frombits(p.saturation.latency.Load()) / 1000
	})
	reader := newLatencyReader()
	reader.meanMillis() // The latencies of the start do not count.
	var state saturationState
	for gypsumtide.Sleep(ctx, saturationInterval) {
		latency := reader.meanMillis()
		p.saturation.latency.Store(math.Float64bits(latency))
		now := p.clock.Now()
		if !state.update(now, latency) {
			continue
		}
		p.saturation.since.Store(int64(now))
		p.saturation.saturated.Store(state.saturated)
		p.log.Decision("saturation", "saturated", state.saturated, "scheduling-latency-ms", math.Round(10*latency)/10)
	}
	return ctx.Err()
}
