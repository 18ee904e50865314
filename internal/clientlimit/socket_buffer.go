package clientlimit

import (
	"errors"
	"syscall"
)

const (
	// maxSocketBuffer is the size of the largest socket buffer in bytes. It holds a body of the
	// largest legal size.
	maxSocketBuffer int64 = 512 << 10
	// socketBufferOverhead is the size of a socket buffer for each byte of content. The kernel
	// keeps the rest for its own data.
	socketBufferOverhead = 2
	// largeBufferDivisor is the share of the free part that a connection may take for its larger
	// buffer, so that the first ones get the largest and later ones still get some.
	largeBufferDivisor = 64
)

// bufferLimits bound the buffers of a listener's connections in one direction.
type bufferLimits struct {
	// initial is the size in bytes with which a connection is accepted, large the sum of all
	// larger buffers.
	initial, large int64
}

// bufferBudget holds the sum of the enlarged buffers of one direction. It is not safe for
// concurrent use.
type bufferBudget struct {
	limits bufferLimits
	large  int64
}

// enlarge returns the size of the buffer of a connection that is about to transfer n bytes, or 0
// if the present size is to stay. held is the size of its enlarged buffer, or 0. An enlarged
// buffer counts until release, since a peer may use a window that it was once offered.
func (b *bufferBudget) enlarge(held *int64, n int64) int64 {
	size := min(socketBufferOverhead*min(n, maxSocketBuffer), maxSocketBuffer, (b.limits.large-b.large)/largeBufferDivisor)
	if size <= max(*held, b.limits.initial) {
		return 0
	}
	b.large += size - *held
	*held = size
	return size
}

// release ends the use of an enlarged buffer.
func (b *bufferBudget) release(held *int64) {
	b.large -= *held
	*held = 0
}

// enlargeReceive lets the peer of c send up to n bytes ahead, as far as there is room.
func (p *Pool) enlargeReceive(c *Conn, n int64) {
	p.mu.Lock()
	size := p.budget.enlargeReceive(c.holding, n)
	p.mu.Unlock()
	if size > 0 {
		// The next read returns the error of a connection that has failed.
		_ = setSocketBuffer(c, syscall.SO_RCVBUF, size)
	}
}

// enlargeSend lets the process write up to n bytes ahead of the peer, as far as there is room.
func (p *Pool) enlargeSend(c *Conn, n int64) {
	if n <= p.initialSend {
		return
	}
	p.mu.Lock()
	size := p.budget.enlargeSend(c.holding, n)
	p.mu.Unlock()
	if size > 0 {
		// The next write returns the error of a connection that has failed.
		_ = setSocketBuffer(c, syscall.SO_SNDBUF, size)
	}
}

// limitSockets sets the sizes of the buffers that connections of a listener are accepted with, and
// the number of those that wait to be accepted.
func limitSockets(listener syscall.Conn, l poolLimits) error {
	return errors.Join(
		setSocketBuffer(listener, syscall.SO_RCVBUF, l.receive.initial),
		setSocketBuffer(listener, syscall.SO_SNDBUF, l.send.initial),
		controlSocket(listener, func(fd int) error { return syscall.Listen(fd, l.waiting) }),
	)
}

// setSocketBuffer sets a buffer of a socket to a size in bytes. Linux doubles the value that it
// is given, and counts the content and its own data against the result.
func setSocketBuffer(socket syscall.Conn, option int, size int64) error {
	return controlSocket(socket, func(fd int) error {
		return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, option, int(size/socketBufferOverhead))
	})
}

// controlSocket calls f with the descriptor of a socket.
func controlSocket(socket syscall.Conn, f func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var controlErr error
	err = raw.Control(func(fd uintptr) { controlErr = f(int(fd)) })
	return errors.Join(err, controlErr)
}
