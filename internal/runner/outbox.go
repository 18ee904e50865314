package runner

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// outbox keeps the reports to one entry until it has acknowledged them. A
// session that breaks loses what it had queued, and an entry takes an order that
// is neither held nor reported for one that never arrived.
type outbox struct {
	number  uint64
	pending []wire.RunReport
	// minInterval is how often the entry wants unprompted worker reports.
	minInterval gypsumtide.Millis
	// reportedAt is the time of the last frame with a worker report.
	reportedAt gypsumtide.Millis
	// worker is what session has been told of the worker.
	worker  wire.WorkerReport
	session *wire.Session
}

// add numbers the reports and keeps them.
func (o *outbox) add(reports []wire.RunReport) []wire.RunReport {
	for i := range reports {
		o.number++
		reports[i].Number = o.number
	}
	o.pending = append(o.pending, reports...)
	return reports
}

// acknowledge drops the reports up to number.
func (o *outbox) acknowledge(number uint64) {
	n := 0
	for n < len(o.pending) && o.pending[n].Number <= number {
		n++
	}
	o.pending = append(o.pending[:0], o.pending[n:]...)
}
