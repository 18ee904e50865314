package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// idleTimeout closes idle connections before an upstream usually does, which
// makes it rare that a task meets a connection that is being closed.
const idleTimeout = 15 * time.Second

// errSealed means that the connection was closed before anything else was written.
var errSealed = errors.New("connection sealed")

// client sends tasks to one upstream.
type client struct {
	http      *http.Client
	transport *http.Transport
}

func newClient(connections int, secure *tls.Config) *client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		TLSClientConfig:     secure,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// HTTP/2 would share one connection among tasks and retry by itself.
		Protocols: new(http.Protocols),
	}
	t.Protocols.SetHTTP1(true)
	return &client{
		transport: t,
		http: &http.Client{
			Transport: t,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

func (c *client) close() {
	if c != nil {
		c.transport.CloseIdleConnections()
	}
}

// countedConn counts the bytes handed to the connection, so that a failed
// request can be proven unsent.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	count  uint64
	sealed bool
}

// Write implements net.Conn. The bytes count before they are written, since a
// failed write may have sent a part.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	c.count += uint64(len(p))
	return c.Conn.Write(p)
}

func (c *countedConn) written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// seal closes the connection, which ends a write in progress, forbids any
// later write and returns the final count.
func (c *countedConn) seal() uint64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.count
}
