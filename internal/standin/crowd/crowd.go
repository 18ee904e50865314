// Package crowd opens many connections to a server and sends requests on them that are at or
// beyond the server's limits, for tests of its memory and descriptors.
package crowd

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// rounds is the number of connections that a client opens one after the other. It opens the
	// next one when the server has closed the previous one.
	rounds = 3
	// persistentRounds replaces rounds for clients that do not give up while a test runs.
	persistentRounds = 1000
	// redialPause is the time between two connections of a client.
	redialPause = 50 * time.Millisecond
	// dialTimeout limits one attempt to connect, since the server need not accept it.
	dialTimeout = 5 * time.Second
	// writeTimeout limits one write, since the server need not read on.
	writeTimeout = 5 * time.Second
)

// Sender sends the requests of client i on a new connection. An error means that the server has
// closed the connection or reads no more.
type Sender func(conn net.Conn, i int) error

// Crowd is a number of clients of one server.
type Crowd struct {
	rounds int
	// hold keeps a connection open after its requests were sent, and returns when the
	// connection has ended.
	hold    func(conn net.Conn)
	stop    context.CancelFunc
	sent    sync.WaitGroup
	clients sync.WaitGroup
}

// StartFunc is the type of Start, StartUnread and StartPersistent.
type StartFunc func(address string, clients int, send Sender) *Crowd

// Start starts the clients. Each one keeps its connection open after it has sent its requests.
func Start(address string, clients int, send Sender) *Crowd {
	return start(address, clients, rounds, send, awaitClose)
}

// StartUnread is like Start, but the clients read nothing that the server sends, and they keep a
// connection open on which the server reads no more.
func StartUnread(address string, clients int, send Sender) *Crowd {
	return start(address, clients, rounds, sendUntilStalled(send), awaitReset)
}

// StartPersistent is like StartUnread, but the clients open connections again and again.
func StartPersistent(address string, clients int, send Sender) *Crowd {
	return start(address, clients, persistentRounds, sendUntilStalled(send), awaitReset)
}

// sendUntilStalled returns a Sender for which it is no error that the server reads no more.
func sendUntilStalled(send Sender) Sender {
	return func(conn net.Conn, i int) error {
		err := send(conn, i)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		return err
	}
}

func start(address string, clients, rounds int, send Sender, hold func(conn net.Conn)) *Crowd {
	ctx, stop := context.WithCancel(context.Background())
	c := &Crowd{rounds: rounds, hold: hold, stop: stop}
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
	for round := range c.rounds {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			err = send(timeoutConn{conn}, i)
			if round == 0 {
				c.sent.Done()
			}
			if err == nil {
				c.hold(conn)
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

// awaitReset sends on until the connection fails, and reads nothing.
func awaitReset(conn net.Conn) {
	for {
		_ = conn.SetWriteDeadline(time.Now().Add(redialPause))
		_, err := conn.Write([]byte{'\n'})
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		time.Sleep(redialPause)
	}
}

// timeoutConn is a connection on which each write is limited by writeTimeout.
type timeoutConn struct{ net.Conn }

// Write implements io.Writer.
func (c timeoutConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(p)
}

// setReadBuffer sets the size of the receive buffer in bytes.
func (c timeoutConn) setReadBuffer(bytes int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetReadBuffer(bytes)
}
