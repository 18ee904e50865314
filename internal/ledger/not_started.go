package ledger

import "gypsumtide/internal/wire"

// Query returns the state of a task. A task that has not started is answered as not
// started, and this is recorded so that a dispatch that arrives late on an older
// session is refused. A query of a lower epoch than the shard's or the task's is
// answered as fenced and records nothing. A task that is not in the ledger and whose id
// has expired is answered as unknown.
//
// A queued task is removed from the queue: the answer "running" would be false, and a
// home sends queries only for the tasks that a broken session left open.
//
// A result without a state means that no answer is due: this session has already
// received a not-started answer, or the query arrived late on an older session.
func (l *Ledger) Query(ref wire.TaskRef, session uint64) wire.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceMinTimestamp()
	e := l.find(ref.Submission, ref.Task)
	if e != nil && e.started() {
		e.setRequester(session, ref.Epoch)
		return e.startedResult(ref.Epoch)
	}
	if ref.Epoch < l.epochs[ref.Submission.Shard()] || e != nil && ref.Epoch < e.epoch {
		return notStarted(ref, wire.ReasonFenced)
	}
	if e == nil && ref.Submission.Timestamp() < l.minTimestamp {
		return wire.Result{TaskRef: ref, State: wire.TaskUnknown, Reason: ReasonIDExpired}
	}
	if e != nil && isOutdated(e, ref.Epoch, session) || e != nil && e.answeredNotStarted(session, ref.Epoch) {
		return wire.Result{TaskRef: ref}
	}
	if e == nil {
		e = l.add(ref.Submission, ref.Task)
	}
	e.epoch = ref.Epoch
	e.setRequester(session, ref.Epoch)
	l.setState(e, stateNotStarted)
	return notStarted(ref, wire.ReasonNeverReceived)
}

// Withdraw removes a queued task for a recall or a cancel, and answers that it has
// not started. It answers with the state of a started task, unless the task has
// ended and the session has been told its state already. A request that is older
// than the last one recorded for the task has no effect and receives no answer if
// the task is queued (see isOutdated), or if the task has started and the request
// is of a lower epoch.
//
// A task that is neither queued nor started receives no answer, since the answer to
// its dispatch or query is already on its way. A second not-started answer could
// reach the home after it has dispatched the task again, and the home would count
// the task as not started although it may run.
func (l *Ledger) Withdraw(ref wire.TaskRef, session uint64, reason string) wire.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	noAnswer := wire.Result{TaskRef: ref}
	e := l.find(ref.Submission, ref.Task)
	switch {
	case e == nil || e.state == stateNotStarted:
		return noAnswer
	case e.state == stateQueued:
		if isOutdated(e, ref.Epoch, session) {
			return noAnswer
		}
		e.epoch = ref.Epoch
		e.setRequester(session, ref.Epoch)
		l.setState(e, stateNotStarted)
		return notStarted(ref, reason)
	case ref.Epoch < e.requester.epoch:
		// A home that has been replaced must not stop a task of a later home.
		return noAnswer
	case e.state != stateRunning && e.requester == (Requester{session: session, epoch: ref.Epoch}):
		return noAnswer
	}
	e.setRequester(session, ref.Epoch)
	return e.startedResult(ref.Epoch)
}

// Drop removes a queued task for a reason of the agent itself, such as the
// deadline, and returns a not-started answer. It returns false if the task is
// not queued under the epoch of ref.
func (l *Ledger) Drop(ref wire.TaskRef, reason string) (Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(ref.Submission, ref.Task)
	if e == nil || e.state != stateQueued || e.epoch != ref.Epoch {
		return Answer{}, false
	}
	l.setState(e, stateNotStarted)
	return Answer{requester: e.requester, result: notStarted(ref, reason)}, true
}
