package runner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide/internal/wire"
)

// agentMetrics holds the metrics of an Agent.
type agentMetrics struct {
	set          *metrics.Set
	starts       *metrics.Counter
	stops        *metrics.Counter
	syncs        *metrics.Counter
	sessionsLost *metrics.Counter
	frameSeconds *metrics.Histogram
	runSeconds   *metrics.Histogram
	queueSeconds *metrics.Histogram
}

func newAgentMetrics(set *metrics.Set, a *Agent) *agentMetrics {
	m := &agentMetrics{
		set:          set,
		starts:       set.NewCounter("gypsumtide_agent_starts_total"),
		stops:        set.NewCounter("gypsumtide_agent_stops_total"),
		syncs:        set.NewCounter("gypsumtide_agent_syncs_total"),
		sessionsLost: set.NewCounter("gypsumtide_agent_sessions_lost_total"),
		frameSeconds: set.NewHistogram("gypsumtide_agent_frame_seconds"),
		runSeconds:   set.NewHistogram("gypsumtide_agent_run_seconds"),
		queueSeconds: set.NewHistogram("gypsumtide_agent_queue_seconds"),
	}
	set.NewGauge("gypsumtide_agent_bookings", func() float64 { return float64(a.running()) })
	set.NewGauge("gypsumtide_agent_waiting", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(a.state.Waiting())
	})
	set.NewGauge("gypsumtide_agent_sessions", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		return float64(len(a.sessions))
	})
	set.NewGauge("gypsumtide_agent_leaving", func() float64 {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.state.LeavesAt() > 0 {
			return 1
		}
		return 0
	})
	evacuationGauge := func(name string, value func(s *State) float64) {
		set.NewGauge(name, func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return value(a.state)
		})
	}
	evacuationGauge("gypsumtide_agent_evacuations_version", func(s *State) float64 { return float64(s.Evacuations().Version) })
	evacuationGauge("gypsumtide_agent_evacuated_zones", func(s *State) float64 { return float64(len(s.Evacuations().Zones)) })
	evacuationGauge("gypsumtide_agent_starts_blocked", func(s *State) float64 {
		if s.StartsBlocked() {
			return 1
		}
		return 0
	})
	return m
}

func (m *agentMetrics) countWorkerCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_agent_worker_calls_total{call=%q,result=%q}", call, result)).Inc()
}

func (m *agentMetrics) countReport(r wire.RunReport) {
	if r.End == "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_agent_runs_total{end=%q,reason=%q}", r.End, r.Reason)).Inc()
	if r.RunTime > 0 {
		m.runSeconds.Update(r.RunTime.Duration().Seconds())
	}
}
