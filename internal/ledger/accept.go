package ledger

import "gypsumtide/internal/wire"

// Accept records a dispatched task as queued. If the dispatch is not accepted,
// answer is the result to send on the session; an answer without a state means
// that the task is already queued and its result will follow.
//
// A caller that has its own reason to refuse the task (an echo that is too old, a full
// queue) passes it as refusalReason. For a task that has started, the ledger still
// answers with its state, because "not started" would be false. A lower epoch, an
// expired id and a task that is already queued take precedence over refusalReason too.
//
// A dispatch of a higher epoch raises the epoch of its shard, also if it is refused: a
// copy of a lower epoch must not start after the refusal. Like Fence, this discards the
// shard's queued tasks of lower epochs; discarded holds the answers for them.
func (l *Ledger) Accept(ref wire.TaskRef, session uint64, refusalReason string) (accepted bool, answer wire.Result, discarded []Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceMinTimestamp()
	e := l.find(ref.Submission, ref.Task)
	if e != nil && e.started() {
		e.setRequester(session, ref.Epoch)
		return false, e.startedResult(ref.Epoch), nil
	}
	shard := ref.Submission.Shard()
	if ref.Epoch < l.epochs[shard] {
		return false, notStarted(ref, wire.ReasonFenced), nil
	}
	if e == nil && ref.Submission.Timestamp() < l.minTimestamp {
		// The tasks of this id may have been removed, so this one may have started.
		return false, wire.Result{TaskRef: ref, State: wire.TaskUnknown, Reason: ReasonIDExpired}, nil
	}
	if e != nil && e.state == stateQueued && e.epoch == ref.Epoch {
		e.setRequester(session, ref.Epoch)
		return false, wire.Result{TaskRef: ref}, nil
	}
	discarded = l.raiseEpoch(shard, ref.Epoch)
	if refusalReason != "" {
		return false, notStarted(ref, refusalReason), discarded
	}
	if e != nil && e.state == stateNotStarted && isOutdated(e, ref.Epoch, session) {
		return false, notStarted(ref, wire.ReasonFenced), discarded
	}
	if e == nil {
		e = l.add(ref.Submission, ref.Task)
	}
	e.epoch = ref.Epoch
	e.setRequester(session, ref.Epoch)
	l.setState(e, stateQueued)
	return true, wire.Result{}, discarded
}

// isOutdated reports whether a request is of a lower epoch than the one recorded for the
// task, or of the same epoch and an older session. Such a dispatch may be a delayed
// duplicate of one that was answered as not started; see the package comment.
func isOutdated(e *taskEntry, epoch, session uint64) bool {
	return epoch < e.epoch || epoch == e.epoch && session < e.requester.session
}
