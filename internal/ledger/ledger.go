// Package ledger records, for one agent, which tasks it has started and which
// it has reported as not started. It ensures that no task starts twice, and that
// a task reported as not started does not start afterwards without a new dispatch.
//
// The tasks of a shard are dispatched by an entry, the home of the shard, under an
// epoch that increases with each change of the home. A fence for an epoch of a shard
// makes the agent reject dispatches of lower epochs. The sessions between homes and
// the agent are numbered, and a newer session has a higher number.
//
// # Redispatch and delayed duplicates
//
// A not-started answer for a single task (after a recall, a cancel, a query or a
// deadline) is bound to the epoch and the session on which it is sent. A later
// dispatch under the same epoch is accepted only on that session or a newer one,
// for these reasons:
//
//   - An epoch has one home, and a home dispatches a task only while it has no
//     other open dispatch of that task.
//   - A session delivers messages once and in order. A second dispatch on the
//     session of the answer was therefore sent after the home had read the answer.
//   - A dispatch on a newer session was sent after the home had settled the
//     earlier dispatch, by the answer or by a query.
//
// Only a dispatch on an older session can be a delayed duplicate, and it is refused.
//
// A dispatch that is refused on receipt adds no task to the ledger: the refusal
// consumes the only copy of the message, so it cannot arrive once more.
//
// Each dispatch, and the first query of a task on a session, receives at most
// one not-started answer. A recall or cancel of a task that is not queued
// receives no not-started answer. Otherwise the answer to a recall could reach the
// home after it has dispatched the task again, and the home would take it for the
// answer to the new dispatch.
package ledger

import (
	"fmt"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Reasons that only the ledger sets on a result.
const (
	// ReasonIDExpired means that the submission id has expired; see Limits.IDRetention.
	ReasonIDExpired = "id-expired"
	// ReasonResultDropped means that the task ended, but its result was dropped
	// because its retention period ended or its space was needed.
	ReasonResultDropped = "result-dropped"
)

// bucketMillis is the range of id timestamps in one bucket. The ids of a bucket
// expire together.
const bucketMillis = 10_000

// Limits bounds the memory that a ledger uses.
type Limits struct {
	// IDRetention is the time from the timestamp of a submission id until the id
	// expires, by the clock and in the steps that advanceMinTimestamp describes. Expire
	// then removes the tasks of the submission, once none is queued or running and no
	// result is kept.
	IDRetention gypsumtide.Millis
	// ResultRetention is how long a result is kept after its task has ended, unless its
	// space is needed earlier.
	ResultRetention gypsumtide.Millis
	// ResultBytes bounds the total size of the results kept, including an overhead for each.
	ResultBytes int
}

// Requester identifies a home that asked for a task, by its session and epoch.
type Requester struct {
	session uint64
	epoch   uint64
}

// Session returns the number of the session on which the result is sent.
func (r Requester) Session() uint64 { return r.session }

// Epoch returns the epoch of the home when it asked.
func (r Requester) Epoch() uint64 { return r.epoch }

// Answer is a task result together with the home that it is sent to.
type Answer struct {
	requester Requester
	result    wire.Result
}

// Requester returns the home that the result is sent to.
func (a Answer) Requester() Requester { return a.requester }

// Result returns the result. Its Epoch is that of the home when it asked.
func (a Answer) Result() wire.Result { return a.result }

// Ledger holds the state of every task that the agent knows of. It is safe for
// concurrent use.
type Ledger struct {
	clock  gypsumtide.Clock
	limits Limits

	mu sync.Mutex
	// epochs holds the highest epoch seen for each shard.
	epochs [gypsumtide.ShardCount]uint64
	// buckets holds the submissions, grouped by the timestamps of their ids.
	buckets map[int64]map[gypsumtide.SubmissionID]*submission
	// queued holds the queued tasks of each shard, so that a higher epoch finds them
	// without a scan.
	queued [gypsumtide.ShardCount]map[*taskEntry]struct{}
	// minTimestamp is the timestamp below which ids have expired: tasks that are not in
	// the ledger are refused, and so is recovery. It never falls, so that a wall clock
	// set back does not readmit an id whose tasks were removed.
	minTimestamp gypsumtide.Millis
	// boundedWall is the wall clock with the bounded rate that advanceMinTimestamp
	// describes, and boundedWallAt the monotonic time at which it was computed.
	boundedWall   gypsumtide.Millis
	boundedWallAt gypsumtide.Millis
	// retained holds the results kept, oldest first, and retainedBytes their total
	// size including the overhead for each.
	retained      []*retainedResult
	retainedBytes int
	taskCount     int
}

// New returns an empty ledger.
func New(clock gypsumtide.Clock, limits Limits) *Ledger {
	l := &Ledger{
		clock:         clock,
		limits:        limits,
		buckets:       make(map[int64]map[gypsumtide.SubmissionID]*submission),
		boundedWall:   clock.Wall(),
		boundedWallAt: clock.Now(),
	}
	for i := range l.queued {
		l.queued[i] = make(map[*taskEntry]struct{})
	}
	l.advanceMinTimestamp()
	return l
}

// Start marks a queued task as running and reports whether the caller may start
// it. No other method sets the running state. The epoch check and the transition
// happen under one lock.
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
	l.setState(e, stateRunning)
	return true
}

// Finish records the end of a running task. The state of r is TaskDone,
// TaskUnknown, or TaskNotStarted if the upstream proved that it did not start
// the task. It returns the result, addressed to the home that asked last, or an error
// if the task is not running.
func (l *Ledger) Finish(r wire.Result) (Answer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(r.Submission, r.Task)
	if e == nil || e.state != stateRunning {
		return Answer{}, fmt.Errorf("ledger: finish task %d of %s: not running", r.Task, r.Submission)
	}
	r.Epoch = e.requester.epoch
	switch r.State {
	case wire.TaskDone:
		l.setState(e, stateDone)
		l.retain(e, r)
	case wire.TaskNotStarted:
		// The not-started answer also holds for the epoch of the home that asked last.
		e.epoch = max(e.epoch, e.requester.epoch)
		l.setState(e, stateNotStarted)
	default:
		l.setState(e, stateUnknown)
		e.reason = r.Reason
	}
	return Answer{requester: e.requester, result: r}, nil
}

// TaskCount returns the number of tasks in the ledger.
func (l *Ledger) TaskCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.taskCount
}

// RetainedBytes returns the size of the results kept, including the overhead for each.
func (l *Ledger) RetainedBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.retainedBytes
}

// Epoch returns the highest epoch seen for the shard.
func (l *Ledger) Epoch(shard gypsumtide.ShardID) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epochs[shard%gypsumtide.ShardCount]
}
