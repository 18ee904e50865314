package stored

import (
	"fmt"
	"strings"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recordVersion is the version of the records that this program writes. A reader
// rejects records of versions that it does not know.
const recordVersion = 1

// jobRecord is the record of a job under its id. It is written when the job is
// accepted, when its owner changes, and when it has ended.
type jobRecord struct {
	Version    uint8                 `cbor:"1,keyasint"`
	Request    string                `cbor:"2,keyasint,omitempty"`
	Spec       string                `cbor:"3,keyasint,omitempty"`
	Steps      []gypsumtide.JobStep  `cbor:"4,keyasint,omitempty"`
	Route      gypsumtide.QueueRoute `cbor:"5,keyasint,omitempty"`
	AcceptedAt gypsumtide.Millis     `cbor:"6,keyasint,omitempty"`
	// OwnerCount counts the owners of the job.
	OwnerCount uint32 `cbor:"7,keyasint,omitempty"`
	// State is set once it is final, with the time of the end.
	State   gypsumtide.JobState `cbor:"8,keyasint,omitempty"`
	EndedAt gypsumtide.Millis   `cbor:"9,keyasint,omitempty"`
}

// progressRecord tells which tasks of a job have ended, by their index over all
// steps. Each one replaces the one before.
type progressRecord struct {
	Version uint8 `cbor:"1,keyasint"`
	// Done has a bit for each task.
	Done     []byte           `cbor:"2,keyasint,omitempty"`
	Failures map[uint32]uint8 `cbor:"3,keyasint,omitempty"`
}

// Keys of records that belong to no job, or to a job's progress.
const (
	ownerKey       = "owner"
	progressSuffix = "+"
)

func progressKey(id string) string { return id + progressSuffix }

func decodeJob(data []byte) (jobRecord, error) {
	var r jobRecord
	err := decode(data, "job", &r, &r.Version)
	return r, err
}

func decodeProgress(data []byte) (progressRecord, error) {
	var r progressRecord
	err := decode(data, "progress", &r, &r.Version)
	return r, err
}

// decode fills record, of which version is a field, from data.
func decode(data []byte, kind string, record any, version *uint8) error {
	if err := wire.Unmarshal(data, record); err != nil {
		return err
	}
	if *version != recordVersion {
		return fmt.Errorf("%s record of version %d", kind, *version)
	}
	return nil
}

// encode returns the record of a value that the program has built itself.
func encode(key string, value any) (gypsumtide.KeyedRecord, error) {
	data, err := wire.Marshal(value)
	if err != nil {
		return gypsumtide.KeyedRecord{}, fmt.Errorf("record %s: %w", key, err)
	}
	return gypsumtide.KeyedRecord{Key: key, Value: data}, nil
}

// isJobKey reports whether a key is the id of a job.
func isJobKey(key string) bool { return key != ownerKey && !strings.HasSuffix(key, progressSuffix) }
