package runner

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// outbox keeps the reports to one entry until the entry has acknowledged them. A
// broken session loses its queued frames, and an entry concludes that an order
// never arrived if the agent neither lists it as held nor reports it.
type outbox struct {
	// lastNumber is the number of the newest report.
	lastNumber uint64
	// pending holds the reports that are not acknowledged yet, in order.
	pending []wire.RunReport
	// minInterval is the minimum time between load broadcasts to the entry.
	minInterval gypsumtide.Millis
	// reportedAt is the time of the last frame with a load report.
	reportedAt gypsumtide.Millis
	// worker is the last worker report that was sent on session.
	worker  wire.WorkerReport
	session *wire.Session
}

// add numbers the reports, keeps them until they are acknowledged, and returns them.
func (o *outbox) add(reports []wire.RunReport) []wire.RunReport {
	for i := range reports {
		o.lastNumber++
		reports[i].Number = o.lastNumber
	}
	o.pending = append(o.pending, reports...)
	return reports
}

// acknowledge removes the reports up to and including number.
func (o *outbox) acknowledge(number uint64) {
	n := 0
	for n < len(o.pending) && o.pending[n].Number <= number {
		n++
	}
	o.pending = append(o.pending[:0], o.pending[n:]...)
}
