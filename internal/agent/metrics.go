package agent

import (
	"github.com/VictoriaMetrics/metrics"

	"gypsumtide/internal/wire"
)

// taskMetrics contains the metrics that are updated for each task.
type taskMetrics struct {
	set       *metrics.Set
	started   *metrics.Counter
	queueTime *metrics.Histogram
	runTime   *metrics.Histogram
}

// newTaskMetrics registers the metrics of the agent.
func newTaskMetrics(a *Agent) *taskMetrics {
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
	gauge("gypsumtide_agent_sessions", locked(func() int { return len(a.sessions) }))
	gauge("gypsumtide_agent_configuration_revision", locked(func() int { return int(a.revision()) }))
	gauge("gypsumtide_agent_starts_blocked", locked(func() int {
		if a.zoneEvacuated {
			return 1
		}
		return 0
	}))
	gauge("gypsumtide_agent_ledger_entries", a.ledger.TaskCount)
	gauge("gypsumtide_agent_ledger_retained_bytes", a.ledger.RetainedBytes)
	return &taskMetrics{
		set:       set,
		started:   set.NewCounter("gypsumtide_agent_starts_total"),
		queueTime: set.NewHistogram("gypsumtide_agent_queue_seconds"),
		runTime:   set.NewHistogram("gypsumtide_agent_run_seconds"),
	}
}

// recordEnd counts the result of a started task by its state and records the run time.
func (m *taskMetrics) recordEnd(r wire.Result) {
	m.set.GetOrCreateCounter(`gypsumtide_agent_results_total{state="` + r.State.String() + `"}`).Inc()
	m.runTime.Update(float64(r.RunTime) / 1000)
}

// logDecision logs a decision about a task, subject to sampling, and counts by reason
// the tasks that are not started.
func (a *Agent) logDecision(event string, ref *wire.TaskRef, state, reason, upstream string) {
	if state == wire.TaskNotStarted.String() {
		a.metrics.GetOrCreateCounter(`gypsumtide_agent_refusals_total{reason="` + reason + `"}`).Inc()
	}
	n := a.cfg.Log.DecisionSample
	if n == 0 {
		return
	}
	a.decisionCount++
	if a.decisionCount%uint64(n) != 0 {
		return
	}
	if log := a.log.V(1); log.Enabled() {
		log.Info(event, "submission", ref.Submission.String(), "task", ref.Task, "epoch", ref.Epoch, "state", state, "reason", reason, "upstream", upstream)
	}
}
