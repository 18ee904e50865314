package journal

import (
	"context"
	"errors"
	"fmt"

	"gypsumtide"
)

// ErrNotAppended means that the record is not in the stream and will not appear
// there, because every attempt was refused or was not sent.
var ErrNotAppended = errors.New("not appended")

// Append adds a record under the id and returns nil once this follower has read it back
// or has adopted a state that includes it, so that View shows its effect. The state
// machine may still have rejected the record as invalid; the caller has to look this up
// in the state.
//
// A failed append is retried under the same id until ctx is done. This is safe
// because readers ignore repeated ids. The error wraps
// gypsumtide.ErrAppendOutcomeUnknown if the record may be in the stream or may
// still arrive there, and ErrNotAppended if it is not there and never will be.
func (f *Follower) Append(ctx context.Context, id ID, record []byte) error {
	if f.contains(id) {
		return nil
	}
	data, err := encodeEnvelope(envelope{ID: id, Kind: kindRecord, Body: record})
	if err != nil {
		return fmt.Errorf("journal: append: %w", err)
	}
	maybeAppended := false
	backoff := minBackoff
	for {
		f.counters.appends.Inc()
		offset, err := f.log.Append(ctx, f.stream, data)
		if err == nil {
			return f.awaitApplied(ctx, id, offset)
		}
		if errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown) {
			maybeAppended = true
			f.counters.unknownOutcomes.Inc()
			if f.awaitReadToEnd(ctx, id) {
				return nil
			}
		} else {
			f.counters.refused.Inc()
		}
		if pause(ctx, backoff) != nil {
			return f.appendError(err, maybeAppended)
		}
		if f.contains(id) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// appendError wraps the error of the last attempt. maybeAppended means that the
// outcome of at least one attempt is unknown.
func (f *Follower) appendError(err error, maybeAppended bool) error {
	switch {
	case errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown):
	case maybeAppended:
		err = outcomeUnknown(err)
	default:
		err = fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	return fmt.Errorf("journal: append to %s: %w", f.stream, err)
}

// awaitApplied waits until the state of this follower includes the record at the offset.
func (f *Follower) awaitApplied(ctx context.Context, id ID, offset uint64) error {
	for {
		changed := f.Changed()
		if f.contains(id) || f.Position() > offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return f.appendError(outcomeUnknown(fmt.Errorf("appended, not read back: %w", ctx.Err())), true)
		case <-changed:
		}
	}
}

// awaitReadToEnd waits until the record has been read, a read that was sent after the
// call has reached the end of the stream, or ctx is done. It reports whether the record
// has been read.
func (f *Follower) awaitReadToEnd(ctx context.Context, id ID) bool {
	began := f.clock.Now()
	for {
		f.mu.RLock()
		endReached, found, caughtUp := f.endReached, f.ids.has(id), f.caughtUpAt > began
		f.mu.RUnlock()
		if found || caughtUp {
			return found
		}
		select {
		case <-ctx.Done():
			return false
		case <-endReached:
		}
	}
}

// contains reports whether this follower has read a record with the id.
func (f *Follower) contains(id ID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.ids.has(id)
}
