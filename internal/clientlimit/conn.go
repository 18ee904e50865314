package clientlimit

import (
	"bytes"
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// errTurnedAway is returned by reads of a connection that was closed to stay within a limit.
var errTurnedAway = errors.New("connection was closed to stay within the limits of the process")

// Conn is a connection that reports what is read to its Pool. With TLS it is the connection
// below.
type Conn struct {
	net.Conn
	pool    *Pool
	holding *holding
	// counted is set while reads are accounted for.
	counted atomic.Bool
	closed  atomic.Bool
	// writes is odd while a part of an answer is being written, and grows with each part.
	writes atomic.Uint32
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.counted.Load() {
		c.pool.read(c, int64(n), int64(bytes.Count(p[:n], []byte{'\n'})))
		if c.closed.Load() {
			return 0, errTurnedAway
		}
	}
	return n, err
}

// writePartBytes is the size of the parts in which answers are written. A client that reads a large
// answer slowly shows progress with each part.
const writePartBytes = 32 << 10

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.pool.enlargeSend(c, int64(len(p)))
	written := 0
	for {
		part := p[written:min(len(p), written+writePartBytes)]
		c.writes.Add(1)
		n, err := c.Conn.Write(part)
		c.writes.Add(1)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closed.Store(true)
	c.pool.remove(c)
	return c.Conn.Close()
}

// turnAway closes the connection.
func (c *Conn) turnAway() {
	c.closed.Store(true)
	_ = c.Conn.Close() // The connection is given up in any case.
}

// connOf returns the Conn below a connection of a server, or nil.
func connOf(conn any) *Conn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*Conn)
	return c
}

// CloseWrite ends the sending direction. net/http calls it so that a client that still sends
// can read the response.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// listener accepts connections as far as its Pool has room.
type listener struct {
	net.Listener
	pool *Pool
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.pool.open(conn); c != nil {
			return c, nil
		}
		(&Conn{Conn: conn}).turnAway()
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.pool.listenerClosed()
	return err
}
