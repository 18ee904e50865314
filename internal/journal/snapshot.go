package journal

import (
	"context"
	"math/rand/v2"

	"gypsumtide"
)

// snapshotRecords is the number of records after which a snapshot is written
// even if the retention time is far off, because the log may also bound the
// number of records.
const snapshotRecords = 1000

// writeSnapshots appends a snapshot at half the retention. The jitter lets one
// of several readers be first; the others see its snapshot and wait again.
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
		// A lost answer needs no settling: the snapshot is read or written again.
		if _, err := f.log.Append(ctx, f.stream, data); err == nil {
			f.counters.snapshots.Inc()
		} else if ctx.Err() == nil {
			f.logger.Error(err, "snapshot not appended")
		}
	}
}

// dueSnapshot returns the record to append, or nil if none is due. Snapshots
// read before the follower was ready are of unknown age and do not count.
func (f *Follower) dueSnapshot() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshotFloor = f.position
	if !f.ready || f.seek != nil || f.position == 0 {
		return nil
	}
	recent := f.snapshotAt > 0 && f.clock.Now()-f.snapshotAt < f.retention/2
	if recent && f.sinceSnapshot < snapshotRecords {
		return nil
	}
	state, err := encodeState(f.ids, f.fold)
	if err != nil {
		f.logger.Error(err, "snapshot not encoded")
		return nil
	}
	data, err := EncodeSnapshot(f.position, state)
	if err != nil {
		f.logger.Error(err, "snapshot not encoded")
		return nil
	}
	return data
}
