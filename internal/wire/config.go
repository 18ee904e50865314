package wire

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
)

// maxConfigBytes limits the text of a configuration after decompression.
const maxConfigBytes = 32 << 20

// ErrConfigBaseMismatch means that a delta is based on a revision that the receiver
// does not have.
var ErrConfigBaseMismatch = errors.New("configuration delta is based on another revision")

// FullConfig returns a message with the full text of a revision.
func FullConfig(revision uint64, text []byte) (*Config, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil, fmt.Errorf("wire: compress configuration: %w", err)
	}
	if _, err := w.Write(text); err != nil {
		return nil, fmt.Errorf("wire: compress configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("wire: compress configuration: %w", err)
	}
	return &Config{Revision: revision, Objects: b.Bytes(), Deflated: true}, nil
}

// ConfigDelta returns a message with the difference between the text of the
// revision base, which must not be 0, and that of revision.
func ConfigDelta(base uint64, from []byte, revision uint64, to []byte) *Config {
	n := min(len(from), len(to))
	prefix := 0
	for prefix < n && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < n-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	return &Config{Revision: revision, Objects: to[prefix : len(to)-suffix], Base: base, Prefix: prefix, Suffix: suffix}
}

// Text returns the full text of the configuration. A delta is applied to text, the
// receiver's text of revision. If the delta is based on another revision, the error
// wraps ErrConfigBaseMismatch. A full configuration ignores the arguments.
func (c *Config) Text(revision uint64, text []byte) ([]byte, error) {
	if c.Base != 0 {
		if c.Base != revision || c.Prefix < 0 || c.Suffix < 0 || c.Prefix > len(text) || c.Suffix > len(text)-c.Prefix {
			return nil, fmt.Errorf("wire: configuration %d: %w", c.Revision, ErrConfigBaseMismatch)
		}
		return bytes.Join([][]byte{text[:c.Prefix], c.Objects, text[len(text)-c.Suffix:]}, nil), nil
	}
	if !c.Deflated {
		return c.Objects, nil
	}
	whole, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Objects)), maxConfigBytes+1))
	if err != nil {
		return nil, fmt.Errorf("wire: decompress configuration %d: %w", c.Revision, err)
	}
	if len(whole) > maxConfigBytes {
		return nil, fmt.Errorf("wire: configuration %d is larger than %d bytes", c.Revision, maxConfigBytes)
	}
	return whole, nil
}
