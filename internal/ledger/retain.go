package ledger

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// retainedResult is a result that is kept in case a home has to ask for it again.
type retainedResult struct {
	taskEntry *taskEntry
	result    wire.Result
	until     gypsumtide.Millis
	bytes     int
}

// retainedOverhead is added to the size of each body in bytes, so that the number of
// empty results is bounded too.
const retainedOverhead = 256

// retain keeps the result of a done task.
func (l *Ledger) retain(e *taskEntry, r wire.Result) {
	kept := &retainedResult{taskEntry: e, result: r, until: l.clock.Now() + l.limits.ResultRetention, bytes: len(r.Body) + retainedOverhead}
	e.retained = kept
	l.retained = append(l.retained, kept)
	l.retainedBytes += kept.bytes
	l.dropResults()
}

// dropResults drops the oldest results until the others are within their
// retention time and the byte limit.
func (l *Ledger) dropResults() {
	now := l.clock.Now()
	dropped := 0
	for _, kept := range l.retained {
		if now < kept.until && l.retainedBytes <= l.limits.ResultBytes {
			break
		}
		l.retainedBytes -= kept.bytes
		kept.taskEntry.retained = nil
		l.setState(kept.taskEntry, stateUnknown)
		kept.taskEntry.reason = ReasonResultDropped
		dropped++
	}
	clear(l.retained[:dropped])
	l.retained = l.retained[dropped:]
}

// Expire drops results whose retention has ended, and removes the tasks of expired ids;
// see Limits.IDRetention for the exceptions. The owner calls it every few seconds.
func (l *Ledger) Expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropResults()
	l.advanceMinTimestamp()
	for bucket, subs := range l.buckets {
		if gypsumtide.Millis(bucket+1)*bucketMillis > l.minTimestamp {
			continue
		}
		l.removeExpired(subs)
		if len(subs) == 0 {
			delete(l.buckets, bucket)
		}
	}
}

// removeExpired removes the submissions that have neither queued nor running
// tasks nor a retained result.
func (l *Ledger) removeExpired(subs map[gypsumtide.SubmissionID]*submission) {
	for id, sub := range subs {
		if sub.openTasks > 0 || sub.hasRetainedResult() {
			continue
		}
		l.taskCount -= len(sub.tasks)
		delete(subs, id)
	}
}

func (s *submission) hasRetainedResult() bool {
	for _, e := range s.tasks {
		if e.retained != nil {
			return true
		}
	}
	return false
}

// advanceMinTimestamp raises minTimestamp in steps of whole buckets, so that the ids of a
// bucket are either all refused or all kept. boundedWall follows the wall clock, but
// advances at most twice as fast as the monotonic clock. Otherwise, after a jump
// ahead that is soon corrected, the ledger would refuse all new ids for the length of
// the jump.
func (l *Ledger) advanceMinTimestamp() {
	now := l.clock.Now()
	l.boundedWall = max(l.boundedWall, min(l.clock.Wall(), l.boundedWall+2*(now-l.boundedWallAt)))
	l.boundedWallAt = now
	minTimestamp := gypsumtide.Millis(bucketOf(l.boundedWall-l.limits.IDRetention)) * bucketMillis
	l.minTimestamp = max(l.minTimestamp, minTimestamp)
}

// bucketOf returns the bucket of the ids with a timestamp.
func bucketOf(timestamp gypsumtide.Millis) int64 { return int64(timestamp) / bucketMillis }
