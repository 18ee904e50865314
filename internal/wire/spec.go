package wire

import (
	"errors"
	"fmt"

	"github.com/klauspost/compress/zstd"
)

const (
	// minCompressedSpec is the length of a spec in bytes from which compression saves more
	// bytes than it adds.
	minCompressedSpec = 128
	// maxSpecBytes limits what a compressed spec may expand to, since the sender may be faulty.
	maxSpecBytes = 1 << 20
)

// errNoSpec means that an order refers to the spec of an earlier order of its frame, and that
// there is none.
var errNoSpec = errors.New("no earlier order of the job in the frame")

var (
	specEncoder = mustSpecEncoder()
	specDecoder = mustSpecDecoder()
)

func mustSpecEncoder() *zstd.Encoder {
	e, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(zstd.MinWindowSize<<4),
		zstd.WithLowerEncoderMem(true), zstd.WithAllLitEntropyCompression(true), zstd.WithEncoderCRC(false), zstd.WithSingleSegment(true))
	if err != nil {
		panic(fmt.Sprintf("wire: options of the spec encoder: %v", err))
	}
	return e
}

func mustSpecDecoder() *zstd.Decoder {
	d, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxSpecBytes))
	if err != nil {
		panic(fmt.Sprintf("wire: options of the spec decoder: %v", err))
	}
	return d
}

// SpecPacker shortens the specs of the orders of one update. All tasks of a job have the same
// spec, which is most of the bytes that an entry sends: it is compressed once, and sent to
// each agent once.
type SpecPacker struct {
	// compressed holds the compressed specs by job, or nil for a spec that stays as it is.
	compressed map[string][]byte
}

// Pack returns the orders to one agent with their specs shortened.
func (p *SpecPacker) Pack(orders []Order) []Order {
	packed := make([]Order, len(orders))
	sent := make(map[string]bool, len(orders))
	for i, o := range orders {
		job := o.Ref.Task.Job
		switch {
		case o.Spec == "":
		case sent[job]:
			o.Spec, o.RepeatsSpec = "", true
		default:
			sent[job] = true
			if c := p.compress(job, o.Spec); c != nil {
				o.Spec, o.CompressedSpec = "", c
			}
		}
		packed[i] = o
	}
	return packed
}

// compress returns the compressed spec of a job, or nil if it is not shorter.
func (p *SpecPacker) compress(job, spec string) []byte {
	if len(spec) < minCompressedSpec {
		return nil
	}
	if c, ok := p.compressed[job]; ok {
		return c
	}
	c := specEncoder.EncodeAll([]byte(spec), make([]byte, 0, len(spec)))
	if len(c) >= len(spec) {
		c = nil
	}
	if p.compressed == nil {
		p.compressed = make(map[string][]byte)
	}
	p.compressed[job] = c
	return c
}

// UnpackSpecs restores the specs of the orders of a frame.
func UnpackSpecs(orders []Order) error {
	specs := make(map[string]string)
	for i := range orders {
		o := &orders[i]
		job := o.Ref.Task.Job
		switch {
		case o.RepeatsSpec:
			spec, ok := specs[job]
			if !ok {
				return fmt.Errorf("spec of %s: %w", o.Ref, errNoSpec)
			}
			o.Spec, o.RepeatsSpec = spec, false
		case len(o.CompressedSpec) > 0:
			spec, err := specDecoder.DecodeAll(o.CompressedSpec, nil)
			if err != nil {
				return fmt.Errorf("spec of %s: %w", o.Ref, err)
			}
			o.Spec, o.CompressedSpec = string(spec), nil
		}
		if o.Spec != "" {
			specs[job] = o.Spec
		}
	}
	return nil
}
