package ledger

import "gypsumtide/internal/wire"

// Query returns the state of a task. A task that has not started is marked as
// never to start under the epoch of the query, even if it is queued: the answer
// "running" would be false, and a home settles open tasks only after a broken
// session.
//
// A result without a state means that there is nothing to answer: the promise
// was given on this session before, or the query came late on an old session.
func (l *Ledger) Query(ref wire.TaskRef, session uint64) wire.Result {
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
	if e != nil && promiseCovers(e, ref.Epoch, session) || e != nil && e.promisedOn(session, ref.Epoch) {
		return wire.Result{TaskRef: ref}
	}
	if e == nil {
		e = l.add(ref.Submission, ref.Task)
	}
	e.epoch = ref.Epoch
	e.ask(session, ref.Epoch)
	l.move(e, statePromised)
	return notStarted(ref, wire.ReasonNeverReceived)
}

// Withdraw takes a queued task back, for a recall or a cancel. It answers only
// if the task is queued or its state is news for the session. For any other
// task the answer to its dispatch or query is on its way, and a second promise
// could meet the home after it has dispatched the task again, which would then
// count as not started although it may run.
func (l *Ledger) Withdraw(ref wire.TaskRef, session uint64, reason string) wire.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := wire.Result{TaskRef: ref}
	e := l.find(ref.Submission, ref.Task)
	switch {
	case e == nil || e.state == statePromised:
		return silent
	case e.state == stateQueued:
		if promiseCovers(e, ref.Epoch, session) {
			return silent
		}
		e.epoch = ref.Epoch
		e.ask(session, ref.Epoch)
		l.move(e, statePromised)
		return notStarted(ref, reason)
	case ref.Epoch < e.asker.epoch:
		// A home that was replaced does not stop a task of its follower.
		return silent
	case e.state != stateRunning && e.asker == (Requester{session: session, epoch: ref.Epoch}):
		return silent
	}
	e.ask(session, ref.Epoch)
	return e.report(ref.Epoch)
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
