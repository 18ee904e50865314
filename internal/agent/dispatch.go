package agent

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// idleWait is the time until the scheduler looks again if nothing is queued.
const idleWait = gypsumtide.Millis(60_000)

// dispatches takes the tasks of a frame. The caller holds the mutex.
func (a *Agent) dispatches(l *link, f *wire.Frame) {
	now := a.clock.Now()
	expired := f.Echo == 0 || now-f.Echo > a.cfg.MaxEchoAge
	for i := range f.Dispatches {
		d := &f.Dispatches[i]
		accepted, answer, discarded := a.ledger.Accept(d.TaskRef, l.number, a.refusal(d, expired))
		a.deliver(discarded)
		if !accepted {
			a.reply(l, answer)
			a.follow(l, answer)
			if answer.State == 0 {
				continue
			}
			a.decide("task not accepted", &d.TaskRef, answer.State.String(), answer.Reason, "")
			continue
		}
		a.queue.push(&item{dispatch: *d, deadline: now + d.Budget, received: now, link: l.number})
	}
}

// refusal returns why a new dispatch cannot be queued, or an empty string.
func (a *Agent) refusal(d *wire.Dispatch, expired bool) string {
	switch {
	case expired:
		return wire.ReasonCreditExpired
	case a.draining:
		return wire.ReasonDraining
	case d.Budget <= 0:
		return wire.ReasonDeadline
	case !a.registry.Serves(d.Service):
		return wire.ReasonNoUpstream
	case a.queue.full():
		return wire.ReasonQueueFull
	}
	return ""
}

// schedule starts the queued tasks that have a slot and returns the time until
// the next queued deadline.
func (a *Agent) schedule() gypsumtide.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduleLocked()
}

func (a *Agent) scheduleLocked() gypsumtide.Millis {
	now := a.clock.Now()
	a.queue.take(func(it *item) bool { return a.start(it, now) })
	next, ok := a.queue.nextDeadline()
	if !ok {
		return idleWait
	}
	return max(next-now+1, 1)
}

// start starts the task if it may and can start. It returns false if the task goes on waiting.
func (a *Agent) start(it *item, now gypsumtide.Millis) bool {
	d := &it.dispatch
	if a.draining {
		a.drop(it, wire.ReasonDraining)
		return true
	}
	if now >= it.deadline {
		a.drop(it, wire.ReasonDeadline)
		return true
	}
	slot := a.registry.Acquire(d.Service, classOf(d))
	if slot == nil {
		if a.registry.Serves(d.Service) {
			return false
		}
		a.drop(it, wire.ReasonNoUpstream)
		return true
	}
	if !a.ledger.Start(d.TaskRef) {
		slot.Cancel()
		// The ledger has answered the home when it withdrew the task.
		a.decide("task not started", &d.TaskRef, wire.TaskNotStarted.String(), wire.ReasonFenced, slot.Upstream())
		return true
	}
	it.slot = slot
	a.running[keyOf(d.TaskRef)] = it
	a.counts.started.Inc()
	a.counts.wait.Update(float64(now-it.received) / 1000)
	a.decide("task started", &d.TaskRef, wire.TaskRunning.String(), "", slot.Upstream())
	budget := it.deadline - now
	go func() { a.ended <- ended{item: it, result: a.run(it, budget)} }()
	return true
}

// run sends the task to its upstream. A panic is reported as an unknown
// result, since the task may have started.
func (a *Agent) run(it *item, budget gypsumtide.Millis) (r wire.Result) {
	defer func() {
		if p := recover(); p != nil {
			a.log.Info("panic in a task request", "panic", p)
			r = wire.Result{TaskRef: it.dispatch.TaskRef, State: wire.TaskUnknown, Reason: "agent-fault", Upstream: it.slot.Upstream()}
		}
	}()
	return a.request(it, budget)
}

// finish records the end of a task and sends its result to the home that asked last.
func (a *Agent) finish(e ended) {
	e.item.slot.Release(e.result)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, keyOf(e.item.dispatch.TaskRef))
	answer, err := a.ledger.Finish(e.result)
	if err != nil {
		a.log.Error(err, "result without a running task")
		return
	}
	a.counts.finished(e.result)
	a.decide("task ended", &e.result.TaskRef, e.result.State.String(), e.result.Reason, e.result.Upstream)
	a.send(answer)
}

// drop gives a queued task back to its home. The caller removes it from the queue.
func (a *Agent) drop(it *item, reason string) {
	answer, ok := a.ledger.Drop(it.dispatch.TaskRef, reason)
	if !ok {
		return
	}
	a.decide("task not started", &it.dispatch.TaskRef, wire.TaskNotStarted.String(), reason, "")
	a.send(answer)
}
