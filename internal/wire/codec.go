package wire

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes is the size of the largest frame that is accepted. The limit keeps a
// faulty peer from exhausting memory.
const MaxFrameBytes = 64 << 20

// MaxHelloBytes is the size of the largest first frame that is accepted of a peer that has not
// said who it is.
const MaxHelloBytes = 64 << 10

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortNone}.EncMode()
	if err != nil {
		panic(fmt.Sprintf("wire: encoding options: %v", err))
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1 << 20,
		MaxMapPairs:      1 << 16,
		MaxNestedLevels:  16,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(fmt.Sprintf("wire: decoding options: %v", err))
	}
	return m
}

// Marshal encodes a frame or another message between processes. The records in logs
// and stores are encoded in the same way.
func Marshal(v any) ([]byte, error) {
	data, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("wire: encode: %w", err)
	}
	return data, nil
}

// Unmarshal decodes data into v. It ignores unknown fields, since processes of
// different versions communicate during an upgrade.
func Unmarshal(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("wire: decode: %w", err)
	}
	return nil
}
