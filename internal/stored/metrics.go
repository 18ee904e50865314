package stored

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
)

// partitionMetrics holds the metrics of a PartitionManager.
type partitionMetrics struct {
	set      *metrics.Set
	accepted *metrics.Counter
	// records counts the records of all appends of queued writes, and appends measures the
	// duration of these appends, whether or not they succeed.
	records *metrics.Counter
	appends *metrics.Histogram
}

func newPartitionMetrics(set *metrics.Set, manager *PartitionManager) *partitionMetrics {
	set.NewGauge("gypsumtide_stored_partitions", func() float64 { return float64(len(manager.ServedPartitions())) })
	return &partitionMetrics{
		set: set, accepted: set.NewCounter("gypsumtide_stored_jobs_accepted_total"),
		records: set.NewCounter("gypsumtide_stored_records_total"), appends: set.NewHistogram("gypsumtide_stored_append_seconds"),
	}
}

func (m *partitionMetrics) ended(state gypsumtide.JobState) {
	m.set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_stored_jobs_ended_total{state=%q}", state)).Inc()
}

func (m *partitionMetrics) appended(records int, took gypsumtide.Millis) {
	m.records.Add(records)
	m.appends.Update(took.Duration().Seconds())
}
