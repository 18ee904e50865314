package journal

import (
	"errors"
	"fmt"

	"github.com/google/uuid"

	"gypsumtide/internal/wire"
)

// ID is the unique id of a record. Readers ignore a record whose id they have
// read before.
type ID [16]byte

// NewID returns a random id.
func NewID() ID { return ID(uuid.New()) }

// ParseID reads the text form of an id.
func ParseID(s string) (ID, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return ID{}, fmt.Errorf("journal: parse id: %w", err)
	}
	return ID(id), nil
}

// String returns the canonical text form.
func (id ID) String() string { return uuid.UUID(id).String() }

// The kinds of records in a stream.
const (
	kindRecord uint8 = iota + 1
	kindSnapshot
)

// envelope wraps every record of a stream.
type envelope struct {
	ID   ID    `cbor:"1,keyasint"`
	Kind uint8 `cbor:"2,keyasint"`
	// AsOf is the first offset that a snapshot does not cover.
	AsOf uint64 `cbor:"3,keyasint,omitempty"`
	Body []byte `cbor:"4,keyasint,omitempty"`
}

var errEnvelope = errors.New("journal: invalid envelope")

func encodeEnvelope(e envelope) ([]byte, error) { return wire.Marshal(e) }

func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := wire.Unmarshal(data, &e); err != nil {
		return envelope{}, fmt.Errorf("%w: %w", errEnvelope, err)
	}
	if e.Kind != kindRecord && e.Kind != kindSnapshot {
		return envelope{}, fmt.Errorf("%w: kind %d", errEnvelope, e.Kind)
	}
	if e.ID == (ID{}) {
		return envelope{}, fmt.Errorf("%w: no id", errEnvelope)
	}
	return e, nil
}

// EncodeSnapshot returns a snapshot in the form in which it is written to the
// log, for a peer that cannot read the log.
func EncodeSnapshot(asOf uint64, state []byte) ([]byte, error) {
	return encodeEnvelope(envelope{ID: NewID(), Kind: kindSnapshot, AsOf: asOf, Body: state})
}

// DecodeSnapshot reads a snapshot written by EncodeSnapshot.
func DecodeSnapshot(data []byte) (asOf uint64, state []byte, err error) {
	e, err := decodeEnvelope(data)
	if err != nil {
		return 0, nil, err
	}
	if e.Kind != kindSnapshot {
		return 0, nil, fmt.Errorf("%w: not a snapshot", errEnvelope)
	}
	return e.AsOf, e.Body, nil
}
