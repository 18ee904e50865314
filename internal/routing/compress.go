package routing

import (
	"bytes"
	"compress/gzip"
	"sync"
)

// tableCompressor compresses tables and keeps the last result, since all entries that miss
// a table fetch the same one.
type tableCompressor struct {
	mu         sync.Mutex
	version    uint64
	compressed []byte
}

// compress returns the encoded table of a version, compressed with gzip.
func (c *tableCompressor) compress(raw []byte, version uint64) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compressed != nil && c.version == version {
		return c.compressed, nil
	}
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	c.version, c.compressed = version, b.Bytes()
	return c.compressed, nil
}
