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

// taskEntry is the state of one task. It is kept small because it stays in memory
// for Limits.IDRetention.
type taskEntry struct {
	sub *submission
	// requester is the home that receives the result: of those that asked, the one
	// with the highest epoch and, within the epoch, the newest session.
	requester Requester
	// epoch is the epoch of the dispatch. In stateNotStarted it is the epoch of the last
	// not-started answer that was recorded; refusals on receipt are not recorded.
	epoch uint64
	// retained is set only in stateDone.
	retained *retainedResult
	// reason explains why the result is not known; it is set only in stateUnknown.
	reason string
	task   uint32
	state  state
}

// submission holds the tasks of one submission that the ledger knows.
type submission struct {
	id    gypsumtide.SubmissionID
	tasks []*taskEntry
	// openTasks is the number of queued and running tasks.
	openTasks int
}

// allowedTransitions lists the permitted state changes of a task. A second
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

// setState changes the state of a task. Nothing else may write taskEntry.state,
// because setState also maintains the number of open tasks and the queued sets.
func (l *Ledger) setState(e *taskEntry, to state) {
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

// find returns the ledger's entry for a task, or nil.
func (l *Ledger) find(id gypsumtide.SubmissionID, task uint32) *taskEntry {
	sub := l.buckets[bucketOf(id.Timestamp())][id]
	if sub == nil {
		return nil
	}
	for _, e := range sub.tasks {
		if e.task == task {
			return e
		}
	}
	return nil
}

// add inserts a task in stateNotStarted, in which Start refuses it.
func (l *Ledger) add(id gypsumtide.SubmissionID, task uint32) *taskEntry {
	bucket := bucketOf(id.Timestamp())
	if l.buckets[bucket] == nil {
		l.buckets[bucket] = make(map[gypsumtide.SubmissionID]*submission)
	}
	sub := l.buckets[bucket][id]
	if sub == nil {
		sub = &submission{id: id}
		l.buckets[bucket][id] = sub
	}
	e := &taskEntry{sub: sub, task: task}
	sub.tasks = append(sub.tasks, e)
	l.taskCount++
	return e
}

// setRequester makes a home the receiver of the result, unless a home with a higher
// epoch, or the same home on a newer session, has asked before.
func (e *taskEntry) setRequester(session, epoch uint64) {
	if epoch < e.requester.epoch || epoch == e.requester.epoch && session < e.requester.session {
		return
	}
	e.requester = Requester{session: session, epoch: epoch}
}

// startedResult returns the state of a started task, and its result if it is kept,
// for a home that asks under the epoch.
func (e *taskEntry) startedResult(epoch uint64) wire.Result {
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
func (e *taskEntry) started() bool {
	return e.state == stateRunning || e.state == stateDone || e.state == stateUnknown
}

// answeredNotStarted reports whether the recorded not-started answer was for this epoch
// and this session.
func (e *taskEntry) answeredNotStarted(session, epoch uint64) bool {
	return e.state == stateNotStarted && e.epoch == epoch && e.requester == Requester{session: session, epoch: epoch}
}

func notStarted(ref wire.TaskRef, reason string) wire.Result {
	return wire.Result{TaskRef: ref, State: wire.TaskNotStarted, Reason: reason}
}
