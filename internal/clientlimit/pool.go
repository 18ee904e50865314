package clientlimit

import (
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"gypsumtide"
)

// Guard creates the pools of a process.
type Guard struct {
	limits  Limits
	clock   gypsumtide.Clock
	metrics *metrics.Set
	report  ReportFunc
}

// ReportFunc is called at most once a second for each listener, with the number of clients that
// were turned away since the last call by reason.
type ReportFunc func(listener string, turnedAway map[string]int)

// NewGuard returns a Guard. Its metrics are registered in set, unless that is nil.
func NewGuard(l Limits, clock gypsumtide.Clock, set *metrics.Set, report ReportFunc) *Guard {
	return &Guard{limits: l, clock: clock, metrics: set, report: report}
}

// Pool bounds the clients of one listener. It is safe for concurrent use.
type Pool struct {
	name     string
	clock    gypsumtide.Clock
	report   ReportFunc
	counters map[reason]*metrics.Counter
	// initialSend is the size in bytes of the send buffer of a new connection.
	initialSend int64

	mu sync.Mutex
	// encrypted is set if the bytes that are read are encrypted.
	encrypted  bool
	budget     *budget
	turnedAway map[string]int
	listening  bool
}

// sweepInterval is the time between two searches for connections without progress,
// reportInterval that between two reports.
const (
	sweepInterval  = 250 * time.Millisecond
	reportInterval = time.Second
)

// encryptedLineBytes is the length of the lines that heads are assumed to consist of if they are
// encrypted, so that the assumed cost is above that of the ordinary heads of a crowd of callers
// and below that of the shortest lines.
const encryptedLineBytes = 16

// Listen returns a listener that accepts connections of l as far as there is room, and its
// Pool. It uses TLS unless tlsConfig is nil. The name appears in logs and metrics. After an error
// l is still open.
func (g *Guard) Listen(name string, l net.Listener, s Share, tlsConfig *tls.Config) (net.Listener, *Pool, error) {
	limits := g.limits.pool(s)
	p := &Pool{
		name: name, encrypted: tlsConfig != nil, clock: g.clock, report: g.report, counters: make(map[reason]*metrics.Counter),
		budget: newBudget(limits), initialSend: limits.send.initial, turnedAway: make(map[string]int), listening: true,
	}
	set := g.metrics
	if set == nil {
		set = metrics.NewSet()
	}
	for _, r := range reasons {
		p.counters[r] = set.GetOrCreateCounter(fmt.Sprintf("gypsumtide_clients_turned_away_total{listener=%q,reason=%q}", name, r))
	}
	set.GetOrCreateGauge(fmt.Sprintf("gypsumtide_client_connections{listener=%q}", name), func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(len(p.budget.holdings))
	})
	set.GetOrCreateGauge(fmt.Sprintf("gypsumtide_client_memory_bytes{listener=%q}", name), func() float64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		return float64(p.budget.cost)
	})
	if socket, ok := l.(syscall.Conn); ok {
		if err := limitSockets(socket, limits); err != nil {
			return nil, nil, gypsumtide.NewError("limit sockets", name, err)
		}
	}
	go p.sweep()
	l = &listener{Listener: l, pool: p}
	if tlsConfig != nil {
		l = tls.NewListener(l, tlsConfig)
	}
	return l, p, nil
}

// open returns the Conn of an accepted connection, or nil if there is no room for it.
func (p *Pool) open(conn net.Conn) *Conn {
	c := &Conn{Conn: conn, pool: p}
	c.counted.Store(true)
	h, closed, ok := p.openHolding(c)
	p.close(closed)
	if !ok {
		return nil
	}
	c.holding = h
	return c
}

func (p *Pool) openHolding(c *Conn) (*holding, []*holding, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, closed, ok := p.budget.open(p.clock.Now(), c)
	if !ok {
		p.count(reasonConnections, 1)
	}
	p.count(reasonConnections, len(closed))
	return h, closed, ok
}

// count counts clients that are turned away. p.mu is locked.
func (p *Pool) count(r reason, n int) {
	if n > 0 {
		p.counters[r].Add(n)
		p.turnedAway[string(r)] += n
	}
}

// close closes connections that were removed from the budget.
func (p *Pool) close(closed []*holding) {
	for _, h := range closed {
		h.conn.turnAway()
	}
}

func (p *Pool) read(c *Conn, n, lines int64) {
	if p.encrypted {
		lines = n / encryptedLineBytes
	}
	p.mu.Lock()
	closed := p.budget.read(p.clock.Now(), c.holding, n, lines)
	p.count(reasonMemory, len(closed))
	p.mu.Unlock()
	p.close(closed)
}

func (p *Pool) remove(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget.remove(c.holding)
}

func (p *Pool) enter(c *Conn, ph phase) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.holding.phase == phaseSession {
		return
	}
	c.counted.Store(ph <= phaseBody)
	p.budget.enter(p.clock.Now(), c.holding, ph)
}

// beginServing decides whether a request whose head has been parsed is refused, and counts that.
func (p *Pool) beginServing(c *Conn, lines int, kept int64) (refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.counted.Store(false)
	p.budget.serve(p.clock.Now(), c.holding, kept)
	r, refused := p.budget.refuse(lines)
	if refused {
		p.count(r, 1)
	}
	return refused
}

func (p *Pool) endBody(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.counted.Store(false)
	p.budget.endBody(c.holding)
}

func (p *Pool) listenerClosed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listening = false
}

// sweep closes connections that make no progress and reports what was turned away, until the
// listener and all its connections are closed.
func (p *Pool) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	reportAt := time.Now()
	for range ticker.C {
		stalled, done := p.removeStalled()
		p.close(stalled)
		if done || time.Since(reportAt) >= reportInterval {
			reportAt = time.Now()
			p.reportTurnedAway()
		}
		if done {
			return
		}
	}
}

// removeStalled removes the connections whose body or answer makes too little progress. done is
// set if there will be no more connections.
func (p *Pool) removeStalled() (stalled []*holding, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for h := range p.budget.holdings {
		h.observeWrite(now, h.conn.writes.Load())
	}
	slow, unread := p.budget.removeSlow(now), p.budget.removeUnread(now)
	p.count(reasonSlowBody, len(slow))
	p.count(reasonUnread, len(unread))
	return append(slow, unread...), !p.listening && len(p.budget.holdings) == 0
}

func (p *Pool) reportTurnedAway() {
	p.mu.Lock()
	counts := p.turnedAway
	p.turnedAway = make(map[string]int)
	p.mu.Unlock()
	if len(counts) > 0 && p.report != nil {
		p.report(p.name, counts)
	}
}

// LogTurnedAway returns a ReportFunc that writes to log.
func LogTurnedAway(log logr.Logger) ReportFunc {
	return func(listener string, turnedAway map[string]int) {
		log.Info("clients-turned-away", "listener", listener, "reasons", turnedAway)
	}
}
