package runner

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide/internal/wire"
)

// agentMetrics counts what the agent does.
type agentMetrics struct {
	set          *metrics.Set
	starts       *metrics.Counter
	stops        *metrics.Counter
	syncs        *metrics.Counter
	sessionsLost *metrics.Counter
	frame        *metrics.Histogram
	ran          *metrics.Histogram
	queued       *metrics.Histogram
}

func newAgentMetrics(set *metrics.Set, a *Agent) *agentMetrics {
	m := &agentMetrics{
		set:          set,
		starts:       set.NewCounter("gypsumtide_agent_starts_total"),
		stops:        set.NewCounter("gypsumtide_agent_stops_total"),
		syncs:        set.NewCounter("gypsumtide_agent_syncs_total"),
		sessionsLost: set.NewCounter("gypsumtide_agent_sessions_lost_total"),
		frame:        set.NewHistogram("gypsumtide_agent_frame_seconds"),
		ran:          set.NewHistogram("gypsumtide_agent_run_seconds"),
		queued:       set.NewHistogram("gypsumtide_agent_queue_seconds"),
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
	return m
}

func (m *agentMetrics) workerCall(call string, err error) {
	result := "ok"
	if err != nil {
		result = "error"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_agent_worker_calls_total{call=%q,result=%q}", call, result)).Inc()
}

func (m *agentMetrics) report(r wire.RunReport) {
	if r.End == "" {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_agent_runs_total{end=%q,reason=%q}", r.End, r.Reason)).Inc()
	if r.RunTime > 0 {
		m.ran.Update(r.RunTime.Duration().Seconds())
	}
}
