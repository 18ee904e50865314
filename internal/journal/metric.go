package journal

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters counts the requests to the log and the records read. All followers of
// a stream in a process share the same metrics.
type counters struct {
	reads, readFailures               *metrics.Counter
	appends, unknownOutcomes, refused *metrics.Counter
	// ignored counts invalid records and records with a repeated id.
	ignored   *metrics.Counter
	snapshots *metrics.Counter
	restored  *metrics.Counter
}

func newCounters(stream string) *counters {
	counter := func(name string) *metrics.Counter {
		return metrics.GetOrCreateCounter(fmt.Sprintf("gypsumtide_log_%s_total{stream=%q}", name, stream))
	}
	return &counters{
		reads:           counter("reads"),
		readFailures:    counter("read_failures"),
		appends:         counter("appends"),
		unknownOutcomes: counter("appends_unsettled"),
		refused:         counter("appends_refused"),
		ignored:         counter("records_ignored"),
		snapshots:       counter("snapshots_appended"),
		restored:        counter("states_restored"),
	}
}
