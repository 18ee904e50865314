// Package upstream keeps the upstreams beside an agent: their announcements,
// leases, slots and connections, and the failures observed at them.
package upstream

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"sync"

	"gypsumtide"
	"gypsumtide/internal/wire"
)

// The errors of a lease request.
var (
	// ErrUnknown means that no upstream has the name.
	ErrUnknown = errors.New("unknown upstream")
	// ErrStaleLease means that the lease has another generation or has expired.
	ErrStaleLease = errors.New("stale lease")
)

// Config bounds what upstreams may ask for.
type Config struct {
	// DefaultSlots and DefaultConnections apply if an announcement leaves them out.
	DefaultSlots       int
	DefaultConnections int
	// DefaultTTL applies if an announcement leaves the time to live out.
	DefaultTTL gypsumtide.Millis
	// ReserveShort is the percentage of slots that long tasks may not use.
	ReserveShort int
	// MaxRunTime bounds the wait for the answer to a task.
	MaxRunTime gypsumtide.Millis
	// MaxBody bounds the body of an answer.
	MaxBody int64
	// Key is presented to upstreams and asked from them, if it is set.
	Key string
	// TLS returns the configuration for upstreams with an https URL; nil means the default.
	TLS func() (*tls.Config, error)
	// Health controls ejection.
	Health HealthConfig
}

// Announcement is what an upstream says about itself.
type Announcement struct {
	Name        string            `json:"name"`
	URL         string            `json:"url"`
	Services    []string          `json:"services"`
	Slots       int               `json:"slots,omitempty"`
	Connections int               `json:"connections,omitempty"`
	Capacity    gypsumtide.Size   `json:"capacity"`
	TTL         gypsumtide.Millis `json:"ttl-ms,omitempty"`
}

// Lease answers an announcement or a renewal.
type Lease struct {
	Generation uint64            `json:"generation"`
	TTL        gypsumtide.Millis `json:"ttl-ms"`
}

// Registry is safe for concurrent use.
type Registry struct {
	clock   gypsumtide.Clock
	cfg     Config
	changed func()

	mu sync.Mutex
	// shortAt is when a short task last asked for a slot.
	shortAt    gypsumtide.Millis
	upstreams  map[string]*entry
	generation uint64
}

// entry is an announced upstream. The registry's mutex protects it.
type entry struct {
	Announcement
	lease       uint64
	expires     gypsumtide.Millis
	leaving     bool
	running     int
	runningLong int
	used        gypsumtide.Size
	health      *health
	client      *client
}

// New returns an empty registry. It calls changed after each change of what the
// upstreams offer, without holding a lock.
func New(clock gypsumtide.Clock, cfg Config, changed func()) *Registry {
	return &Registry{
		clock:     clock,
		cfg:       cfg,
		changed:   changed,
		upstreams: make(map[string]*entry),
		// The wall clock keeps generations of successive agent processes apart.
		generation: uint64(clock.Wall()),
	}
}

// Announce adds an upstream, or replaces what it announced before, under a new
// lease generation.
func (r *Registry) Announce(a Announcement) (Lease, error) {
	if err := r.complete(&a); err != nil {
		return Lease{}, fmt.Errorf("upstream: announce: %w", err)
	}
	secure, err := r.tls()
	if err != nil {
		return Lease{}, fmt.Errorf("upstream: announce: %w", err)
	}
	r.mu.Lock()
	e := r.upstreams[a.Name]
	if e == nil {
		e = &entry{health: newHealth(r.cfg.Health)}
		r.upstreams[a.Name] = e
	}
	if e.client == nil || e.URL != a.URL || e.Connections != a.Connections {
		e.client.close()
		e.client = newClient(a.Connections, secure)
	}
	r.generation++
	e.Announcement = a
	e.lease = r.generation
	e.expires = r.clock.Now() + a.TTL
	e.leaving = false
	lease := Lease{Generation: e.lease, TTL: a.TTL}
	r.mu.Unlock()
	r.changed()
	return lease, nil
}

func (r *Registry) tls() (*tls.Config, error) {
	if r.cfg.TLS == nil {
		return nil, nil
	}
	return r.cfg.TLS()
}

func (r *Registry) complete(a *Announcement) error {
	if a.Name == "" {
		return errors.New("name must not be empty")
	}
	u, err := url.Parse(a.URL)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		return fmt.Errorf("url %q is not an http URL with a host", a.URL)
	}
	if len(a.Services) == 0 {
		return errors.New("services must not be empty")
	}
	if a.Slots == 0 {
		a.Slots = r.cfg.DefaultSlots
	}
	if a.Connections == 0 {
		a.Connections = r.cfg.DefaultConnections
	}
	if a.TTL == 0 {
		a.TTL = r.cfg.DefaultTTL
	}
	if a.Slots < 1 || a.Connections < 1 || a.TTL < 1 {
		return errors.New("slots, connections and ttl-ms must be positive")
	}
	return nil
}

// Renew extends the lease if the generation is the present one and has not expired.
func (r *Registry) Renew(name string, generation uint64) (Lease, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.upstreams[name]
	if e == nil {
		return Lease{}, ErrUnknown
	}
	now := r.clock.Now()
	if e.lease != generation || now >= e.expires {
		return Lease{}, ErrStaleLease
	}
	e.expires = now + e.TTL
	return Lease{Generation: e.lease, TTL: e.TTL}, nil
}

// Leave stops new starts at an upstream. Its running tasks finish.
func (r *Registry) Leave(name string) error {
	r.mu.Lock()
	e := r.upstreams[name]
	if e == nil {
		r.mu.Unlock()
		return ErrUnknown
	}
	e.leaving = true
	r.sweep()
	r.mu.Unlock()
	r.changed()
	return nil
}

// SetUsed takes the use that an upstream reports.
func (r *Registry) SetUsed(name string, used gypsumtide.Size) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.upstreams[name]; e != nil {
		e.used = used
	}
}

// Used returns the summed use of the upstreams as last reported.
func (r *Registry) Used() gypsumtide.Size {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum gypsumtide.Size
	for _, e := range r.upstreams {
		sum.Processors += e.used.Processors
		sum.Memory += e.used.Memory
		sum.Accelerators += e.used.Accelerators
	}
	return sum
}

// Announced returns what the agent tells the entries. A leaving upstream is
// listed while it has running tasks; one whose lease expired is not listed.
// While an upstream is probed, it offers one slot.
func (r *Registry) Announced() []wire.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	now := r.clock.Now()
	var list []wire.Upstream
	for _, e := range r.upstreams {
		if now >= e.expires && !e.leaving {
			continue
		}
		state := e.health.stateAt(now)
		u := wire.Upstream{Name: e.Name, Services: e.Services, Slots: min(e.Slots, e.Connections), Capacity: e.Capacity, Leaving: e.leaving, Ejected: state == healthEjected}
		if state == healthProbing {
			u.Slots = 1
		}
		list = append(list, u)
	}
	slices.SortFunc(list, func(a, b wire.Upstream) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

// sweep removes upstreams that can start nothing and run nothing.
func (r *Registry) sweep() {
	now := r.clock.Now()
	for name, e := range r.upstreams {
		if e.running == 0 && (e.leaving || now >= e.expires) {
			e.client.close()
			delete(r.upstreams, name)
		}
	}
}

// Close closes the idle connections to all upstreams.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.upstreams {
		e.client.close()
	}
}
