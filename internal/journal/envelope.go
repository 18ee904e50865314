package journal

import (
	"errors"
	"fmt"

	"github.com/google/uuid"

	"gypsumtide/internal/wire"
)

// ID is the unique id of a record. Readers ignore a record whose id is among the most
// recent ones that they have read (see idWindow).
type ID [16]byte

// NewID returns a random record id.
func NewID() ID { return ID(uuid.New()) }

// ParseID parses the text form that String returns.
func ParseID(s string) (ID, error) {
	id, err := uuid.Parse(s)
	if err != nil {
		return ID{}, fmt.Errorf("journal: parse id: %w", err)
	}
	return ID(id), nil
}

// String returns the id in UUID text form.
func (id ID) String() string { return uuid.UUID(id).String() }

// The values of envelope.Kind.
const (
	kindRecord uint8 = iota + 1
	kindSnapshot
)

// envelope is the encoded form of every record in a stream.
type envelope struct {
	ID   ID    `cbor:"1,keyasint"`
	Kind uint8 `cbor:"2,keyasint"`
	// AsOf is the first offset that is not included in a snapshot.
	AsOf uint64 `cbor:"3,keyasint,omitempty"`
	// Body is the data given to Append, or the encoded state of a snapshot.
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
		return envelope{}, fmt.Errorf("%w: unknown kind %d", errEnvelope, e.Kind)
	}
	if e.ID == (ID{}) {
		return envelope{}, fmt.Errorf("%w: no id", errEnvelope)
	}
	return e, nil
}

// EncodeSnapshot encodes a snapshot as a record of the log. The state, in the form that
// SnapshotState returns, includes the records before offset asOf.
func EncodeSnapshot(asOf uint64, state []byte) ([]byte, error) {
	return encodeEnvelope(envelope{ID: NewID(), Kind: kindSnapshot, AsOf: asOf, Body: state})
}

// DecodeSnapshot decodes a snapshot written by EncodeSnapshot.
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
