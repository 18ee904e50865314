package dispatch

import (
	"math"

	"gypsumtide"
)

// backlog is a moving average of the processors that queued tasks need, relative to the
// processors of the usable workers.
type backlog struct {
	average   float64
	updatedAt gypsumtide.Millis
}

// Parameters of the slack share. The slack of a job is the time for which it can wait
// and still meet its objective. Under lasting overload, if jobs that have not started
// may wait for all of their slack, the queues fill until every job starts at the last
// moment, and any estimation error makes it late. The longer wait does not reduce the
// number of refused jobs.
const (
	// backlogTimeConstant is the time constant of the average in milliseconds. The queues
	// absorb shorter bursts.
	backlogTimeConstant = 100
	// halfSlackBacklog is the backlog at which the slack share is one half.
	halfSlackBacklog = 0.15
	// minSlackShare keeps the queues long enough that workers do not become idle.
	minSlackShare = 0.15
)

// update adds the present backlog, relative to the capacity, to the average.
func (b *backlog) update(now gypsumtide.Millis, share float64) {
	weight := 1 - math.Exp(-float64(now-b.updatedAt)/backlogTimeConstant)
	b.average += weight * (share - b.average)
	b.updatedAt = now
}

// slackShare returns the share of its slack for which a job may wait.
func (b *backlog) slackShare() float64 {
	return max(minSlackShare, 1/(1+square(b.average/halfSlackBacklog)))
}

// waitingShare returns the processors that the tasks queued at the usable workers need, as
// far as the agents have reported them, relative to the processors of these workers.
func (s *State) waitingShare() float64 {
	var waiting, capacity int64
	for _, w := range s.workerList {
		if !w.usable() {
			continue
		}
		capacity += w.report.Capacity.Processors
		for _, l := range w.otherWaiting {
			waiting += l.size.Processors
		}
		for _, l := range w.ownWaiting {
			waiting += l.size.Processors
		}
	}
	return ratio(waiting, capacity)
}
