package journal

import (
	"context"
	"errors"

	"gypsumtide"
)

const (
	// minBackoff and maxBackoff bound the pause after a failed request. The
	// upper bound keeps the delay after an outage small beside the 3 s target
	// for configuration.
	minBackoff gypsumtide.Millis = 10
	maxBackoff gypsumtide.Millis = 100
)

// batchLimiter is implemented by logs that tell how many records a read
// returns at most. Without it only an empty read proves the end of the stream.
type batchLimiter interface{ BatchLimit() int }

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
				f.logger.Info("read succeeded again")
			}
			failing, backoff = false, minBackoff
			continue
		}
		f.counters.readFailures.Inc()
		if !failing {
			f.logger.Error(err, "read failed, retrying")
		}
		failing = true
		if err := pause(ctx, backoff); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// poll reads and applies one batch of records.
func (f *Follower) poll(ctx context.Context, wait gypsumtide.Millis) error {
	from := f.readFrom()
	sent := f.clock.Now()
	f.counters.reads.Inc()
	records, next, err := f.log.Read(ctx, f.stream, from, wait)
	var trimmed *gypsumtide.TrimmedError
	if errors.As(err, &trimmed) && trimmed.First > from {
		f.startSeek(trimmed.First)
		return nil
	}
	if err != nil {
		return err
	}
	f.take(from, records, next, sent, len(records) < f.batchLimit())
	return nil
}

// batchLimit returns the number of records that proves that the end of the
// stream was not reached.
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
	if f.seek != nil {
		return f.seek.next
	}
	return f.position
}

// startSeek begins the search for a snapshot after the log trimmed the offset
// to read.
func (f *Follower) startSeek(first uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if first <= f.position {
		// A state adopted during the read made the trimmed records unnecessary.
		f.seek = nil
		return
	}
	f.logger.Info("offset trimmed, looking for a snapshot", "position", f.position, "first", first)
	f.seek = &seek{first: first, next: first}
}

// take applies the records of a read from the offset that was sent at the given time.
func (f *Follower) take(from uint64, records []gypsumtide.Record, next uint64, sent gypsumtide.Millis, end bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.seek != nil {
		f.search(records, next)
		return
	}
	if from > f.position {
		// The read belongs to a search that ended when a peer's state was
		// adopted. The records between that state and the read are missing.
		return
	}
	changed := false
	for _, r := range records {
		// An adopted state may contain records that the read returned.
		if r.Offset >= f.position {
			changed = f.apply(r) || changed
		}
	}
	f.position = max(f.position, next)
	if end {
		f.readAt = sent
		changed = changed || !f.ready
		f.ready = true
		close(f.read)
		f.read = make(chan struct{})
	}
	if changed {
		f.notify()
	}
}

// apply gives a record to the fold and reports whether it did. Invalid records
// and repeated ids are ignored by all readers alike.
func (f *Follower) apply(r gypsumtide.Record) bool {
	f.position = r.Offset + 1
	e, err := decodeEnvelope(r.Data)
	if err != nil {
		f.counters.ignored.Inc()
		f.logger.Error(err, "record ignored", "offset", r.Offset)
		return false
	}
	if e.Kind == kindSnapshot {
		if f.ready && e.AsOf >= f.snapshotFloor {
			f.snapshotAt = f.clock.Now()
			f.sinceSnapshot = 0
		}
		return false
	}
	f.sinceSnapshot++
	if !f.ids.add(e.ID) {
		f.counters.ignored.Inc()
		return false
	}
	f.fold.Apply(r.Offset, e.Body)
	return true
}

// search restores the first snapshot whose as-of offset is still available.
func (f *Follower) search(records []gypsumtide.Record, next uint64) {
	for _, r := range records {
		e, err := decodeEnvelope(r.Data)
		if err != nil || e.Kind != kindSnapshot || e.AsOf < f.seek.first {
			continue
		}
		if err := f.restore(e.AsOf, e.Body); err != nil {
			f.logger.Error(err, "snapshot ignored", "offset", r.Offset)
			continue
		}
		f.logger.Info("restored a snapshot", "as-of", e.AsOf)
		f.notify()
		return
	}
	f.seek.next = next
}

// pause waits for d or until ctx is done.
func pause(ctx context.Context, d gypsumtide.Millis) error {
	if !gypsumtide.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}
