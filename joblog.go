package gypsumtide

import (
	"context"
	"errors"
	"fmt"
)

// KeyedRecord is a record of a JobLog. The newest record of a key replaces the
// ones before; one without a value removes the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// Assignment is a member's share of the partitions of a JobLog.
type Assignment struct {
	// Generation rises with each change of the distribution.
	Generation uint64
	Partitions []int
}

// JobLog keeps the records of stored jobs. Each partition has one owner, a
// member of the group of entries. The owner begins an epoch with its first
// append; from then on the appends of lower epochs are rejected, also those that
// arrive late.
type JobLog interface {
	// Partitions returns the number of partitions.
	Partitions() int
	// Join takes part in the distribution of the partitions, or keeps the member in
	// it for ttl. It names the last generation whose losses the member has acted on.
	Join(ctx context.Context, member string, generation uint64, ttl Millis) (Assignment, error)
	// Leave gives the member's partitions to others.
	Leave(ctx context.Context, member string) error
	// Owners returns the member that holds each partition.
	Owners(ctx context.Context) (map[int]string, error)
	// Load returns the newest value of each key of a partition.
	Load(ctx context.Context, partition int) (map[string][]byte, error)
	// Append writes all records or none. The sequence rises by one with each append
	// of an epoch; a repeat of the last one has no further effect. An error that
	// proves that nothing was written is ErrEpochSuperseded, ErrNotAppended or a
	// *SequenceError; any other leaves it open.
	Append(ctx context.Context, partition int, epoch, sequence uint64, records []KeyedRecord) error
}

var (
	// ErrEpochSuperseded means that a later epoch of the partition has begun.
	ErrEpochSuperseded = errors.New("a later epoch of the partition has begun")
	// ErrNotAppended means that the log refused an append and has written nothing.
	ErrNotAppended = errors.New("log refused the append")
)

// SequenceError means that the log expects another sequence.
type SequenceError struct{ Expected uint64 }

// Error implements error.
func (e *SequenceError) Error() string { return fmt.Sprintf("log expects sequence %d", e.Expected) }
