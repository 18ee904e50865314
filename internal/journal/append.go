package journal

import (
	"context"
	"errors"
	"fmt"

	"gypsumtide"
)

// ErrNotAppended means that no attempt of an append reached the stream.
var ErrNotAppended = errors.New("not appended")

// Append adds a record under the id and returns nil once this follower has
// read it back, so that View shows its effect. The caller reads from the fold
// whether the record was valid.
//
// While ctx allows, a failed append is repeated under the same id, which is
// harmless because readers ignore repeats. The error wraps
// gypsumtide.ErrAppendOutcomeUnknown if the record may be in the stream or may
// still arrive there, and ErrNotAppended if it is not and will not.
func (f *Follower) Append(ctx context.Context, id ID, record []byte) error {
	if f.contains(id) {
		return nil
	}
	data, err := encodeEnvelope(envelope{ID: id, Kind: kindRecord, Body: record})
	if err != nil {
		return fmt.Errorf("journal: append: %w", err)
	}
	unsettledOnce := false
	backoff := minBackoff
	for {
		f.counters.appends.Inc()
		offset, err := f.log.Append(ctx, f.stream, data)
		if err == nil {
			return f.awaitRecord(ctx, id, offset)
		}
		if errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown) {
			unsettledOnce = true
			f.counters.unsettled.Inc()
			if f.awaitEnd(ctx, id) {
				return nil
			}
		} else {
			f.counters.refused.Inc()
		}
		if pause(ctx, backoff) != nil {
			return f.appendError(err, unsettledOnce)
		}
		if f.contains(id) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

func (f *Follower) appendError(err error, unsettledOnce bool) error {
	switch {
	case errors.Is(err, gypsumtide.ErrAppendOutcomeUnknown):
	case unsettledOnce:
		err = unsettled(err)
	default:
		err = fmt.Errorf("%w: %w", ErrNotAppended, err)
	}
	return fmt.Errorf("journal: append to %s: %w", f.stream, err)
}

// awaitRecord waits until the record at the offset has been applied.
func (f *Follower) awaitRecord(ctx context.Context, id ID, offset uint64) error {
	for {
		changed := f.Changed()
		if f.contains(id) || f.Position() > offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return f.appendError(unsettled(fmt.Errorf("appended, not read back: %w", ctx.Err())), true)
		case <-changed:
		}
	}
}

// awaitEnd waits for a read that was sent after the call and reached the end
// of the stream. It reports whether the record is there.
func (f *Follower) awaitEnd(ctx context.Context, id ID) bool {
	now := f.clock.Now()
	for {
		f.mu.RLock()
		read, found, done := f.read, f.ids.has(id), f.readAt > now
		f.mu.RUnlock()
		if found || done {
			return found
		}
		select {
		case <-ctx.Done():
			return false
		case <-read:
		}
	}
}

func (f *Follower) contains(id ID) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.ids.has(id)
}
