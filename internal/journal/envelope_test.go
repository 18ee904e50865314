package journal

import (
	"bytes"
	"testing"
)

// FuzzDecodeEnvelope guards against records of other programs that make a reader
// panic, and against envelopes that change when they are encoded again.
func FuzzDecodeEnvelope(f *testing.F) {
	for _, e := range []envelope{
		{ID: ID{1}, Kind: kindRecord, Body: []byte("x")},
		{ID: ID{2}, Kind: kindSnapshot, AsOf: 7},
		{Kind: 9},
	} {
		data, err := encodeEnvelope(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeEnvelope(data)
		if err != nil {
			return
		}
		encoded, err := encodeEnvelope(e)
		if err != nil {
			t.Fatal(err)
		}
		e2, err := decodeEnvelope(encoded)
		if err != nil || e2.ID != e.ID || e2.Kind != e.Kind || e2.AsOf != e.AsOf || !bytes.Equal(e2.Body, e.Body) {
			t.Fatalf("%+v was read back as %+v, %v", e, e2, err)
		}
		if e.Kind == kindSnapshot {
			_, _ = decodeState(e.Body)
		}
	})
}
