package dispatch

import (
	"math"

	"gypsumtide"
)

// pressure is the average of the work that waits at all workers, relative to
// their capacity.
type backlog struct {
	average   float64
	updatedAt gypsumtide.Millis
}

// Patience of jobs that have not begun. Load pattern: a crest above the capacity
// that lasts. If jobs may wait for all of their slack, the queues fill until
// every job starts at the last moment, and each error of an estimate makes it
// late; as many are refused all the same.
const (
	// pressureTime is the time constant of the average in milliseconds. The queues
	// absorb a burst that is shorter.
	backlogTimeConstant = 100
	// pressureScale is the share of waiting work that halves the patience.
	halfSlackBacklog = 0.15
	// leastPatience keeps the queues long enough to refill a worker without a pause.
	minSlackShare = 0.15
)

func (b *backlog) update(now gypsumtide.Millis, share float64) {
	weight := 1 - math.Exp(-float64(now-b.updatedAt)/backlogTimeConstant)
	b.average += weight * (share - b.average)
	b.updatedAt = now
}

// patience returns the part of its slack for which a job may wait.
func (b *backlog) slackShare() float64 {
	return max(minSlackShare, 1/(1+square(b.average/halfSlackBacklog)))
}

// waitingShare returns what waits at the workers relative to their capacity, as
// far as the agents have reported it.
func (s *State) waitingShare() float64 {
	var waiting, capacity int64
	for _, w := range s.workerList {
		if !w.usable() {
			continue
		}
		capacity += w.report.Capacity.Processors
		for _, l := range w.waiting {
			waiting += l.size.Processors
		}
		for _, l := range w.ownWaiting {
			waiting += l.size.Processors
		}
	}
	return ratio(waiting, capacity)
}
