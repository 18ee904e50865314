package routing

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"gypsumtide"
	"gypsumtide/internal/group"
	"gypsumtide/internal/link"
)

// Paths of the interface between entries.
const (
	PeerPath  = "/v1/peers"
	TablePath = "/v1/route-table"
)

// Intervals of the exchange between entries.
const (
	exchangeInterval gypsumtide.Millis = 500
	exchangeTimeout  gypsumtide.Millis = 400
	// peerTrust is how long a starting entry waits for the store before it takes
	// a table from a peer that may have lost the store as well.
	peerTrust gypsumtide.Millis = 1000
	// announceInterval is the time between two entries in the directory.
	announceInterval gypsumtide.Millis = 30_000
	announceRetry    gypsumtide.Millis = 1000
	// peerConnections is the number of connections kept to a peer.
	peerConnections = 2
	// maxTableBytes bounds a table from a peer.
	maxTableBytes = 8 << 20
)

// greeting is what two entries tell each other.
type greeting struct {
	Address string   `cbor:"1,keyasint,omitempty"`
	Version uint64   `cbor:"2,keyasint,omitempty"`
	Entries []string `cbor:"3,keyasint,omitempty"`
	// Stored is set once stored jobs are in use, and Queued counts by route those of
	// the sender of which no task has started.
	Stored bool           `cbor:"4,keyasint,omitempty"`
	Queued map[string]int `cbor:"5,keyasint,omitempty"`
}

// Peers exchanges addresses and table versions with the other entries, so that
// an entry which the store turns away follows the configuration all the same.
type Peers struct {
	self      string
	name      string
	entries   *link.Addresses
	holder    *TableHolder
	decode    func(raw []byte) (*gypsumtide.RouteTable, error)
	directory gypsumtide.Directory
	clock     gypsumtide.Clock
	log       gypsumtide.Recorder
	caller    *link.Client
	began     gypsumtide.Millis

	// queued returns this entry's counts of stored jobs. It is set before Run.
	queued func() map[string]int
	usage  *storedUsage

	mu   sync.Mutex
	busy map[string]bool
	// counts holds what the other entries told of their queues.
	counts map[string]peerCounts
}

// NewPeers returns the exchange of the entry at the address self.
func NewPeers(name, self string, entries *link.Addresses, holder *TableHolder, source gypsumtide.TableSource, directory gypsumtide.Directory, clock gypsumtide.Clock, log gypsumtide.Recorder) *Peers {
	return &Peers{
		self: self, name: name, entries: entries, holder: holder, decode: source.Decode, directory: directory,
		clock: clock, log: log, began: clock.Now(), busy: make(map[string]bool),
		queued: func() map[string]int { return nil }, usage: newStoredUsage(), counts: make(map[string]peerCounts),
		caller: link.NewClient(exchangeTimeout, peerConnections, maxTableBytes),
	}
}

// Run exchanges greetings until ctx is done.
func (p *Peers) Run(ctx context.Context) error {
	g := group.New(ctx)
	g.Add("directory", p.keepDirectory)
	ticker := time.NewTicker(exchangeInterval.Duration())
	defer ticker.Stop()
	for {
		for _, address := range p.entries.List() {
			if address != p.self && p.claim(address) {
				g.Add("greet "+address, func(ctx context.Context) error {
					defer p.unclaim(address)
					p.greet(ctx, address)
					return nil
				})
			}
		}
		select {
		case <-g.Context().Done():
			return g.Wait()
		case <-ticker.C:
		}
	}
}

// claim keeps one exchange at a time with each address.
func (p *Peers) claim(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[address] {
		return false
	}
	p.busy[address] = true
	return true
}

func (p *Peers) unclaim(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, address)
}

func (p *Peers) keepDirectory(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := p.useDirectory(ctx); err != nil {
			p.log.Decision("directory-unreachable", "error", err.Error())
			gypsumtide.Sleep(ctx, announceRetry)
			continue
		}
		gypsumtide.Sleep(ctx, announceInterval)
	}
	return ctx.Err()
}

