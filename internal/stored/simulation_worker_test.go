package stored

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/runner"
)

// simWorker is a worker that starts whatever it is told to.
type simWorker struct {
	s       *simulation
	number  int
	life    gypsumtide.Incarnation
	seq     uint64
	fence   uint64
	until   gypsumtide.Millis
	lapsed  gypsumtide.Millis
	running map[gypsumtide.RunRef]*simRun
	highest map[gypsumtide.TaskName]uint64
	ended   []*simRun
	noted   int
	// lose and late are the shares of starts without an answer, carried out at once or later.
	lose, late float64
}

func (w *simWorker) restart() {
	for _, r := range w.running {
		r.running, r.to, r.kind = false, w.s.now, gypsumtide.EndLost
	}
	w.life = gypsumtide.Incarnation{ID: fmt.Sprint("w-", w.number), StartTime: w.s.now}
	w.seq, w.fence, w.until, w.ended, w.noted = 0, 0, 0, nil, 0
	w.running = make(map[gypsumtide.RunRef]*simRun)
	w.highest = make(map[gypsumtide.TaskName]uint64)
}

func (w *simWorker) info() gypsumtide.WorkerInfo {
	w.seq++
	return gypsumtide.WorkerInfo{Incarnation: w.life, Service: "s", Address: "w", Zone: "z", Capacity: gypsumtide.Size{Processors: 4000}, Seq: w.seq}
}

// settle ends what has ended by now.
func (w *simWorker) settle() {
	for ref, r := range w.running {
		switch {
		case r.endsAt <= min(w.s.now, w.until) && r.willFail:
			w.end(ref, gypsumtide.EndFailed, r.endsAt)
		case r.endsAt <= min(w.s.now, w.until):
			w.end(ref, gypsumtide.EndDone, r.endsAt)
		case w.until < w.s.now:
			w.end(ref, gypsumtide.EndLeaseExpired, w.until)
		}
	}
	if w.until < w.s.now {
		w.lapsed = w.s.now
	}
}

func (w *simWorker) end(ref gypsumtide.RunRef, kind gypsumtide.EndKind, at gypsumtide.Millis) {
	r := w.running[ref]
	delete(w.running, ref)
	r.running, r.kind, r.to = false, kind, at
	w.highest[ref.Task] = max(w.highest[ref.Task], ref.Number)
	w.ended = append(w.ended, r)
}

func (w *simWorker) start(c runner.StartCall) error {
	w.settle()
	ref := c.Order.Ref
	switch {
	case c.Incarnation.ID != w.life.ID:
		return gypsumtide.ErrOtherIncarnation
	case c.Order.Fence < w.fence && w.s.mutation != unfencedWorkers:
		return gypsumtide.ErrFenced
	}
	w.fence = max(w.fence, c.Order.Fence)
	if _, ok := w.running[ref]; ok {
		return nil
	}
	if ref.Number <= w.highest[ref.Task] {
		return gypsumtide.ErrStaleRun
	}
	if c.Order.LeaseUntil < w.s.now {
		return gypsumtide.ErrLeaseExpired
	}
	w.until = max(w.until, min(c.Order.LeaseUntil, w.s.now+simLease))
	r := &simRun{worker: w.number, task: ref.Task, number: ref.Number, from: w.s.now, running: true, endsAt: w.s.now + w.s.between(20, 350), willFail: w.s.chance(0.08), stray: c.Incarnation != w.life}
	w.running[ref] = r
	w.s.started(r)
	return nil
}

func (w *simWorker) stop(c runner.StopCall) {
	w.settle()
	if c.Incarnation.ID != w.life.ID || c.Fence < w.fence {
		return
	}
	w.fence = c.Fence
	if _, ok := w.running[c.Ref]; ok {
		w.end(c.Ref, gypsumtide.EndStopped, w.s.now)
	}
	w.highest[c.Ref.Task] = max(w.highest[c.Ref.Task], c.Ref.Number)
}

func (w *simWorker) hold(c runner.RenewCall) (gypsumtide.RenewResponse, error) {
	w.settle()
	switch {
	case c.Incarnation.ID != w.life.ID:
		return gypsumtide.RenewResponse{}, gypsumtide.ErrOtherIncarnation
	case c.Request.Fence < w.fence:
		return gypsumtide.RenewResponse{}, gypsumtide.ErrFenced
	}
	w.fence = c.Request.Fence
	for ; w.noted < min(len(w.ended), int(c.Request.Acknowledged)); w.noted++ {
		// A hold for the life before acknowledges ends of this one, which only orders of
		// that life can have caused. No agent can know or prevent it.
		w.ended[w.noted].noted = w.lapsed <= w.ended[w.noted].to && c.Incarnation == w.life
	}
	if c.Request.LeaseUntil > 0 {
		w.until = max(w.until, min(c.Request.LeaseUntil, w.s.now+simLease))
	}
	a := gypsumtide.RenewResponse{StartTime: w.life.StartTime, Clock: w.s.now}
	for ref, r := range w.running {
		percent := 100 * (w.s.now - r.from) / max(1, r.endsAt-r.from)
		a.Running = append(a.Running, gypsumtide.RunProgress{Ref: ref, Percent: int(percent)})
	}
	for i := int(c.Request.Acknowledged); i < len(w.ended); i++ {
		r := w.ended[i]
		a.Ended = append(a.Ended, gypsumtide.RunEnd{Number: uint64(i + 1), Ref: gypsumtide.RunRef{Task: r.task, Number: r.number}, Kind: r.kind})
	}
	return a, nil
}
