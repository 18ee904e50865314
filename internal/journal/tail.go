package journal

import (
	"context"
	"errors"

	"gypsumtide"
)

const (
	// minBackoff and maxBackoff limit the pause after a failed request. The
	// upper limit keeps the delay after an outage small compared with the 3 s
	// within which a new configuration should arrive.
	minBackoff gypsumtide.Millis = 10
	maxBackoff gypsumtide.Millis = 100
)

// batchLimiter is implemented by logs that limit the number of records of a read.
// For any other log, only an empty read proves that the end of the stream was
// reached.
type batchLimiter interface{ BatchLimit() int }

// tail reads the stream until ctx is done. It pauses after a failed read.
func (f *Follower) tail(ctx context.Context) error {
	backoff := minBackoff
	failing := false
	for {
		err := f.poll(ctx, pollWait)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err == nil {
			if failing {
				f.logger.Info("reading the stream again after failures")
			}
			failing, backoff = false, minBackoff
			continue
		}
		f.counters.readFailures.Inc()
		if !failing {
			f.logger.Error(err, "cannot read the stream, retrying")
		}
		failing = true
		if err := pause(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll reads and applies one batch of records. If the log has trimmed the offset to read,
// it starts the search for a snapshot instead and returns nil.
func (f *Follower) poll(ctx context.Context, wait gypsumtide.Millis) error {
	from := f.readFrom()
	sentAt := f.clock.Now()
	f.counters.reads.Inc()
	records, next, err := f.log.Read(ctx, f.stream, from, wait)
	var trimmed *gypsumtide.TrimmedError
	if errors.As(err, &trimmed) && trimmed.First > from {
		f.startSearch(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	f.applyBatch(from, records, next, sentAt, len(records) < f.batchLimit())
	return nil
}

// batchLimit returns the number of records below which a read has reached the end
// of the stream.
func (f *Follower) batchLimit() int {
	if l, ok := f.log.(batchLimiter); ok {
		return l.BatchLimit()
	}
	return 1
}

// readFrom returns the offset to read next.
func (f *Follower) readFrom() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.search != nil {
		return f.search.next
	}
	return f.position
}

// startSearch starts the search for a snapshot after the log has trimmed the
// offset to read next.
func (f *Follower) startSearch(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if first <= f.position {
		// A state was adopted during the read, so the trimmed records are not needed.
		f.search = nil
		return
	}
	f.logger.Info("offset trimmed, searching for a snapshot", "position", f.position, "first", first)
	f.search = &snapshotSearch{first: first, next: first}
}

// applyBatch applies the records of a read that started at offset from and was sent
// at the time sentAt. endReached tells whether the read reached the end of the stream.
func (f *Follower) applyBatch(from uint64, records []gypsumtide.Record, next uint64, sentAt gypsumtide.Millis, endReached bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.search != nil {
		f.searchSnapshot(records, next)
		return
	}
	if from > f.position {
		// The read belongs to a search that ended when the state of a peer was
		// adopted. The records between that state and from have not been read.
		return
	}
	changed := false
	for _, r := range records {
		// A state that was adopted during the read may include this record.
		if r.Offset >= f.position {
			changed = f.applyRecord(r) || changed
		}
	}
	f.position = max(f.position, next)
	if endReached {
		f.caughtUpAt = sentAt
		changed = changed || !f.ready
		f.ready = true
		close(f.endReached)
		f.endReached = make(chan struct{})
	}
	if changed {
		f.notify()
	}
}

// applyRecord passes a record to the state machine and reports whether it did. All
// readers ignore the same records: invalid ones, snapshots, and those with a repeated id.
func (f *Follower) applyRecord(r gypsumtide.Record) bool {
	f.position = r.Offset + 1
	e, err := decodeEnvelope(r.Data)
	if err != nil {
		f.counters.ignored.Inc()
		f.logger.Error(err, "invalid record ignored", "offset", r.Offset)
		return false
	}
	if e.Kind == kindSnapshot {
		if f.ready && e.AsOf <= r.Offset && e.AsOf >= f.minSnapshotAsOf {
			f.snapshotReadAt = f.clock.Now()
			f.recordsSinceSnapshot = 0
		}
		return false
	}
	f.recordsSinceSnapshot++
	if !f.ids.add(e.ID) {
		f.counters.ignored.Inc()
		return false
	}
	f.stateMachine.Apply(r.Offset, e.Body)
	return true
}

// searchSnapshot looks through the records of a read and restores the first valid
// snapshot whose as-of offset was not trimmed when the search began, so that the
// records from that offset on can be read. It ignores a snapshot that claims to include
// records after itself, since reading would continue beyond the end of the stream. The caller must hold the lock.
func (f *Follower) searchSnapshot(records []gypsumtide.Record, next uint64) {
	for _, r := range records {
		e, err := decodeEnvelope(r.Data)
		if err != nil || e.Kind != kindSnapshot || e.AsOf < f.search.first {
			continue
		}
		if e.AsOf > r.Offset {
			f.logger.Info("snapshot of later records ignored", "offset", r.Offset, "as-of", e.AsOf)
			continue
		}
		if err := f.restore(e.AsOf, e.Body); err != nil {
			f.logger.Error(err, "invalid snapshot ignored", "offset", r.Offset)
			continue
		}
		f.logger.Info("restored state from a snapshot", "as-of", e.AsOf)
		f.notify()
		return
	}
	f.search.next = next
}

// pause waits for d, or returns the error of ctx once it is done.
func pause(ctx context.Context, d gypsumtide.Millis) error {
	if !gypsumtide.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
