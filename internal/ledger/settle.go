package ledger

import "gypsumtide/internal/wire"

// Query returns the state of a task. A task that has not started is marked as
// never to start under the epoch of the query, even if it is queued: the answer
// "running" would be false, and a home settles open tasks only after a broken
// session.
func (l *Ledger) Query(ref wire.TaskRef, session uint64) wire.Result {
	return l.Withdraw(ref, session, wire.ReasonUnknown)
}

// Recall takes back a task that has not started.
func (l *Ledger) Recall(ref wire.TaskRef, session uint64) wire.Result {
	return l.Withdraw(ref, session, wire.ReasonRecalled)
}

// Withdraw promises that a task does not start under the epoch of ref, or
// returns its state if it has started. A result without a state means that the
// request came late on an older session than the dispatch and has no effect.
func (l *Ledger) Withdraw(ref wire.TaskRef, session uint64, reason string) wire.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceHorizon()
	e := l.find(ref.Submission, ref.Task)
	if e != nil && e.started() {
		e.ask(session, ref.Epoch)
		return e.report(ref.Epoch)
	}
	if ref.Epoch < l.epochs[ref.Submission.Shard()] || e != nil && ref.Epoch < e.epoch {
		return notStarted(ref, wire.ReasonFenced)
	}
	if e == nil && ref.Submission.Stamp() < l.horizon {
		return wire.Result{TaskRef: ref, State: wire.TaskUnknown, Reason: ReasonIDExpired}
	}
	if e != nil && e.state == stateQueued && promiseCovers(e, ref.Epoch, session) {
		return wire.Result{TaskRef: ref}
	}
	if e == nil {
		e = l.add(ref.Submission, ref.Task)
	}
	e.epoch = ref.Epoch
	e.ask(session, ref.Epoch)
	l.move(e, statePromised)
	return notStarted(ref, reason)
}

// Drop promises that a queued task does not start, for a reason of the agent
// itself. It returns false if the task is not queued under the epoch of ref.
func (l *Ledger) Drop(ref wire.TaskRef, reason string) (Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(ref.Submission, ref.Task)
	if e == nil || e.state != stateQueued || e.epoch != ref.Epoch {
		return Answer{}, false
	}
	l.move(e, statePromised)
	return Answer{asker: e.asker, result: notStarted(ref, reason)}, true
}
