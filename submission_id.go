package gypsumtide

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ShardCount is the number of shards that submission ids are distributed over.
const ShardCount = 64

// ShardID identifies a shard, from 0 to ShardCount-1.
type ShardID uint16

// SubmissionID is a UUIDv7. Admission depends on its timestamp, and its hash
// determines the shard.
type SubmissionID [16]byte

// NewSubmissionID returns a new id with a timestamp from the wall clock of this host.
func NewSubmissionID() (SubmissionID, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return SubmissionID{}, fmt.Errorf("submission id: %w", err)
	}
	return SubmissionID(id), nil
}

// ParseSubmissionID parses the canonical text form of a UUIDv7. It rejects any
// other form and version.
func ParseSubmissionID(s string) (SubmissionID, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return SubmissionID{}, fmt.Errorf("submission id: %w", err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 || id.String() != s {
		return SubmissionID{}, fmt.Errorf("submission id: %q is not a UUIDv7 in canonical form", s)
	}
	return SubmissionID(id), nil
}

// String returns the canonical text form.
func (id SubmissionID) String() string { return uuid.UUID(id).String() }

// Timestamp returns the Unix time encoded in the id.
func (id SubmissionID) Timestamp() Millis {
	return Millis(binary.BigEndian.Uint64(id[:8]) >> 16)
}

// Shard returns the shard of the id.
func (id SubmissionID) Shard() ShardID {
	return ShardID(xxhash.Sum64(id[:]) % ShardCount)
}
