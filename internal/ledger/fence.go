package ledger

import (
	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Fence raises the epoch of the shard and discards its queued tasks of lower
// epochs. It returns the highest epoch known and the answers for the homes of
// the discarded tasks.
func (l *Ledger) Fence(shard gypsumtide.ShardID, epoch uint64) (highest uint64, discarded []Answer) {
	if shard >= gypsumtide.ShardCount {
		return 0, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	discarded = l.raise(shard, epoch)
	return l.epochs[shard], discarded
}

// Recover lists the started tasks of a submission. By raising the epoch of the
// shard it promises that no other task of the submission starts under a lower
// epoch. The home that recovers receives the results of the running tasks.
func (l *Ledger) Recover(rec wire.Recover, session uint64) (wire.Recovered, []Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceHorizon()
	out := wire.Recovered{Submission: rec.Submission, Epoch: rec.Epoch}
	shard := rec.Submission.Shard()
	// The started tasks of an expired id may be forgotten, so that a list would be wrong.
	if rec.Epoch < l.epochs[shard] || rec.Submission.Stamp() < l.horizon {
		out.Fenced = true
		return out, nil
	}
	discarded := l.raise(shard, rec.Epoch)
	sub := l.buckets[bucketOf(rec.Submission.Stamp())][rec.Submission]
	if sub == nil {
		return out, discarded
	}
	for _, e := range sub.entries {
		if e.started() {
			e.ask(session, rec.Epoch)
			out.Tasks = append(out.Tasks, e.report(rec.Epoch))
		}
	}
	return out, discarded
}

// raise moves the epoch of the shard up and discards what the new epoch forbids.
func (l *Ledger) raise(shard gypsumtide.ShardID, epoch uint64) []Answer {
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
		discarded = append(discarded, Answer{asker: e.asker, result: notStarted(ref, wire.ReasonFenced)})
		l.move(e, statePromised)
	}
	return discarded
}

// StartedTasks lists the started tasks of every submission. A leaving agent hands
// the list to the entries, so that its departure puts no id in doubt.
func (l *Ledger) StartedTasks() []wire.Recovered {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []wire.Recovered
	for _, bucket := range l.buckets {
		for id, sub := range bucket {
			r := wire.Recovered{Submission: id}
			for _, e := range sub.entries {
				if e.started() {
					r.Tasks = append(r.Tasks, e.report(e.epoch))
				}
			}
			if len(r.Tasks) > 0 {
				all = append(all, r)
			}
		}
	}
	return all
}
