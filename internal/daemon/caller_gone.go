package daemon

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// CallerGone reports whether the caller of a request served by Serve has closed its
// connection already, or the connection has failed. A process that reads a request late
// may find the end of the connection right behind it. The context of the request is done
// only some time after that, since net/http reads on in the background. ctx is the
// context of the request, whose body must have been read.
func CallerGone(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	gone := false
	// Control does not wait for the background read, which Read would.
	err = raw.Control(func(fd uintptr) { gone = endOfStream(int(fd)) })
	return gone || err != nil
}

// endOfStream reports whether a socket has no more bytes to read and never will. It reads
// none.
func endOfStream(fd int) bool {
	var next [1]byte
	for {
		n, _, err := syscall.Recvfrom(fd, next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return false
		default:
			return err != nil || n == 0
		}
	}
}
