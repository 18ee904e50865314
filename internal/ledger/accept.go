package ledger

import "gypsumtide/internal/wire"

// Accept takes a dispatch into the ledger as queued. If it is not accepted, the
// result is the answer for the session; a result without a state means that the
// task is queued already and its result will follow.
//
// A refusal that the caller has found (an expired credit, a full queue) is
// passed as refuse. The ledger still answers for a task that it knows to have
// started, since "not started" would be false for it.
//
// An accepted dispatch of a higher epoch raises the epoch of its shard, which
// discards queued tasks as Promise does.
func (l *Ledger) Accept(ref wire.TaskRef, session uint64, refuse string) (accepted bool, answer wire.Result, discarded []Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceHorizon()
	e := l.find(ref.Submission, ref.Task)
	if e != nil && e.started() {
		e.ask(session, ref.Epoch)
		return false, e.report(ref.Epoch), nil
	}
	shard := ref.Submission.Shard()
	if ref.Epoch < l.epochs[shard] {
		return false, notStarted(ref, wire.ReasonFenced), nil
	}
	if e == nil && ref.Submission.Stamp() < l.horizon {
		// The entries of this id are forgotten: the task may have started.
		return false, wire.Result{TaskRef: ref, State: wire.TaskUnknown, Reason: ReasonIDExpired}, nil
	}
	if e != nil && e.state == stateQueued && e.epoch == ref.Epoch {
		e.ask(session, ref.Epoch)
		return false, wire.Result{TaskRef: ref}, nil
	}
	if refuse != "" {
		return false, notStarted(ref, refuse), nil
	}
	if e != nil && e.state == statePromised && promiseCovers(e, ref.Epoch, session) {
		return false, notStarted(ref, wire.ReasonFenced), nil
	}
	discarded = l.raise(shard, ref.Epoch)
	if e == nil {
		e = l.add(ref.Submission, ref.Task)
	}
	e.epoch = ref.Epoch
	e.ask(session, ref.Epoch)
	l.move(e, stateQueued)
	return true, wire.Result{}, discarded
}

// promiseCovers reports whether a dispatch may be a delayed duplicate of one
// that the promise was given for; the package comment has the argument.
func promiseCovers(e *entry, epoch, session uint64) bool {
	return epoch < e.epoch || epoch == e.epoch && session < e.asker.session
}
