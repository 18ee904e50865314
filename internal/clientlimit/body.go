package clientlimit

import (
	"bytes"
	"io"
	"sync"
)

// bodies holds buffers for reuse, since a crowd sends large bodies faster than the garbage of
// their buffers is collected.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// ReadBody reads a body to its end and passes it to decode, which must not keep it. It returns the
// number of bytes that were read.
func ReadBody(r io.Reader, decode func(data []byte) error) (n int64, err error) {
	b := bodies.Get().(*bytes.Buffer)
	defer bodies.Put(b)
	b.Reset()
	if n, err = b.ReadFrom(r); err != nil {
		return n, err
	}
	return n, decode(b.Bytes())
}
