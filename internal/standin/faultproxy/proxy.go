// Package faultproxy is a TCP proxy that delays and breaks one link between
// two processes under test.
package faultproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"gypsumtide/internal/group"
)

// mode says what happens to connections.
type mode int

const (
	forward mode = iota
	// hold keeps data back in order.
	hold
	// holdRequests and holdAnswers do so for one way only.
	holdRequests
	holdAnswers
	// drop loses data while both sides see an open connection.
	drop
	// cut resets every connection.
	cut
)

// way is a direction of a connection.
type way int

const (
	requests way = iota
	answers
)

// holds reports whether data of the way is kept back.
func (m mode) holds(w way) bool {
	return m == hold || m == holdRequests && w == requests || m == holdAnswers && w == answers
}

// Proxy forwards connections to one target. Bytes of one direction of a
// connection keep their order under every setting.
type Proxy struct {
	ln     net.Listener
	target string
	stop   context.CancelFunc
	done   <-chan error
	pairs  sync.WaitGroup

	mu      sync.Mutex
	mode    mode
	delay   time.Duration
	changed chan struct{}
	conns   map[*pair]struct{}
}

// pair is one proxied connection. A pair that lost bytes cannot carry data again.
type pair struct {
	caller, target net.Conn
	lossy          bool
}

// chunk is data with the time at which it may leave. Nil data is the end of the stream.
type chunk struct {
	data []byte
	due  time.Time
}

// Listen starts a proxy on the address listen towards target.
func Listen(listen, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, fmt.Errorf("faultproxy: listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{ln: ln, target: target, stop: stop, changed: make(chan struct{}), conns: map[*pair]struct{}{}}
	p.done = group.Go(ctx, p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.ln.Addr().String() }

// URL returns the base URL of the proxy.
func (p *Proxy) URL() string { return "http://" + p.Addr() }

// SetDelay sets the delay of each way.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Drop makes a black hole: connections stay open or open anew, and all data is lost.
func (p *Proxy) Drop() { p.set(drop) }

// Cut resets all connections and every new one.
func (p *Proxy) Cut() { p.set(cut) }

// Pause holds data back until Heal.
func (p *Proxy) Pause() { p.set(hold) }

// PauseRequests holds back what callers send until Heal, PauseAnswers what they
// would receive. The other way goes on.
func (p *Proxy) PauseRequests() { p.set(holdRequests) }

// PauseAnswers is described at PauseRequests.
func (p *Proxy) PauseAnswers() { p.set(holdAnswers) }

// Heal ends Drop, Cut and every pause. Connections that lost data are reset.
func (p *Proxy) Heal() { p.set(forward) }

// Reset resets all present connections once.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetLocked(func(*pair) bool { return true })
}

func (p *Proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == cut {
		p.resetLocked(func(*pair) bool { return true })
	}
	if m != cut && m != drop {
		p.resetLocked(func(c *pair) bool { return c.lossy })
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) resetLocked(which func(*pair) bool) {
	for c := range p.conns {
		if which(c) {
			c.reset()
		}
	}
}

func (c *pair) reset() {
	for _, conn := range []net.Conn{c.caller, c.target} {
		if conn == nil {
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A linger of 0 sends RST in place of FIN.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() error {
	p.stop()
	err := p.ln.Close()
	<-p.done
	p.Reset()
	p.pairs.Wait()
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
		p.pairs.Go(func() { p.serve(ctx, conn) })
	}
}

func (p *Proxy) serve(ctx context.Context, caller net.Conn) {
	c := &pair{caller: caller}
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
	var ways sync.WaitGroup
	ways.Go(func() { p.pipe(ctx, c, requests, c.caller, c.target) })
	ways.Go(func() { p.pipe(ctx, c, answers, c.target, c.caller) })
	ways.Wait()
}

// dial connects to the target once the mode lets a connection through.
func (p *Proxy) dial(ctx context.Context, c *pair) bool {
	m, _, ok := p.await(ctx, func(m mode) bool { return m == forward || m == cut })
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

// await blocks until accept is true for the mode.
func (p *Proxy) await(ctx context.Context, accept func(mode) bool) (mode, time.Duration, bool) {
	for {
		p.mu.Lock()
		m, delay, changed := p.mode, p.delay, p.changed
		p.mu.Unlock()
		if accept(m) {
			return m, delay, true
		}
		select {
		case <-ctx.Done():
			return m, delay, false
		case <-changed:
		}
	}
}

// pipe forwards one direction. The channel between its two halves is bounded,
// so a stalled link pushes back on the sender as a full window does.
func (p *Proxy) pipe(ctx context.Context, c *pair, w way, from, to net.Conn) {
	chunks := make(chan chunk, 256)
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for ch := range chunks {
			if !p.send(ctx, c, w, to, ch) {
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
		due := time.Now().Add(p.delay)
		p.mu.Unlock()
		if n > 0 {
			chunks <- chunk{data: append([]byte(nil), buf[:n]...), due: due}
		}
		if err != nil {
			chunks <- chunk{due: due}
			break
		}
	}
	close(chunks)
	<-sent
}

func (c *pair) close() {
	_ = c.caller.Close()
	_ = c.target.Close()
}

// send writes one chunk at its time, or loses it.
func (p *Proxy) send(ctx context.Context, c *pair, w way, to net.Conn, ch chunk) bool {
	wait := time.NewTimer(time.Until(ch.due))
	defer wait.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wait.C:
	}
	m, _, ok := p.await(ctx, func(m mode) bool { return !m.holds(w) })
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
