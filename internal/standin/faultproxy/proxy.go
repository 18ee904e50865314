// Package faultproxy implements a TCP proxy that injects delays and failures into
// the link between two processes under test.
package faultproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"gypsumtide/internal/group"
)

// mode is the fault that the proxy injects.
type mode int

const (
	// forward injects no fault.
	forward mode = iota
	// pause keeps back the data of both directions, in order, until the mode changes.
	pause
	// pauseRequests and pauseResponses keep back the data of one direction only, until the
	// mode changes.
	pauseRequests
	pauseResponses
	// drop discards the data of existing connections, which stay open. New connections are
	// accepted and wait.
	drop
	// cut resets every connection, including new ones.
	cut
)

// direction is one of the two directions of a connection: from the caller to the
// target, or back.
type direction int

const (
	requests direction = iota
	responses
)

// pauses reports whether the mode keeps back data of the direction.
func (m mode) pauses(dir direction) bool {
	return m == pause || m == pauseRequests && dir == requests || m == pauseResponses && dir == responses
}

// Proxy forwards connections to one target. Within one direction of a connection,
// bytes keep their order whatever the fault or delay.
type Proxy struct {
	ln     net.Listener
	target string
	stop   context.CancelFunc
	done   <-chan error
	// serving counts the connections that are being proxied.
	serving sync.WaitGroup

	mu    sync.Mutex
	mode  mode
	delay time.Duration
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	conns   map[*connPair]struct{}
}

// connPair is one proxied connection: the connection from the caller, and the proxy's
// own connection to the target, which is nil until dial has set it. Once data or the end
// of a stream has been discarded, the pair is lossy and forwards no more data.
type connPair struct {
	caller, target net.Conn
	lossy          bool
}

// chunk is data with the earliest time at which it may be sent. Nil data marks the
// end of the stream.
type chunk struct {
	data   []byte
	sendAt time.Time
}

