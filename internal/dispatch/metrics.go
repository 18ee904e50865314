package dispatch

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// dispatcherMetrics holds the metrics of a Dispatcher.
type dispatcherMetrics struct {
	set *metrics.Set
	// orders counts the orders with run number 1, retries those with higher run numbers,
	// including the first orders of stored jobs that had an earlier owner.
	orders, retries *metrics.Counter
	// resumed counts the orders with a checkpoint.
	resumed *metrics.Counter
}

func newDispatcherMetrics(set *metrics.Set, d *Dispatcher) *dispatcherMetrics {
	set.NewGauge("gypsumtide_entry_jobs", func() float64 { return float64(d.Jobs()) })
	set.NewGauge("gypsumtide_entry_workers", func() float64 { return float64(d.Workers()) })
	set.NewGauge("gypsumtide_entry_sessions", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(len(d.sessions))
	})
	set.NewGauge("gypsumtide_entry_evacuated_workers", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return float64(d.state.evacuatedWorkers)
	})
	// The metric shows the share of its slack for which a job may currently wait.
	set.NewGauge("gypsumtide_entry_patience", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.state.backlog.slackShare()
	})
	return &dispatcherMetrics{
		set:     set,
		orders:  set.NewCounter(`gypsumtide_entry_orders_total{try="first"}`),
		retries: set.NewCounter(`gypsumtide_entry_orders_total{try="again"}`),
		resumed: set.NewCounter("gypsumtide_entry_orders_resumed_total"),
	}
}

func (m *dispatcherMetrics) countOrders(orders []wire.Order) {
	for _, o := range orders {
		switch {
		case o.Update:
			// The order itself has already been counted.
			continue
		case o.Ref.Number > 1:
			m.retries.Inc()
		default:
			m.orders.Inc()
		}
		if o.Checkpoint != "" {
			m.resumed.Inc()
		}
	}
}

// countLeaveVerdicts counts the decisions on runs of workers that leave.
func (m *dispatcherMetrics) countLeaveVerdicts(verdicts []leaveVerdict) {
	for _, v := range verdicts {
		m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_entry_leaving_runs_total{verdict=%q}", v)).Inc()
	}
}

func (m *dispatcherMetrics) countPlaces(counts PlaceCounts) {
	for place, n := range counts {
		if n > 0 {
			m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_entry_rack_tasks_total{place=%q}", placeNames[place])).Add(n)
		}
	}
}

func (m *dispatcherMetrics) recordAnswer(route string, a Answer, start time.Time) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_entry_answers_total{route=%q,outcome=%q}", route, a.Outcome)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("gypsumtide_entry_answer_seconds{route=%q,outcome=%q}", route, a.Outcome)).UpdateDuration(start)
	if a.Outcome == gypsumtide.OutcomeNotRun {
		m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_entry_refusals_total{reason=%q}", a.Reason)).Inc()
	}
}
