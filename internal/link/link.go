// Package link opens the sessions between entries and agents and keeps the
// addresses of the entries.
package link

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// Intervals of a session. Silence and the agent's grace for a lost entry stay
// together below the time after which callers submit a job again.
const (
	heartbeat gypsumtide.Millis = 150
	silence   gypsumtide.Millis = 500
	// Credit is the age at which an agent rejects the echo of an order.
	Credit gypsumtide.Millis = 450
	// dialTimeout bounds a connection attempt. An attempt at a host that is about
	// to return hangs until it ends, so it is short.
	dialTimeout gypsumtide.Millis = 150
)

// Path is the HTTP path of agent sessions.
const Path = "/v1/agents"

var timing = wire.Timing{Heartbeat: heartbeat, Silence: silence}

var client = &http.Client{Transport: &http.Transport{
	DialContext: (&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext,
}}

var counters wire.Counters

// Counters returns the traffic counts of all sessions of the process.
func Counters() *wire.Counters { return &counters }

// Dial opens a session to the entry at address.
func Dial(ctx context.Context, address string, clock gypsumtide.Clock) (*wire.Session, error) {
	dctx, cancel := context.WithTimeout(ctx, 2*dialTimeout.Duration())
	defer cancel()
	return wire.Dial(dctx, client, "http://"+address+Path, "", clock, timing, &counters)
}

// Accept upgrades a request to a session.
func Accept(w http.ResponseWriter, r *http.Request, clock gypsumtide.Clock) (*wire.Session, error) {
	return wire.Accept(w, r, clock, timing, &counters)
}

// Introduce sends hello and waits for the answer.
func Introduce(ctx context.Context, s *wire.Session, hello wire.Hello) (wire.Welcome, error) {
	if err := s.WriteFrame(ctx, &wire.Frame{Hello: &hello}); err != nil {
		return wire.Welcome{}, gypsumtide.NewError("introduce", s.Peer(), err)
	}
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return wire.Welcome{}, gypsumtide.NewError("introduce", s.Peer(), err)
	}
	if f.Welcome == nil {
		return wire.Welcome{}, gypsumtide.NewError("introduce", s.Peer(), errors.New("first frame is no welcome"))
	}
	return *f.Welcome, nil
}

// Greet waits for the hello of a peer and answers it.
func Greet(ctx context.Context, s *wire.Session, welcome wire.Welcome) (wire.Hello, error) {
	f, err := s.ReadFrame(ctx)
	if err != nil {
		return wire.Hello{}, gypsumtide.NewError("greet", s.Peer(), err)
	}
	if f.Hello == nil {
		return wire.Hello{}, gypsumtide.NewError("greet", s.Peer(), errors.New("first frame is no hello"))
	}
	if err := s.WriteFrame(ctx, &wire.Frame{Welcome: &welcome}); err != nil {
		return wire.Hello{}, gypsumtide.NewError("greet", s.Peer(), err)
	}
	return *f.Hello, nil
}

// Addresses is a set of addresses that only grows. Addresses of entries that
// are gone cost one failed connection attempt per redial.
type Addresses struct {
	mu    sync.Mutex
	known map[string]time.Time
}

// NewAddresses returns a set with the seeds.
func NewAddresses(seeds []string) *Addresses {
	a := &Addresses{known: make(map[string]time.Time)}
	for _, s := range seeds {
		a.Add(s)
	}
	return a
}

// Add adds an address.
func (a *Addresses) Add(address string) {
	if address == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.known[address]; !ok {
		a.known[address] = time.Now()
	}
}

// List returns the addresses in order.
func (a *Addresses) List() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]string, 0, len(a.known))
	for s := range a.known {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}
