package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// entryMetrics holds the metrics of an entry.
type entryMetrics struct {
	set      *metrics.Set
	admitted *metrics.Counter
	// attached counts submissions that joined the job in progress with their id,
	// repeated those whose id belongs to a finished job.
	attached   *metrics.Counter
	repeated   *metrics.Counter
	refused    *metrics.Counter
	recoveries *metrics.Counter
	dispatches *metrics.Counter
	results    *metrics.Counter
	// unmatched counts results that match no open task or no job in progress.
	unmatched *metrics.Counter
	recalls   *metrics.Counter
	forwards  *metrics.Counter
	messages  map[string]*metrics.Counter
}

// messageKinds lists the kinds of messages between an entry and its agents that are
// counted. A promise is a fence request or its confirmation, and the messages of kind
// recovery include the parts of final ledgers. A heartbeat is a frame without any of the
// others.
var messageKinds = []string{"dispatch", "result", "not-started", "recall", "cancel", "query", "promise", "recovery", "announcement", "configuration", "heartbeat"}

func newEntryMetrics() *entryMetrics {
	s := metrics.NewSet()
	messages := make(map[string]*metrics.Counter, len(messageKinds))
	for _, kind := range messageKinds {
		messages[kind] = s.NewCounter(fmt.Sprintf(`gypsumtide_messages_total{kind=%q}`, kind))
	}
	return &entryMetrics{
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
		messages:   messages,
	}
}

// addEvacuationGauges adds the gauges of the evacuations at the home.
func (m *entryMetrics) addEvacuationGauges(h *home) {
	gauge := func(name string, value func(e gypsumtide.Evacuations) float64) {
		m.set.NewGauge(name, func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return value(h.evacuations)
		})
	}
	gauge("gypsumtide_entry_evacuations_version", func(e gypsumtide.Evacuations) float64 { return float64(e.Version) })
	gauge("gypsumtide_entry_evacuated_zones", func(e gypsumtide.Evacuations) float64 { return float64(len(e.Zones)) })
}

// taskNotStarted counts a task that an agent guarantees not to start.
func (m *entryMetrics) taskNotStarted(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumtide_not_started_total{reason=%q}`, reason)).Inc()
}

// ended counts the end of a job by its outcome.
func (m *entryMetrics) ended(a wire.Answer) {
	outcome := string(a.Outcome)
	if a.Moved {
		outcome = "moved"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`gypsumtide_jobs_ended_total{outcome=%q}`, outcome)).Inc()
}

// countFrame counts the messages of a frame sent to or received from an agent.
func (m *entryMetrics) countFrame(f *wire.Frame) {
	total := 0
	count := func(kind string, n int) {
		total += n
		m.messages[kind].Add(n)
	}
	notStarted := 0
	for i := range f.Results {
		if f.Results[i].State == wire.TaskNotStarted {
			notStarted++
		}
	}
	count("dispatch", len(f.Dispatches))
	count("result", len(f.Results)-notStarted)
	count("not-started", notStarted)
	count("recall", len(f.Recalls))
	count("cancel", len(f.Cancels))
	count("query", len(f.Queries))
	count("promise", len(f.FenceRequests)+len(f.FenceConfirmations))
	count("recovery", len(f.RecoveryRequests)+len(f.RecoveryReplies)+len(f.FinalLedgerTasks))
	if f.Announcement != nil {
		count("announcement", 1)
	}
	if f.Config != nil {
		count("configuration", 1)
	}
	if total == 0 {
		count("heartbeat", 1)
	}
}