// useDirectory reads the directory before it writes this entry's record, since
// the record of an earlier incarnation may tell that stored jobs are in use.
func (p *Peers) useDirectory(ctx context.Context) error {
	cctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	records, err := p.directory.Records(cctx)
	if err != nil && len(records) == 0 {
		return err
	}
	p.entries.AddRecords(records)
	p.usage.take(records)
	active, _ := p.usage.Active()
	return errors.Join(err, p.announce(cctx, active))
}

// announce writes this entry's record, and in it whether stored jobs are in use.
func (p *Peers) announce(ctx context.Context, stored bool) error {
	return p.directory.Announce(ctx, gypsumtide.DirectoryRecord{Name: p.name, Address: p.self, Announced: p.clock.Wall(), Stored: stored})
}

func (p *Peers) greeting() greeting {
	active, _ := p.usage.Active()
	return greeting{Address: p.self, Version: p.holder.Version(), Entries: p.entries.Shareable(), Stored: active, Queued: p.queued()}
}

// greet exchanges greetings with an entry and fetches its table if it is newer.
func (p *Peers) greet(ctx context.Context, address string) {
	cctx, cancel := context.WithTimeout(ctx, exchangeTimeout.Duration())
	defer cancel()
	g, err := p.exchange(cctx, address)
	if err != nil {
		return // The entry may be gone; its agents and callers notice first.
	}
	p.take(address, &g)
	if g.Version <= p.holder.Version() || !p.trusting() {
		return
	}
	if err := p.fetch(cctx, address); err != nil {
		p.log.Decision("peer-table-failed", "peer", address, "version", g.Version, "error", err.Error())
	}
}

// take takes the greeting of the entry at the address.
func (p *Peers) take(address string, g *greeting) {
	p.entries.Confirm(address)
	for _, a := range g.Entries {
		p.entries.Add(a)
	}
	if g.Stored {
		p.usage.set()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(g.Queued) == 0 {
		delete(p.counts, address)
		return
	}
	p.counts[address] = peerCounts{at: p.clock.Now(), queued: g.Queued}
}

// trusting reports whether a table from a peer may be the first one. A starting
// entry asks the store first, since a peer may have lost it.
func (p *Peers) trusting() bool {
	return p.holder.Table() != nil || p.clock.Now()-p.began > peerTrust
}

func (p *Peers) exchange(ctx context.Context, address string) (greeting, error) {
	var g greeting
	err := p.caller.Exchange(ctx, address, PeerPath, p.greeting(), &g)
	return g, err
}

func (p *Peers) fetch(ctx context.Context, address string) error {
	raw, err := p.caller.Call(ctx, http.MethodGet, address, TablePath, nil)
	if err != nil {
		return err
	}
	t, err := p.decode(raw)
	if err != nil {
		return err
	}
	p.holder.Offer(t, raw, address)
	return nil
}

// Handle registers the interface between entries.
func (p *Peers) Handle(mux *http.ServeMux) {
	mux.HandleFunc("POST "+PeerPath, p.receive)
	mux.HandleFunc("GET "+TablePath, p.serveTable)
}

func (p *Peers) receive(w http.ResponseWriter, r *http.Request) {
	var g greeting
	reply, ok := p.caller.HandleExchange(w, r, &g, func() any {
		p.take(g.Address, &g)
		return p.greeting()
	})
	if ok {
		p.write(w, reply)
	}
}

func (p *Peers) serveTable(w http.ResponseWriter, _ *http.Request) {
	raw := p.holder.Encoded()
	if raw == nil {
		http.Error(w, "no route table", http.StatusNotFound)
		return
	}
	p.write(w, raw)
}

func (p *Peers) write(w http.ResponseWriter, data []byte) {
	if _, err := w.Write(data); err != nil && !errors.Is(err, context.Canceled) {
		p.log.Decision("peer-answer-lost", "error", err.Error())
	}
}
