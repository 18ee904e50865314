package ledger

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Fence raises the epoch of the shard and discards its queued tasks of lower
// epochs. It returns the highest epoch seen for the shard and the answers to
// send to the homes of the discarded tasks.
func (l *Ledger) Fence(shard gypsumtide.ShardID, epoch uint64) (highest uint64, discarded []Answer) {
	if shard >= gypsumtide.ShardCount {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	discarded = l.raiseEpoch(shard, epoch)
	return l.epochs[shard], discarded
}

// Recover lists the started tasks of a submission for the home that recovers it.
// It also raises the epoch of the shard, so that no other task of the submission
// starts under a lower epoch, and returns the answers for the queued tasks that this
// discards. The home becomes the receiver of the results of running tasks.
func (l *Ledger) Recover(rec wire.Recover, session uint64) (wire.Recovered, []Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceMinTimestamp()
	out := wire.Recovered{Submission: rec.Submission, Epoch: rec.Epoch}
	shard := rec.Submission.Shard()
	// The entries of an expired id may have been removed, so the list could be incomplete.
	if rec.Epoch < l.epochs[shard] || rec.Submission.Timestamp() < l.minTimestamp {
		out.Fenced = true
		return out, nil
	}
	discarded := l.raiseEpoch(shard, rec.Epoch)
	sub := l.buckets[bucketOf(rec.Submission.Timestamp())][rec.Submission]
	if sub == nil {
		return out, discarded
	}
	for _, e := range sub.entries {
		if e.started() {
			e.setRequester(session, rec.Epoch)
			out.Tasks = append(out.Tasks, e.startedResult(rec.Epoch))
		}
	}
	return out, discarded
}

// raiseEpoch raises the epoch of the shard, discards its queued tasks of lower
// epochs, and returns the answers for them.
func (l *Ledger) raiseEpoch(shard gypsumtide.ShardID, epoch uint64) []Answer {
	if epoch <= l.epochs[shard] {
		return nil
	}
	l.epochs[shard] = epoch
	var discarded []Answer
	for e := range l.queued[shard] {
		if e.epoch >= epoch {
			continue
		}
		ref := wire.TaskRef{Submission: e.sub.id, Task: e.task, Epoch: e.epoch}
		discarded = append(discarded, Answer{requester: e.requester, result: notStarted(ref, wire.ReasonFenced)})
		l.setState(e, stateNotStarted)
	}
	return discarded
}

// StartedTasks lists the started tasks of every submission. An agent that leaves
// sends the list to the entries, so that they know after its departure which tasks
// it started.
func (l *Ledger) StartedTasks() []wire.Recovered {
	l.mu.Lock()
	defer l.mu.Unlock()
	var submissions []wire.Recovered
	for _, bucket := range l.buckets {
		for id, sub := range bucket {
			r := wire.Recovered{Submission: id}
			for _, e := range sub.entries {
				if e.started() {
					r.Tasks = append(r.Tasks, e.startedResult(e.epoch))
				}
			}
			if len(r.Tasks) > 0 {
				submissions = append(submissions, r)
			}
		}
	}
	return submissions
}
