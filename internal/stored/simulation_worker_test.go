package stored

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/runner"
)

// simWorker is a worker that starts every valid order. It does not check its capacity.
type simWorker struct {
	s           *simulation
	number      int
	incarnation gypsumtide.Incarnation
	seq         uint64
	// fence is the highest fencing token that the worker has received.
	fence      uint64
	leaseUntil gypsumtide.Millis
	// leaseExpiredAt is the last time at which the lease was found to be expired.
	leaseExpiredAt gypsumtide.Millis
	running        map[gypsumtide.RunRef]*simRun
	// highestRun is the highest number of an ended or stopped run of each task.
	highestRun map[gypsumtide.TaskName]uint64
	// ended lists the ended runs in the order of their ends. The agent has acknowledged the
	// first ones of them; acknowledged is their number.
	ended        []*simRun
	acknowledged int
	// answerLossProbability is the probability that a start is carried out at once but its
	// answer is lost, delayProbability the probability that it is carried out late and not
	// answered.
	answerLossProbability, delayProbability float64
	// generation counts the workers that have used the address, draining is set before the
	// present one leaves, and gone from its end to the next one.
	generation     int
	draining, gone bool
}

func (w *simWorker) restart() {
	for _, r := range w.running {
		r.running, r.endedAt, r.kind = false, w.s.now, gypsumtide.EndLost
	}
	w.incarnation = gypsumtide.Incarnation{ID: fmt.Sprint("w-", w.number, "-", w.generation), StartTime: w.s.now}
	w.draining, w.gone = false, false
	w.seq, w.fence, w.leaseUntil, w.ended, w.acknowledged = 0, 0, 0, nil, 0
	w.running = make(map[gypsumtide.RunRef]*simRun)
	w.highestRun = make(map[gypsumtide.TaskName]uint64)
}

func (w *simWorker) info() gypsumtide.WorkerInfo {
	w.seq++
	return gypsumtide.WorkerInfo{Incarnation: w.incarnation, Service: "s", Address: "w", Zone: "z", Capacity: gypsumtide.Size{Processors: 4000}, Seq: w.seq, Draining: w.draining}
}

// endDueRuns ends the runs that are finished or whose lease has expired by now.
func (w *simWorker) endDueRuns() {
	for ref, r := range w.running {
		switch {
		case r.endsAt <= min(w.s.now, w.leaseUntil) && r.willFail:
			w.end(ref, gypsumtide.EndFailed, r.endsAt)
		case r.endsAt <= min(w.s.now, w.leaseUntil):
			w.end(ref, gypsumtide.EndDone, r.endsAt)
		case w.leaseUntil < w.s.now:
			w.end(ref, gypsumtide.EndLeaseExpired, w.leaseUntil)
		}
	}
	if w.leaseUntil < w.s.now {
		w.leaseExpiredAt = w.s.now
	}
}

func (w *simWorker) end(ref gypsumtide.RunRef, kind gypsumtide.EndKind, at gypsumtide.Millis) {
	r := w.running[ref]
	delete(w.running, ref)
	r.running, r.kind, r.endedAt = false, kind, at
	w.highestRun[ref.Task] = max(w.highestRun[ref.Task], ref.Number)
	w.ended = append(w.ended, r)
}

func (w *simWorker) start(c runner.StartCall) error {
	w.endDueRuns()
	ref := c.Order.Ref
	switch {
	case w.gone:
		return errSimulated
	case c.Incarnation.ID != w.incarnation.ID:
		return gypsumtide.ErrOtherWorker
	case c.Order.Fence < w.fence && w.s.mutation != noWorkerFencing:
		return gypsumtide.ErrFenced
	}
	w.fence = max(w.fence, c.Order.Fence)
	if _, ok := w.running[ref]; ok {
		return nil
	}
	if ref.Number <= w.highestRun[ref.Task] {
		return gypsumtide.ErrStaleRun
	}
	if c.Order.LeaseUntil < w.s.now {
		return gypsumtide.ErrLeaseExpired
	}
	w.leaseUntil = max(w.leaseUntil, min(c.Order.LeaseUntil, w.s.now+simLease))
	r := &simRun{worker: w.number, task: ref.Task, number: ref.Number, startedAt: w.s.now, running: true, endsAt: w.s.now + w.s.randomBetween(20, w.longestRun()), willFail: w.s.chance(0.08), staleIncarnation: c.Incarnation != w.incarnation}
	w.running[ref] = r
	w.s.checkStart(r)
	return nil
}

func (w *simWorker) stop(c runner.StopCall) {
	w.endDueRuns()
	if w.gone || c.Incarnation.ID != w.incarnation.ID || c.Fence < w.fence {
		return
	}
	w.fence = c.Fence
	if _, ok := w.running[c.Ref]; ok {
		w.end(c.Ref, gypsumtide.EndStopped, w.s.now)
	}
	w.highestRun[c.Ref.Task] = max(w.highestRun[c.Ref.Task], c.Ref.Number)
}

func (w *simWorker) renew(c runner.RenewCall) (gypsumtide.RenewResponse, error) {
	w.endDueRuns()
	switch {
	case w.gone:
		return gypsumtide.RenewResponse{}, errSimulated
	case c.Incarnation.ID != w.incarnation.ID:
		return gypsumtide.RenewResponse{}, gypsumtide.ErrOtherWorker
	case c.Request.Fence < w.fence:
		return gypsumtide.RenewResponse{}, gypsumtide.ErrFenced
	}
	w.fence = c.Request.Fence
	for ; w.acknowledged < min(len(w.ended), int(c.Request.Acknowledged)); w.acknowledged++ {
		// An end does not count as acknowledged if the lease expired between the end and its
		// acknowledgement. The task may be run again then: an agent acknowledges an end that
		// no entry records, but only after the lease has expired. Nor does an end count that
		// is acknowledged by a renewal meant for an earlier incarnation. Only orders for
		// an earlier incarnation can have caused it, and no agent can detect or prevent
		// this.
		w.ended[w.acknowledged].acknowledged = w.leaseExpiredAt <= w.ended[w.acknowledged].endedAt && c.Incarnation == w.incarnation
	}
	if c.Request.LeaseUntil > 0 {
		w.leaseUntil = max(w.leaseUntil, min(c.Request.LeaseUntil, w.s.now+simLease))
	}
	response := gypsumtide.RenewResponse{StartTime: w.incarnation.StartTime, Clock: w.s.now}
	for ref, r := range w.running {
		percent := 100 * (w.s.now - r.startedAt) / max(1, r.endsAt-r.startedAt)
		response.Running = append(response.Running, gypsumtide.RunProgress{Ref: ref, Percent: int(percent)})
	}
	for i := int(c.Request.Acknowledged); i < len(w.ended); i++ {
		r := w.ended[i]
		response.Ended = append(response.Ended, gypsumtide.RunEnd{Number: uint64(i + 1), Ref: gypsumtide.RunRef{Task: r.task, Number: r.number}, Kind: r.kind})
	}
	return response, nil
}
