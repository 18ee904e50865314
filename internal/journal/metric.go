package journal

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// counters contains the metrics of a stream. All followers of a stream in a process
// share them.
type counters struct {
	reads, readFailures *metrics.Counter
	// appends counts the attempts to append a record, without snapshots.
	// unknownOutcomes counts the failed attempts that may have taken effect, and
	// refused the other failed attempts.
	appends, unknownOutcomes, refused *metrics.Counter
	// ignored counts invalid records and records with a repeated id.
	ignored *metrics.Counter
	// snapshots counts the snapshots appended.
	snapshots *metrics.Counter
	// restored counts the states taken over from a snapshot or a peer.
	restored *metrics.Counter
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
