package journal

import (
	"context"

	"gypsumtide"
)

// Poll reads one batch without a long poll.
func (f *Follower) Poll(ctx context.Context) error { return f.poll(ctx, gypsumtide.Millis(0)) }

// EncodeRecord encodes a record as Append does.
func EncodeRecord(id ID, body []byte) ([]byte, error) {
	return encodeEnvelope(envelope{ID: id, Kind: kindRecord, Body: body})
}
