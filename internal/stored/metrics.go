package stored

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
)

// keeperMetrics are the counters of a Keeper.
type keeperMetrics struct {
	set      *metrics.Set
	accepted *metrics.Counter
	records  *metrics.Counter
	appends  *metrics.Histogram
}

func newKeeperMetrics(set *metrics.Set, k *PartitionManager) *keeperMetrics {
	set.NewGauge("gypsumtide_stored_partitions", func() float64 { return float64(len(k.ServedPartitions())) })
	return &keeperMetrics{
		set: set, accepted: set.NewCounter("gypsumtide_stored_jobs_accepted_total"),
		records: set.NewCounter("gypsumtide_stored_records_total"), appends: set.NewHistogram("gypsumtide_stored_append_seconds"),
	}
}

func (m *keeperMetrics) ended(state gypsumtide.JobState) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_stored_jobs_ended_total{state=%q}", state)).Inc()
}

func (m *keeperMetrics) appended(records int, took gypsumtide.Millis) {
	m.records.Add(records)
	m.appends.Update(took.Duration().Seconds())
}
