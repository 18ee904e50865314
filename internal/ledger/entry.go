package ledger

import (
	"fmt"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

type state uint8

const (
	statePromised state = iota
	stateQueued
	stateRunning
	stateDone
	stateUnknown
)

// entry is kept small, since it lives for the retention period of its id.
type entry struct {
	sub   *submission
	asker Requester
	// epoch is that of the dispatch; for a promise it is the epoch that the promise covers.
	epoch uint64
	kept  *retained
	// reason says why the state is unknown.
	reason string
	task   uint32
	state  state
}

type submission struct {
	id      gypsumtide.SubmissionID
	entries []*entry
	open    int
}

// allowed lists the transitions of an entry. Running, done and unknown never
// lead back to queued, which is what makes a second start impossible.
var allowed = [...][]state{
	statePromised: {stateQueued, statePromised},
	stateQueued:   {stateRunning, statePromised},
	stateRunning:  {stateDone, stateUnknown, statePromised},
	stateDone:     {stateUnknown},
	stateUnknown:  {},
}

// move is the only place that changes the state of an entry.
func (l *Ledger) move(e *entry, to state) {
	valid := false
	for _, s := range allowed[e.state] {
		valid = valid || s == to
	}
	if !valid {
		panic(fmt.Sprintf("ledger: no transition from state %d to %d", e.state, to))
	}
	wasOpen := e.state == stateQueued || e.state == stateRunning
	isOpen := to == stateQueued || to == stateRunning
	switch {
	case isOpen && !wasOpen:
		e.sub.open++
	case wasOpen && !isOpen:
		e.sub.open--
	}
	queued := l.queued[e.sub.id.Shard()]
	if to == stateQueued {
		queued[e] = struct{}{}
	} else {
		delete(queued, e)
	}
	e.state = to
}

func (l *Ledger) find(id gypsumtide.SubmissionID, task uint32) *entry {
	sub := l.buckets[bucketOf(id.Stamp())][id]
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

// add returns a new entry in the state promised, which allows nothing to start.
func (l *Ledger) add(id gypsumtide.SubmissionID, task uint32) *entry {
	bucket := bucketOf(id.Stamp())
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
	l.entries++
	return e
}

// ask records a home as the receiver of the result unless a newer one asked before.
func (e *entry) ask(session, epoch uint64) {
	if epoch < e.asker.epoch || epoch == e.asker.epoch && session < e.asker.session {
		return
	}
	e.asker = Requester{session: session, epoch: epoch}
}

// report returns the result of a started task for a home that asks under epoch.
func (e *entry) report(epoch uint64) wire.Result {
	ref := wire.TaskRef{Submission: e.sub.id, Task: e.task, Epoch: epoch}
	switch e.state {
	case stateDone:
		r := e.kept.result
		r.TaskRef = ref
		return r
	case stateRunning:
		return wire.Result{TaskRef: ref, State: wire.TaskRunning}
	}
	return wire.Result{TaskRef: ref, State: wire.TaskUnknown, Reason: e.reason}
}

func (e *entry) started() bool {
	return e.state == stateRunning || e.state == stateDone || e.state == stateUnknown
}

// promisedOn reports whether the promise was given to this home on this session.
func (e *entry) promisedOn(session, epoch uint64) bool {
	return e.state == statePromised && e.epoch == epoch && e.asker == Requester{session: session, epoch: epoch}
}

func notStarted(ref wire.TaskRef, reason string) wire.Result {
	return wire.Result{TaskRef: ref, State: wire.TaskNotStarted, Reason: reason}
}
