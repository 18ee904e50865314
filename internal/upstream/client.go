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

// idleTimeout is the time after which idle connections are closed. It is shorter
// than the idle timeout of most upstreams, so that a task is rarely sent on a
// connection that the upstream is closing.
const idleTimeout = 15 * time.Second

// errConnClosed is returned by writes after closeAndCount.
var errConnClosed = errors.New("connection is closed for writing")

// client is the HTTP client for one upstream.
type client struct {
	http      *http.Client
	transport *http.Transport
}

func newClient(connections int, tlsConfig *tls.Config) *client {
	dialer := &net.Dialer{Timeout: 2 * time.Second}
	t := &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: conn}, nil
		},
		TLSClientConfig:     tlsConfig,
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		// HTTP/2 is disabled, since it would send several tasks on one connection and
		// retry requests by itself.
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

// countedConn counts the bytes that were to be written to a connection. A request that
// failed is known to be unsent if the count did not change.
type countedConn struct {
	net.Conn

	mu           sync.Mutex
	writtenBytes uint64
	closed       bool
}

// Write implements net.Conn. The bytes are counted before they are written, since a
// failed write may have sent some of them.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, errConnClosed
	}
	c.writtenBytes += uint64(len(p))
	return c.Conn.Write(p)
}

func (c *countedConn) written() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writtenBytes
}

// closeAndCount closes the connection, which aborts a write in progress. It returns the
// final byte count: later writes fail with errConnClosed and are not counted.
func (c *countedConn) closeAndCount() uint64 {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.writtenBytes
}
