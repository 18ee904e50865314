package shard

import (
	"errors"
	"fmt"
	"strconv"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// RecordKind is the type of a record of the shards stream.
type RecordKind string

// The kinds of records.
const (
	EntryJoined RecordKind = "entry-joined"
	// EntryLeft is appended by the entry itself after it has stopped serving and
	// the join of every agent that it knows to be in use is recorded in the log.
	EntryLeft RecordKind = "entry-left"
	// EntryRetired means that an operator declared the host of an entry
	// permanently removed.
	EntryRetired   RecordKind = "entry-retired"
	AgentJoined    RecordKind = "agent-joined"
	AgentLeft      RecordKind = "agent-left"
	AgentRetired   RecordKind = "agent-retired"
	Claim          RecordKind = "claim"
	SuccessorNamed RecordKind = "successor-named"
)

// maxIncarnationLength bounds the length of an incarnation in bytes, so that a
// faulty author cannot exhaust the memory of every process that reads the stream.
const maxIncarnationLength = 128

var errMalformed = errors.New("malformed record")

// Record is a membership or ownership change in the shards stream.
type Record struct {
	Kind RecordKind `cbor:"1,keyasint"`
	// Time is the Unix time at the process that appended the record.
	Time gypsumtide.Millis `cbor:"2,keyasint"`
	// Entry is set in entry-joined.
	Entry *wire.EntryInfo `cbor:"3,keyasint,omitempty"`
	// Agents is set in agent-joined. Only the incarnations are read in
	// agent-left and agent-retired.
	Agents []wire.AgentRecord `cbor:"4,keyasint,omitempty"`
	// Author is the incarnation of the entry that appends a claim, names a successor
	// or leaves. In entry-retired it is the retired entry, although an operator
	// appends the record.
	Author string `cbor:"5,keyasint,omitempty"`
	// Home is the incarnation that a claim makes the home. In successor-named it is
	// the author and is not read.
	Home string `cbor:"6,keyasint,omitempty"`
	// Successor is the incarnation of the new successor, or empty if no entry
	// can take over.
	Successor string `cbor:"7,keyasint,omitempty"`
	// Shards is set in claim and successor-named.
	Shards []ShardRef `cbor:"8,keyasint,omitempty"`
}

// ShardRef refers to a shard in a claim or successor-named record.
type ShardRef struct {
	Shard gypsumtide.ShardID `cbor:"1,keyasint,omitempty"`
	// Epoch is the epoch that a claim starts, or the current epoch in a
	// successor-named record.
	Epoch uint64 `cbor:"2,keyasint"`
	// BaseOffset is the offset of the shard's last valid record that the author
	// had read. The record is invalid for the shard if the log holds a newer
	// valid one, so an append that takes effect late cannot undo a newer decision.
	BaseOffset uint64 `cbor:"3,keyasint,omitempty"`
	// Settled is set in the claim of an entry that knows from a heartbeat that the
	// previous home had settled all homes before it. It is read only if the author is
	// the successor.
	Settled bool `cbor:"4,keyasint,omitempty"`
}

// Encode validates the record and encodes it for the log.
func (r *Record) Encode() ([]byte, error) {
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("shard: encode %s: %w", r.Kind, err)
	}
	return wire.Marshal(r)
}

// DecodeRecord decodes and validates a record.
func DecodeRecord(data []byte) (*Record, error) {
	var r Record
	if err := wire.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("shard: decode record: %w", err)
	}
	if err := r.check(); err != nil {
		return nil, fmt.Errorf("shard: decode record: %w", err)
	}
	return &r, nil
}

func (r *Record) check() error {
	if err := gypsumtide.ValidateTime("record time", r.Time); err != nil {
		return fmt.Errorf("%w: %w", errMalformed, err)
	}
	switch r.Kind {
	case EntryJoined:
		if r.Entry == nil || r.Entry.Name == "" || !validIncarnation(r.Entry.Incarnation) {
			return errMalformed
		}
	case EntryLeft, EntryRetired:
		if !validIncarnation(r.Author) {
			return errMalformed
		}
	case AgentJoined, AgentLeft, AgentRetired:
		return r.checkAgents()
	case Claim:
		if !validIncarnation(r.Home) {
			return errMalformed
		}
		return r.checkShards()
	case SuccessorNamed:
		return r.checkShards()
	default:
		return fmt.Errorf("%w: unknown kind %q", errMalformed, r.Kind)
	}
	return nil
}

func (r *Record) checkAgents() error {
	if len(r.Agents) == 0 {
		return errMalformed
	}
	for i := range r.Agents {
		a := &r.Agents[i]
		if !validIncarnation(a.Incarnation) || r.Kind == AgentJoined && ValidateAgent(a) != nil {
			return errMalformed
		}
	}
	return nil
}

// ValidateAgent returns a *gypsumtide.InvalidValueError unless the join of the agent can be
// recorded.
func ValidateAgent(a *wire.AgentRecord) error {
	switch {
	case a.Name == "":
		return &gypsumtide.InvalidValueError{Field: "agent name", Value: strconv.Quote(a.Name)}
	case !validIncarnation(a.Incarnation):
		return &gypsumtide.InvalidValueError{Field: "length of the incarnation", Value: len(a.Incarnation)}
	}
	return nil
}

func (r *Record) checkShards() error {
	if !validIncarnation(r.Author) || len(r.Successor) > maxIncarnationLength || len(r.Shards) == 0 || len(r.Shards) > gypsumtide.ShardCount {
		return errMalformed
	}
	var seen [gypsumtide.ShardCount]bool
	for _, s := range r.Shards {
		if s.Shard >= gypsumtide.ShardCount || seen[s.Shard] || s.Epoch == 0 {
			return errMalformed
		}
		seen[s.Shard] = true
	}
	return nil
}

func validIncarnation(s string) bool { return s != "" && len(s) <= maxIncarnationLength }
