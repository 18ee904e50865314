package gypsumtide

import (
	"context"
	"errors"
	"fmt"
)

// KeyedRecord is a record of a JobLog. The newest record of a key replaces earlier
// ones; a record without a value deletes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Assignment lists the partitions of a JobLog that are assigned to a member.
type Assignment struct {
	// Generation increases with each rebalance.
	Generation uint64
	Partitions []int
}

// JobLog keeps the records of stored jobs. Each partition is owned by at most one
// member of the group of entries. The owner begins an epoch with its first append; from
// then on appends of lower epochs are rejected, including those that arrive late.
type JobLog interface {
	// Partitions returns the number of partitions.
	Partitions() int
	// Join adds the member to the group, or extends its membership, for ttl. The
	// generation is the last one whose revoked partitions the member has released.
	Join(ctx context.Context, member string, generation uint64, ttl Millis) (Assignment, error)
	// Leave removes the member from the group, so that its partitions are reassigned.
	Leave(ctx context.Context, member string) error
	// Owners returns the member that owns each partition. Partitions without an owner
	// are missing.
	Owners(ctx context.Context) (map[int]string, error)
	// Load returns the newest value of each key of a partition.
	Load(ctx context.Context, partition int) (map[string][]byte, error)
	// Append writes all records or none. The sequence increases by one with each
	// append of an epoch; repeating the last append has no further effect. An error that
	// wraps ErrEpochSuperseded, ErrNotAppended or a *SequenceError means that nothing was
	// written; after any other error the records may or may not have been written.
	Append(ctx context.Context, partition int, epoch, sequence uint64, records []KeyedRecord) error
}

var (
	// ErrEpochSuperseded means that a later epoch of the partition has begun.
	ErrEpochSuperseded = errors.New("a later epoch of the partition has begun")
	// ErrNotAppended means that the log rejected an append and wrote nothing.
	ErrNotAppended = errors.New("log refused the append")
)

// SequenceError means that an append had a different sequence than the log expects.
type SequenceError struct{ Expected uint64 }

// Error implements error.
func (e *SequenceError) Error() string { return fmt.Sprintf("log expects sequence %d", e.Expected) }
