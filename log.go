package gypsumtide

import (
	"context"
	"errors"
	"fmt"
)

// ErrAppendOutcomeUnknown means that an append may or may not have taken effect.
// Only a read of the stream can show which.
var ErrAppendOutcomeUnknown = errors.New("outcome of the append is unknown")

// TrimmedError means that a read asked for an offset that the log no longer retains.
type TrimmedError struct {
	// First is the lowest offset still available.
	First uint64
}

// Error implements error.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("offset trimmed, first available is %d", e.First)
}

// Record is one record of a log stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Log is the platform's append-only log service.
type Log interface {
	// Append adds data to the stream. An error that wraps ErrAppendOutcomeUnknown
	// means that the append may have taken effect.
	Append(ctx context.Context, stream string, data []byte) (offset uint64, err error)
	// Read returns the records starting at offset from and the next offset to read.
	// It waits up to wait for the first record. If from is lower than the first available
	// offset, the error wraps a *TrimmedError.
	Read(ctx context.Context, stream string, from uint64, wait Millis) (records []Record, next uint64, err error)
}
