package gypsumtide

import (
	"context"
	"fmt"
	"slices"
)

// Directory stores the addresses of the entries.
type Directory interface {
	// Announce writes the record of an entry. It replaces an earlier one of the same name.
	Announce(ctx context.Context, r DirectoryRecord) error
	// Records returns the newest record of each name. If some records cannot be decoded,
	// it returns the others and an *UnreadableRecordsError.
	Records(ctx context.Context) ([]DirectoryRecord, error)
}

// DirectoryRecord is an entry's record in the directory.
type DirectoryRecord struct {
	Name    string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	// Announced is the entry's wall-clock time when it wrote the record.
	Announced Millis `cbor:"3,keyasint,omitempty"`
	// Stored is set once stored jobs are in use.
	Stored bool `cbor:"4,keyasint,omitempty"`
}

// UnreadableRecordsError names the records of a directory that cannot be decoded. They do
// not become readable by reading them again.
type UnreadableRecordsError struct{ names []string }

// NewUnreadableRecordsError returns an error for the records of the given names.
func NewUnreadableRecordsError(names []string) *UnreadableRecordsError {
	sorted := slices.Sorted(slices.Values(names))
	return &UnreadableRecordsError{names: sorted}
}

// Error implements error. It names a few of the records.
func (e *UnreadableRecordsError) Error() string {
	const shown = 8
	return fmt.Sprintf("%d directory records cannot be decoded, such as %q", len(e.names), e.names[:min(shown, len(e.names))])
}
