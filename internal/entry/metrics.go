package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide/internal/wire"
)

// meters are the metrics of an entry.
type meters struct {
	set        *metrics.Set
	admitted   *metrics.Counter
	attached   *metrics.Counter
	repeated   *metrics.Counter
	refused    *metrics.Counter
	recoveries *metrics.Counter
	dispatches *metrics.Counter
	results    *metrics.Counter
	unmatched  *metrics.Counter
	recalls    *metrics.Counter
	forwards   *metrics.Counter
}

func newMeters() *meters {
	s := metrics.NewSet()
	return &meters{
		set:        s,
		admitted:   s.NewCounter("gypsumtide_jobs_admitted_total"),
		attached:   s.NewCounter("gypsumtide_jobs_attached_total"),
		repeated:   s.NewCounter("gypsumtide_jobs_repeated_total"),
		refused:    s.NewCounter("gypsumtide_jobs_refused_total"),
		recoveries: s.NewCounter("gypsumtide_recoveries_total"),
		dispatches: s.NewCounter("gypsumtide_dispatches_total"),
		results:    s.NewCounter("gypsumtide_results_total"),
		unmatched:  s.NewCounter("gypsumtide_results_unmatched_total"),
		recalls:    s.NewCounter("gypsumtide_recalls_total"),
		forwards:   s.NewCounter("gypsumtide_forwards_total"),
	}
}

// notStarted counts a task that an agent promised not to start.
func (m *meters) notStarted(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumtide_not_started_total{reason=%q}`, reason)).Inc()
}

// ended counts the end of a job.
func (m *meters) ended(a wire.Answer) {
	outcome := string(a.Outcome)
	if a.Moved {
		outcome = "moved"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumtide_jobs_ended_total{outcome=%q}`, outcome)).Inc()
}
