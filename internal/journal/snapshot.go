package journal

import (
	"context"
	"math/rand/v2"

	"gypsumtide"
)

// recordsPerSnapshot is the number of records after which a new snapshot is
// written regardless of the age of the last one, because the log may also limit the
// number of records that it keeps.
const recordsPerSnapshot = 1000

// writeSnapshots appends a snapshot when the last one is older than half the
// retention period or is followed by recordsPerSnapshot records. Because of the
// random delay, one of several readers usually writes the snapshot first, and the
// others read it and wait again.
func (f *Follower) writeSnapshots(ctx context.Context) error {
	checkInterval := max(f.retention/20, 10)
	for {
		jitter := gypsumtide.Millis(rand.Int64N(int64(checkInterval)))
		if err := pause(ctx, checkInterval/2+jitter); err != nil {
			return err
		}
		data := f.dueSnapshot()
		if data == nil {
			continue
		}
		// An append with an unknown outcome needs no retry: either the snapshot is
		// read back, or it is still due at the next check.
		if _, err := f.log.Append(ctx, f.stream, data); err == nil {
			f.counters.snapshots.Inc()
		} else if ctx.Err() == nil {
			f.logger.Error(err, "cannot append snapshot")
		}
	}
}

// dueSnapshot returns the snapshot record to append, or nil if none is due or if it
// cannot be encoded. Snapshots that were read before the follower was ready do not count,
// because their age is unknown.
func (f *Follower) dueSnapshot() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minSnapshotAsOf = f.position
	if !f.ready || f.search != nil || f.position == 0 {
		return nil
	}
	recent := f.snapshotReadAt > 0 && f.clock.Now()-f.snapshotReadAt < f.retention/2
	if recent && f.recordsSinceSnapshot < recordsPerSnapshot {
		return nil
	}
	state, err := encodeState(f.ids, f.stateMachine)
	if err != nil {
		f.logger.Error(err, "cannot encode snapshot")
		return nil
	}
	data, err := EncodeSnapshot(f.position, state)
	if err != nil {
		f.logger.Error(err, "cannot encode snapshot")
		return nil
	}
	return data
}
