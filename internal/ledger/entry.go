package ledger

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// state is the state of a task in the ledger.
type state uint8

const (
	stateNotStarted state = iota
	stateQueued
	stateRunning
	stateDone
	// stateUnknown means that the task may have run and that its result is not known.
	stateUnknown
)

// entry is the state of one task. It is kept small because it stays in memory
// for Limits.IDRetention.
type entry struct {
	sub *submission
	// requester is the home that receives the result: of those that asked, the one
	// with the highest epoch and, within the epoch, the newest session.
	requester Requester
	// epoch is the epoch of the dispatch. In stateNotStarted it is the highest
	// epoch for which the task was reported as not started.
	epoch uint64
	// retained is set only in stateDone.
	retained *retainedResult
	// reason explains why the result is not known; it is set only in stateUnknown.
	reason string
	task   uint32
	state  state
}

// submission holds the entries of one submission.
type submission struct {
	id      gypsumtide.SubmissionID
	entries []*entry
	// openTasks is the number of queued and running tasks.
	openTasks int
}

// allowedTransitions lists the permitted state changes of an entry. A second
// start is impossible because no started state leads directly back to queued:
// only a running task that the upstream provably did not start can be queued
// again, by way of stateNotStarted.
var allowedTransitions = [...][]state{
	stateNotStarted: {stateQueued, stateNotStarted},
	stateQueued:     {stateRunning, stateNotStarted},
	stateRunning:    {stateDone, stateUnknown, stateNotStarted},
	stateDone:       {stateUnknown},
	stateUnknown:    {},
}

// setState changes the state of an entry. Nothing else may write entry.state,
// because setState also maintains the number of open tasks and the queued sets.
func (l *Ledger) setState(e *entry, to state) {
	valid := false
	for _, s := range allowedTransitions[e.state] {
		valid = valid || s == to
	}
	if !valid {
		panic(fmt.Sprintf("ledger: no transition from state %d to %d", e.state, to))
	}
	wasOpen := e.state == stateQueued || e.state == stateRunning
	isOpen := to == stateQueued || to == stateRunning
	switch {
	case isOpen && !wasOpen:
		e.sub.openTasks++
	case wasOpen && !isOpen:
		e.sub.openTasks--
	}
	queued := l.queued[e.sub.id.Shard()]
	if to == stateQueued {
		queued[e] = struct{}{}
	} else {
		delete(queued, e)
	}
	e.state = to
}

// find returns the entry of a task, or nil.
func (l *Ledger) find(id gypsumtide.SubmissionID, task uint32) *entry {
	sub := l.buckets[bucketOf(id.Timestamp())][id]
	if sub == nil {
		return nil
	}
	for _, e := range sub.entries {
		if e.task == task {
			return e
		}
	}
	return nil
}

// add inserts an entry in stateNotStarted, from which the task cannot start.
func (l *Ledger) add(id gypsumtide.SubmissionID, task uint32) *entry {
	bucket := bucketOf(id.Timestamp())
	if l.buckets[bucket] == nil {
		l.buckets[bucket] = make(map[gypsumtide.SubmissionID]*submission)
	}
	sub := l.buckets[bucket][id]
	if sub == nil {
		sub = &submission{id: id}
		l.buckets[bucket][id] = sub
	}
	e := &entry{sub: sub, task: task}
	sub.entries = append(sub.entries, e)
	l.entryCount++
	return e
}

// setRequester makes a home the receiver of the result, unless a home with a
// higher epoch or a newer session has asked before.
func (e *entry) setRequester(session, epoch uint64) {
	if epoch < e.requester.epoch || epoch == e.requester.epoch && session < e.requester.session {
		return
	}
	e.requester = Requester{session: session, epoch: epoch}
}

// startedResult returns the state of a started task, and its result if it is kept,
// for a home that asks under the epoch.
func (e *entry) startedResult(epoch uint64) wire.Result {
	ref := wire.TaskRef{Submission: e.sub.id, Task: e.task, Epoch: epoch}
	switch e.state {
	case stateDone:
		r := e.retained.result
		r.TaskRef = ref
		return r
	case stateRunning:
		return wire.Result{TaskRef: ref, State: wire.TaskRunning}
	}
	return wire.Result{TaskRef: ref, State: wire.TaskUnknown, Reason: e.reason}
}

// started reports whether the task may have started.
func (e *entry) started() bool {
	return e.state == stateRunning || e.state == stateDone || e.state == stateUnknown
}

// answeredNotStarted reports whether this home was told on this session that the
// task has not started.
func (e *entry) answeredNotStarted(session, epoch uint64) bool {
	return e.state == stateNotStarted && e.epoch == epoch && e.requester == Requester{session: session, epoch: epoch}
}

func notStarted(ref wire.TaskRef, reason string) wire.Result {
	return wire.Result{TaskRef: ref, State: wire.TaskNotStarted, Reason: reason}
}
