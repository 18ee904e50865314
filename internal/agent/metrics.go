package agent

import (
	"github.com/VictoriaMetrics/metrics"

	"gypsumtide/internal/wire"
)

// counts are the metrics of the agent.
type counts struct {
	set     *metrics.Set
	started *metrics.Counter
	wait    *metrics.Histogram
	runTime *metrics.Histogram
}

func newCounts(a *Agent) *counts {
	set := a.metrics
	gauge := func(name string, value func() int) {
		set.NewGauge(name, func() float64 { return float64(value()) })
	}
	locked := func(value func() int) func() int {
		return func() int {
			a.mu.Lock()
			defer a.mu.Unlock()
			return value()
		}
	}
	gauge("gypsumtide_agent_running_tasks", locked(func() int { return len(a.running) }))
	gauge("gypsumtide_agent_queued_tasks", locked(func() int { return a.queue.len() }))
	gauge("gypsumtide_agent_sessions", locked(func() int { return len(a.links) }))
	gauge("gypsumtide_agent_configuration_revision", locked(func() int { return int(a.revision()) }))
	gauge("gypsumtide_agent_ledger_entries", a.ledger.Entries)
	gauge("gypsumtide_agent_ledger_retained_bytes", a.ledger.RetainedBytes)
	return &counts{
		set:     set,
		started: set.NewCounter("gypsumtide_agent_starts_total"),
		wait:    set.NewHistogram("gypsumtide_agent_queue_seconds"),
		runTime: set.NewHistogram("gypsumtide_agent_run_seconds"),
	}
}

// finished counts the end of a started task by state.
func (c *counts) finished(r wire.Result) {
	c.set.GetOrCreateCounter(`gypsumtide_agent_results_total{state="` + r.State.String() + `"}`).Inc()
	c.runTime.Update(float64(r.RunTime) / 1000)
}

// decide writes the log line of a decision, sampled, and counts refusals by reason.
func (a *Agent) decide(event string, ref *wire.TaskRef, state, reason, upstream string) {
	if state == wire.TaskNotStarted.String() {
		a.metrics.GetOrCreateCounter(`gypsumtide_agent_refusals_total{reason="` + reason + `"}`).Inc()
	}
	n := a.cfg.Log.DecisionSample
	if n == 0 {
		return
	}
	a.decisions++
	if a.decisions%uint64(n) != 0 {
		return
	}
	if log := a.log.V(1); log.Enabled() {
		log.Info(event, "submission", ref.Submission.String(), "task", ref.Task, "epoch", ref.Epoch, "state", state, "reason", reason, "upstream", upstream)
	}
}
