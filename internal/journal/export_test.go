package journal

import (
	"context"

	"gypsumtide"
)

// Poll reads one batch without waiting for records.
func (f *Follower) Poll(ctx context.Context) error { return f.poll(ctx, gypsumtide.Millis(0)) }

// EncodeRecord returns the record that Append writes.
func EncodeRecord(id ID, body []byte) ([]byte, error) {
	return encodeEnvelope(envelope{ID: id, Kind: kindRecord, Body: body})
}
