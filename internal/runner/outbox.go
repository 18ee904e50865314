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
	// workers is the number of workers of the agent's service that the entry sees, or 0.
	workers int
	// reportedAt is the time of the last frame with a load report.
	reportedAt gypsumtide.Millis
	// worker and load are the last reports that were sent on session.
	worker  wire.WorkerReport
	load    wire.LoadReport
	session *wire.Session
	// retiring is set when the session is about to end, so that the entry sends no more
	// orders.
	retiring bool
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

// reportUrgency says when a load report is due.
type reportUrgency uint8

const (
	// reportNotNeeded means that the entry knows all that the report would say.
	reportNotNeeded reportUrgency = iota
	// reportLater means that the entry can place tasks well without the report for a
	// while, because the worker had and has room for more of them.
	reportLater
	reportNow
)

// urgency returns when the reports are due, given the last ones that were sent.
func (o *outbox) urgency(worker *wire.WorkerReport, load *wire.LoadReport) reportUrgency {
	switch {
	case o.session == nil || !o.worker.Equal(worker):
		return reportNow
	case o.load.Similar(load):
		return reportNotNeeded
	case hasRoom(worker, &o.load) && hasRoom(worker, load):
		return reportLater
	}
	return reportNow
}

// roomShare is the free part of a worker's capacity with which it has room for a few tasks.
const roomShare = 0.35

// hasRoom reports whether a worker with the load could start a few more tasks at once.
func hasRoom(worker *wire.WorkerReport, load *wire.LoadReport) bool {
	free := func(booked, capacity int64) bool {
		return float64(booked) <= (1-roomShare)*float64(capacity)
	}
	booked, capacity := load.Booked.Size(), worker.Capacity
	return len(load.Waiting) == 0 && free(booked.Processors, capacity.Processors) &&
		free(booked.Memory, capacity.Memory) && free(booked.Accelerators, capacity.Accelerators)
}
