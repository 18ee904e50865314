package ledger

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Fence raises the epoch of the shard to at least the given one and discards its queued
// tasks of lower epochs. It returns the highest epoch seen for the shard, or 0 if the
// shard does not exist, and the answers to send to the homes of the discarded tasks.
func (l *Ledger) Fence(shard gypsumtide.ShardID, epoch uint64) (highest uint64, discarded []Answer) {
	if shard >= gypsumtide.ShardCount {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	discarded = l.raiseEpoch(shard, epoch)
	return l.epochs[shard], discarded
}

// Recover answers the recovery request of a home with the started tasks of the
// submission. It also raises the epoch of the shard, so that no other task of the
// submission starts under a lower epoch, and returns the answers for the queued tasks
// that this discards. The home becomes the receiver of the results of running tasks.
//
// If the ledger has seen a higher epoch of the shard, or the id has expired, it changes
// nothing and returns a reply with Fenced set and without tasks.
func (l *Ledger) Recover(req wire.RecoveryRequest, session uint64) (wire.StartedTasks, []Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceMinTimestamp()
	reply := wire.StartedTasks{Submission: req.Submission, Epoch: req.Epoch}
	shard := req.Submission.Shard()
	// The tasks of an expired id may have been removed, so the list could be incomplete.
	if req.Epoch < l.epochs[shard] || req.Submission.Timestamp() < l.minTimestamp {
		reply.Fenced = true
		return reply, nil
	}
	discarded := l.raiseEpoch(shard, req.Epoch)
	sub := l.buckets[bucketOf(req.Submission.Timestamp())][req.Submission]
	if sub == nil {
		return reply, discarded
	}
	for _, e := range sub.tasks {
		if e.started() {
			e.setRequester(session, req.Epoch)
			reply.Tasks = append(reply.Tasks, e.startedResult(req.Epoch))
		}
	}
	return reply, discarded
}

// raiseEpoch raises the epoch of the shard to at least the given one, discards its queued
// tasks of lower epochs, and returns the answers for them.
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
// sends the list to the entries as its final ledger, so that they know afterwards which
// tasks it started.
func (l *Ledger) StartedTasks() []wire.StartedTasks {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []wire.StartedTasks
	for _, bucket := range l.buckets {
		for id, sub := range bucket {
			started := wire.StartedTasks{Submission: id}
			for _, e := range sub.tasks {
				if e.started() {
					started.Tasks = append(started.Tasks, e.startedResult(e.epoch))
				}
			}
			if len(started.Tasks) > 0 {
				all = append(all, started)
			}
		}
	}
	return all
}
