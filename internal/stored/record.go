package stored

import (
	"fmt"
	"math"
	"strings"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// recordVersion is the version of the jobRecords and progressRecords that this program
// writes. Records of other versions are rejected when read.
const recordVersion = 1

// jobRecord is the record of a job, with the job id as its key. It is written when the
// job is accepted, when a new owner of its partition continues it, and when it reaches a
// final state.
type jobRecord struct {
	Version    uint8                 `cbor:"1,keyasint"`
	Request    string                `cbor:"2,keyasint,omitempty"`
	Spec       string                `cbor:"3,keyasint,omitempty"`
	Steps      []gypsumtide.JobStep  `cbor:"4,keyasint,omitempty"`
	Route      gypsumtide.QueueRoute `cbor:"5,keyasint,omitempty"`
	AcceptedAt gypsumtide.Millis     `cbor:"6,keyasint,omitempty"`
	// OwnerCount is the number of owners that the job had before this one. An entry that
	// opens the partition again counts as a new owner.
	OwnerCount uint32 `cbor:"7,keyasint,omitempty"`
	// State and EndedAt are set in the record of a final state only.
	State   gypsumtide.JobState `cbor:"8,keyasint,omitempty"`
	EndedAt gypsumtide.Millis   `cbor:"9,keyasint,omitempty"`
}

// progressRecord holds which tasks of a job are done and how often each has failed. Tasks
// are indexed across all steps of the job. Each record replaces the previous one.
type progressRecord struct {
	Version uint8 `cbor:"1,keyasint"`
	// Done has a bit for each task, set once the task is done.
	Done []byte `cbor:"2,keyasint,omitempty"`
	// Failures is the number of failed runs of each task that has any.
	Failures map[uint32]uint8 `cbor:"3,keyasint,omitempty"`
	// Checkpoints holds the newest checkpoint of each task that has one and is not done.
	Checkpoints map[uint32]checkpointRecord `cbor:"4,keyasint,omitempty"`
}

// checkpointRecord is a checkpoint, with the share of the task's work at it in percent.
type checkpointRecord struct {
	Data    string `cbor:"1,keyasint"`
	Percent int    `cbor:"2,keyasint,omitempty"`
}

// Keys of records other than jobRecords.
const (
	// ownerKey is the key of the record that begins an epoch. Its value is the member
	// name of the owner.
	ownerKey = "owner"
	// progressSuffix is appended to a job id to form the key of the job's progressRecord.
	progressSuffix = "+"
)

func progressKey(id string) string { return id + progressSuffix }

func decodeJob(data []byte) (jobRecord, error) {
	var r jobRecord
	err := decode(data, "job", &r, &r.Version)
	return r, err
}

// validate returns an error for a record that cannot be the one of a job: its numbers
// would exhaust memory or overflow.
func (r *jobRecord) validate() error {
	switch {
	case r.OwnerCount == math.MaxUint32:
		return &gypsumtide.InvalidValueError{Field: "owner count", Value: r.OwnerCount}
	case math.IsNaN(r.Route.SlackFactor) || math.IsInf(r.Route.SlackFactor, 0):
		return &gypsumtide.InvalidValueError{Field: "slack factor", Value: r.Route.SlackFactor}
	}
	switch r.State {
	case "":
		return gypsumtide.ValidateSteps(r.Steps)
	case gypsumtide.JobComplete, gypsumtide.JobFailed, gypsumtide.JobCancelled:
		return gypsumtide.ValidateTime("end", r.EndedAt)
	}
	return &gypsumtide.InvalidValueError{Field: "job state", Value: r.State}
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

// encode returns a record with the given key and the encoded value.
func encode(key string, value any) (gypsumtide.KeyedRecord, error) {
	data, err := wire.Marshal(value)
	if err != nil {
		return gypsumtide.KeyedRecord{}, fmt.Errorf("encode record %s: %w", key, err)
	}
	return gypsumtide.KeyedRecord{Key: key, Value: data}, nil
}

// isJobKey reports whether a key is a job id. It returns false for a job id that is equal to
// ownerKey or ends with progressSuffix.
func isJobKey(key string) bool { return key != ownerKey && !strings.HasSuffix(key, progressSuffix) }
