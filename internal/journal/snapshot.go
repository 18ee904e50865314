package journal

import (
	"context"
	"math/rand/v2"

	"gypsumtide"
)

// snapshotRecords is the number of records after which a snapshot is written
// regardless of its age, because the log may also limit the number of records
// that it keeps.
const snapshotRecords = 1000

// writeSnapshots appends a snapshot after half the retention period. The random
// delay lets one of several readers be first; the others read its snapshot and
// wait again.
func (f *Follower) writeSnapshots(ctx context.Context) error {
	check := max(f.retention/20, 10)
	for {
		jitter := gypsumtide.Millis(rand.Int64N(int64(check)))
		if err := pause(ctx, check/2+jitter); err != nil {
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

// dueSnapshot returns the snapshot record to append, or nil if none is due.
// Snapshots that were read before the follower was ready do not count, because
// their age is unknown.
func (f *Follower) dueSnapshot() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minSnapshotAsOf = f.position
	if !f.ready || f.search != nil || f.position == 0 {
		return nil
	}
	recent := f.snapshotReadAt > 0 && f.clock.Now()-f.snapshotReadAt < f.retention/2
	if recent && f.recordsSinceSnapshot < snapshotRecords {
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
