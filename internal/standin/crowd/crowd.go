// Package crowd opens many connections to a server and sends requests on them that are at or
// beyond the server's limits, for tests of its memory and descriptors.
package crowd

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// rounds is the number of connections that a client opens one after the other. It opens the
	// next one when the server has closed the previous one.
	rounds = 3
	// redialPause is the time between two connections of a client.
	redialPause = 50 * time.Millisecond
	// writeTimeout limits one write, since the server need not read on.
	writeTimeout = 5 * time.Second
)

// Sender sends the requests of client i on a new connection. An error means that the server has
// closed the connection or reads no more.
type Sender func(conn net.Conn, i int) error

// Crowd is a number of clients of one server.
type Crowd struct {
	stop    context.CancelFunc
	sent    sync.WaitGroup
	clients sync.WaitGroup
}

// Start starts the clients. Each one keeps its connection open after it has sent its requests.
func Start(address string, clients int, send Sender) *Crowd {
	ctx, stop := context.WithCancel(context.Background())
	c := &Crowd{stop: stop}
	c.sent.Add(clients)
	for i := range clients {
		c.clients.Go(func() { c.run(ctx, address, i, send) })
	}
	return c
}

// WaitSent waits until every client has sent its requests on its first connection, or could
// not.
func (c *Crowd) WaitSent() { c.sent.Wait() }

// Close closes all connections and waits for the clients.
func (c *Crowd) Close() {
	c.stop()
	c.clients.Wait()
}

func (c *Crowd) run(ctx context.Context, address string, i int, send Sender) {
	for round := range rounds {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			err = send(timeoutConn{conn}, i)
			if round == 0 {
				c.sent.Done()
			}
			if err == nil {
				awaitClose(conn)
			}
			stop()
			_ = conn.Close()
		} else if round == 0 {
			c.sent.Done()
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(redialPause):
		}
	}
}

// awaitClose reads until the connection ends.
func awaitClose(conn net.Conn) {
	buffer := make([]byte, 1024)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// timeoutConn is a connection on which each write is limited by writeTimeout.
type timeoutConn struct{ net.Conn }

// Write implements io.Writer.
func (c timeoutConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

// Peak observes a process until Stop.
type Peak struct {
	pid  int
	stop context.CancelFunc
	done chan struct{}
	fds  int
	err  error
}

// sampleInterval is the time between two counts of the descriptors.
const sampleInterval = 10 * time.Millisecond

// Observe begins to count the descriptors of a process.
func Observe(pid int) *Peak {
	ctx, stop := context.WithCancel(context.Background())
	p := &Peak{pid: pid, stop: stop, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		for ctx.Err() == nil {
			fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
			if err != nil {
				p.err = err
				return
			}
			p.fds = max(p.fds, len(fds))
			time.Sleep(sampleInterval)
		}
	}()
	return p
}

// Stop ends the observation. It returns the largest resident memory that the process has had in
// MiB, and the largest number of descriptors. An error means that the process has ended.
func (p *Peak) Stop() (memoryMb float64, fds int, err error) {
	p.stop()
	<-p.done
	if p.err != nil {
		return 0, 0, p.err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0, 0, err
	}
	_, peak, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return 0, 0, fmt.Errorf("process %d has ended", p.pid)
	}
	var kib float64
	if _, err := fmt.Sscan(peak, &kib); err != nil {
		return 0, 0, err
	}
	return kib / 1024, p.fds, nil
}