// Listen starts a proxy that listens on the address listen and forwards to target.
func Listen(listen, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{ln: ln, target: target, stop: stop, changed: make(chan struct{}), conns: map[*connPair]struct{}{}}
	p.done = group.Go(ctx, p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// URL returns the base URL of the proxy.
func (p *Proxy) URL() string { return "http://" + p.Addr() }

// SetDelay sets the delay of each direction for data that the proxy reads from now on.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Drop makes the link lose data without closing a connection: data on existing
// connections is discarded, and new connections are accepted but forward nothing until
// Heal.
func (p *Proxy) Drop() { p.setMode(drop) }

// Cut resets all existing and new connections until Heal.
func (p *Proxy) Cut() { p.setMode(cut) }

// Pause keeps back the data of both directions until Heal. As with Drop and the other
// pauses, the proxy connects new connections to the target only after Heal.
func (p *Proxy) Pause() { p.setMode(pause) }

// PauseRequests keeps back the data that callers send until Heal. Data to the
// callers is still forwarded on existing connections.
func (p *Proxy) PauseRequests() { p.setMode(pauseRequests) }

// PauseResponses keeps back the data to the callers until Heal. Data that they send is
// still forwarded on existing connections.
func (p *Proxy) PauseResponses() { p.setMode(pauseResponses) }

// Heal ends Drop, Cut and every pause, and resets connections that lost data.
func (p *Proxy) Heal() { p.setMode(forward) }

// Reset resets all current connections once.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked(func(*connPair) bool { return true })
}

// setMode changes the mode. Mode cut resets all connections, and every mode but drop
// resets those that lost data.
func (p *Proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == cut {
		p.resetLocked(func(*connPair) bool { return true })
	}
	if m != cut && m != drop {
		p.resetLocked(func(c *connPair) bool { return c.lossy })
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetLocked resets the connections for which match returns true. The caller must
// hold p.mu.
func (p *Proxy) resetLocked(match func(*connPair) bool) {
	for c := range p.conns {
		if match(c) {
			c.reset()
		}
	}
}

func (c *connPair) reset() {
	for _, conn := range []net.Conn{c.caller, c.target} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger of 0, Close sends RST instead of FIN.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() error {
	p.stop()
	err := p.ln.Close()
	<-p.done
	p.Reset()
	p.serving.Wait()
	if err != nil {
		return fmt.Errorf("faultproxy: close: %w", err)
	}
	return nil
}

func (p *Proxy) accept(ctx context.Context) error {
	for {
		conn, err := p.ln.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return ctx.Err()
		}
		if err != nil {
			return fmt.Errorf("faultproxy: accept: %w", err)
		}
		p.serving.Go(func() { p.serve(ctx, conn) })
	}
}

// serve proxies one connection until both directions have ended.
func (p *Proxy) serve(ctx context.Context, caller net.Conn) {
	c := &connPair{caller: caller}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.conns, c)
		c.reset()
	}()
	if !p.dial(ctx, c) {
		return
	}
	var pipes sync.WaitGroup
	pipes.Go(func() { p.pipe(ctx, c, requests, c.caller, c.target) })
	pipes.Go(func() { p.pipe(ctx, c, responses, c.target, c.caller) })
	pipes.Wait()
}

// dial connects to the target. It waits while the mode is neither forward nor cut,
// and reports whether the connection may be used.
func (p *Proxy) dial(ctx context.Context, c *connPair) bool {
	m, _, ok := p.awaitMode(ctx, func(m mode) bool { return m == forward || m == cut })
	if !ok || m == cut {
		return false
	}
	target, err := (&net.Dialer{Timeout: 5 * time.Second}).DialContext(ctx, "tcp", p.target)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c.target = target
	return p.mode != cut && ctx.Err() == nil
}

// awaitMode blocks until acceptable returns true for the current mode. It returns the
// mode, the delay and true, or false as the last result if ctx was done first.
func (p *Proxy) awaitMode(ctx context.Context, acceptable func(mode) bool) (mode, time.Duration, bool) {
	for {
		p.mu.Lock()
		m, delay, changed := p.mode, p.delay, p.changed
		p.mu.Unlock()
		if acceptable(m) {
			return m, delay, true
		}
		select {
		case <-ctx.Done():
			return m, delay, false
		case <-changed:
		}
	}
}

// pipe forwards one direction of a connection until it ends. The channel between reader
// and writer is bounded, so a paused link blocks the sender as a full TCP window does.
func (p *Proxy) pipe(ctx context.Context, c *connPair, dir direction, from, to net.Conn) {
	chunks := make(chan chunk, 256)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for ch := range chunks {
			if !p.send(ctx, c, dir, to, ch) {
				c.close()
				break
			}
		}
		for range chunks {
			continue
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		sendAt := time.Now().Add(p.delay)
		p.mu.Unlock()
		if n > 0 {
			chunks <- chunk{data: append([]byte(nil), buf[:n]...), sendAt: sendAt}
		}
		if err != nil {
			chunks <- chunk{sendAt: sendAt}
			break
		}
	}
	close(chunks)
	<-sent
}

func (c *connPair) close() {
	_ = c.caller.Close()
	_ = c.target.Close()
}

// send writes one chunk when it is due and the mode permits it, or discards it if the mode
// is drop or the connection is lossy. A chunk without data ends the stream to the other
// side. send reports whether the connection can still be used.
func (p *Proxy) send(ctx context.Context, c *connPair, dir direction, to net.Conn, ch chunk) bool {
	wait := time.NewTimer(time.Until(ch.sendAt))
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
	}
	m, _, ok := p.awaitMode(ctx, func(m mode) bool { return !m.pauses(dir) })
	if !ok || m == cut {
		return false
	}
	p.mu.Lock()
	c.lossy = c.lossy || m == drop
	lossy := c.lossy
	p.mu.Unlock()
	if lossy {
		return true
	}
	if ch.data != nil {
		_, err := to.Write(ch.data)
		return err == nil
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		return tcp.CloseWrite() == nil
	}
	return false
}
