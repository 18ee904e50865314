package gypsumtide

import "context"

// Directory stores the addresses of the entries.
type Directory interface {
	// Announce writes the record of an entry. It replaces an earlier one of the same name.
	Announce(ctx context.Context, r DirectoryRecord) error
	// Records returns the newest record of each name. With an error, it returns those
	// that it could read.
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
