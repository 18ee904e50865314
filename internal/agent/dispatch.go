package agent

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// maxScheduleWait is the result of schedule if no task is queued. The scheduler usually
// runs earlier, at the latest when it next removes expired tasks from the ledger.
const maxScheduleWait = gypsumtide.Millis(60_000)

// acceptDispatches queues or refuses the tasks of a frame. The echo of a frame is a clock
// reading of this agent that the sender returns. If it is missing, in the future or older
// than MaxEchoAge, new tasks are refused, since the sender may have lost its lease as the home
// after that reading. The mutex must be held.
func (a *Agent) acceptDispatches(s *entrySession, f *wire.Frame) {
	now := a.clock.Now()
	echoExpired := f.Echo <= 0 || f.Echo > now || now-f.Echo > a.cfg.MaxEchoAge
	for i := range f.Dispatches {
		d := &f.Dispatches[i]
		accepted, answer, discarded := a.ledger.Accept(d.TaskRef, s.number, a.refusalReason(d, echoExpired))
		a.sendDiscarded(discarded)
		if !accepted {
			a.addResult(s, answer)
			a.assignSession(s, answer)
			if answer.State == 0 {
				// The task is already queued.
				continue
			}
			a.logDecision("task not accepted", &d.TaskRef, answer.State.String(), answer.Reason, "")
			continue
		}
		a.queue.push(&task{dispatch: *d, deadline: now + d.Budget, received: now, session: s.number})
	}
}

// refusalReason returns why a new dispatch cannot be queued, or an empty string.
func (a *Agent) refusalReason(d *wire.Dispatch, echoExpired bool) string {
	switch {
	case echoExpired:
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

// schedule starts the queued tasks for which a slot is free, and returns those that
// cannot start any more to their homes. It returns the time until the earliest deadline in
// the queue has passed, or maxScheduleWait if the queue is empty.
func (a *Agent) schedule() gypsumtide.Millis {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.scheduleLocked()
}

// scheduleLocked is schedule for a caller that holds the mutex.
func (a *Agent) scheduleLocked() gypsumtide.Millis {
	now := a.clock.Now()
	a.queue.removeIf(func(t *task) bool { return a.startTask(t, now) })
	next, ok := a.queue.nextDeadline()
	if !ok {
		return maxScheduleWait
	}
	return max(next-now+1, 1)
}

// startTask starts a queued task, or returns it to its home if it cannot start any
// more. It reports whether the caller has to remove the task from the queue.
func (a *Agent) startTask(t *task, now gypsumtide.Millis) bool {
	d := &t.dispatch
	if a.draining {
		a.returnTask(t, wire.ReasonDraining)
		return true
	}
	if a.zoneEvacuated {
		a.returnTask(t, wire.ReasonZoneEvacuated)
		return true
	}
	if now >= t.deadline {
		a.returnTask(t, wire.ReasonDeadline)
		return true
	}
	slot := a.registry.Acquire(d.Service, classOf(d))
	if slot == nil {
		if a.registry.Serves(d.Service) {
			return false
		}
		a.returnTask(t, wire.ReasonNoUpstream)
		return true
	}
	if !a.ledger.Start(d.TaskRef) {
		slot.Cancel()
		// The home was answered when the ledger withdrew the task.
		a.logDecision("task not started", &d.TaskRef, wire.TaskNotStarted.String(), wire.ReasonFenced, slot.Upstream())
		return true
	}
	t.slot = slot
	a.running[keyOf(d.TaskRef)] = t
	a.taskMetrics.started.Inc()
	a.taskMetrics.queueTime.Update(float64(now-t.received) / 1000)
	a.logDecision("task started", &d.TaskRef, wire.TaskRunning.String(), "", slot.Upstream())
	budget := t.deadline - now
	go func() { a.taskEnds <- taskEnd{task: t, result: a.runTask(t, budget)} }()
	return true
}

// runTask sends the task to its upstream and returns the result. After a panic the
// result is unknown, since the task may have started.
func (a *Agent) runTask(t *task, budget gypsumtide.Millis) (r wire.Result) {
	defer func() {
		if p := recover(); p != nil {
			a.log.Info("panic in a task request", "panic", p)
			r = wire.Result{TaskRef: t.dispatch.TaskRef, State: wire.TaskUnknown, Reason: "agent-fault", Upstream: t.slot.Upstream()}
		}
	}()
	return a.sendTask(t, budget)
}

// finishTask records the end of a task and sends its result to the home that last
// asked for it.
func (a *Agent) finishTask(e taskEnd) {
	e.task.slot.Release(e.result)
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.running, keyOf(e.task.dispatch.TaskRef))
	answer, err := a.ledger.Finish(e.result)
	if err != nil {
		a.log.Error(err, "ignored the result of a task that is not running")
		return
	}
	a.taskMetrics.recordEnd(e.result)
	a.logDecision("task ended", &e.result.TaskRef, e.result.State.String(), e.result.Reason, e.result.Upstream)
	a.sendResult(answer)
}

// returnTask returns a queued task to its home. It does not remove the task from the
// queue.
func (a *Agent) returnTask(t *task, reason string) {
	answer, ok := a.ledger.Drop(t.dispatch.TaskRef, reason)
	if !ok {
		return
	}
	a.logDecision("task not started", &t.dispatch.TaskRef, wire.TaskNotStarted.String(), reason, "")
	a.sendResult(answer)
}
