// Package ledger keeps an agent's record of the tasks that it started and of
// the tasks that it promised never to start.
//
// # Redispatch and delayed duplicates
//
// A promise of a single task (the answer to a recall, a cancel, a query or a
// deadline) is bound to the epoch and to the session on which it is answered.
// A later dispatch of the same epoch is accepted only on that session or a
// newer one. The argument: an epoch has one home, and a home sends a task only
// while no other dispatch of it is open. On one session messages arrive in
// order and once, so a second dispatch on the session of the promise was sent
// after the home had read the promise. A dispatch on a newer session was sent
// after the home had settled the older one by the promise or by a query. Only
// a dispatch on an older session can be a delayed duplicate, and it is refused.
//
// A dispatch that is refused at receipt leaves no entry, because the only copy
// of the message is consumed by the refusal.
//
// Each dispatch and each first query on a session receives at most one promise.
// A recall or cancel of a task that is not queued receives none. Otherwise the
// answer to a recall could reach the home after it has dispatched the task
// again, and the home would take it for the answer to the new dispatch.
package ledger

import (
	"fmt"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// The reasons of results that only the ledger gives.
const (
	// ReasonIDExpired means that the id is older than the retention period.
	ReasonIDExpired = "id-expired"
	// ReasonResultDropped means that the result was kept for its retention period or its space was needed.
	ReasonResultDropped = "result-dropped"
)

// bucketMillis is the granularity at which ids are forgotten.
const bucketMillis = 10_000

// Limits bound the memory of a ledger.
type Limits struct {
	// IDRetention is the time from the stamp of an id until its entries are forgotten.
	IDRetention gypsumtide.Millis
	// ResultRetention is the time for which a result is kept after the end of the task.
	ResultRetention gypsumtide.Millis
	// ResultBytes bounds the bodies kept.
	ResultBytes int
}

// Requester identifies the session and the epoch of the home that asked for a task last.
type Requester struct {
	session uint64
	epoch   uint64
}

// Session returns the number of the session that the result goes to.
func (a Requester) Session() uint64 { return a.session }

// Epoch returns the epoch under which the home asked.
func (a Requester) Epoch() uint64 { return a.epoch }

// Answer is a result with the home it is for.
type Answer struct {
	asker  Requester
	result wire.Result
}

// Requester returns the home that the result is for.
func (a Answer) Requester() Requester { return a.asker }

// Result returns the result. Its Epoch is the one under which the home asked.
func (a Answer) Result() wire.Result { return a.result }

// Ledger is safe for concurrent use.
type Ledger struct {
	clock  gypsumtide.Clock
	limits Limits

	mu      sync.Mutex
	epochs  [gypsumtide.ShardCount]uint64
	buckets map[int64]map[gypsumtide.SubmissionID]*submission
	// queued holds the queued tasks of each shard, so that a promise finds them without a scan.
	queued [gypsumtide.ShardCount]map[*entry]struct{}
	// horizon is the stamp below which ids are refused. It never falls, so that
	// a wall clock set back does not readmit an id that was forgotten.
	horizon  gypsumtide.Millis
	wall     gypsumtide.Millis
	wallAt   gypsumtide.Millis
	retained []*retained
	bytes    int
	entries  int
}

// New returns an empty ledger.
func New(clock gypsumtide.Clock, limits Limits) *Ledger {
	l := &Ledger{
		clock:   clock,
		limits:  limits,
		buckets: make(map[int64]map[gypsumtide.SubmissionID]*submission),
		wall:    clock.Wall(),
		wallAt:  clock.Now(),
	}
	for i := range l.queued {
		l.queued[i] = make(map[*entry]struct{})
	}
	l.advanceHorizon()
	return l
}

// Start marks a queued task as running and reports whether the caller may start
// it. It is the only way to the running state. The check of the fence and the
// transition are one step under the lock.
func (l *Ledger) Start(ref wire.TaskRef) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(ref.Submission, ref.Task)
	if e == nil || e.state != stateQueued || e.epoch != ref.Epoch {
		return false
	}
	if e.epoch < l.epochs[ref.Submission.Shard()] {
		return false
	}
	l.move(e, stateRunning)
	return true
}

// Finish records the end of a running task. The state of r is TaskDone,
// TaskUnknown, or TaskNotStarted if the upstream proved that it did not start
// the task. It returns the result for the home that asked last.
func (l *Ledger) Finish(r wire.Result) (Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(r.Submission, r.Task)
	if e == nil || e.state != stateRunning {
		return Answer{}, fmt.Errorf("ledger: finish task %d of %s: not running", r.Task, r.Submission)
	}
	r.Epoch = e.asker.epoch
	switch r.State {
	case wire.TaskDone:
		l.move(e, stateDone)
		l.retain(e, r)
	case wire.TaskNotStarted:
		// The promise covers the epoch of the home that asked last, too.
		e.epoch = max(e.epoch, e.asker.epoch)
		l.move(e, statePromised)
	default:
		l.move(e, stateUnknown)
		e.reason = r.Reason
	}
	return Answer{asker: e.asker, result: r}, nil
}

// Entries returns the number of tasks that the ledger knows.
func (l *Ledger) Entries() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries
}

// RetainedBytes returns the size of the results kept.
func (l *Ledger) RetainedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Epoch returns the highest epoch known for the shard.
func (l *Ledger) Epoch(shard gypsumtide.ShardID) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epochs[shard%gypsumtide.ShardCount]
}
