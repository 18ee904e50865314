package stored

import (
	"fmt"
	"strings"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recordVersion is the version of the records that this program writes. Records of
// other versions are rejected when read.
const recordVersion = 1

// jobRecord is the record of a job, with the job id as its key. It is written when the
// job is accepted, when its owner changes, and when it reaches a final state.
type jobRecord struct {
	Version    uint8                 `cbor:"1,keyasint"`
	Request    string                `cbor:"2,keyasint,omitempty"`
	Spec       string                `cbor:"3,keyasint,omitempty"`
	Steps      []gypsumtide.JobStep  `cbor:"4,keyasint,omitempty"`
	Route      gypsumtide.QueueRoute `cbor:"5,keyasint,omitempty"`
	AcceptedAt gypsumtide.Millis     `cbor:"6,keyasint,omitempty"`
	// OwnerCount is the number of owners that the job had before this one.
	OwnerCount uint32 `cbor:"7,keyasint,omitempty"`
	// State is set together with EndedAt once it is final.
	State   gypsumtide.JobState `cbor:"8,keyasint,omitempty"`
	EndedAt gypsumtide.Millis   `cbor:"9,keyasint,omitempty"`
}

// progressRecord holds the recorded ends of a job's tasks, by task index over all
// steps. Each record replaces the previous one.
type progressRecord struct {
	Version uint8 `cbor:"1,keyasint"`
	// Done has a bit for each task, set once the task is done.
	Done     []byte           `cbor:"2,keyasint,omitempty"`
	Failures map[uint32]uint8 `cbor:"3,keyasint,omitempty"`
}

// Keys other than job ids. The record of ownerKey begins an epoch, with the member name
// of the owner as its value. progressSuffix follows the job id in the key of its
// progressRecord.
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

// decode decodes data into record and checks its version. The version argument points
// to the record's version field.
func decode(data []byte, kind string, record any, version *uint8) error {
	if err := wire.Unmarshal(data, record); err != nil {
		return err
	}
	if *version != recordVersion {
		return fmt.Errorf("%s record has unsupported version %d", kind, *version)
	}
	return nil
}

// encode returns the record for a value that the program has built itself.
func encode(key string, value any) (gypsumtide.KeyedRecord, error) {
	data, err := wire.Marshal(value)
	if err != nil {
		return gypsumtide.KeyedRecord{}, fmt.Errorf("encode record %s: %w", key, err)
	}
	return gypsumtide.KeyedRecord{Key: key, Value: data}, nil
}

// isJobKey reports whether a key is a job id.
func isJobKey(key string) bool { return key != ownerKey && !strings.HasSuffix(key, progressSuffix) }
